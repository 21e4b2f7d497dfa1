"""Requests, attempts, resume tokens and events of generations."""

import dataclasses

from skylarktack.state._documents import Route
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RequestId
from skylarktack.state._names import TargetName
from skylarktack.state._names import VersionName


@dataclasses.dataclass(frozen=True)
class ResumeToken:
    """Resume point that a caller receives with each token as event id."""

    #: Number of tokens delivered.
    position: int

    #: Number of the attempt that produced the last of them, from 1.
    attempt: int

    #: Target of that attempt.
    target: TargetName

    #: Hexadecimal digest of the delivered tokens.
    digest: str

    #: Version that served the attempt; empty if it is unknown.
    version: VersionName = VersionName('')


@dataclasses.dataclass(frozen=True)
class AttemptRecord:
    """Attempt that generated a part of the response."""

    number: int

    target: TargetName

    version: VersionName

    #: Position of its first delivered token.
    from_position: int


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """One caller's request for a generation."""

    request_id: RequestId

    organisation: OrganisationName

    #: The route as configured when the request arrived.
    route: Route

    prompt: str

    #: Maximum number of tokens to generate.
    max_tokens_count: int

    #: Priority passed to the engine; lower numbers take precedence.
    priority: int = 10

    #: Resume token of an earlier connection; None for a new request.
    resume: ResumeToken | None = None

    #: Tokens that the caller has already received; None if it did not send
    #: them back.
    delivered_tokens: tuple[str, ...] | None = None

    #: Whether the caller accepts a restart from the first token if the
    #: regenerated text differs from the delivered text.
    accepts_restart: bool = False


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """Request that starts one attempt of a generation at an engine."""

    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int

    version: str

    route: str

    prompt: str

    #: Tokens that were already delivered and that the engine continues.
    prefix_tokens: tuple[str, ...]

    #: Maximum number of tokens, the prefix included.
    max_tokens_count: int

    #: Lower numbers take precedence.
    priority: int


@dataclasses.dataclass(frozen=True)
class StreamStart:
    """First event of an engine's stream."""

    request_id: RequestId

    attempt: int

    #: Identifier of the engine's process, new at each start.
    incarnation: str

    #: Position of the first token of the stream.
    from_position: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of an engine's stream."""

    #: Attempt that generated the token.
    attempt: int

    #: Position, from 0.
    position: int

    #: Text in UTF-8.
    text: bytes


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """Final event of a complete stream."""

    #: Tokens in the complete response, the prefix included.
    token_count: int

    #: Why the engine stopped: ``stop`` or ``length``.
    reason: str


@dataclasses.dataclass(frozen=True)
class StreamError:
    """Error event of an engine's stream."""

    #: Machine-readable reason.
    code: str

    #: Human-readable description.
    message: str


@dataclasses.dataclass(frozen=True)
class Keepalive:
    """Event of an engine that is alive but has no new token."""


#: Any event of an engine's stream.
StreamEvent = StreamStart | TokenEvent | StreamEnd | StreamError | Keepalive
