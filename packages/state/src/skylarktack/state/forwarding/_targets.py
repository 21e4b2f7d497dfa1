"""Targets as a registry lists them."""

import dataclasses

from skylarktack.state._addresses import Address


@dataclasses.dataclass(frozen=True)
class ListedTarget:
    """One running target of a service."""

    #: Unique name of this start of the target.
    name: str

    #: Service that it belongs to.
    service: str

    #: Where it accepts requests.
    endpoint: Address

    #: Its failure domain.
    failure_domain: str

    #: Version of its software.
    version: str

    #: Requests that it processes at once.
    slot_count: int

    #: Whether it takes no new requests because it stops soon.
    is_leaving: bool = False

    #: Names of the models that it serves; empty if it serves none.
    models: tuple[str, ...] = ()

    #: When it started, in milliseconds since the epoch, or None. A target
    #: may start again under its name and then knows nothing of before.
    started_at_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class TargetChange:
    """One change of the registry of targets."""

    #: Name of the entry.
    name: str

    #: The target as it is now, or None if it is gone or cannot be read.
    target: ListedTarget | None


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """What an engine says of itself when it is asked."""

    #: Requests that wait to be read.
    queued_count: int

    #: When it started, in milliseconds since the epoch, or None.
    started_at_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class TargetLoad:
    """Load that a target reported about itself; stale when it arrives."""

    #: Requests in progress.
    running_count: int

    #: Requests in its queue.
    waiting_count: int

    #: Requests that it processes at once.
    slot_count: int
