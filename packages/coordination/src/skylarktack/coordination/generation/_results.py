"""What a caller receives from a running generation."""

import dataclasses

from skylarktack import state


@dataclasses.dataclass(frozen=True, slots=True)
class DeliveredToken:
    """One token and what the caller needs to resume after it."""

    #: Position, from 0.
    position: int

    #: Attempt that produced it.
    attempt: int

    #: Target of that attempt.
    target: state.TargetName

    #: Version that the attempt ran.
    version: state.VersionName

    #: Digest of the answer up to and with this token, hexadecimal.
    digest: str

    #: Text in UTF-8.
    text: bytes


@dataclasses.dataclass(frozen=True)
class TokenBatch:
    """Tokens that arrived together."""

    #: The tokens in order.
    tokens: tuple[DeliveredToken, ...]


@dataclasses.dataclass(frozen=True)
class Completed:
    """The answer is whole."""

    #: Tokens in the answer.
    token_count: int

    #: Why the engine stopped.
    reason: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """The answer cannot be completed."""

    #: The typed reason.
    refusal: state.Refusal


@dataclasses.dataclass(frozen=True)
class Idle:
    """Sign of life while no token arrives."""


@dataclasses.dataclass(frozen=True)
class Restarted:
    """Everything delivered so far is void; the first token follows.

    Only sent to callers who accepted it.
    """


@dataclasses.dataclass(frozen=True)
class HandedOver:
    """This instance stops; the caller resumes on another one."""

    #: Where the caller resumes, or None if no attempt was begun. A caller
    #: without a token has no other event id that names the attempt.
    resume: state.ResumeToken | None = None


#: Any step of a generation, as its caller sees it.
GenerationEvent = (
    TokenBatch | Completed | Failed | Idle | Restarted | HandedOver
)
