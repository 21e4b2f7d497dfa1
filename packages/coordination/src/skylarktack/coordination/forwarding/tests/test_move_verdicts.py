"""Verdicts on moved versions, from the order to the record."""

import pytest

from skylarktack import state
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data


class _Failing:
    """The new version fails every third call from some time on."""

    def __init__(self, from_s: float) -> None:
        self._from_s = from_s
        self._count = 0

    def __call__(
        self, target: data.ListedTarget, route: str, age_s: float
    ) -> float | None:
        if target.version == 'v2' and age_s >= self._from_s:
            self._count += 1
            if self._count % 3 == 0:
                return None
        return move_harness.good(target, route, age_s)


def _slow(target: data.ListedTarget, route: str, age_s: float) -> float | None:
    latency_ms = move_harness.good(target, route, age_s)
    assert latency_ms is not None
    return latency_ms * (4 if target.version == 'v2' else 1)


def _slow_on_one_route(
    target: data.ListedTarget, route: str, age_s: float
) -> float | None:
    serve = _slow if route == 'peek' else move_harness.good
    return serve(target, route, age_s)


class _FailingOnOneRoute:
    """Both versions fail some bookings; the new one fails lookups too."""

    def __init__(self) -> None:
        self._count = 0

    def __call__(
        self, target: data.ListedTarget, route: str, age_s: float
    ) -> float | None:
        self._count += 1
        if route == 'book':
            is_failed = self._count % 9 == 0
        else:
            is_failed = target.version == 'v2' and self._count % 2 == 0
        return None if is_failed else move_harness.good(target, route, age_s)


def _failing_domain(
    target: data.ListedTarget, route: str, age_s: float
) -> float | None:
    """Fails each call in the only domain of the new version."""
    return (
        None
        if target.failure_domain == 'domain-a'
        else move_harness.good(target, route, age_s)
    )


class TestVerdict:
    """Good versions are completed in time; bad ones are taken back."""

    def test_a_good_version_is_completed(self) -> None:
        """Guards against a good version that misses its time limit."""
        trial = move_harness.trial()
        trial.run(move_harness.good)
        assert trial.writer.written == [
            state.MovePhase.SHIFTING,
            state.MovePhase.COMPLETED,
        ]

    @pytest.mark.parametrize(
        'behaviour',
        [
            _Failing(0.0),
            _Failing(4.0),
            _slow,
        ],
        ids=['fails at once', 'fails later', 'slow'],
    )
    def test_a_bad_version_is_taken_back(
        self, behaviour: move_harness.Behaviour
    ) -> None:
        """Guards against a bad version that gets more than its share."""
        trial = move_harness.trial()
        trial.run(behaviour)
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK
        assert trial.sent_new <= 0.1 * trial.request_count + 50
        assert trial.failed_new < 50

    @pytest.mark.parametrize(
        'behaviour',
        [_slow_on_one_route, _FailingOnOneRoute()],
        ids=['slow', 'fails'],
    )
    def test_a_version_that_is_bad_on_a_rare_route(
        self, behaviour: move_harness.Behaviour
    ) -> None:
        """Guards against a bad version that hides in the sums of a service.

        One request in ten takes the route; judged by the sums alone, both
        versions are completed.
        """
        trial = move_harness.trial()
        trial.rate_per_s = 130.0
        trial.routes = move_harness.ROUTES_WITH_A_RARE_ONE
        trial.run(behaviour)
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK
        assert trial.sent_new <= 0.1 * trial.request_count + 50

    def test_routes_that_differ_reject_no_version(self) -> None:
        """Guards against a route's own pace that counts as a difference."""
        trial = move_harness.trial()
        trial.rate_per_s = 130.0
        trial.routes = move_harness.ROUTES_WITH_A_RARE_ONE
        trial.run(move_harness.good)
        assert trial.writer.written[-1] is state.MovePhase.COMPLETED

    def test_without_evidence_nothing_is_completed(self) -> None:
        """Guards against a version that no request has tried."""
        trial = move_harness.trial()
        for _ in range(60):
            trial.desk.clock.advance(0.2)
            trial.driver.step()
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK

    def test_a_version_that_never_works_is_not_completed(self) -> None:
        """A version whose attempts all fail, beside an old target that
        fails as well, is not taken as proven for want of a difference.
        """
        desk = harness.make_harness(
            harness.target('old-a'),
            harness.target('old-b', 'domain-b'),
            move_harness.new('new-a'),
        )
        trial = move_harness.trial(desk)
        trial.run(_failing_domain)
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK
        assert trial.failed_new < 50

    def test_a_store_that_is_away_delays_only_the_record(self) -> None:
        """Guards against traffic to a bad version while nobody can write."""
        trial = move_harness.trial()
        trial.writer.is_away = True
        trial.run(_Failing(0.0))
        assert trial.failed_new < 50
        assert not trial.writer.written
        trial.writer.is_away = False
        trial.run(move_harness.good, 1.0)
        assert trial.writer.written == [state.MovePhase.ROLLED_BACK]
