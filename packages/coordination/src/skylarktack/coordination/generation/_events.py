"""Events of a generation, as its caller receives them."""

import dataclasses

from skylarktack import state


@dataclasses.dataclass(frozen=True, slots=True)
class DeliveredToken:
    """One token with the data needed to resume after it."""

    #: Position in the response, from 0.
    position: int

    #: Number of the attempt that produced it.
    attempt: int

    #: Target of that attempt.
    target: state.TargetName

    #: Version that served the attempt.
    version: state.VersionName

    #: Hexadecimal digest of the response up to and including this token.
    digest: str

    #: Text, encoded as UTF-8.
    text: bytes


@dataclasses.dataclass(frozen=True)
class TokenBatch:
    """Tokens that arrived together."""

    #: Tokens in order of position.
    tokens: tuple[DeliveredToken, ...]


@dataclasses.dataclass(frozen=True)
class Completed:
    """The response is complete."""

    #: Number of tokens in the response.
    token_count: int

    #: Why the engine stopped: ``stop`` or ``length``.
    reason: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """The response cannot be completed."""

    refusal: state.Refusal


@dataclasses.dataclass(frozen=True)
class Idle:
    """Keeps the caller's connection open while no token arrives."""


@dataclasses.dataclass(frozen=True)
class Restarted:
    """Discards all tokens delivered so far; the first token follows.

    Sent only to callers that accept a restart.
    """


@dataclasses.dataclass(frozen=True)
class HandedOver:
    """The instance is stopping; the caller resumes on another one."""

    #: Where the caller resumes; None if no attempt was started. A caller
    #: that has received no token has no other event id of the attempt.
    resume: state.ResumeToken | None = None


#: Any event of a generation.
GenerationEvent = (
    TokenBatch | Completed | Failed | Idle | Restarted | HandedOver
)
