"""Messages between instances about claims."""

import dataclasses

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class ClaimForwardRequest:
    """Proposed records, sent to the owner of their bucket."""

    #: The bucket.
    bucket: int

    #: Proposed records.
    records: tuple[state.ClaimRecord, ...]

    #: How long the sender waits for the answer.
    timeout_ms: int

    #: Whether the owner must read the bucket before it answers.
    fresh: bool = False


@dataclasses.dataclass(frozen=True)
class ClaimForwardResponse:
    """The records in effect after the proposals were weighed."""

    #: One for each proposed record, or None if the key has none.
    records: tuple[state.ClaimRecord | None, ...] = ()

    #: Why nothing was weighed; empty on success.
    fault: str = ''
