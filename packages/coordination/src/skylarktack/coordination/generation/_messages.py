"""Peer messages about generations."""

import dataclasses

from skylarktack import state

#: Maximum text in one response, which keeps it below the frame limit.
MAX_RESPONSE_TEXT_BYTES = 262_144

#: Maximum size of a prompt that is sent between instances.
MAX_PROMPT_BYTES = 524_288


@dataclasses.dataclass(frozen=True)
class ReadGenerationRequest:
    """Asks a peer for a generation that it may have."""

    #: Organisation of the requesting caller.
    organisation: state.OrganisationName

    request_id: state.RequestId

    #: Position of the first token requested.
    from_position: int = 0

    #: Whether the caller moved to the requesting instance. The peer then
    #: stops reading from the engine without cancelling the attempt.
    take_over: bool = False


@dataclasses.dataclass(frozen=True)
class ReadGenerationResponse:
    """Response to ``ReadGenerationRequest``."""

    #: Whether the peer has the generation and it belongs to the requesting
    #: organisation.
    known: bool

    #: Name of the request's route.
    route: str = ''

    #: Prompt of the request; None if it is not known or too long to send.
    prompt: str | None = None

    #: Maximum number of tokens to generate.
    max_tokens_count: int = 0

    #: Whether the caller accepts a restart from the first token.
    accepts_restart: bool = False

    #: Tokens from the requested position on, as many as fit in a response.
    tokens: tuple[str, ...] = ()

    #: Number of tokens that the peer has.
    position: int = 0

    #: Latest attempt; None before the first.
    attempt: state.AttemptRecord | None = None

    #: End of the response; None while it is incomplete.
    end: state.StreamEnd | None = None


@dataclasses.dataclass(frozen=True)
class CancelGenerationRequest:
    """Asks a peer to cancel a generation."""

    #: Organisation of the requesting caller.
    organisation: state.OrganisationName

    request_id: state.RequestId


@dataclasses.dataclass(frozen=True)
class CancelGenerationResponse:
    """Response to ``CancelGenerationRequest``."""

    #: Whether the peer had the generation.
    known: bool
