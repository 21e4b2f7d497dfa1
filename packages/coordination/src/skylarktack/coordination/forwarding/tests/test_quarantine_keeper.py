"""Quarantined prompt parts that outlive a loss of all instances."""

import collections

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

CRASHING = ('common', 'crashing')


class _Store:
    """Keeps quarantines; fails as often as the test says."""

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque()
        self.stored: dict[str, data.StoredQuarantine] = {}

    def load(self) -> tuple[data.StoredQuarantine, ...] | None:
        """Return all quarantines."""
        if self._fails():
            return None
        return tuple(self.stored.values())

    def save(self, quarantine: data.StoredQuarantine) -> bool:
        """Keep a quarantine."""
        if self._fails():
            return False
        self.stored[quarantine.part_id] = quarantine
        return True

    def remove(self, part_id: str) -> bool:
        """Forget a quarantine."""
        if self._fails():
            return False
        self.stored.pop(part_id, None)
        return True

    def _fails(self) -> bool:
        return bool(self.failures) and self.failures.popleft()


def _keeper(
    env: harness.Harness, store: _Store
) -> forwarding.QuarantineKeeper:
    return forwarding.QuarantineKeeper(env.clock, env.quarantine, store)


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
