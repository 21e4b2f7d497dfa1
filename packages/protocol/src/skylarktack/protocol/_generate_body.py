"""JSON body of a generation request."""

import dataclasses
from typing import Annotated

import pydantic

#: Maximum of ``max_tokens``.
MAX_TOKENS_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True)
class GenerateBody:
    """Fields of the body; the names are those of the callers' API."""

    prompt: str

    #: Maximum number of tokens to generate.
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=MAX_TOKENS_COUNT)] = 256

    #: Whether the response is sent as server-sent events.
    stream: bool = True

    #: Identifier chosen by the caller; None if the caller leaves it out.
    request_id: str | None = None

    #: Tokens that a reconnecting caller has already received, or None.
    delivered: tuple[str, ...] | None = None

    #: Whether the caller accepts a restart from the first token if the text of
    #: a continuation differs from the delivered text.
    restart: bool = False
