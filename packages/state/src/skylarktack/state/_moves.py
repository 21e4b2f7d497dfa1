"""Planned moves: their durable record, settings and evidence."""

import dataclasses
import enum

from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._names import RouteName
from skylarktack.state._names import TargetName
from skylarktack.state._names import VersionName


class MovePhase(enum.Enum):
    """How far a move has come; the last two never change again."""

    PLANNED = 'planned'
    LOADING = 'loading'
    SHIFTING = 'shifting'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class MoveVerdict(enum.Enum):
    """What the evidence says of the new version."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True)
class MoveLease:
    """The right of one instance to drive a move."""

    #: Instance that drives.
    holder: InstanceName

    #: Rises with each new holder; orders to targets carry it.
    fencing_number: int

    #: Wall clock time after which another instance may take the lease.
    expires_s: float

    #: Wall clock time until which the previous holder's last order may
    #: still arrive at a target that ignores fencing numbers.
    quiet_until_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class MoveStep:
    """One entry of a move's history."""

    #: Wall clock time of the step.
    at_s: float

    #: Instance that made it.
    holder: InstanceName

    #: Phase after the step.
    phase: MovePhase

    #: Share of requests for the new version after the step.
    share: float

    #: One sentence that says why.
    reason: str


@dataclasses.dataclass(frozen=True)
class MoveRecord:
    """The object ``moves/<name>`` of the object API."""

    #: Name of the move in the configuration document.
    name: str

    #: Route that moves.
    route: RouteName

    #: Version that serves the route before the move.
    from_version: VersionName

    #: Version that serves the route after the move.
    to_version: VersionName

    #: Wall clock start.
    start_s: float

    #: Wall clock time by which the move is completed or rolled back.
    deadline_s: float

    #: Revision of the configuration that the last step was based on.
    configuration_revision: int

    #: Who drives.
    lease: MoveLease

    #: How far the move has come.
    phase: MovePhase = MovePhase.PLANNED

    #: Share of requests for the new version, from 0 to 1.
    share: float = 0.0

    #: Index of the share in ``MoveSettings.shares``; evidence is counted
    #: afresh for each stage. Negative before the first.
    stage: int = -1

    #: Wall clock time at which the stage began.
    stage_since_s: float = 0.0

    #: What the evidence says.
    verdict: MoveVerdict = MoveVerdict.OPEN

    #: One sentence for the verdict or the end.
    reason: str = ''

    #: Wall clock time of the last write, renewals of the lease included.
    updated_s: float = 0.0

    #: Steps, oldest first; renewals are not steps.
    history: tuple[MoveStep, ...] = ()

    @property
    def ended(self) -> bool:
        """Whether the move is completed or rolled back."""
        return self.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class MoveSettings:
    """How moves are driven and judged."""

    #: Life of a lease without a renewal.
    lease_ms: int = 2500

    #: Time between renewals.
    renew_ms: int = 800

    #: Time between two steps of a driver and between evidence reports.
    step_ms: int = 500

    #: Time between reads of all records, in case the watch is silent.
    read_interval_ms: int = 5000

    #: Largest accepted difference between two instances' wall clocks.
    clock_allowance_ms: int = 500

    #: Longest wait for a target's answer to an order. No order is sent that
    #: could outlast the lease, so it must be shorter than the lease.
    order_timeout_ms: int = 1000

    #: Age of a record beyond which it raises no share.
    record_age_limit_ms: int = 10_000

    #: Shares of requests for the new version, one for each stage.
    shares: tuple[float, ...] = (0.01, 0.05, 0.25, 0.5, 0.9)

    #: Largest share before the evidence gave a verdict.
    unjudged_share: float = 0.05

    #: Attempts on each of the two versions without which no stage from the
    #: last unjudged one on is passed.
    judged_attempt_count: int = 150

    #: Time of the last stage before the verdict, as a part of the time
    #: from the end of the first load to the deadline.
    soak_ratio: float = 0.3

    #: Time of each later stage, as a part of the same time.
    stage_ratio: float = 0.08

    #: Shortest time of any stage.
    stage_floor_ms: int = 2000

    #: Longest time of the stage before the verdict.
    soak_ceiling_ms: int = 600_000

    #: Time reserved before the deadline for the last write.
    deadline_margin_ms: int = 3000

    #: Bytes that the weight store delivers a second to all targets.
    weight_store_bytes_per_s: float = 2e9

    #: Part of a version's targets that must have loaded before the share
    #: passes the unjudged one.
    loaded_ratio: float = 0.8

    #: Chance that combined evidence rejects a good version in one stage.
    rejection_probability: float = 1e-4

    #: Chance that combined evidence keeps a good version's share from
    #: rising for a while, in one stage.
    suspicion_probability: float = 0.05

    #: The same as ``rejection_probability`` for one instance alone.
    own_rejection_probability: float = 1e-6

    #: Slowdown that is not held against a version, as a factor.
    tolerated_slowdown: float = 1.15


@dataclasses.dataclass(frozen=True)
class LatencySums:
    """Sums of the natural logarithms of latencies in milliseconds."""

    #: Number of values.
    count: int = 0

    #: Sum of the logarithms.
    log_sum: float = 0.0

    #: Sum of their squares.
    log_square_sum: float = 0.0


@dataclasses.dataclass(frozen=True)
class EvidenceRow:
    """Counts for one version on the targets of one failure domain."""

    #: The version.
    version: VersionName

    #: Failure domain of the targets.
    failure_domain: FailureDomain

    #: Finished attempts, cancelled ones excluded.
    attempt_count: int = 0

    #: Attempts that failed, lost connections excluded.
    error_count: int = 0

    #: Attempts whose output was cut short.
    truncated_count: int = 0

    #: Attempts whose connection was lost.
    lost_count: int = 0

    #: Up to two targets on which connections were lost.
    lost_targets: tuple[TargetName, ...] = ()

    #: Time to the first token.
    first_token: LatencySums = dataclasses.field(default_factory=LatencySums)

    #: Time between tokens.
    inter_token: LatencySums = dataclasses.field(default_factory=LatencySums)


@dataclasses.dataclass(frozen=True)
class EvidenceReport:
    """Everything that one instance saw of a move in its present stage."""

    #: Name of the move.
    move: str

    #: Stage to which the counts belong.
    stage: int

    #: Instance that counted.
    instance: InstanceName

    #: Counts since the stage began; a later report replaces an earlier one.
    rows: tuple[EvidenceRow, ...]

    #: Why the instance stopped sending to the new version; empty if not.
    stopped: str = ''


@dataclasses.dataclass(frozen=True)
class MoveNotice:
    """A record that its driver wrote, passed on to peers."""

    #: Version of the object.
    version: int

    #: The record.
    record: MoveRecord


@dataclasses.dataclass(frozen=True)
class MoveStop:
    """A driver's finding that a version is bad, ahead of its write."""

    #: Name of the move.
    move: str

    #: Fencing number of the driver.
    fencing_number: int

    #: One sentence.
    reason: str
