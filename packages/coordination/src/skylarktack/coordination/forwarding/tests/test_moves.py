"""Planned moves: share, evidence, verdict, record."""

from collections.abc import Callable
import dataclasses
import random

import pytest

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import bed
from skylarktack.state import forwarding as data

DURATION_S = 12.0
RATE_PER_S = 40.0

#: Routes of ten requests, and with a rare one among them.
ROUTES = ('book',) * 7 + ('peek',) * 3
ROUTES_WITH_A_RARE_ONE = ('book',) * 9 + ('peek',)

#: Latency of a call by target, route and time since the order, or None if it
#: fails.
Behaviour = Callable[[data.ListedTarget, str, float], float | None]


def _order(
    revision: int = 5, phase: state.MovePhase = state.MovePhase.PLANNED
) -> data.MoveOrder:
    return data.MoveOrder('pool', 'v2', DURATION_S, revision, phase)


def _new(name: str, domain: str = 'domain-a') -> data.ListedTarget:
    return dataclasses.replace(bed.target(name, domain), version='v2')


def _desk() -> bed.Bed:
    desk = bed.make(
        bed.target('old-a'),
        bed.target('old-b', 'domain-b'),
        _new('new-a'),
        _new('new-b', 'domain-b'),
    )
    # What a driver does that knows of no other instance.
    desk.moves.set_layout(forwarding.MoveLayout('instance-0', 1))
    return desk


class _Writer:
    """Records phases like the store; may be away."""

    def __init__(self) -> None:
        self.order = _order()
        self.written: list[state.MovePhase] = []
        self.is_away = False

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        if self.is_away:
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.UNAVAILABLE, 'away'
            )
        if order.revision == self.order.revision:
            self.written.append(phase)
            self.order = dataclasses.replace(
                self.order, phase=phase, revision=self.order.revision + 1
            )
        return data.MoveChange('pool', self.order)


@dataclasses.dataclass
class _Trial:
    """One instance that serves calls while a move is under way."""

    desk: bed.Bed
    writer: _Writer
    link: bed.RecordingLink
    driver: forwarding.MoveDriver
    sent_new: int = 0
    request_count: int = 0
    failed_new: int = 0
    rate_per_s: float = RATE_PER_S
    routes: tuple[str, ...] = ROUTES
    draws: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(3)
    )

    def run(self, behaviour: Behaviour, until_s: float = DURATION_S) -> None:
        """Serve requests at a steady rate."""
        desk = self.desk
        start_s = desk.clock.monotonic_s()
        while desk.clock.monotonic_s() - start_s < until_s:
            age_s = desk.clock.monotonic_s() - start_s
            rule = desk.moves.draw('pool')
            target = desk.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            self.request_count += 1
            desk.targets.begin(target)
            route = self.draws.choice(self.routes)
            latency_ms = behaviour(target, route, age_s)
            if target.version == 'v2':
                self.sent_new += 1
                self.failed_new += latency_ms is None
            desk.targets.report_answer(
                target, route, latency_ms or 20.0, latency_ms is None
            )
            desk.targets.end(target)
            desk.clock.advance(1 / self.rate_per_s)
            self.driver.step()


def _trial(
    desk: bed.Bed | None = None,
    listed: tuple[data.ListedPeer, ...] | None = (),
) -> _Trial:
    """Return an instance on trial.

    :param listed: the other instances in the store's list, or None if it was
        not read.
    """
    desk = desk or _desk()
    desk.moves.set_layout(forwarding.MoveLayout())
    if listed is not None:
        desk.fleet.add_peers(listed)
    writer = _Writer()
    link = bed.RecordingLink()
    desk.moves.apply(data.MoveChange('pool', writer.order))
    driver = forwarding.MoveDriver(
        desk.clock, desk.log, desk.moves, desk.fleet, link, writer
    )
    return _Trial(desk, writer, link, driver)


