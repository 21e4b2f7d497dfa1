"""Tests of the table of targets when the store comes back from a copy."""

import dataclasses
from typing import Any

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

IGNORED = 'outdated target entry of a restored store ignored'
HELD = 'removed target in a restored store not used yet'


def _entry(name: str = 'a', **fields: Any) -> data.ListedTarget:
    """Return an entry, by default the tenth of the start at 1000 ms."""
    known: dict[str, Any] = {'started_at_ms': 1000, 'sequence_number': 10}
    return dataclasses.replace(harness.target(name), **(known | fields))


def _chosen(env: harness.Harness) -> data.ListedTarget | None:
    return env.targets.choose_for_call('pool', frozenset())


class _Store:
    """Reports of the store to the handler of the targets."""

    def __init__(self, env: harness.Harness) -> None:
        self._handler = forwarding.TargetWatchHandler(env.targets)

    def restore(self, *entries: data.ListedTarget) -> None:
        """Report a restore and list the entries of the copy."""
        self._handler.record_restore()
        self.list_again(*entries, after_outage=True)

    def list_again(
        self, *entries: data.ListedTarget, after_outage: bool = False
    ) -> None:
        """List entries."""
        items = tuple(data.TargetChange(item.name, item) for item in entries)
        self._handler.replace(items, after_outage)
        self._handler.confirm(0.0)

    def change(self, name: str, entry: data.ListedTarget | None) -> None:
        """Report one change."""
        self._handler.apply((data.TargetChange(name, entry),), False)
        self._handler.confirm(0.0)


class TestOlderEntryOfListedTarget:
    """A restored store lists a target as it was some seconds ago."""

    @pytest.mark.parametrize(
        ('known', 'listed'),
        [
            pytest.param(
                {'is_leaving': True, 'sequence_number': 11},
                {'sequence_number': 9},
                id='leaving',
            ),
            pytest.param(
                {'is_leaving': True},
                {},
                id='leaving without a new sequence number',
            ),
            pytest.param(
                {'endpoint': data.Address('10.0.0.2', 80)},
                {'sequence_number': 9},
                id='other address',
            ),
            pytest.param(
                {'version': 'v2'}, {'sequence_number': 9}, id='other version'
            ),
            pytest.param(
                {'slot_count': 24}, {'sequence_number': 9}, id='other slots'
            ),
            pytest.param(
                {'started_at_ms': 2000, 'sequence_number': 1},
                {'sequence_number': 9},
                id='later start',
            ),
        ],
    )
    def test_does_not_undo_what_is_known(
        self, known: dict[str, Any], listed: dict[str, Any]
    ) -> None:
        """Guards against requests to a target that is known to leave.

        Also against those to an address, version or process of the past.
        """
        env = harness.make_harness(_entry(**known))
        store = _Store(env)
        store.restore(_entry(**listed))
        assert env.targets.find('a') == _entry(**known)
        # The watch is refused before the target has written again.
        store.list_again(_entry(**listed))
        assert env.targets.find('a') == _entry(**known)
        assert env.log.messages('target').count(IGNORED) == 2

    @pytest.mark.parametrize(
        ('known', 'listed'),
        [
            pytest.param(
                {'is_leaving': True},
                {'started_at_ms': 2000, 'sequence_number': 1},
                id='later start',
            ),
            pytest.param(
                {'slot_count': 24}, {'sequence_number': 11}, id='newer'
            ),
            pytest.param(
                {},
                {'is_leaving': True},
                id='leaving without a new sequence number',
            ),
            pytest.param(
                {'is_leaving': True},
                {'sequence_number': None},
                id='no sequence number',
            ),
            pytest.param(
                {'is_leaving': True, 'sequence_number': None},
                {},
                id='no known sequence number',
            ),
            pytest.param(
                {'is_leaving': True}, {'started_at_ms': None}, id='no start'
            ),
            pytest.param(
                {'is_leaving': True, 'started_at_ms': None},
                {},
                id='no known start',
            ),
        ],
    )
    def test_other_entries_are_used(
        self, known: dict[str, Any], listed: dict[str, Any]
    ) -> None:
        """Guards against ignoring an entry that may be newer."""
        env = harness.make_harness(_entry(**known))
        _Store(env).restore(_entry(**listed))
        assert env.targets.find('a') == _entry(**listed)
        assert IGNORED not in env.log.messages('target')

    def test_without_a_restore_the_list_holds(self) -> None:
        """Guards against another behaviour in the same era."""
        env = harness.make_harness(_entry(is_leaving=True))
        _Store(env).list_again(_entry(sequence_number=9))
        assert _chosen(env) == _entry(sequence_number=9)

    def test_the_list_holds_after_the_targets_have_written(self) -> None:
        """Guards against ignoring entries for good after one restore."""
        env = harness.make_harness(_entry(is_leaving=True))
        store = _Store(env)
        store.restore(_entry(sequence_number=9))
        env.clock.advance(6.0)
        store.list_again(_entry(sequence_number=9))
        assert _chosen(env) == _entry(sequence_number=9)

    def test_a_late_list_is_that_of_the_copy(self) -> None:
        """Guards against a delay that starts before the list is read."""
        env = harness.make_harness(_entry(is_leaving=True))
        store = _Store(env)
        env.targets.record_restore()
        env.clock.advance(60.0)
        store.list_again(_entry(sequence_number=9))
        assert _chosen(env) is None

    def test_the_target_writes_again(self) -> None:
        """Guards against a target that stays as it was in the copy."""
        env = harness.make_harness(_entry(slot_count=24))
        store = _Store(env)
        store.restore(_entry(sequence_number=9))
        again = _entry(sequence_number=12, slot_count=24)
        store.change('a', again)
        assert env.targets.find('a') == again
        store.change('a', None)
        env.clock.advance(3.0)
        assert _chosen(env) is None

    def test_an_older_entry_shows_that_the_target_is_listed(self) -> None:
        """Guards against removing a target whose entry is ignored."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.list_again(after_outage=True)
        store.restore(_entry(sequence_number=9))
        env.clock.advance(3.0)
        assert _chosen(env) == _entry()


class TestTargetMissingInCopy:
    """A target that registered after the copy was made."""

    def test_is_used_until_it_has_registered_again(self) -> None:
        """Guards against refusing requests for want of a target."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.restore()
        assert _chosen(env) == _entry()
        store.change('a', _entry(sequence_number=12))
        env.clock.advance(3.0)
        assert _chosen(env) == _entry(sequence_number=12)

    def test_is_removed_if_it_does_not_register_again(self) -> None:
        """Guards against requests to a target that is gone."""
        env = harness.make_harness(_entry())
        _Store(env).restore()
        env.clock.advance(3.0)
        assert _chosen(env) is None


