"""Versions whose move was called off, beyond a restart of all instances."""

import collections
import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _record_writers
from skylarktack.coordination.forwarding import _version_trials
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data

VERSIONS = ('v1', 'v2', 'v3')

Key = tuple[str, str]


class _Store:
    """Keeps records; fails as often as the test says."""

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque()
        self.stored: dict[Key, data.VersionTrial] = {}
        self.reads: list[bool] = []
        self.write_count = 0

    def load(self, may_be_stale: bool) -> tuple[data.VersionTrial, ...] | None:
        """Return all records."""
        self.reads.append(may_be_stale)
        if self._fails():
            return None
        return tuple(self.stored.values())

    def save(self, trial: data.VersionTrial) -> bool:
        """Keep a record unless there is one."""
        self.write_count += 1
        if self._fails():
            return False
        self.stored.setdefault((trial.service, trial.version), trial)
        return True

    def remove(self, service: str, version: str) -> bool:
        """Remove a record."""
        self.write_count += 1
        if self._fails():
            return False
        self.stored.pop((service, version), None)
        return True

    def _fails(self) -> bool:
        return bool(self.failures) and self.failures.popleft()


@dataclasses.dataclass
class _Rank:
    """Place of the instance in the fleet."""

    value: int = 0

    def rank(self) -> int:
        return self.value


@dataclasses.dataclass
class _Instance:
    """An instance that has listed targets of three versions."""

    env: harness.Harness
    keeper: forwarding.TrialKeeper
    rank: _Rank
    era: forwarding.StoreEra

    def apply(self, order: data.MoveOrder | None) -> None:
        self.env.moves.apply(data.MoveChange('pool', order))

    def restore(self) -> None:
        """Let the keeper run after a restore of the store."""
        self.era.record(self.era.current + 1)
        self.run_keeper()

    def run_keeper(self) -> None:
        """Run what the task does after each wait."""
        for _ in range(2):
            self.keeper.write_changes()
            self.keeper.check_restore()

    def used_versions(self) -> set[str]:
        """Return the versions to which one of 400 requests may be sent."""
        used = set()
        for _ in range(400):
            rule = self.env.moves.choose_versions('pool')
            for version in VERSIONS:
                others = frozenset(
                    f'target-{other}' for other in VERSIONS if other != version
                )
                if self.env.targets.choose_for_call('pool', others, rule):
                    used.add(version)
        return used


def _target(version: str) -> data.ListedTarget:
    return dataclasses.replace(
        harness.target(f'target-{version}'), version=version
    )


def _start(
    store: _Store,
    rank: int = 0,
    versions: tuple[str, ...] = VERSIONS,
) -> _Instance:
    """Return an instance that has not read the records."""
    env = harness.make_harness(*[_target(version) for version in versions])
    env.moves.set_topology(forwarding.AggregationTopology('instance-0', 1))
    env.moves.trials = forwarding.VersionTrials(env.clock, env.log)
    place = _Rank(rank)
    era = forwarding.StoreEra(env.log)
    era.record(5)
    keeper = forwarding.TrialKeeper(
        env.clock, env.moves, store, place, era, env.targets.is_synced
    )
    return _Instance(env, keeper, place, era)


def _order(
    version: str, phase: state.MovePhase = state.MovePhase.PLANNED
) -> data.MoveOrder:
    return dataclasses.replace(
        move_harness.order(5, phase), to_version=version
    )


def _store_with_move_to_v2() -> _Store:
    store = _Store()
    first = _start(store)
    first.keeper.read()
    first.apply(_order('v2'))
    first.keeper.write_changes()
    return store