def _good(target: data.ListedTarget, route: str, age_s: float) -> float | None:
    """Serves each route at its own pace."""
    base_ms = 60.0 if route == 'book' else 20.0
    return base_ms + 5 * ((age_s * 1000) % 7)


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
        return _good(target, route, age_s)


def _slow(target: data.ListedTarget, route: str, age_s: float) -> float | None:
    latency_ms = _good(target, route, age_s)
    assert latency_ms is not None
    return latency_ms * (4 if target.version == 'v2' else 1)


def _slow_on_one_route(
    target: data.ListedTarget, route: str, age_s: float
) -> float | None:
    serve = _slow if route == 'peek' else _good
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
        return None if is_failed else _good(target, route, age_s)


def _failing_domain(
    target: data.ListedTarget, route: str, age_s: float
) -> float | None:
    """Fails each call in the only domain of the new version."""
    return (
        None
        if target.failure_domain == 'domain-a'
        else _good(target, route, age_s)
    )


class TestVerdict:
    """Good versions are completed in time; bad ones are taken back."""

    def test_a_good_version_is_completed(self) -> None:
        """Guards against a good version that misses its time limit."""
        trial = _trial()
        trial.run(_good)
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
    def test_a_bad_version_is_taken_back(self, behaviour: Behaviour) -> None:
        """Guards against a bad version that gets more than its share."""
        trial = _trial()
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
        self, behaviour: Behaviour
    ) -> None:
        """Guards against a bad version that hides in the sums of a service.

        One request in ten takes the route; judged by the sums alone, both
        versions are completed.
        """
        trial = _trial()
        trial.rate_per_s = 130.0
        trial.routes = ROUTES_WITH_A_RARE_ONE
        trial.run(behaviour)
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK
        assert trial.sent_new <= 0.1 * trial.request_count + 50

    def test_routes_that_differ_reject_no_version(self) -> None:
        """Guards against a route's own pace that counts as a difference."""
        trial = _trial()
        trial.rate_per_s = 130.0
        trial.routes = ROUTES_WITH_A_RARE_ONE
        trial.run(_good)
        assert trial.writer.written[-1] is state.MovePhase.COMPLETED

    def test_more_routes_than_are_told_apart(self) -> None:
        """Guards against reports that grow with the routes of a service."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        for number in range(20):
            for _ in range(2):
                desk.moves.observe(
                    _new('new-a'),
                    f'r-{number}',
                    state.OutcomeKind.SUCCESS,
                    9.0,
                )
        (report,) = desk.moves.reports('instance-0')
        routes = {evidence.route for evidence in report.counts.rows}
        assert routes == {'', 'r-0', 'r-1', 'r-2', 'r-3'}
        attempts = [
            evidence.row.attempt_count for evidence in report.counts.rows
        ]
        assert sum(attempts) == 40
        # Another instance keeps the same routes apart, in whatever order it
        # hears of them.
        other = _desk()
        other.moves.apply(data.MoveChange('pool', _order()))
        folded_first = sorted(report.counts.rows, key=lambda each: each.route)
        other.moves.take_report(
            dataclasses.replace(
                report,
                counts=dataclasses.replace(
                    report.counts, rows=tuple(folded_first)
                ),
            )
        )
        (summed,) = other.moves.reports('instance-1', data.MoveScope.FLEET)
        assert {each.route for each in summed.counts.rows} == routes

    def test_without_evidence_nothing_is_completed(self) -> None:
        """Guards against a version that no request has tried."""
        trial = _trial()
        for _ in range(60):
            trial.desk.clock.advance(0.2)
            trial.driver.step()
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK

    def test_a_version_that_never_works_is_not_completed(self) -> None:
        """A version whose attempts all fail, beside an old target that
        fails as well, is not taken as proven for want of a difference.
        """
        desk = bed.make(
            bed.target('old-a'), bed.target('old-b', 'domain-b'), _new('new-a')
        )
        trial = _trial(desk)
        trial.run(_failing_domain)
        assert trial.writer.written[-1] is state.MovePhase.ROLLED_BACK
        assert trial.failed_new < 50

    def test_a_store_that_is_away_delays_only_the_record(self) -> None:
        """Guards against traffic to a bad version while nobody can write."""
        trial = _trial()
        trial.writer.is_away = True
        trial.run(_Failing(0.0))
        assert trial.failed_new < 50
        assert not trial.writer.written
        trial.writer.is_away = False
        trial.run(_good, 1.0)
        assert trial.writer.written == [state.MovePhase.ROLLED_BACK]


class TestVersionRules:
    """What a request may be sent to, by the state of the move."""

    def test_a_reverted_version_gets_nothing(self) -> None:
        """Guards against requests to a version that was found bad."""
        desk = _desk()
        reverted = _order(6, state.MovePhase.ROLLED_BACK)
        desk.moves.apply(data.MoveChange('pool', reverted))
        passed = frozenset(('old-a', 'old-b'))
        rule = desk.moves.draw('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is None
        desk.moves.apply(data.MoveChange('pool', None))
        rule = desk.moves.draw('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is None

    @pytest.mark.parametrize('is_replaced', (True, False))
    def test_a_move_that_was_called_off(self, is_replaced: bool) -> None:
        """Guards against full traffic to a version that was not judged."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        order = None
        if is_replaced:
            order = dataclasses.replace(_order(9), to_version='v3')
        desk.moves.apply(data.MoveChange('pool', order))
        for _ in range(50):
            rule = desk.moves.draw('pool')
            target = desk.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            assert target.version == 'v1'

    def test_a_completed_version_gets_all(self) -> None:
        """Guards against requests to targets that have just stopped."""
        desk = _desk()
        completed = _order(6, state.MovePhase.COMPLETED)
        desk.moves.apply(data.MoveChange('pool', completed))
        for _ in range(20):
            rule = desk.moves.draw('pool')
            target = desk.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            assert target.version == 'v2'

    def test_a_failed_trial_is_repeated_at_the_old_version(self) -> None:
        """Guards against a caller whose attempts all meet a bad version."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        for _ in range(200):
            rule = desk.moves.draw('pool')
            if not rule.is_trial:
                continue
            again = rule.for_repeat()
            target = desk.targets.choose_for_call('pool', frozenset(), again)
            assert target is not None
            assert target.version == 'v1'
            return
        raise AssertionError('no request tried the new version')

    def test_a_version_that_appears_before_its_order(self) -> None:
        """Guards against full traffic to a version whose order is late."""
        desk = bed.make(bed.target('old-a'))
        desk.targets.apply(data.TargetChange('new-a', _new('new-a')))
        passed = frozenset(('old-a',))
        rule = desk.moves.draw('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is None
        desk.clock.advance(3.1)
        rule = desk.moves.draw('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is not None

    def test_a_start_waits_for_the_orders(self) -> None:
        """Guards against a restart that takes a trial for the usual."""
        desk = _desk()
        desk.moves.is_known.clear()
        rule = desk.moves.draw('pool')
        assert desk.targets.choose_for_call('pool', frozenset(), rule) is None


class TestReports:
    """The fleet judges and shifts together."""

    def _report(self, **fields: object) -> data.MoveReport:
        return dataclasses.replace(
            data.MoveReport(
                instance='peer',
                service='pool',
                to_version='v2',
                scope=data.MoveScope.INSTANCE,
                counts=data.MoveCounts(member_count=1),
                age_ms=0,
                is_shifting=False,
                stop_reason='',
            ),
            **fields,  # type: ignore[arg-type]
        )

    def test_another_instance_stops_the_version(self) -> None:
        """Guards against a bad version that others go on to use."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        desk.moves.take_report(self._report(stop_reason='failed'))
        for _ in range(200):
            assert desk.moves.draw('pool').excluded == {'v2'}

    def test_the_exposure_of_all_is_counted(self) -> None:
        """Guards against instances that each use the whole allowance."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        counts = data.MoveCounts(40, 60, member_count=1)
        desk.moves.take_report(self._report(counts=counts))
        for _ in range(200):
            assert not desk.moves.draw('pool').is_trial

    def test_a_restarted_instance_learns_the_age(self) -> None:
        """Guards against a move that starts over with each restart."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        desk.moves.take_report(self._report(age_ms=9000))
        desk.clock.advance(1.0)
        assert desk.moves.reports('own')[0].age_ms == pytest.approx(
            10000, abs=5
        )

    @pytest.mark.parametrize(
        ('name', 'scopes', 'receiver_counts'),
        (
            ('member', ['group', 'fleet'], [2, 30]),
            ('peer', ['group'], [3]),
            ('entry', ['instance'], [1]),
        ),
    )
    def test_few_collect_for_all(
        self, name: str, scopes: list[str], receiver_counts: list[int]
    ) -> None:
        """Guards against reports of each instance to each other one.

        The names put this instance among the first three, among the other
        leaders, or behind them.
        """
        trial = _trial()
        fleet = trial.desk.fleet
        for number in range(30):
            fleet.take(bed.peer_report(f'{name}-{number}', number))
        trial.driver.step()
        found = []
        for report in trial.link.sent:
            assert isinstance(report, data.MoveReport)
            found.append(report.scope.value)
        assert found == scopes
        assert trial.link.receiver_counts == receiver_counts

    @pytest.mark.parametrize(
        ('is_listed', 'most_count'), ((True, 2), (False, 0))
    )
    def test_a_start_leaves_the_allowance_to_others(
        self, is_listed: bool, most_count: int
    ) -> None:
        """Guards against many instances that start together and each take
        themselves for the whole fleet.
        """
        listed = bed.listed_peers(30) if is_listed else None
        trial = _trial(listed=listed)
        trial.run(_good, until_s=1.0)
        assert trial.request_count == 40
        assert trial.sent_new <= most_count

    @pytest.mark.parametrize('is_told', (True, False))
    def test_news_is_told_by_one(self, is_told: bool) -> None:
        """Guards against a stop that each of many instances tells to all."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        desk.moves.has_news.clear()
        if is_told:
            desk.moves.take_report(self._report(stop_reason='failed'))
        else:
            for _ in range(40):
                desk.moves.observe(
                    _new('new-a'), 'book', state.OutcomeKind.ERROR
                )
                desk.moves.observe(
                    bed.target('old-a'),
                    'book',
                    state.OutcomeKind.SUCCESS,
                    20.0,
                )
        assert desk.moves.draw('pool').excluded == {'v2'}
        news = set() if is_told else {'pool'}
        assert desk.moves.take_news() == news


class TestTurns:
    """Usually one instance writes; any other takes over."""

    def test_a_later_instance_waits_for_its_turn(self) -> None:
        """Guards against a write of each instance for each phase."""
        trial = _trial()
        fleet = trial.desk.fleet
        number = 0
        while fleet.rank() == 0:
            number += 1
            fleet.take(bed.peer_report(f'peer-{number}', number))
        trial.driver.step()
        assert not trial.writer.written
        trial.desk.clock.advance(0.6)
        trial.driver.step()
        assert trial.writer.written == [state.MovePhase.SHIFTING]


class TestStreams:
    """Streams try a new version and return to the old one."""

    def test_a_failed_trial_goes_on_at_the_old_version(self) -> None:
        """Guards against a stream that ends with a bad version."""
        desk = _desk()
        desk.moves.apply(data.MoveChange('pool', _order()))
        for name in ('new-a', 'new-b'):
            desk.client.script(name, *(bed.answer(500) for _ in range(50)))
        for name in ('old-a', 'old-b'):
            desk.client.script(name, *(bed.events(1, 3) for _ in range(50)))
        for _ in range(20):
            outcome = desk.stream()
            assert isinstance(outcome, forwarding.StreamDone)
        versions = [sent.delivery.target.version for sent in desk.client.sent]
        assert 'v2' in versions