class TestRemovedTargetInCopy:
    """A target that was removed after the copy was made is listed again."""

    def _restored(
        self, listed: data.ListedTarget, known: data.ListedTarget | None = None
    ) -> tuple[harness.Harness, _Store]:
        """Return a table after a removal and a restore."""
        env = harness.make_harness(known or _entry())
        store = _Store(env)
        store.change('a', None)
        store.restore(listed)
        return env, store

    @pytest.mark.parametrize(
        'listed',
        [
            pytest.param({'sequence_number': 9}, id='older'),
            # A write that changes only the number is no event of a watch.
            pytest.param({'sequence_number': 14}, id='newer than the event'),
            pytest.param({'is_leaving': True}, id='leaving'),
            pytest.param({'started_at_ms': 500}, id='earlier start'),
        ],
    )
    def test_is_not_used(self, listed: dict[str, Any]) -> None:
        """Guards against requests to a target that is known to be gone."""
        env, store = self._restored(_entry(**listed))
        assert _chosen(env) is None
        assert env.targets.find('a') is None
        assert HELD in env.log.messages('target')
        # Its entry expires, as nobody writes it again.
        env.clock.advance(3.6)
        store.change('a', None)
        env.clock.advance(6.0)
        store.change('b', None)
        assert _chosen(env) is None

    def test_expires_from_a_later_list(self) -> None:
        """Guards against using an entry that a later list does not have."""
        env, store = self._restored(_entry())
        store.list_again()
        env.clock.advance(6.0)
        store.change('b', None)
        assert _chosen(env) is None

    def test_is_used_when_its_entry_changes(self) -> None:
        """Guards against ignoring a target that has registered again."""
        env, store = self._restored(_entry(sequence_number=9))
        store.change('a', _entry(sequence_number=9, slot_count=24))
        assert _chosen(env) == _entry(sequence_number=9, slot_count=24)
        env.clock.advance(6.0)
        store.change('b', None)
        assert _chosen(env) == _entry(sequence_number=9, slot_count=24)

    def test_is_used_when_a_later_list_shows_a_write(self) -> None:
        """Guards against ignoring a target that only sends heartbeats."""
        env, store = self._restored(_entry(sequence_number=9))
        store.list_again(_entry(sequence_number=9))
        assert _chosen(env) is None
        store.list_again(_entry(sequence_number=10))
        assert _chosen(env) == _entry(sequence_number=10)

    def test_is_used_when_the_entry_would_have_expired(self) -> None:
        """Guards against ignoring a target for want of another event."""
        env, store = self._restored(_entry(sequence_number=9))
        env.clock.advance(4.0)
        store.change('b', None)
        assert _chosen(env) is None
        env.clock.advance(2.0)
        assert _chosen(env) is None
        store.change('b', None)
        assert _chosen(env) == _entry(sequence_number=9)

    @pytest.mark.parametrize(
        ('known', 'listed'),
        [
            pytest.param(
                {},
                {'started_at_ms': 2000, 'sequence_number': 1},
                id='later start',
            ),
            pytest.param({}, {'started_at_ms': None}, id='no start'),
            pytest.param({'started_at_ms': None}, {}, id='no known start'),
            pytest.param({}, {'sequence_number': None}, id='no number'),
            pytest.param({'sequence_number': None}, {}, id='no known number'),
        ],
    )
    def test_other_entries_are_used(
        self, known: dict[str, Any], listed: dict[str, Any]
    ) -> None:
        """Guards against ignoring an entry that may be newer."""
        env, _ = self._restored(_entry(**listed), _entry(**known))
        assert _chosen(env) == _entry(**listed)

    def test_without_a_restore_the_list_holds(self) -> None:
        """Guards against another behaviour in the same era."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.change('a', None)
        store.list_again(_entry())
        assert _chosen(env) == _entry()

    def test_removal_after_the_restore_does_not_count(self) -> None:
        """Guards against ignoring a target that has registered again."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.restore(_entry())
        env.clock.advance(3.0)
        store.change('a', None)
        store.list_again(_entry())
        assert _chosen(env) == _entry()

    def test_second_restore(self) -> None:
        """Guards against forgetting a removal with the first restore."""
        env, store = self._restored(_entry())
        env.clock.advance(2.0)
        store.restore(_entry(sequence_number=11))
        assert _chosen(env) is None
        env.clock.advance(4.0)
        store.change('b', None)
        assert _chosen(env) is None

    def test_registration_undoes_the_removal(self) -> None:
        """Guards against holding a target back that was listed again."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.change('a', None)
        store.change('a', _entry(sequence_number=12))
        changed = _entry(sequence_number=13, slot_count=24)
        store.restore(changed)
        assert _chosen(env) == changed

    def test_the_list_holds_after_the_targets_have_written(self) -> None:
        """Guards against holding entries back for good after one restore."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.change('a', None)
        store.restore()
        env.clock.advance(6.0)
        store.list_again(_entry(sequence_number=9))
        assert _chosen(env) == _entry(sequence_number=9)
        assert HELD not in env.log.messages('target')

    def test_old_removal_is_forgotten(self) -> None:
        """Guards against memory that grows with the age of the instance."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.change('a', None)
        env.clock.advance(300.0)
        store.restore(_entry())
        assert _chosen(env) == _entry()

    def test_number_of_removals_is_limited(self) -> None:
        """Guards against memory that grows with the number of targets."""
        env = harness.make_harness(_entry())
        store = _Store(env)
        store.change('a', None)
        for number in range(4096):
            store.change(f'b-{number}', _entry(f'b-{number}'))
            store.change(f'b-{number}', None)
        store.restore(_entry(), _entry('b-0'))
        assert env.targets.find('a') == _entry()
        assert env.targets.find('b-0') is None
