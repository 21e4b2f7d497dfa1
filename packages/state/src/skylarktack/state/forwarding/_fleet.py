"""What instances tell each other about runs and lost targets."""

import dataclasses

from skylarktack.state._addresses import Address
from skylarktack.state.forwarding._moves import MoveReport


@dataclasses.dataclass(frozen=True)
class RunStatus:
    """One run of a stream at an engine."""

    #: Attempt of the caller that the run belongs to.
    attempt_id: str

    #: Last part of the prompt, which later attempts share.
    affinity_key: str

    #: Engine that runs it.
    engine: str

    #: Engine that keeps a copy of its memory, or None.
    standby: str | None

    #: Whether the engine still reads the prompt.
    is_prefilling: bool

    #: Whether the run has ended at this engine.
    has_ended: bool = False


@dataclasses.dataclass(frozen=True)
class RetryCounts:
    """Requests for one service, and sends beyond the first of each."""

    #: Name of the service.
    service: str

    #: Requests in the window.
    request_count: int

    #: Sends beyond the first in the window.
    retry_count: int


@dataclasses.dataclass(frozen=True)
class InstanceReport:
    """One datagram of an instance to another."""

    #: Name of the sender.
    instance: str

    #: Where the sender receives datagrams.
    endpoint: Address

    #: Start of the sender, in milliseconds since the epoch.
    started_at_ms: int

    #: Number of the report; grows with each report of the sender.
    sequence: int

    #: Whether it holds all runs of the sender or only changed ones.
    is_full: bool

    #: Runs of the sender.
    runs: tuple[RunStatus, ...]

    #: Targets that the sender found lost a moment ago.
    lost_targets: tuple[str, ...]

    #: Time until the sender's next full report, in milliseconds.
    next_report_ms: int

    #: Targets whose address has another target by now.
    replaced_targets: tuple[str, ...] = ()

    #: Requests and repeats of the sender in the window of the budget.
    counts: tuple[RetryCounts, ...] = ()


@dataclasses.dataclass(frozen=True)
class StoreChange:
    """An answer of the store that one instance passes on to the others."""

    #: Kind of the objects.
    kind: str

    #: Revision of the change before the first of these.
    previous_revision: int

    #: Revision up to which the changes are complete.
    revision: int

    #: The answer as the store sent it.
    content: bytes

    #: Whether entries may be gone only because they expired while the store
    #: was away.
    follows_outage: bool = False


@dataclasses.dataclass(frozen=True)
class ConfirmedKind:
    """Kind of objects that the store confirmed."""

    #: Name of the kind.
    kind: str

    #: Revision of its newest change.
    changed_revision: int


@dataclasses.dataclass(frozen=True)
class WatchHeartbeat:
    """Word of a watching instance that it hears the store."""

    #: Name of the sender.
    instance: str

    #: Kinds that the store confirmed a moment ago.
    kinds: tuple[ConfirmedKind, ...]


@dataclasses.dataclass(frozen=True)
class BroadcastMessage:
    """A message that its receiver also passes on to others."""

    #: The message, encoded.
    content: bytes

    #: Where it is passed on to.
    peers: tuple[Address, ...]


#: What instances send each other.
FleetMessage = (
    InstanceReport
    | StoreChange
    | WatchHeartbeat
    | MoveReport
    | BroadcastMessage
)


@dataclasses.dataclass(frozen=True)
class ListedPeer:
    """An instance as the store lists it."""

    #: Name of the instance.
    instance: str

    #: Where it receives datagrams.
    endpoint: Address
