"""Quarantined prompt parts that outlive a loss of all instances."""

import collections
import dataclasses

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

CRASHING = ('common', 'crashing')


class _Store:
    """Keeps quarantines; fails as often as the test says."""

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque()
        self.stored: dict[str, data.StoredQuarantine] = {}
        #: Whether each read was allowed to be stale.
        self.reads: list[bool] = []
        self.write_count = 0

    def load(
        self, may_be_stale: bool
    ) -> tuple[data.StoredQuarantine, ...] | None:
        """Return all quarantines."""
        self.reads.append(may_be_stale)
        if self._fails():
            return None
        return tuple(self.stored.values())

    def save(self, quarantine: data.StoredQuarantine) -> bool:
        """Keep a quarantine."""
        self.write_count += 1
        if self._fails():
            return False
        self.stored[quarantine.part_id] = quarantine
        return True

    def remove(self, part_id: str) -> bool:
        """Forget a quarantine."""
        self.write_count += 1
        if self._fails():
            return False
        self.stored.pop(part_id, None)
        return True

    def _fails(self) -> bool:
        return bool(self.failures) and self.failures.popleft()


@dataclasses.dataclass
class _Rank:
    """Place of the instance in the fleet."""

    value: int = 0

    def rank(self) -> int:
        return self.value


def _keeper(
    env: harness.Harness,
    store: _Store,
    rank: _Rank | None = None,
    era: forwarding.StoreEra | None = None,
) -> forwarding.QuarantineKeeper:
    return forwarding.QuarantineKeeper(
        env.clock,
        env.quarantine,
        store,
        rank or _Rank(),
        era or forwarding.StoreEra(env.log),
    )


def _quarantine(env: harness.Harness) -> None:
    for number in range(3):
        env.clock.advance(1.0)
        env.quarantine.record_loss(f'engine-{number}', CRASHING)


def _store_after_quarantine() -> _Store:
    store = _Store()
    env = harness.make_harness()
    _quarantine(env)
    _keeper(env, store).write_changes()
    return store


class TestQuarantineKeeper:
    """Decisions are stored, and applied by instances that start."""

    def test_instance_that_starts_alone_knows_the_part(self) -> None:
        """Guards against engines that end again after a loss of all."""
        store = _store_after_quarantine()
        started = harness.make_harness()
        _keeper(started, store).read()
        assert started.quarantine.admit(CRASHING).refusal is not None

    def test_failed_calls_are_repeated(self) -> None:
        """Guards against a decision that an outage of the store loses."""
        store = _Store()
        store.failures.extend((True, True))
        env = harness.make_harness()
        _quarantine(env)
        _keeper(env, store).write_changes()
        assert 'crashing' in store.stored
        store.failures.extend((True, True))
        started = harness.make_harness()
        _keeper(started, store).read()
        assert started.quarantine.admit(CRASHING).refusal is not None

    def test_released_part_is_removed(self) -> None:
        """Guards against a part that is refused again after a restart."""
        store = _Store()
        env = harness.make_harness()
        keeper = _keeper(env, store)
        _quarantine(env)
        keeper.write_changes()
        env.quarantine.record_output(CRASHING)
        keeper.write_changes()
        assert not store.stored

    def test_peers_write_nothing(self) -> None:
        """Guards against a write of each instance for each part."""
        first = harness.make_harness()
        second = harness.make_harness()
        _quarantine(first)
        second.quarantine.receive(first.quarantine.evidence(is_full=True))
        assert second.quarantine.quarantined_count() == 1
        assert len(first.quarantine.take_changes()) == 1
        changes = second.quarantine.take_changes()
        assert not changes

    def test_old_entry_is_removed(self) -> None:
        """Guards against entries that pile up in the store."""
        store = _Store()
        store.stored['crashing'] = data.StoredQuarantine('crashing', 1, 2, 0)
        env = harness.make_harness()
        env.clock.advance(100_000.0)
        keeper = _keeper(env, store)
        keeper.read()
        keeper.write_changes()
        assert env.quarantine.admit(CRASHING).refusal is None
        assert not store.stored

    def test_entry_with_huge_numbers_gives_a_bounded_quarantine(self) -> None:
        """Guards against an entry that has a part refused for years."""
        store = _Store()
        for part_id in ('crashing', 'x' * 65):
            store.stored[part_id] = data.StoredQuarantine(
                part_id, 2**53, 2**53, 2**53
            )
        env = harness.make_harness()
        _keeper(env, store).read()
        assert env.quarantine.quarantined_count() == 1
        quarantined = env.quarantine.evidence(is_full=True).quarantined[0]
        assert quarantined.remaining_ms <= 600_000
        assert quarantined.probe_count <= 3


class _Instance:
    """An instance that runs across a restore of the store."""

    def __init__(self, rank: int = 0, store: _Store | None = None) -> None:
        self.env = harness.make_harness()
        self.store = store or _Store()
        self.rank = _Rank(rank)
        self.era = forwarding.StoreEra(self.env.log)
        self.era.record(5)
        self.keeper = _keeper(self.env, self.store, self.rank, self.era)

    def quarantine(self) -> None:
        """Quarantine a part; have it written."""
        _quarantine(self.env)
        self.keeper.write_changes()

    def stored(self) -> dict[str, data.StoredQuarantine]:
        """Return a copy of what the store has."""
        return dict(self.store.stored)

    def restore(self, copy: dict[str, data.StoredQuarantine]) -> None:
        """Restore the store from a copy; let the keeper run."""
        self.store.stored = dict(copy)
        self.store.write_count = 0
        self.store.reads.clear()
        self.era.record(self.era.current + 1)
        self.run_keeper()

    def run_keeper(self) -> None:
        """Run what the task does after each wait."""
        for _ in range(2):
            self.keeper.write_changes()
            self.keeper.check_restore()


