"""Peer messages about claims."""

import dataclasses

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class ClaimForwardRequest:
    """Sends proposed records to the owner of their bucket."""

    #: Number of the bucket to which all the records belong.
    bucket: int

    #: Proposed records, applied in order.
    records: tuple[state.ClaimRecord, ...]

    #: How long the sender waits for the response.
    timeout_ms: int

    #: Whether the owner must read the bucket from the store rather than
    #: from its cache.
    fresh: bool = False


@dataclasses.dataclass(frozen=True)
class ClaimForwardResponse:
    """Response with the records in effect after the proposals."""

    #: Current record for each proposal; None if its key has none.
    records: tuple[state.ClaimRecord | None, ...] = ()

    #: Why the proposals were not applied; empty on success.
    fault: str = ''
