"""JSON body of a request for a generation."""

import dataclasses
from typing import Annotated

import pydantic

#: Most tokens that one request may ask for.
MAX_TOKENS_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True)
class GenerateBody:
    """Fields of the body, as callers write them."""

    #: Prompt text.
    prompt: str

    #: Most tokens to generate.
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=MAX_TOKENS_COUNT)] = 256

    #: Whether the answer is sent as server-sent events.
    stream: bool = True

    #: Identifier chosen by the caller, or None.
    request_id: str | None = None

    #: Tokens that a reconnecting caller already holds, or None.
    delivered: tuple[str, ...] | None = None

    #: Whether a restart from the first token is accepted when the text of a
    #: continuation differs from what was delivered.
    restart: bool = False
