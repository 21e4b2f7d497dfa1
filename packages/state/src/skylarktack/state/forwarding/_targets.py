"""Targets in the registry, and the status that they report."""

import dataclasses

from skylarktack.state._addresses import Address


@dataclasses.dataclass(frozen=True)
class ListedTarget:
    """A running target of a service."""

    #: Unique name of this start of the target; a restart may reuse it.
    name: str

    service: str

    #: Where it accepts requests.
    endpoint: Address

    failure_domain: str

    #: Version of its software.
    version: str

    #: Maximum number of requests that it processes concurrently.
    slot_count: int

    #: Whether it is draining: it is about to stop and accepts no new requests.
    is_leaving: bool = False

    #: Models that it serves; empty if it serves none.
    models: tuple[str, ...] = ()

    #: Wall clock time of its start, in milliseconds since the epoch; None if
    #: it is unknown. A target may restart under the same name and then has
    #: lost all earlier requests.
    started_at_ms: int | None = None

    #: Number that rises with the writes of one start, so that of two entries
    #: of one start the later is known; None if it is unknown.
    sequence_number: int | None = None


@dataclasses.dataclass(frozen=True)
class LeavingTarget:
    """A target that said that it is about to stop."""

    name: str

    #: Wall clock time of its start, in milliseconds since the epoch; None if
    #: it is unknown. A later start of the same name is not leaving.
    started_at_ms: int | None


@dataclasses.dataclass(frozen=True)
class TargetChange:
    """One change of the target registry."""

    name: str

    #: Current entry; None if it was deleted or is malformed.
    target: ListedTarget | None


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """Response of an engine to a status request."""

    #: Requests whose prefill has not started; None if it refused to report.
    queued_count: int | None

    #: Wall clock time of its start, in milliseconds since the epoch; None if
    #: it is unknown.
    started_at_ms: int | None = None

    #: Whether it says that it is about to stop.
    is_leaving: bool = False

    #: Tokens of its KV cache that cannot be evicted, or None if unknown.
    used_tokens: int | None = None

    #: Time for which it asks to receive no requests, or None.
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class TargetLoad:
    """Load reported by a target; outdated by the time it arrives."""

    #: Requests in progress.
    running_count: int

    waiting_count: int

    #: Maximum number of requests that it processes concurrently.
    slot_count: int

    #: How long work takes on the target's machine at this moment, 1 for as
    #: long as usual. It changes many times a second. None if the target does
    #: not report it.
    slowdown: float | None = None
