"""Records, settings and evidence of moves.

A move is a planned rollout of a route from one version to another.
"""

import dataclasses
import enum

from skylarktack.state._documents import ConfigurationPosition
from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._names import RouteName
from skylarktack.state._names import TargetName
from skylarktack.state._names import VersionName


class MovePhase(enum.Enum):
    """Progress of a move; the last two phases are final."""

    PLANNED = 'planned'
    LOADING = 'loading'
    SHIFTING = 'shifting'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class MoveVerdict(enum.Enum):
    """Verdict on the new version, based on the evidence."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True)
class MoveLease:
    """Lease under which one instance drives a move."""

    holder: InstanceName

    #: Increases with each new holder; sent with each command to a target. In
    #: later eras of the store it exceeds all numbers of earlier ones.
    fencing_number: int

    #: Wall clock time after which another instance may acquire the lease.
    expires_s: float

    #: Wall clock time until which the last command of the previous holder
    #: may still arrive at a target that does not check fencing numbers.
    quiet_until_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class MoveStep:
    """One entry of a move's history."""

    #: Wall clock time.
    at_s: float

    #: Instance that drove the move.
    holder: InstanceName

    phase: MovePhase

    #: Fraction of requests for the new version after the step.
    share: float

    #: Human-readable reason.
    reason: str


@dataclasses.dataclass(frozen=True)
class MoveRecord:
    """State of a move, stored as the object ``moves/<name>``."""

    #: Name of the move in the configuration document.
    name: str

    route: RouteName

    #: Version that serves the route before the move.
    from_version: VersionName

    #: Version that serves the route after the move.
    to_version: VersionName

    #: Wall clock time of the planned start.
    start_s: float

    #: Wall clock time by which the move must be completed or rolled back.
    deadline_s: float

    #: Configuration revision on which the last step was based.
    configuration_revision: int

    lease: MoveLease

    phase: MovePhase = MovePhase.PLANNED

    #: Fraction of requests for the new version, from 0 to 1.
    share: float = 0.0

    #: Index of the share in ``MoveSettings.shares``; -1 before the first
    #: stage. The evidence is counted separately for each stage.
    stage: int = -1

    #: Wall clock time at which the stage began.
    stage_since_s: float = 0.0

    verdict: MoveVerdict = MoveVerdict.OPEN

    #: Human-readable reason for the verdict or the final phase.
    reason: str = ''

    #: Wall clock time of the last write, lease renewals included.
    updated_s: float = 0.0

    #: Steps, oldest first; without lease renewals.
    history: tuple[MoveStep, ...] = ()

    #: Era of the configuration revision.
    configuration_era: int = 0

    @property
    def configuration_position(self) -> ConfigurationPosition:
        """Position of the configuration on which the last step was based."""
        return ConfigurationPosition(
            self.configuration_era, self.configuration_revision
        )

    @property
    def ended(self) -> bool:
        """Whether the phase is final."""
        return self.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class MoveSettings:
    """Settings of the driver and of the verdict of moves."""

    #: Duration of a lease after a renewal.
    lease_ms: int = 2500

    #: Interval between lease renewals.
    renew_ms: int = 800

    #: Interval between two steps of a driver and between evidence reports.
    step_ms: int = 500

    #: Interval between reads of all records, in case the watch stalls.
    read_interval_ms: int = 5000

    #: Maximum tolerated difference between the wall clocks of two instances.
    clock_allowance_ms: int = 500

    #: Maximum wait for a target's response to a command. Must be shorter than
    #: the lease, since no command is sent that could outlive the lease.
    order_timeout_ms: int = 1000

    #: Maximum age of a record on which a share may be raised.
    record_age_limit_ms: int = 10_000

    #: Fraction of requests for the new version at each stage.
    shares: tuple[float, ...] = (0.01, 0.05, 0.25, 0.5, 0.9)

    #: Maximum share before there is a verdict.
    unjudged_share: float = 0.05

    #: Minimum attempts on each of the two versions to advance from the last
    #: stage before the verdict and from each later stage.
    judged_attempt_count: int = 150

    #: Duration of the last stage before the verdict, as a fraction of the
    #: time from the end of the first load to the deadline.
    soak_ratio: float = 0.3

    #: Duration of each later stage, as a fraction of the same time.
    stage_ratio: float = 0.08

    #: Minimum duration of a stage.
    stage_floor_ms: int = 2000

    #: Maximum duration of the last stage before the verdict.
    soak_ceiling_ms: int = 600_000

    #: Time reserved before the deadline for the last write.
    deadline_margin_ms: int = 3000

    #: Total bandwidth of the weight store for all targets.
    weight_store_bytes_per_s: float = 2e9

    #: Fraction of a version's targets that must have loaded it before the
    #: share may exceed ``unjudged_share``.
    loaded_ratio: float = 0.8

    #: Probability that the combined evidence rejects a good version in one
    #: stage.
    rejection_probability: float = 1e-4

    #: Probability that the combined evidence temporarily keeps the share of a
    #: good version from rising in one stage.
    suspicion_probability: float = 0.05

    #: As ``rejection_probability``, for the evidence of a single instance.
    own_rejection_probability: float = 1e-6

    #: Latency ratio up to which a slower version is still good.
    tolerated_slowdown: float = 1.15


@dataclasses.dataclass(frozen=True)
class LatencySums:
    """Sums over the natural logarithms of latencies in milliseconds."""

    count: int = 0

    log_sum: float = 0.0

    #: Sum of the squares of the logarithms.
    log_square_sum: float = 0.0


@dataclasses.dataclass(frozen=True)
class EvidenceRow:
    """Outcome counts of one version on the targets of a failure domain."""

    version: VersionName

    failure_domain: FailureDomain

    #: Finished attempts, without cancelled ones.
    attempt_count: int = 0

    #: Failed attempts, without lost connections.
    error_count: int = 0

    #: Attempts with truncated output.
    truncated_count: int = 0

    lost_count: int = 0

    #: Up to two targets on which connections were lost.
    lost_targets: tuple[TargetName, ...] = ()

    first_token: LatencySums = dataclasses.field(default_factory=LatencySums)

    inter_token: LatencySums = dataclasses.field(default_factory=LatencySums)


@dataclasses.dataclass(frozen=True)
class EvidenceReport:
    """Evidence of one instance about a move in its current stage."""

    move: str

    #: Stage to which the counts belong.
    stage: int

    instance: InstanceName

    #: Counts since the start of the stage; a later report replaces an
    #: earlier one.
    rows: tuple[EvidenceRow, ...]

    #: Why the instance stopped sending to the new version; empty if it did
    #: not.
    stopped: str = ''


@dataclasses.dataclass(frozen=True)
class MoveNotice:
    """A record that its driver has written, sent to peers."""

    #: Version of the stored object.
    version: int

    record: MoveRecord

    #: Era of the store in which it was written.
    era: int = 0


@dataclasses.dataclass(frozen=True)
class MoveStop:
    """A driver's verdict that a version is bad, sent before it is stored."""

    move: str

    #: Fencing number of the driver.
    fencing_number: int

    #: Human-readable reason.
    reason: str
