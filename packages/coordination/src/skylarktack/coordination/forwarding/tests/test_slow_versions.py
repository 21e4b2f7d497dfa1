"""Tests of verdicts on versions of which a part of the responses is slow."""

from collections.abc import Callable
import math
import random

import pytest

from skylarktack import state
from skylarktack.coordination.forwarding import _latency_classes
from skylarktack.coordination.forwarding import _slow_responses
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data

SEEDS = tuple(range(8))

#: Number of moves to good versions, and of those that may be rolled back. Two
#: comparisons suspect a good version with a probability of 0.05 each.
GOOD_MOVE_COUNT = 40
MAX_REJECTED_COUNT = 4

#: Part of the last requests to the new version that makes it loaded.
LOADED_SHARE = 0.6


class _Noise:
    """Latencies with a log-normal spread and a few of five times as much."""

    def __init__(self, seed: int) -> None:
        self.draws = random.Random(seed)

    def __call__(
        self, target: data.ListedTarget, route: str, age_s: float
    ) -> float:
        work_ms = 14 * math.exp(self.draws.gauss(0, 0.47))
        if self.draws.random() < 0.01:
            work_ms *= 5
        return min(110.0, work_ms) + 8


class _PartlySlow:
    """The new version is slow for a part of the requests that qualify."""

    def __init__(
        self,
        seed: int,
        share: float,
        factor: float,
        from_s: float = 0.0,
        route: str | None = None,
    ) -> None:
        self._noise = _Noise(seed)
        self._share = share
        self._factor = factor
        self._from_s = from_s
        self._route = route

    def __call__(
        self, target: data.ListedTarget, route: str, age_s: float
    ) -> float:
        latency_ms = self._noise(target, route, age_s)
        if target.version != 'v2' or age_s < self._from_s:
            return latency_ms
        if self._route not in (None, route):
            return latency_ms
        if self._noise.draws.random() >= self._share:
            return latency_ms
        return latency_ms * self._factor


class _SlowUnderLoad:
    """The new version is slow while it gets most of the requests."""

    def __init__(self, seed: int) -> None:
        self._noise = _Noise(seed)
        self._recent_share = 0.0

    def __call__(
        self, target: data.ListedTarget, route: str, age_s: float
    ) -> float:
        latency_ms = self._noise(target, route, age_s)
        is_new = target.version == 'v2'
        self._recent_share += 0.2 * (is_new - self._recent_share)
        is_loaded = is_new and self._recent_share > LOADED_SHARE
        return latency_ms * (6 if is_loaded else 1)


class TestSlowVersions:
    """A version that is partly slow is rolled back, a good one completed."""

    @pytest.mark.parametrize(
        'make_behaviour',
        [
            lambda seed: _PartlySlow(seed, 0.5, 8),
            lambda seed: _PartlySlow(seed, 0.5, 5),
            lambda seed: _PartlySlow(seed, 0.3, 8),
            lambda seed: _PartlySlow(seed, 1.0, 3),
            lambda seed: _PartlySlow(seed, 0.5, 8, from_s=3.0),
            lambda seed: _PartlySlow(seed, 0.5, 8, from_s=10.5),
            lambda seed: _PartlySlow(seed, 0.5, 8, route='peek'),
            _SlowUnderLoad,
        ],
        ids=[
            'half of the responses',
            'half, five times slower',
            'three in ten',
            'all, three times slower',
            'after three seconds',
            'after the shift',
            'on one route',
            'under load',
        ],
    )
    @pytest.mark.parametrize('seed', SEEDS)
    def test_partly_slow_version_is_rolled_back(
        self,
        seed: int,
        make_behaviour: Callable[[int], move_harness.Behaviour],
    ) -> None:
        """Guards against slow responses that a comparison of means hides."""
        move_run = move_harness.make_move_run()
        move_run.run(make_behaviour(seed))
        assert move_run.writer.written[-1] is state.MovePhase.ROLLED_BACK
        assert move_run.sent_new <= 0.1 * move_run.request_count + 50

    def test_good_version_with_noise_is_completed(self) -> None:
        """Guards against taking the noise of latencies for a slow version."""
        rejected_count = 0
        for seed in range(GOOD_MOVE_COUNT):
            move_run = move_harness.make_move_run()
            move_run.run(_Noise(seed))
            rejected_count += (
                move_run.writer.written[-1] is state.MovePhase.ROLLED_BACK
            )
        assert rejected_count <= MAX_REJECTED_COUNT


class TestSuspendedInstance:
    """Responses that waited for an instance that was suspended."""

    @pytest.mark.parametrize('kind', ['response', 'abandoned', 'timeout'])
    def test_leave_no_evidence(self, kind: str) -> None:
        """Guards against a good version that is rolled back for them."""
        move_run = move_harness.make_move_run()
        env = move_run.env
        move_run.run(move_harness.healthy, until_s=9.0)
        target = move_harness.new_target('new-a')
        sent_at_s = env.clock.monotonic_s()
        env.clock.advance(2.0)
        env.suspensions.resumed_at_s = env.clock.monotonic_s()
        for _ in range(20):
            if kind == 'response':
                env.targets.report_response(target, 'book', 2000.0, False)
            elif kind == 'abandoned':
                env.targets.report_abandoned(target, 'book', sent_at_s)
            else:
                env.targets.report_timeout(target, 'book', sent_at_s)
        env.clock.advance(0.6)
        move_run.driver.step()
        assert move_run.writer.written[-1] is state.MovePhase.COMPLETED


