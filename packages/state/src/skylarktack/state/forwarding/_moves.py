"""Orders to move a service's traffic to another version."""

import dataclasses
import enum

from skylarktack.state._moves import EvidenceRow
from skylarktack.state._moves import MovePhase


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """An operator's order with what the system has recorded of it."""

    #: Service whose traffic moves.
    service: str

    #: Version that it moves to.
    to_version: str

    #: Time from the order within which the move has to end.
    duration_s: float

    #: Revision of the order's object in the store.
    revision: int

    #: Recorded phase of this move. Shifting means that it was taken up;
    #: planned, that nothing is recorded.
    phase: MovePhase = MovePhase.PLANNED

    @property
    def has_ended(self) -> bool:
        """Return whether the recorded phase is final."""
        return self.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class MoveChange:
    """One change of the orders."""

    #: Service of the order.
    service: str

    #: The order as it is now, or None if it is gone or cannot be read.
    order: MoveOrder | None


class MoveScope(enum.Enum):
    """Whose counts a report holds."""

    #: The sender's.
    INSTANCE = 'instance'

    #: Those of the sender and of the instances that report to it.
    GROUP = 'group'

    #: Those of all instances that the sender knows.
    FLEET = 'fleet'


@dataclasses.dataclass(frozen=True)
class RouteEvidence:
    """Outcomes of one version on one route in one failure domain."""

    #: Name of the route; empty for all routes that are not told apart.
    route: str

    #: The outcomes.
    row: EvidenceRow


@dataclasses.dataclass(frozen=True)
class MoveCounts:
    """Counts of one move since its order, of any number of instances."""

    #: Requests for the service, and sends to the new version.
    request_count: int = 0
    sent_count: int = 0

    #: Instances whose counts these are.
    member_count: int = 0

    #: Outcomes by version, failure domain and route.
    rows: tuple[RouteEvidence, ...] = ()


@dataclasses.dataclass(frozen=True)
class MoveReport:
    """What one or more instances have seen of a move, for the others."""

    #: Name of the sender.
    instance: str

    #: Service and version of the move.
    service: str
    to_version: str

    #: Whose counts these are.
    scope: MoveScope

    #: What they counted.
    counts: MoveCounts

    #: Time since any instance saw the order, in milliseconds.
    age_ms: int

    #: Whether all traffic goes to the new version from now on.
    is_shifting: bool

    #: Why no traffic may go to the new version any more; empty if it may.
    stop_reason: str
