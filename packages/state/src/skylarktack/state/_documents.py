"""The configuration document that operators submit."""

import dataclasses
import enum

from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RouteName
from skylarktack.state._names import VersionName


class RouteKind(enum.Enum):
    """Type of the targets behind a route."""

    GENERATION = 'generation'
    SERVICE = 'service'


class CallerLossPolicy(enum.Enum):
    """Handling of a generation whose caller has disconnected."""

    CANCEL = 'cancel'
    FINISH = 'finish'


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of an organisation or a route; None means unlimited."""

    #: Maximum concurrent requests in the deployment.
    concurrency_count: int | None = None

    #: Maximum rate of new requests in the deployment.
    rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """An organisation whose callers use the system."""

    #: Unique name.
    name: OrganisationName

    #: Hexadecimal SHA-256 of each API key of its callers.
    key_sha256: tuple[str, ...]

    #: Relative share of the capacity of a saturated route.
    weight: float = 1.0

    #: Priority passed to engines; lower numbers take precedence.
    priority: int = 10

    #: Total limits over all routes.
    limits: Limits = dataclasses.field(default_factory=Limits)


@dataclasses.dataclass(frozen=True)
class Route:
    """A named route under which callers reach a version."""

    #: Unique name, part of the path that callers request.
    name: RouteName

    kind: RouteKind

    #: Version that serves the route while no move is in progress.
    version: VersionName

    #: Whether calls are idempotent and may be executed more than once.
    repeatable: bool = True

    #: Organisations that may use the route; empty for all.
    organisations: tuple[OrganisationName, ...] = ()

    #: Total limits over all organisations.
    limits: Limits = dataclasses.field(default_factory=Limits)

    #: Maximum time that a request is queued for admission.
    queue_deadline_ms: int = 2000

    #: Maximum duration of one service call on a target.
    call_timeout_ms: int = 5000

    #: Handling of generations whose caller disconnects.
    caller_loss: CallerLossPolicy = CallerLossPolicy.CANCEL

    #: Time for which a finished or orphaned generation can be resumed.
    retention_ms: int = 60000

    #: Whether a failover may continue a generation on another version.
    failover_across_versions: bool = False


@dataclasses.dataclass(frozen=True)
class Version:
    """A version of a model or of a plain service."""

    #: Unique name.
    name: VersionName

    #: Must be the kind of each route that uses the version.
    kind: RouteKind

    #: Name of the weights in the weight store; empty for services.
    weights: str = ''

    #: Size of the weights, used to plan loads from the weight store.
    weights_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Move:
    """A move: a planned rollout of a route from one version to another."""

    #: Unique name.
    name: str

    route: RouteName

    #: Version that serves the route before the move.
    from_version: VersionName

    #: Version that serves the route after the move.
    to_version: VersionName

    #: Wall clock time of the start, in seconds since the epoch.
    start_s: float

    #: Wall clock time by which the move must be completed or rolled back, in
    #: seconds since the epoch.
    deadline_s: float

    #: Whether an operator cancelled the move.
    cancelled: bool = False


@dataclasses.dataclass(frozen=True)
class ConfigurationDocument:
    """The complete configuration, accepted or rejected as a whole."""

    #: Organisations, unique by name.
    organisations: tuple[Organisation, ...] = ()

    #: Routes, unique by name.
    routes: tuple[Route, ...] = ()

    #: Versions, unique by name.
    versions: tuple[Version, ...] = ()

    #: Planned moves, unique by name.
    moves: tuple[Move, ...] = ()


@dataclasses.dataclass(frozen=True, order=True)
class ConfigurationPosition:
    """A revision with the era of the object API in which it was accepted.

    A restored object API gives revisions out again. Each revision of a later
    era is newer than those of an earlier one.
    """

    era: int

    revision: int


@dataclasses.dataclass(frozen=True)
class ActiveConfiguration:
    """The active configuration of one instance."""

    #: Revision in the object API, which never decreases within an era; 0
    #: before the first.
    revision: int

    document: ConfigurationDocument

    #: Wall clock time at which this instance applied it, in seconds since the
    #: epoch.
    since_s: float

    #: Era of the object API in which the revision was accepted.
    era: int = 0

    @property
    def position(self) -> ConfigurationPosition:
        """Position by which it is compared with others."""
        return ConfigurationPosition(self.era, self.revision)
