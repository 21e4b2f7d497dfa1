"""Tests of moves: eligible versions, reports, delays by rank and streams."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data


class TestVersionRules:
    """Versions to which a request may be sent, by the state of the move."""

    def test_rolled_back_version_gets_no_requests(self) -> None:
        """Guards against requests to a version that was rolled back."""
        env = move_harness.make_env()
        rolled_back = move_harness.order(6, state.MovePhase.ROLLED_BACK)
        env.moves.apply(data.MoveChange('pool', rolled_back))
        excluded = frozenset(('old-a', 'old-b'))
        rule = env.moves.choose_versions('pool')
        assert env.targets.choose_for_call('pool', excluded, rule) is None
        env.moves.apply(data.MoveChange('pool', None))
        rule = env.moves.choose_versions('pool')
        assert env.targets.choose_for_call('pool', excluded, rule) is None

    @pytest.mark.parametrize('is_replaced', (True, False))
    def test_version_of_cancelled_move_gets_no_requests(
        self, is_replaced: bool
    ) -> None:
        """Guards against full traffic to a version that was not judged.

        The order is withdrawn, or replaced by one to a third version.
        """
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        order = None
        if is_replaced:
            order = dataclasses.replace(move_harness.order(9), to_version='v3')
        env.moves.apply(data.MoveChange('pool', order))
        for _ in range(50):
            rule = env.moves.choose_versions('pool')
            target = env.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            assert target.version == 'v1'

    def test_completed_version_gets_all_requests(self) -> None:
        """Guards against requests to stopped targets of the old version."""
        env = move_harness.make_env()
        completed = move_harness.order(6, state.MovePhase.COMPLETED)
        env.moves.apply(data.MoveChange('pool', completed))
        for _ in range(20):
            rule = env.moves.choose_versions('pool')
            target = env.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            assert target.version == 'v2'

    def test_canary_request_is_retried_at_old_version(self) -> None:
        """Guards against a caller whose attempts all go to a bad version."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        for _ in range(200):
            rule = env.moves.choose_versions('pool')
            if not rule.is_canary:
                continue
            retry_rule = rule.for_retry()
            target = env.targets.choose_for_call(
                'pool', frozenset(), retry_rule
            )
            assert target is not None
            assert target.version == 'v1'
            return
        raise AssertionError('no request tried the new version')

    def test_version_listed_before_its_order_waits(self) -> None:
        """Guards against full traffic to a version whose order is delayed."""
        env = harness.make_harness(harness.target('old-a'))
        env.targets.apply(
            data.TargetChange('new-a', move_harness.new_target('new-a'))
        )
        excluded = frozenset(('old-a',))
        rule = env.moves.choose_versions('pool')
        assert env.targets.choose_for_call('pool', excluded, rule) is None
        env.clock.advance(3.1)
        rule = env.moves.choose_versions('pool')
        assert env.targets.choose_for_call('pool', excluded, rule) is not None

    def test_no_version_is_used_before_orders_are_synced(self) -> None:
        """Guards against full traffic to a canary version after a restart."""
        env = move_harness.make_env()
        env.moves.is_synced.clear()
        rule = env.moves.choose_versions('pool')
        assert env.targets.choose_for_call('pool', frozenset(), rule) is None