class TestRestartOfAll:
    """An instance that starts sees the current order only."""

    @pytest.mark.parametrize('is_ordered_first', (True, False))
    def test_replaced_version_gets_no_requests(
        self, is_ordered_first: bool
    ) -> None:
        """Guards against using a version whose order was replaced."""
        store = _store_with_move_to_v2()
        started = _start(store)
        if is_ordered_first:
            started.apply(_order('v3'))
        started.keeper.read()
        started.apply(_order('v3'))
        assert started.used_versions() <= {'v1', 'v3'}
        assert 'v1' in started.used_versions()
        assert 'version excluded; its move was not completed' in (
            started.env.log.messages('move')
        )

    def test_old_versions_wait_until_the_records_are_read(self) -> None:
        """Guards against requests in the time that the read takes."""
        started = _start(_store_with_move_to_v2())
        started.apply(_order('v3'))
        assert started.used_versions() <= {'v3'}

    def test_a_service_with_one_version_does_not_wait(self) -> None:
        """Guards against refusals while the store answers no list."""
        started = _start(_Store(), versions=('v1',))
        assert started.used_versions() == {'v1'}

    def test_rolled_back_version_stays_excluded(self) -> None:
        """Guards against the same cause after a verdict on the version."""
        store = _store_with_move_to_v2()
        second = _start(store)
        second.keeper.read()
        second.apply(_order('v2', state.MovePhase.ROLLED_BACK))
        second.keeper.write_changes()
        third = _start(store)
        third.keeper.read()
        third.apply(_order('v3'))
        assert 'v2' not in third.used_versions()

    def test_completed_version_is_used(self) -> None:
        """Guards against excluding the version that serves the requests."""
        store = _store_with_move_to_v2()
        second = _start(store)
        second.keeper.read()
        second.apply(_order('v2', state.MovePhase.COMPLETED))
        second.keeper.write_changes()
        assert not store.stored
        third = _start(store)
        third.keeper.read()
        third.apply(_order('v3'))
        assert 'v2' in third.used_versions()

    def test_completed_while_reading(self) -> None:
        """Guards against a record that outlives its move."""
        store = _store_with_move_to_v2()
        second = _start(store)
        second.apply(_order('v2', state.MovePhase.COMPLETED))
        second.keeper.read()
        second.keeper.write_changes()
        assert not store.stored

    def test_a_record_left_behind_leaves_targets(self) -> None:
        """Guards against a service without targets.

        All instances ended after the completion and before the removal.
        """
        started = _start(_store_with_move_to_v2(), versions=('v2', 'v3'))
        started.keeper.read()
        started.apply(_order('v3'))
        assert 'v2' in started.used_versions()

    def test_ordered_again(self) -> None:
        """Guards against a version that can never be tried again."""
        started = _start(_store_with_move_to_v2())
        started.keeper.read()
        started.apply(_order('v2'))
        assert 'v2' in started.used_versions()


class TestTrialKeeper:
    """Records are read at the start and written by few instances."""

    def test_failed_calls_are_repeated(self) -> None:
        """Guards against a record that an outage of the store loses."""
        store = _Store()
        store.failures.extend((True, True, False, True, True))
        instance = _start(store)
        instance.keeper.read()
        instance.apply(_order('v2'))
        instance.keeper.write_changes()
        assert list(store.stored) == [('pool', 'v2')]
        assert not store.failures

    @pytest.mark.parametrize(('rank', 'count'), [(0, 1), (1, 1), (2, 0)])
    def test_few_instances_write(self, rank: int, count: int) -> None:
        """Guards against a write of each instance for each move."""
        store = _Store()
        instance = _start(store, rank)
        instance.keeper.read()
        instance.apply(_order('v2'))
        instance.keeper.write_changes()
        assert store.write_count == count

    def test_known_record_is_not_written_again(self) -> None:
        """Guards against a write of each instance that starts in a move."""
        store = _store_with_move_to_v2()
        store.write_count = 0
        started = _start(store)
        started.apply(_order('v2'))
        started.keeper.read()
        started.keeper.write_changes()
        assert store.write_count == 0

    def test_completed_move_without_record_is_not_written(self) -> None:
        """Guards against a write of each instance at each start."""
        store = _Store()
        started = _start(store)
        started.apply(_order('v2', state.MovePhase.COMPLETED))
        started.keeper.read()
        started.apply(_order('v2', state.MovePhase.COMPLETED))
        started.keeper.write_changes()
        assert store.write_count == 0

    def test_a_stale_read_suffices_without_a_trial(self) -> None:
        """Guards against a full call of each instance at each start."""
        store = _Store()
        _start(store, versions=('v1',)).keeper.read()
        _start(store).keeper.read()
        ordered = _start(store, versions=('v1',))
        ordered.apply(_order('v2'))
        ordered.keeper.read()
        assert store.reads == [True, False, False]


