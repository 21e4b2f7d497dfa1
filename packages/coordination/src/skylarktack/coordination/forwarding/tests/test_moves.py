"""Planned moves: what may be sent where, reports, turns, streams."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data


class TestVersionRules:
    """What a request may be sent to, by the state of the move."""

    def test_a_reverted_version_gets_nothing(self) -> None:
        """Guards against requests to a version that was found bad."""
        desk = move_harness.desk()
        reverted = move_harness.order(6, state.MovePhase.ROLLED_BACK)
        desk.moves.apply(data.MoveChange('pool', reverted))
        passed = frozenset(('old-a', 'old-b'))
        rule = desk.moves.choose_versions('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is None
        desk.moves.apply(data.MoveChange('pool', None))
        rule = desk.moves.choose_versions('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is None

    @pytest.mark.parametrize('is_replaced', (True, False))
    def test_a_move_that_was_called_off(self, is_replaced: bool) -> None:
        """Guards against full traffic to a version that was not judged."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        order = None
        if is_replaced:
            order = dataclasses.replace(move_harness.order(9), to_version='v3')
        desk.moves.apply(data.MoveChange('pool', order))
        for _ in range(50):
            rule = desk.moves.choose_versions('pool')
            target = desk.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            assert target.version == 'v1'

    def test_a_completed_version_gets_all(self) -> None:
        """Guards against requests to targets that have just stopped."""
        desk = move_harness.desk()
        completed = move_harness.order(6, state.MovePhase.COMPLETED)
        desk.moves.apply(data.MoveChange('pool', completed))
        for _ in range(20):
            rule = desk.moves.choose_versions('pool')
            target = desk.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            assert target.version == 'v2'

    def test_a_failed_trial_is_repeated_at_the_old_version(self) -> None:
        """Guards against a caller whose attempts all meet a bad version."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        for _ in range(200):
            rule = desk.moves.choose_versions('pool')
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
        desk = harness.make_harness(harness.target('old-a'))
        desk.targets.apply(
            data.TargetChange('new-a', move_harness.new('new-a'))
        )
        passed = frozenset(('old-a',))
        rule = desk.moves.choose_versions('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is None
        desk.clock.advance(3.1)
        rule = desk.moves.choose_versions('pool')
        assert desk.targets.choose_for_call('pool', passed, rule) is not None

    def test_a_start_waits_for_the_orders(self) -> None:
        """Guards against a restart that takes a trial for the usual."""
        desk = move_harness.desk()
        desk.moves.is_synced.clear()
        rule = desk.moves.choose_versions('pool')
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
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        desk.moves.apply_report(self._report(stop_reason='failed'))
        for _ in range(200):
            assert desk.moves.choose_versions('pool').excluded == {'v2'}

    def test_the_exposure_of_all_is_counted(self) -> None:
        """Guards against instances that each use the whole allowance."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        counts = data.MoveCounts(40, 60, member_count=1)
        desk.moves.apply_report(self._report(counts=counts))
        for _ in range(200):
            assert not desk.moves.choose_versions('pool').is_trial

    def test_more_routes_than_are_told_apart(self) -> None:
        """Guards against reports that grow with the routes of a service."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        for number in range(20):
            for _ in range(2):
                desk.moves.record_outcome(
                    move_harness.new('new-a'),
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
        other = move_harness.desk()
        other.moves.apply(data.MoveChange('pool', move_harness.order()))
        folded_first = sorted(report.counts.rows, key=lambda each: each.route)
        other.moves.apply_report(
            dataclasses.replace(
                report,
                counts=dataclasses.replace(
                    report.counts, rows=tuple(folded_first)
                ),
            )
        )
        (summed,) = other.moves.reports('instance-1', data.MoveScope.FLEET)
        assert {each.route for each in summed.counts.rows} == routes

    def test_a_restarted_instance_learns_the_age(self) -> None:
        """Guards against a move that starts over with each restart."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        desk.moves.apply_report(self._report(age_ms=9000))
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
        trial = move_harness.trial()
        fleet = trial.desk.fleet
        for number in range(30):
            fleet.receive(harness.peer_report(f'{name}-{number}', number))
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
        listed = harness.listed_peers(30) if is_listed else None
        trial = move_harness.trial(listed=listed)
        trial.run(move_harness.good, until_s=1.0)
        assert trial.request_count == 40
        assert trial.sent_new <= most_count

    @pytest.mark.parametrize('is_told', (True, False))
    def test_news_is_told_by_one(self, is_told: bool) -> None:
        """Guards against a stop that each of many instances tells to all."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        desk.moves.has_updates.clear()
        if is_told:
            desk.moves.apply_report(self._report(stop_reason='failed'))
        else:
            for _ in range(40):
                desk.moves.record_outcome(
                    move_harness.new('new-a'), 'book', state.OutcomeKind.ERROR
                )
                desk.moves.record_outcome(
                    harness.target('old-a'),
                    'book',
                    state.OutcomeKind.SUCCESS,
                    20.0,
                )
        assert desk.moves.choose_versions('pool').excluded == {'v2'}
        news = set() if is_told else {'pool'}
        assert desk.moves.take_news() == news


class TestTurns:
    """Usually one instance writes; any other takes over."""

    def test_a_later_instance_waits_for_its_turn(self) -> None:
        """Guards against a write of each instance for each phase."""
        trial = move_harness.trial()
        fleet = trial.desk.fleet
        number = 0
        while fleet.rank() == 0:
            number += 1
            fleet.receive(harness.peer_report(f'peer-{number}', number))
        trial.driver.step()
        assert not trial.writer.written
        trial.desk.clock.advance(0.6)
        trial.driver.step()
        assert trial.writer.written == [state.MovePhase.SHIFTING]


class TestStreams:
    """Streams try a new version and return to the old one."""

    def test_a_failed_trial_goes_on_at_the_old_version(self) -> None:
        """Guards against a stream that ends with a bad version."""
        desk = move_harness.desk()
        desk.moves.apply(data.MoveChange('pool', move_harness.order()))
        for name in ('new-a', 'new-b'):
            desk.client.script(
                name, *(harness.answer_script(500) for _ in range(50))
            )
        for name in ('old-a', 'old-b'):
            desk.client.script(
                name, *(harness.stream_script(1, 3) for _ in range(50))
            )
        for _ in range(20):
            outcome = desk.stream()
            assert isinstance(outcome, forwarding.StreamCompleted)
        versions = [sent.delivery.target.version for sent in desk.client.sent]
        assert 'v2' in versions
