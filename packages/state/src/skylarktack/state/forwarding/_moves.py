"""Move orders, and the evidence that instances exchange about moves.

A move is a planned rollout of a service from one version to another.
"""

import dataclasses
import enum

from skylarktack.state._moves import EvidenceRow
from skylarktack.state._moves import MovePhase
from skylarktack.state.forwarding._store_position import StorePosition


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """An operator's order for a move, with its recorded phase."""

    #: Service whose traffic is shifted.
    service: str

    #: New version of the service.
    to_version: str

    #: Time after the order by which the move must end.
    duration_s: float

    #: Revision of the order in the store, with the era that it belongs to.
    position: StorePosition

    #: Recorded phase of the move: ``PLANNED`` if none is recorded,
    #: ``SHIFTING`` once an instance drives it.
    phase: MovePhase = MovePhase.PLANNED

    @property
    def has_ended(self) -> bool:
        """Return whether the recorded phase is final."""
        return self.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class MoveChange:
    """One change of the move orders."""

    service: str

    #: Current order; None if it was deleted or is malformed.
    order: MoveOrder | None


class MoveScope(enum.Enum):
    """Instances whose counts a report aggregates."""

    #: Only the sender.
    INSTANCE = 'instance'

    #: The sender and the instances that report to it.
    GROUP = 'group'

    #: All instances that the sender knows.
    FLEET = 'fleet'


@dataclasses.dataclass(frozen=True)
class RouteEvidence:
    """Outcome counts of a version on a route in a failure domain."""

    #: Name of the route; empty for all routes that are counted together.
    route: str

    row: EvidenceRow


@dataclasses.dataclass(frozen=True)
class LatencyHistogram:
    """Latencies of a version on a route, in all failure domains.

    Counts are by latency class; each class begins at the square root of two
    times the bound of the one before. Trailing zeros are omitted.
    """

    #: Name of the route; empty for all routes that are counted together.
    route: str

    version: str

    #: Successful responses by latency.
    response_counts: tuple[int, ...] = ()

    #: Attempts that ended without a response, by the time waited for it.
    abandoned_counts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class MoveCounts:
    """Counts of a move since its order, of one or more instances."""

    #: Requests for the service, and those sent to the new version.
    request_count: int = 0
    sent_count: int = 0

    #: Number of instances that the counts include.
    member_count: int = 0

    #: Outcome counts by version, failure domain and route.
    rows: tuple[RouteEvidence, ...] = ()

    #: Latencies by version and route; empty in reports of earlier releases.
    latencies: tuple[LatencyHistogram, ...] = ()


@dataclasses.dataclass(frozen=True)
class MoveReport:
    """Evidence about a move that an instance sends to its peers."""

    instance: str

    service: str
    to_version: str

    scope: MoveScope

    counts: MoveCounts

    #: Time since the first instance received the order.
    age_ms: int

    #: Whether all traffic is to be shifted to the new version.
    is_shifting: bool

    #: Why the new version may receive no more traffic; empty if it may.
    stop_reason: str