class TestRestoredStore:
    """A restored store gets the records of the running instances again."""

    @pytest.mark.parametrize('is_begun_here', (True, False))
    def test_lost_record_is_written_again(self, is_begun_here: bool) -> None:
        """Guards against using a version whose order was replaced.

        The order is replaced and all instances end, after the restore.
        """
        store = _Store() if is_begun_here else _store_with_move_to_v2()
        instance = _start(store)
        instance.keeper.read()
        if is_begun_here:
            instance.apply(_order('v2'))
            instance.keeper.write_changes()
        written = dict(store.stored)
        store.stored.clear()
        store.reads.clear()
        instance.restore()
        assert store.stored == written
        assert store.reads == [False]
        started = _start(store)
        started.keeper.read()
        started.apply(_order('v3'))
        assert 'v2' not in started.used_versions()

    @pytest.mark.parametrize('has_read_record', (True, False))
    def test_record_of_a_completed_move_is_removed_again(
        self, has_read_record: bool
    ) -> None:
        """Guards against excluding the version that serves the requests.

        An instance may also have read a copy of the records that had none.
        """
        store = _store_with_move_to_v2()
        copy = dict(store.stored)
        if not has_read_record:
            store.stored.clear()
        instance = _start(store)
        instance.keeper.read()
        instance.apply(_order('v2', state.MovePhase.COMPLETED))
        instance.keeper.write_changes()
        store.stored.update(copy)
        instance.restore()
        assert not store.stored

    def test_version_that_is_ordered_again_keeps_its_record(self) -> None:
        """Guards against removing the record of a move in progress."""
        store = _Store()
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
        store = _Store()
        instance = _start(store)
        instance.keeper.read()
        store.stored.update(_store_with_move_to_v2().stored)
        instance.restore()
        assert list(store.stored) == [('pool', 'v2')]
        assert store.write_count == 0
        assert 'v2' in instance.used_versions()

    def test_failed_calls_are_repeated(self) -> None:
        """Guards against a store that is away again after the restore."""
        store = _store_with_move_to_v2()
        instance = _start(store)
        instance.keeper.read()
        store.stored.clear()
        store.failures.extend((True, True, False, True))
        instance.restore()
        assert list(store.stored) == [('pool', 'v2')]

    def test_restore_wakes_the_task(self) -> None:
        """Guards against a record that is missing for a minute."""
        instance = _start(_Store())
        assert not instance.env.moves.trials.has_changes.is_set()
        instance.era.record(6)
        assert instance.env.moves.trials.has_changes.is_set()

    def test_writers_lost_with_the_restore(self) -> None:
        """Guards against records that no instance writes."""
        store = _store_with_move_to_v2()
        instance = _start(store, rank=2)
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
        store = _store_with_move_to_v2()
        instances = []
        for rank in range(340):
            instance = _start(store, rank)
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
        listed = frozenset(('old', 'v0', 'v1'))
        assert trials.excluded('pool', listed, None) == {'v1'}

    def test_writers_are_few(self) -> None:
        """Guards against a wait that grows with the fleet."""
        store = _Store()
        instance = _start(store, rank=339)
        instance.keeper.read()
        instance.apply(_order('v2'))
        began_s = instance.env.clock.monotonic_s()
        instance.keeper.write_changes()
        waited_s = instance.env.clock.monotonic_s() - began_s
        assert waited_s <= (
            _record_writers.WRITER_COUNT * _record_writers.RANK_DELAY_S
        )
