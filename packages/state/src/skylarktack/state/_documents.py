"""The configuration document that operators submit as a whole."""

import dataclasses
import enum

from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RouteName
from skylarktack.state._names import VersionName


class RouteKind(enum.Enum):
    """What a route leads to."""

    GENERATION = 'generation'
    SERVICE = 'service'


class CallerLossPolicy(enum.Enum):
    """What happens to a generation whose caller disconnected."""

    CANCEL = 'cancel'
    FINISH = 'finish'


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one organisation or one route; None means unlimited."""

    #: Most requests running at once in the whole deployment.
    concurrency_count: int | None = None

    #: Most requests started a second in the whole deployment.
    rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """One organisation whose callers use the system."""

    #: Unique name.
    name: OrganisationName

    #: Hexadecimal SHA-256 of each key that its callers may use.
    key_sha256: tuple[str, ...]

    #: Relative share of a full route.
    weight: float = 1.0

    #: Priority passed to engines; a lower number goes first.
    priority: int = 10

    #: Limits over all routes.
    limits: Limits = dataclasses.field(default_factory=Limits)


@dataclasses.dataclass(frozen=True)
class Route:
    """One name under which callers reach a version."""

    #: Unique name, part of the caller's path.
    name: RouteName

    #: What the route leads to.
    kind: RouteKind

    #: Version that serves the route when no move is under way.
    version: VersionName

    #: Whether a call may run more than once.
    repeatable: bool = True

    #: Organisations that may use it; empty means all.
    organisations: tuple[OrganisationName, ...] = ()

    #: Limits over all organisations.
    limits: Limits = dataclasses.field(default_factory=Limits)

    #: Longest wait of a request for a free slot.
    queue_deadline_ms: int = 2000

    #: Longest run of one plain call on a target.
    call_timeout_ms: int = 5000

    #: What happens when the caller disconnects during a generation.
    caller_loss: CallerLossPolicy = CallerLossPolicy.CANCEL

    #: How long a finished or orphaned generation can be fetched again.
    retention_ms: int = 60000

    #: Whether a failover may continue a generation on another version.
    failover_across_versions: bool = False


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a model or a plain service."""

    #: Unique name.
    name: VersionName

    #: What its targets serve.
    kind: RouteKind

    #: Name of the weights in the weight store; empty for services.
    weights: str = ''

    #: Size of the weights, for planning loads from the weight store.
    weights_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Move:
    """A planned move of a route from one version to another."""

    #: Unique name.
    name: str

    #: Route that moves.
    route: RouteName

    #: Version that serves the route before the move.
    from_version: VersionName

    #: Version that serves the route after the move.
    to_version: VersionName

    #: Wall clock start, in seconds since the epoch.
    start_s: float

    #: Wall clock time by which the move is completed or rolled back.
    deadline_s: float

    #: Whether an operator cancelled the move.
    cancelled: bool = False


@dataclasses.dataclass(frozen=True)
class ConfigurationDocument:
    """Everything that operators decide, accepted or rejected as a whole."""

    #: Organisations, unique by name.
    organisations: tuple[Organisation, ...] = ()

    #: Routes, unique by name.
    routes: tuple[Route, ...] = ()

    #: Versions, unique by name.
    versions: tuple[Version, ...] = ()

    #: Planned moves, unique by name.
    moves: tuple[Move, ...] = ()


@dataclasses.dataclass(frozen=True)
class ActiveConfiguration:
    """The configuration in effect on one instance."""

    #: Revision in the object API; only rises. Zero means none yet.
    revision: int

    #: The document of that revision.
    document: ConfigurationDocument

    #: Wall clock time at which it took effect here.
    since_s: float
