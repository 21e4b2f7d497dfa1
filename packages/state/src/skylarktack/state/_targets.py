"""Targets and entry instances of the platform's list; outcomes."""

import dataclasses
import enum

from skylarktack.state._addresses import Address
from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RouteName
from skylarktack.state._names import TargetName
from skylarktack.state._names import VersionName


class TargetKind(enum.Enum):
    """Type of a target."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True)
class Target:
    """One replica of a model engine or of a plain service."""

    name: TargetName

    kind: TargetKind

    address: Address

    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Versions that it currently serves.
    versions: tuple[VersionName, ...]

    #: Whether it is draining: it is being removed and may receive no new
    #: requests.
    leaving: bool = False

    #: Wall clock time by which a draining target stops, in seconds since the
    #: epoch; None if it is not draining.
    leave_deadline_s: float | None = None

    #: Whether it refuses commands with a stale fencing number.
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One entry instance in the platform's list, which lags."""

    name: InstanceName

    #: Where it accepts connections of peers.
    peer_address: Address

    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Whether it is being removed.
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class PlatformList:
    """The platform's list of live and leaving replicas; it lags."""

    #: Model engines and plain services.
    targets: tuple[Target, ...]

    #: Entry instances of this deployment.
    instances: tuple[ListedInstance, ...]


class OutcomeKind(enum.Enum):
    """How one attempt on a target ended."""

    SUCCESS = 'success'
    ERROR = 'error'
    CONNECTION_LOST = 'connection_lost'

    #: No response in time. The value is part of a metric's name.
    UNRESPONSIVE = 'silent'

    TRUNCATED = 'truncated'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'

    #: Refused because the target is draining.
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True)
class TargetOutcome:
    """Outcome of one finished attempt on one target."""

    target: TargetName

    route: RouteName

    version: VersionName

    organisation: OrganisationName

    kind: OutcomeKind

    #: Time to the first token or byte; None if none arrived.
    first_token_ms: float | None

    #: Mean time between tokens; None for fewer than two tokens.
    inter_token_ms: float | None

    #: Time from the dispatch to the end of the attempt.
    duration_ms: float

    #: Tokens received in this attempt.
    token_count: int = 0
