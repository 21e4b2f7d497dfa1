"""Versions whose move was called off, beyond a restart of all instances."""

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _record_writers
from skylarktack.coordination.forwarding import _version_trials
from skylarktack.coordination.forwarding.tests import trial_harness
from skylarktack.state import forwarding as data


class TestRestartOfAll:
    """An instance that starts sees the current order only."""

    @pytest.mark.parametrize('is_ordered_first', (True, False))
    def test_replaced_version_gets_no_requests(
        self, is_ordered_first: bool
    ) -> None:
        """Guards against using a version whose order was replaced."""
        store = trial_harness.store_with_move_to_v2()
        started = trial_harness.start(store)
        if is_ordered_first:
            started.apply(trial_harness.order('v3'))
        started.keeper.read()
        started.apply(trial_harness.order('v3'))
        assert started.used_versions() <= {'v1', 'v3'}
        assert 'v1' in started.used_versions()
        assert 'version excluded; its move was not completed' in (
            started.env.log.messages('move')
        )

    def test_old_versions_wait_until_the_records_are_read(self) -> None:
        """Guards against requests in the time that the read takes."""
        started = trial_harness.start(trial_harness.store_with_move_to_v2())
        started.apply(trial_harness.order('v3'))
        assert started.used_versions() <= {'v3'}

    def test_a_service_with_one_version_does_not_wait(self) -> None:
        """Guards against refusals while the store answers no list."""
        started = trial_harness.start(trial_harness.Store(), versions=('v1',))
        assert started.used_versions() == {'v1'}

    def test_rolled_back_version_stays_excluded(self) -> None:
        """Guards against the same cause after a verdict on the version."""
        store = trial_harness.store_with_move_to_v2()
        second = trial_harness.start(store)
        second.keeper.read()
        second.apply(trial_harness.order('v2', state.MovePhase.ROLLED_BACK))
        second.keeper.write_changes()
        third = trial_harness.start(store)
        third.keeper.read()
        third.apply(trial_harness.order('v3'))
        assert 'v2' not in third.used_versions()

    def test_completed_version_is_used(self) -> None:
        """Guards against excluding the version that serves the requests."""
        store = trial_harness.store_with_move_to_v2()
        second = trial_harness.start(store)
        second.keeper.read()
        second.apply(trial_harness.order('v2', state.MovePhase.COMPLETED))
        second.keeper.write_changes()
        assert not store.stored
        third = trial_harness.start(store)
        third.keeper.read()
        third.apply(trial_harness.order('v3'))
        assert 'v2' in third.used_versions()

    def test_completed_while_reading(self) -> None:
        """Guards against a record that outlives its move."""
        store = trial_harness.store_with_move_to_v2()
        second = trial_harness.start(store)
        second.apply(trial_harness.order('v2', state.MovePhase.COMPLETED))
        second.keeper.read()
        second.keeper.write_changes()
        assert not store.stored

    def test_a_record_left_behind_leaves_targets(self) -> None:
        """Guards against a service without targets.

        All instances ended after the completion and before the removal.
        """
        started = trial_harness.start(
            trial_harness.store_with_move_to_v2(), versions=('v2', 'v3')
        )
        started.keeper.read()
        started.apply(trial_harness.order('v3'))
        assert 'v2' in started.used_versions()

    @pytest.mark.parametrize('is_old_listed', (True, False))
    @pytest.mark.parametrize('next_version', (None, 'v3'))
    @pytest.mark.parametrize('has_record', (True, False))
    def test_end_that_was_not_seen(
        self, is_old_listed: bool, next_version: str | None, has_record: bool
    ) -> None:
        """Guards against excluding a version that a new list shows in use.

        The targets of the old version stop at the completion of a move.
        """
        store = trial_harness.Store()
        if has_record:
            store = trial_harness.store_with_move_to_v2()
        started = trial_harness.start(store)
        started.keeper.read()
        started.apply(trial_harness.order('v2', state.MovePhase.SHIFTING))
        order = None
        if next_version is not None:
            order = trial_harness.order(next_version)
        started.env.moves.replace((data.MoveChange('pool', order),))
        for version in ('v1', 'v3'):
            if version == next_version or is_old_listed:
                continue
            change = data.TargetChange(f'target-{version}', None)
            started.env.targets.apply(change)
        assert ('v2' in started.used_versions()) is not is_old_listed

    def test_ordered_again(self) -> None:
        """Guards against a version that can never be tried again."""
        started = trial_harness.start(trial_harness.store_with_move_to_v2())
        started.keeper.read()
        started.apply(trial_harness.order('v2'))
        assert 'v2' in started.used_versions()