def _probe_last_time(env: harness.Harness) -> None:
    """Let three probe runs pass, so that the quarantine can only end."""
    for _ in range(3):
        env.clock.advance(1000.0)
        assert env.quarantine.admit(CRASHING).is_probe


class TestRestoredStore:
    """A restored store gets the newest decisions again."""

    def test_lost_quarantine_is_written_again(self) -> None:
        """Guards against engines that end after a restart of all."""
        instance = _Instance()
        instance.quarantine()
        written = instance.stored()
        instance.restore({})
        assert instance.stored() == written
        assert instance.store.reads == [False]

    def test_adopted_quarantine_is_written_again(self) -> None:
        """Guards against a loss if the instance that decided is gone."""
        decided = _Instance()
        decided.quarantine()
        instance = _Instance()
        instance.env.quarantine.receive(
            decided.env.quarantine.evidence(is_full=True)
        )
        instance.restore({})
        assert list(instance.stored()) == ['crashing']

    def test_older_quarantine_is_replaced(self) -> None:
        """Guards against probes that are not counted after a restart."""
        instance = _Instance()
        instance.quarantine()
        copy = instance.stored()
        instance.env.clock.advance(61.0)
        assert instance.env.quarantine.admit(CRASHING).is_probe
        instance.keeper.write_changes()
        written = instance.stored()
        assert written != copy
        instance.restore(copy)
        assert instance.stored() == written

    def test_extension_is_written_again(self) -> None:
        """Guards against a quarantine that ends too early."""
        instance = _Instance()
        instance.quarantine()
        _probe_last_time(instance.env)
        instance.keeper.write_changes()
        copy = instance.stored()
        instance.env.clock.advance(300.0)
        assert instance.env.quarantine.admit(CRASHING).refusal is not None
        instance.keeper.write_changes()
        written = instance.stored()
        assert written != copy
        instance.restore(copy)
        assert instance.stored() == written

    @pytest.mark.parametrize('is_reported', [False, True])
    def test_released_part_is_removed_again(self, is_reported: bool) -> None:
        """Guards against a sound part that is refused after a restart."""
        decided = _Instance()
        decided.quarantine()
        copy = decided.stored()
        instance = decided
        if is_reported:
            instance = _Instance()
            instance.env.clock.advance(3.0)
            instance.env.quarantine.receive(
                decided.env.quarantine.evidence(is_full=True)
            )
        decided.env.clock.advance(5.0)
        decided.env.quarantine.record_output(CRASHING)
        if is_reported:
            instance.env.clock.advance(5.0)
            instance.env.quarantine.receive(
                decided.env.quarantine.evidence(is_full=True)
            )
        instance.keeper.write_changes()
        instance.restore(copy)
        assert not instance.stored()
        assert instance.env.quarantine.quarantined_count() == 0

    @pytest.mark.parametrize('is_known', [False, True])
    def test_ended_quarantine(self, is_known: bool) -> None:
        """Guards against a record of a quarantine that nobody ends again."""
        instance = _Instance()
        instance.quarantine()
        _probe_last_time(instance.env)
        instance.keeper.write_changes()
        copy = instance.stored()
        instance.env.clock.advance(10_000.0)
        if is_known:
            instance.restore({})
            assert not instance.stored()
            return
        assert instance.env.quarantine.admit(CRASHING).refusal is None
        instance.keeper.write_changes()
        instance.restore(copy)
        assert not instance.stored()

    def test_unknown_part_is_neither_adopted_nor_removed(self) -> None:
        """Guards against refusals for a part that was released."""
        other = _Instance()
        other.quarantine()
        instance = _Instance()
        instance.restore(other.stored())
        assert instance.env.quarantine.quarantined_count() == 0
        assert instance.store.write_count == 0

    def test_complete_copy_is_left_alone(self) -> None:
        """Guards against writes of what the store has."""
        instance = _Instance()
        instance.quarantine()
        instance.restore(instance.stored())
        assert instance.store.write_count == 0

    def test_failed_calls_are_repeated(self) -> None:
        """Guards against a store that is away again after the restore."""
        instance = _Instance()
        instance.quarantine()
        instance.store.failures.extend((True, True, False, True))
        instance.restore({})
        assert list(instance.stored()) == ['crashing']
        assert instance.store.reads == [False, False, False]

    def test_restore_wakes_the_task(self) -> None:
        """Guards against a record that is missing for a minute."""
        instance = _Instance()
        assert not instance.env.quarantine.has_changes.is_set()
        instance.era.record(6)
        assert instance.env.quarantine.has_changes.is_set()

    def test_writers_lost_with_the_restore(self) -> None:
        """Guards against records that no instance writes."""
        instance = _Instance(rank=2)
        instance.quarantine()
        instance.restore({})
        assert not instance.stored()
        instance.rank.value = 0
        instance.env.clock.advance(60.0)
        instance.run_keeper()
        assert list(instance.stored()) == ['crashing']
        read_count = len(instance.store.reads)
        instance.env.clock.advance(60.0)
        instance.run_keeper()
        assert len(instance.store.reads) == read_count

    def test_calls_of_the_largest_fleet(self) -> None:
        """Guards against calls of each instance after a restore."""
        store = _Store()
        instances = []
        for rank in range(340):
            instance = _Instance(rank, store)
            instance.quarantine()
            instances.append(instance)
        store.stored.clear()
        store.reads.clear()
        store.write_count = 0
        for instance in instances:
            instance.era.record(6)
            instance.run_keeper()
            instance.env.clock.advance(60.0)
            instance.run_keeper()
        assert list(store.stored) == ['crashing']
        assert store.write_count == 1
        assert len(store.reads) == 2 * 2
