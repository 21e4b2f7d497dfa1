"""Targets and entry instances as the platform lists them."""

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
    """What a target serves."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True)
class Target:
    """One model engine or plain service replica."""

    #: Unique name.
    name: TargetName

    #: What it serves.
    kind: TargetKind

    #: Where it listens.
    address: Address

    #: Its failure domain.
    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Versions it can serve at present.
    versions: tuple[VersionName, ...]

    #: Whether it is being removed and may receive no new work.
    leaving: bool = False

    #: Wall clock time by which a leaving target stops, in seconds since the
    #: epoch, or None if it is not leaving.
    leave_deadline_s: float | None = None

    #: Whether it refuses orders that carry an old fencing number.
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One entry instance in the platform's lagging list."""

    #: Unique name.
    name: InstanceName

    #: Where it accepts peers.
    peer_address: Address

    #: Its failure domain.
    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Whether it is being removed.
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class PlatformList:
    """The platform's list of live and leaving instances; it lags."""

    #: Model engines and plain services.
    targets: tuple[Target, ...]

    #: Entry instances of this system.
    instances: tuple[ListedInstance, ...]


class OutcomeKind(enum.Enum):
    """How one attempt on a target ended."""

    SUCCESS = 'success'
    ERROR = 'error'
    CONNECTION_LOST = 'connection_lost'
    SILENT = 'silent'
    TRUNCATED = 'truncated'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'

    #: The target refused because it takes no new work.
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True)
class TargetOutcome:
    """Evidence from one finished attempt on one target."""

    #: The target.
    target: TargetName

    #: The route of the request.
    route: RouteName

    #: The version that served it.
    version: VersionName

    #: The organisation of the caller.
    organisation: OrganisationName

    #: How it ended.
    kind: OutcomeKind

    #: Time to the first token or byte, or None if none arrived.
    first_token_ms: float | None

    #: Mean time between tokens, or None for fewer than two tokens.
    inter_token_ms: float | None

    #: Time from dispatch to the end.
    duration_ms: float

    #: Tokens received in this attempt.
    token_count: int = 0