class TestAbandonedAttempts:
    """Attempts whose response does not arrive before that of another."""

    def test_hedged_request_leaves_evidence(self) -> None:
        """Guards against a slow version whose requests are all hedged."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        for name in ('old-a', 'old-b'):
            env.client.script(
                name, *(harness.answer_script() for _ in range(200))
            )
        while not any(name.startswith('new') for name in env.client.sent_to()):
            env.call()
        (report,) = env.moves.reports('own')
        abandoned_count = 0
        for histogram in report.counts.latencies:
            if histogram.version == 'v2':
                abandoned_count += sum(histogram.abandoned_counts)
        assert abandoned_count == 1


def _histogram(
    version: str,
    latencies_ms: list[float],
    route: str = 'peek',
    is_response: bool = True,
) -> data.LatencyHistogram:
    total = data.LatencyHistogram(route, version)
    for latency_ms in latencies_ms:
        total = _latency_classes.add_histograms(
            total,
            _latency_classes.histogram_of(
                route, version, latency_ms, is_response
            ),
        )
    return total


def _compare(
    *latencies: data.LatencyHistogram,
) -> _slow_responses.SlowResponses:
    return _slow_responses.compare_slow_responses(latencies, 'v2')


class TestSlowResponses:
    """Evidence from counts of slow responses."""

    def test_responses_of_both_versions_are_counted(self) -> None:
        """Guards against a reason that does not match the evidence."""
        found = _compare(
            _histogram('v1', [20.0] * 98 + [100.0] * 2),
            _histogram('v2', [20.0] * 10 + [200.0] * 10),
        )
        assert found.log_evidence > math.log(1e4)
        assert str(found) == (
            '10 of 20 responses took 128 ms or more, with the old version '
            '0 of 100.'
        )

    def test_counts_of_a_good_version_cover_all_routes(self) -> None:
        """Guards against a log line about a route that nobody requested."""
        found = _compare(
            _histogram('v1', [20.0] * 90, 'book'),
            _histogram('v2', [20.0] * 9, 'book'),
            _histogram('v1', [20.0] * 5),
        )
        assert (found.new_count, found.old_count) == (9, 95)

    def test_abandoned_attempts_are_slow(self) -> None:
        """Guards against hedged requests that leave no evidence of a slow
        version.
        """
        found = _compare(
            _histogram('v1', [20.0] * 200),
            _histogram('v2', [20.0] * 8),
            _histogram('v2', [70.0] * 8, is_response=False),
        )
        assert found.log_evidence > math.log(1e4)
        assert (found.new_slow_count, found.new_count) == (8, 16)
        assert found.bound_ms <= 70

    def test_attempts_abandoned_early_show_nothing(self) -> None:
        """Guards against blaming a version for callers that leave early."""
        found = _compare(
            _histogram('v1', [20.0] * 200),
            _histogram('v2', [20.0] * 8),
            _histogram('v2', [2.0] * 8, is_response=False),
        )
        assert found.log_evidence <= 0

    def test_slow_route_is_not_hidden_by_others(self) -> None:
        """Guards against a slow route that the sum of the routes hides."""
        mixed = (
            _histogram('v1', [20.0] * 200 + [200.0] * 200, 'book'),
            _histogram('v2', [20.0] * 30 + [200.0] * 30, 'book'),
            _histogram('v1', [20.0] * 100),
        )
        slow = _compare(*mixed, _histogram('v2', [200.0] * 9))
        assert slow.log_evidence > math.log(1e4)
        assert slow.new_count == 9
        good = _compare(*mixed, _histogram('v2', [20.0] * 9))
        assert good.log_evidence < math.log(2)

    @pytest.mark.parametrize(
        'latencies',
        [
            (),
            (_histogram('v2', [20.0] * 9),),
            (_histogram('v1', [20.0] * 9),),
            (data.LatencyHistogram('peek', 'v2', (1,) * 90),),
        ],
    )
    def test_missing_version_shows_nothing(
        self, latencies: tuple[data.LatencyHistogram, ...]
    ) -> None:
        """Guards against a verdict without a comparison."""
        assert _compare(*latencies).log_evidence <= 0

    def test_good_version_is_rarely_suspected(self) -> None:
        """Guards against false suspicions when the evidence is evaluated
        again and again.
        """
        suspected_count = 0
        for seed in range(100):
            noise = _Noise(seed)
            new = _histogram('v2', [])
            old = _histogram('v1', [])
            target = harness.target('a')
            for _ in range(12):
                new = _latency_classes.add_histograms(
                    new,
                    _histogram('v2', [noise(target, '', 0) for _ in range(4)]),
                )
                old = _latency_classes.add_histograms(
                    old,
                    _histogram(
                        'v1', [noise(target, '', 0) for _ in range(40)]
                    ),
                )
                if _compare(new, old).log_evidence >= -math.log(0.05):
                    suspected_count += 1
                    break
        assert suspected_count <= 5


class TestLatencyClasses:
    """Classes of latencies, each the square root of two times as long."""

    @pytest.mark.parametrize(
        ('latency_ms', 'latency_class'),
        [
            (0.0, 0),
            (0.99, 0),
            (1.0, 1),
            (1.42, 2),
            (64.0, 13),
            (65_536.0, 33),
            (1e12, 33),
            (math.inf, 33),
        ],
    )
    def test_class_of_latency(
        self, latency_ms: float, latency_class: int
    ) -> None:
        """Guards against a latency that has no class."""
        assert _latency_classes.class_of(latency_ms) == latency_class