class TestTrialKeeper:
    """Records are read at the start and written by few instances."""

    def test_failed_calls_are_repeated(self) -> None:
        """Guards against a record that an outage of the store loses."""
        store = trial_harness.Store()
        store.failures.extend((True, True, False, True, True))
        instance = trial_harness.start(store)
        instance.keeper.read()
        instance.apply(trial_harness.order('v2'))
        instance.keeper.write_changes()
        assert list(store.stored) == [('pool', 'v2')]
        assert not store.failures

    @pytest.mark.parametrize(('rank', 'count'), [(0, 1), (1, 1), (2, 0)])
    def test_few_instances_write(self, rank: int, count: int) -> None:
        """Guards against a write of each instance for each move."""
        store = trial_harness.Store()
        instance = trial_harness.start(store, rank)
        instance.keeper.read()
        instance.apply(trial_harness.order('v2'))
        instance.keeper.write_changes()
        assert store.write_count == count

    def test_known_record_is_not_written_again(self) -> None:
        """Guards against a write of each instance that starts in a move."""
        store = trial_harness.store_with_move_to_v2()
        store.write_count = 0
        started = trial_harness.start(store)
        started.apply(trial_harness.order('v2'))
        started.keeper.read()
        started.keeper.write_changes()
        assert store.write_count == 0

    def test_completed_move_without_record_is_not_written(self) -> None:
        """Guards against a write of each instance at each start."""
        store = trial_harness.Store()
        started = trial_harness.start(store)
        started.apply(trial_harness.order('v2', state.MovePhase.COMPLETED))
        started.keeper.read()
        started.apply(trial_harness.order('v2', state.MovePhase.COMPLETED))
        started.keeper.write_changes()
        assert store.write_count == 0

    def test_a_stale_read_suffices_without_a_trial(self) -> None:
        """Guards against a full call of each instance at each start."""
        store = trial_harness.Store()
        trial_harness.start(store, versions=('v1',)).keeper.read()
        trial_harness.start(store).keeper.read()
        ordered = trial_harness.start(store, versions=('v1',))
        ordered.apply(trial_harness.order('v2'))
        ordered.keeper.read()
        assert store.reads == [True, False, False]


class TestBounds:
    """Old records and those beyond the maximum number are removed."""

    def test_old_and_excess_records_are_removed(self) -> None:
        """Guards against records that pile up in the store."""
        clock = fakes.SteppingClock()
        trials = forwarding.VersionTrials(clock, fakes.RecordingLog())
        now_ms = int(clock.wall_s() * 1000)
        old_ms = now_ms - 1000 * (_version_trials.MAX_TRIAL_AGE_S + 1)
        stored = [data.VersionTrial('pool', 'old', old_ms)]
        for number in range(_version_trials.MAX_TRIAL_COUNT + 1):
            stored.append(
                data.VersionTrial('pool', f'v{number}', now_ms + number)
            )
        trials.restore(stored)
        removed = {change.version for change in trials.take_changes()}
        assert removed == {'old', 'v0'}
        called_off = trials.last_resort('pool', None)
        assert called_off & {'old', 'v0', 'v1'} == {'v1'}

    def test_writers_are_few(self) -> None:
        """Guards against a wait that grows with the fleet."""
        store = trial_harness.Store()
        instance = trial_harness.start(store, rank=339)
        instance.keeper.read()
        instance.apply(trial_harness.order('v2'))
        began_s = instance.env.clock.monotonic_s()
        instance.keeper.write_changes()
        waited_s = instance.env.clock.monotonic_s() - began_s
        assert waited_s <= (
            _record_writers.WRITER_COUNT * _record_writers.RANK_DELAY_S
        )