class TestReports:
    """Reports between instances, which judge and shift together."""

    def test_stop_reported_by_peer_is_applied(self) -> None:
        """Guards against a bad version that other instances keep using."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        env.moves.apply_report(move_harness.peer_report(stop_reason='failed'))
        for _ in range(200):
            assert env.moves.choose_versions('pool').excluded == {'v2'}

    def test_exposure_of_peers_is_counted(self) -> None:
        """Guards against instances that each use the whole allowance."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        counts = data.MoveCounts(40, 60, member_count=1)
        env.moves.apply_report(move_harness.peer_report(counts=counts))
        for _ in range(200):
            assert not env.moves.choose_versions('pool').is_canary

    def test_routes_beyond_limit_are_counted_together(self) -> None:
        """Guards against reports that grow with the routes of a service."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        for number in range(20):
            for _ in range(2):
                env.moves.record_outcome(
                    move_harness.new_target('new-a'),
                    f'r-{number}',
                    state.OutcomeKind.SUCCESS,
                    9.0,
                )
        (report,) = env.moves.reports('instance-0')
        routes = {evidence.route for evidence in report.counts.rows}
        assert routes == {'', 'r-0', 'r-1', 'r-2', 'r-3'}
        attempts = [
            evidence.row.attempt_count for evidence in report.counts.rows
        ]
        assert sum(attempts) == 40
        # Another instance counts the same routes separately, in whatever order
        # it receives them.
        other = move_harness.make_env()
        other.moves.apply(data.MoveChange('pool', move_harness.order()))
        sorted_rows = sorted(report.counts.rows, key=lambda each: each.route)
        other.moves.apply_report(
            dataclasses.replace(
                report,
                counts=dataclasses.replace(
                    report.counts, rows=tuple(sorted_rows)
                ),
            )
        )
        (summed,) = other.moves.reports('instance-1', data.MoveScope.FLEET)
        assert {each.route for each in summed.counts.rows} == routes

    def test_restarted_instance_learns_age_of_move(self) -> None:
        """Guards against a move that starts over with each restart."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        env.moves.apply_report(move_harness.peer_report(age_ms=9000))
        env.clock.advance(1.0)
        assert env.moves.reports('own')[0].age_ms == pytest.approx(
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
    def test_reports_go_through_leaders_and_collectors(
        self, name: str, scopes: list[str], receiver_counts: list[int]
    ) -> None:
        """Guards against reports from each instance to every other.

        The names of the peers make this instance a collector, another leader,
        or a member of a group.
        """
        move_run = move_harness.make_move_run()
        fleet = move_run.env.fleet
        for number in range(30):
            fleet.receive(harness.peer_report(f'{name}-{number}', number))
        move_run.driver.step()
        found = []
        for report in move_run.link.sent:
            assert isinstance(report, data.MoveReport)
            found.append(report.scope.value)
        assert found == scopes
        assert move_run.link.receiver_counts == receiver_counts

    @pytest.mark.parametrize(
        ('is_listed', 'max_count'), ((True, 2), (False, 0))
    )
    def test_started_instance_uses_only_its_allowance(
        self, is_listed: bool, max_count: int
    ) -> None:
        """Guards against many instances that start at the same time and each
        use the allowance of the whole fleet.
        """
        listed = harness.listed_peers(30) if is_listed else None
        move_run = move_harness.make_move_run(listed=listed)
        move_run.run(move_harness.healthy, until_s=1.0)
        assert move_run.request_count == 40
        assert move_run.sent_new <= max_count

    @pytest.mark.parametrize('is_reported_by_peer', (True, False))
    def test_stop_is_broadcast_only_by_its_origin(
        self, is_reported_by_peer: bool
    ) -> None:
        """Guards against a stop that every instance broadcasts again."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        env.moves.has_updates.clear()
        if is_reported_by_peer:
            env.moves.apply_report(
                move_harness.peer_report(stop_reason='failed')
            )
        else:
            for _ in range(40):
                env.moves.record_outcome(
                    move_harness.new_target('new-a'),
                    'book',
                    state.OutcomeKind.ERROR,
                )
                env.moves.record_outcome(
                    harness.target('old-a'),
                    'book',
                    state.OutcomeKind.SUCCESS,
                    20.0,
                )
        assert env.moves.choose_versions('pool').excluded == {'v2'}
        expected = set() if is_reported_by_peer else {'pool'}
        assert env.moves.take_updates() == expected


class TestDelayByRank:
    """Delays of the instances, of which usually only one writes."""

    def test_instance_of_higher_rank_writes_later(self) -> None:
        """Guards against a write from every instance for each phase."""
        move_run = move_harness.make_move_run()
        fleet = move_run.env.fleet
        number = 0
        while fleet.rank() == 0:
            number += 1
            fleet.receive(harness.peer_report(f'peer-{number}', number))
        move_run.driver.step()
        assert not move_run.writer.written
        move_run.env.clock.advance(0.6)
        move_run.driver.step()
        assert move_run.writer.written == [state.MovePhase.SHIFTING]


class TestCanaryStreams:
    """Canary streams to a new version."""

    def test_failed_canary_stream_continues_at_old_version(self) -> None:
        """Guards against a stream that fails because its version is bad."""
        env = move_harness.make_env()
        env.moves.apply(data.MoveChange('pool', move_harness.order()))
        for name in ('new-a', 'new-b'):
            env.client.script(
                name, *(harness.answer_script(500) for _ in range(50))
            )
        for name in ('old-a', 'old-b'):
            env.client.script(
                name, *(harness.stream_script(1, 3) for _ in range(50))
            )
        for _ in range(20):
            outcome = env.stream()
            assert isinstance(outcome, forwarding.StreamCompleted)
        versions = [sent.delivery.target.version for sent in env.client.sent]
        assert 'v2' in versions
