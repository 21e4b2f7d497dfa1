"""Traffic of seeded moves and the behaviour of the new version."""

import dataclasses
import enum
import math
import random

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import moves

#: Standard deviation of the logarithm of latencies.
LOG_DEVIATION = 0.4

#: Failures of a healthy version, as a share of attempts.
HEALTHY_FAILURES = 0.002

#: Median time to the first token of a healthy version.
FIRST_TOKEN_MS = 300.0

#: Median time between tokens of a healthy version.
INTER_TOKEN_MS = 40.0


class MoveKind(enum.Enum):
    """How the new version or its surroundings behave."""

    GOOD = 'good'
    BOTH_SLOW = 'good_both_slow'
    DOMAIN_LOST = 'good_domain_lost'
    STORE_DOWN = 'good_store_down'
    FAILS_AT_ONCE = 'bad_fails_at_once'
    FAILS_LATER = 'bad_fails_later'
    SLOW_AT_ONCE = 'bad_slow_at_once'
    SLOW_LATER = 'bad_slow_later'
    UNDER_LOAD = 'bad_under_load'
    ONE_ROUTE = 'bad_one_route'
    SMALL_LOAD = 'bad_small_load'

    @property
    def is_good(self) -> bool:
        """Whether the version should be completed."""
        return self.value.startswith('good')


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """Seeded behaviour of one move."""

    #: Kind of the move.
    kind: MoveKind

    #: Failures of the new version while it is bad.
    failure_ratio: float

    #: Slowdown of the new version while it is bad.
    slow_factor: float

    #: Whether the slowdown is in the first token rather than between them.
    slow_first: bool

    #: Time from the first share to the onset.
    onset_s: float

    #: Load of a new target, relative to a normal one, above which it is
    #: bad.
    load_limit: float

    #: Requests a second.
    rate_per_s: float


def behaviour_of(kind: MoveKind, draw: random.Random) -> Behaviour:
    """Draw the behaviour of one move."""
    fails = kind in (MoveKind.FAILS_AT_ONCE, MoveKind.FAILS_LATER)
    slow = kind in (MoveKind.SLOW_AT_ONCE, MoveKind.SLOW_LATER)
    either = not fails and draw.random() < 0.5
    later = kind in (MoveKind.FAILS_LATER, MoveKind.SLOW_LATER)
    limit = 0.0
    if kind is MoveKind.UNDER_LOAD:
        limit = draw.uniform(0.1, 0.45)
    if kind is MoveKind.SMALL_LOAD:
        limit = draw.uniform(0.55, 0.85)
    return Behaviour(
        kind=kind,
        failure_ratio=HEALTHY_FAILURES
        if slow or either
        else draw.uniform(0.1, 1.0),
        slow_factor=draw.uniform(1.5, 4.0) if slow or either else 1.0,
        slow_first=draw.random() < 0.5,
        onset_s=draw.uniform(1.0, 18.0) if later else 0.0,
        load_limit=limit,
        rate_per_s=draw.uniform(240.0, 400.0),
    )


class Traffic:
    """Feeds each instance's collector with outcomes of one tick."""

    def __init__(
        self,
        simulation: fakes.MoveSimulation,
        behaviour: Behaviour,
        draw: random.Random,
    ) -> None:
        self._simulation = simulation
        self._behaviour = behaviour
        self._draw = draw
        self._domain_count = simulation.shape.failure_domain_count
        self.new_counts: dict[str, int] = {}
        self.was_bad = False
        self.both_slow = False
        self.lost_domain = -1

    def serve(self, name: str, duration_s: float, shifting_s: float) -> None:
        """Serve a route on all instances for one tick.

        :param shifting_s: time since the first share.
        """
        behaviour = self._behaviour
        rate = behaviour.rate_per_s / len(self._simulation.instances)
        mean = rate * duration_s / self._domain_count
        self.new_counts[name] = 0
        if name == 'digest':
            self.was_bad = False
        for instance in self._simulation.instances.values():
            share = instance.part.table.share(name)
            bad = self._is_bad(name, share, shifting_s)
            for domain in range(self._domain_count):
                total = self._rounded(mean)
                new = self._binomial(total, share)
                self.new_counts[name] += new
                collector = instance.part.collector
                if total - new:
                    collector.add(name, self._row('1', domain, total - new))
                if new:
                    self.was_bad = self.was_bad or bad
                    collector.add(name, self._row('2', domain, new, bad))

    def _is_bad(self, name: str, share: float, shifting_s: float) -> bool:
        behaviour = self._behaviour
        if behaviour.kind.is_good or shifting_s < behaviour.onset_s:
            return False
        if behaviour.kind is MoveKind.ONE_ROUTE:
            return name == 'digest'
        targets = self._simulation.shape.target_count
        serving = targets if share > 0.05 else moves.FIRST_WAVE_COUNT
        return share * targets / serving >= behaviour.load_limit

    def _row(
        self, version: str, domain: int, count: int, bad: bool = False
    ) -> state.EvidenceRow:
        behaviour = self._behaviour
        lost = domain == self.lost_domain
        ratio = behaviour.failure_ratio if bad else HEALTHY_FAILURES
        failed = count if lost else self._binomial(count, ratio)
        answered = count - failed
        common = 3.0 if self.both_slow else 1.0
        first = between = common
        if bad and behaviour.slow_first:
            first *= behaviour.slow_factor
        if bad and not behaviour.slow_first:
            between *= behaviour.slow_factor
        engine = state.TargetName(f'engine-{domain}')
        return state.EvidenceRow(
            version=state.VersionName(f'model-{version}'),
            failure_domain=state.FailureDomain(f'domain-{domain}'),
            attempt_count=count,
            error_count=0 if lost else failed,
            lost_count=failed if lost else 0,
            lost_targets=(engine,) if lost else (),
            first_token=self._sums(answered, FIRST_TOKEN_MS * first),
            inter_token=self._sums(answered, INTER_TOKEN_MS * between),
        )

    def _sums(self, count: int, median_ms: float) -> state.LatencySums:
        if not count:
            return state.LatencySums()
        # Mean and variance of normal values are independent, so that two
        # draws replace one for each value.
        mean = self._draw.gauss(
            math.log(median_ms), LOG_DEVIATION / count**0.5
        )
        squares = 0.0
        if count > 1:
            squares = self._draw.gammavariate(
                (count - 1) / 2, 2 * LOG_DEVIATION * LOG_DEVIATION
            )
        return state.LatencySums(
            count, mean * count, squares + mean * mean * count
        )

    def _binomial(self, count: int, probability: float) -> int:
        """Draw the number of hits by the gaps between them."""
        if probability <= 0.0:
            return 0
        if probability >= 1.0:
            return count
        if probability > 0.5:
            return count - self._binomial(count, 1 - probability)
        scale = math.log(1 - probability)
        hits = 0
        place = 0
        while True:
            drawn = 1.0 - self._draw.random()
            place += int(math.log(drawn) / scale) + 1
            if place > count:
                return hits
            hits += 1

    def _rounded(self, mean: float) -> int:
        whole = int(mean)
        return whole + (1 if self._draw.random() < mean - whole else 0)
