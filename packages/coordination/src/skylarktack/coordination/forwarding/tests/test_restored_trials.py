"""Versions on trial when the store comes back from a copy."""

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _version_trials
from skylarktack.coordination.forwarding.tests import trial_harness


class TestRestoredStore:
    """A restored store gets the records of the running instances again."""

    @pytest.mark.parametrize('is_begun_here', (True, False))
    def test_lost_record_is_written_again(self, is_begun_here: bool) -> None:
        """Guards against using a version whose order was replaced.

        The order is replaced and all instances end, after the restore.
        """
        store = (
            trial_harness.Store()
            if is_begun_here
            else trial_harness.store_with_move_to_v2()
        )
        instance = trial_harness.start(store)
        instance.keeper.read()
        if is_begun_here:
            instance.apply(trial_harness.order('v2'))
            instance.keeper.write_changes()
        written = dict(store.stored)
        store.stored.clear()
        store.reads.clear()
        instance.restore()
        assert store.stored == written
        assert store.reads == [False]
        started = trial_harness.start(store)
        started.keeper.read()
        started.apply(trial_harness.order('v3'))
        assert 'v2' not in started.used_versions()

    @pytest.mark.parametrize('has_read_record', (True, False))
    def test_record_of_a_completed_move_is_removed_again(
        self, has_read_record: bool
    ) -> None:
        """Guards against excluding the version that serves the requests.

        An instance may also have read a copy of the records that had none.
        """
        store = trial_harness.store_with_move_to_v2()
        copy = dict(store.stored)
        if not has_read_record:
            store.stored.clear()
        instance = trial_harness.start(store)
        instance.keeper.read()
        instance.apply(trial_harness.order('v2', state.MovePhase.COMPLETED))
        instance.keeper.write_changes()
        store.stored.update(copy)
        instance.restore()
        assert not store.stored

    def test_version_that_is_ordered_again_keeps_its_record(self) -> None:
        """Guards against removing the record of a move in progress."""
        store = trial_harness.Store()
        trials = forwarding.VersionTrials(
            fakes.SteppingClock(), fakes.RecordingLog()
        )
        trials.restore(())
        trials.record_begun('pool', 'v2')
        trials.record_completed('pool', 'v2')
        trials.record_begun('pool', 'v2')
        for change in trials.take_changes():
            assert change.trial is not None
            store.save(change.trial)
        trials.compare(tuple(store.stored.values()))
        assert not trials.take_changes()

    def test_unknown_record_is_neither_applied_nor_removed(self) -> None:
        """Guards against excluding a version that was completed."""
        store = trial_harness.Store()
        instance = trial_harness.start(store)
        instance.keeper.read()
        store.stored.update(trial_harness.store_with_move_to_v2().stored)
        instance.restore()
        assert list(store.stored) == [('pool', 'v2')]
        assert store.write_count == 0
        assert 'v2' in instance.used_versions()

    def test_failed_calls_are_repeated(self) -> None:
        """Guards against a store that is away again after the restore."""
        store = trial_harness.store_with_move_to_v2()
        instance = trial_harness.start(store)
        instance.keeper.read()
        store.stored.clear()
        store.failures.extend((True, True, False, True))
        instance.restore()
        assert list(store.stored) == [('pool', 'v2')]

    def test_restore_wakes_the_task(self) -> None:
        """Guards against a record that is missing for a minute."""
        instance = trial_harness.start(trial_harness.Store())
        assert not instance.env.moves.trials.has_changes.is_set()
        instance.era.record(6)
        assert instance.env.moves.trials.has_changes.is_set()

    def test_writers_lost_with_the_restore(self) -> None:
        """Guards against records that no instance writes."""
        store = trial_harness.store_with_move_to_v2()
        instance = trial_harness.start(store, rank=2)
        instance.keeper.read()
        store.stored.clear()
        instance.restore()
        assert not store.stored
        instance.rank.value = 0
        instance.env.clock.advance(60.0)
        instance.run_keeper()
        assert list(store.stored) == [('pool', 'v2')]

    def test_calls_of_the_largest_fleet(self) -> None:
        """Guards against calls of each instance after a restore."""
        store = trial_harness.store_with_move_to_v2()
        instances = []
        for rank in range(340):
            instance = trial_harness.start(store, rank)
            instance.keeper.read()
            instances.append(instance)
        store.stored.clear()
        store.reads.clear()
        store.write_count = 0
        for instance in instances:
            instance.restore()
            instance.env.clock.advance(60.0)
            instance.run_keeper()
        assert list(store.stored) == [('pool', 'v2')]
        assert store.write_count == 1
        assert len(store.reads) == 2 * 2

    def test_writes_are_bounded(self) -> None:
        """Guards against writing all versions of a long-lived process."""
        clock = fakes.SteppingClock()
        trials = forwarding.VersionTrials(clock, fakes.RecordingLog())
        trials.restore(())
        for number in range(2 * _version_trials.MAX_TRIAL_COUNT):
            clock.advance(1.0)
            trials.record_begun('pool', f'v{number}')
        trials.take_changes()
        trials.compare(())
        changes = trials.take_changes()
        assert len(changes) == _version_trials.MAX_TRIAL_COUNT
        last_number = 2 * _version_trials.MAX_TRIAL_COUNT - 1
        assert changes[0].version == f'v{last_number}'
