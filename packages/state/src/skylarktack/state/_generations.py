"""Requests, attempts and resume tokens of generations."""

import dataclasses

from skylarktack.state._documents import Route
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RequestId
from skylarktack.state._names import TargetName
from skylarktack.state._names import VersionName


@dataclasses.dataclass(frozen=True)
class ResumeToken:
    """What a caller holds after each token: the event id."""

    #: Number of tokens delivered.
    position: int

    #: Number of the attempt that produced the last of them, from 1.
    attempt: int

    #: Target of that attempt.
    target: TargetName

    #: Digest of the delivered tokens, hexadecimal.
    digest: str

    #: Version that the attempt ran; empty if it is not known.
    version: VersionName = VersionName('')


@dataclasses.dataclass(frozen=True)
class AttemptRecord:
    """Where a part of an answer was generated."""

    #: Number of the attempt.
    number: int

    #: Target of the attempt.
    target: TargetName

    #: Version that it ran.
    version: VersionName

    #: Position of the first token that it delivered.
    from_position: int


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """One caller's request for a generation."""

    #: Unique identifier.
    request_id: RequestId

    #: Organisation of the caller.
    organisation: OrganisationName

    #: The route, as configured when the request arrived.
    route: Route

    #: Prompt text.
    prompt: str

    #: Most tokens to generate.
    max_tokens_count: int

    #: Priority passed to the engine; a lower number goes first.
    priority: int = 10

    #: Token of an earlier connection, if the caller reconnects.
    resume: ResumeToken | None = None

    #: Text that the caller already holds, if it sent it back.
    delivered_tokens: tuple[str, ...] | None = None

    #: Whether the caller accepts a restart from the first token when the
    #: new text differs from what was delivered.
    accepts_restart: bool = False


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """One attempt of a generation, as sent to an engine."""

    #: Identifier of the request.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int

    #: Version to serve.
    version: str

    #: Route of the request.
    route: str

    #: Prompt text.
    prompt: str

    #: Tokens already delivered, which the engine continues.
    prefix_tokens: tuple[str, ...]

    #: Most tokens in all, the prefix included.
    max_tokens_count: int

    #: Priority; a lower number goes first.
    priority: int


@dataclasses.dataclass(frozen=True)
class StreamStart:
    """First event of an engine's stream."""

    #: Request that the engine answers.
    request_id: RequestId

    #: Attempt that the engine answers.
    attempt: int

    #: Identifier of the engine's process, new at each start.
    incarnation: str

    #: Position of the first token that follows.
    from_position: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of an engine's stream."""

    #: Attempt that produced it.
    attempt: int

    #: Position, from 0.
    position: int

    #: Text in UTF-8.
    text: bytes


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """Last event of a complete stream."""

    #: Tokens in the whole answer, the prefix included.
    token_count: int

    #: Why the engine stopped: ``stop`` or ``length``.
    reason: str


@dataclasses.dataclass(frozen=True)
class StreamError:
    """Error event of an engine's stream."""

    #: Machine-readable reason.
    code: str

    #: One sentence for people.
    message: str


@dataclasses.dataclass(frozen=True)
class Keepalive:
    """Sign of life of an engine that has no token yet."""


#: Any event of an engine's stream.
StreamEvent = StreamStart | TokenEvent | StreamEnd | StreamError | Keepalive
