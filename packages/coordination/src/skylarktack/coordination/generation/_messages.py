"""Messages between instances about generations."""

import dataclasses

from skylarktack import state

#: Most text in one answer, to stay below the limit of a frame.
PART_LIMIT_BYTES = 262_144

#: Longest prompt that is passed between instances.
PROMPT_LIMIT_BYTES = 524_288


@dataclasses.dataclass(frozen=True)
class ReadGenerationRequest:
    """Asks a peer for a generation that it may hold."""

    #: Organisation of the caller who asks.
    organisation: state.OrganisationName

    #: Identifier of the generation.
    request_id: state.RequestId

    #: Position of the first token wanted.
    from_position: int = 0

    #: Whether the caller moved; the peer then stops to read the engine and
    #: does not cancel the attempt.
    take_over: bool = False


@dataclasses.dataclass(frozen=True)
class ReadGenerationResponse:
    """Answer to ``ReadGenerationRequest``."""

    #: Whether the peer holds it and its organisation is the asking one.
    known: bool

    #: Route of the request.
    route: str = ''

    #: Prompt of the request, if it is known and short enough.
    prompt: str | None = None

    #: Most tokens to generate.
    max_tokens_count: int = 0

    #: Whether the caller accepts a restart.
    accepts_restart: bool = False

    #: Tokens from the wanted position, as many as fit.
    tokens: tuple[str, ...] = ()

    #: Number of tokens that the peer holds.
    position: int = 0

    #: Latest attempt, or None before the first.
    attempt: state.AttemptRecord | None = None

    #: End of the answer, or None while it is not whole.
    end: state.StreamEnd | None = None


@dataclasses.dataclass(frozen=True)
class CancelGenerationRequest:
    """Asks a peer to cancel a generation."""

    #: Organisation of the caller who asks.
    organisation: state.OrganisationName

    #: Identifier of the generation.
    request_id: state.RequestId


@dataclasses.dataclass(frozen=True)
class CancelGenerationResponse:
    """Answer to ``CancelGenerationRequest``."""

    #: Whether the peer held it.
    known: bool
