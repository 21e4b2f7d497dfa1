"""Removed targets that a restored store may list again."""

import dataclasses

from skylarktack.coordination.forwarding import _restored_entries
from skylarktack.coordination.forwarding import _target_exclusions
from skylarktack.state import forwarding as data

#: Time for which a removal is kept. A copy is some seconds old; the rest is a
#: margin.
REMOVAL_LIFETIME_S = 300.0

#: Maximum number of removals that are kept; the oldest are dropped first.
MAX_REMOVAL_COUNT = 4096


@dataclasses.dataclass(frozen=True)
class _Removal:
    #: Last known entry.
    target: data.ListedTarget

    #: Monotonic time of the removal.
    at_s: float


class RemovedTargets:
    """Holds entries of a restored store back that are older than a removal.

    A held entry is used once its target has written it again: at the next
    change, or if the store still lists it when it would have expired. The
    owner serialises the calls.
    """

    def __init__(self, restored: _restored_entries.RestoredEntries) -> None:
        self._restored = restored
        self._removals: dict[str, _Removal] = {}
        self._held: dict[str, data.ListedTarget] = {}

    def record_removal(self, target: data.ListedTarget, now_s: float) -> None:
        """Record that a target was removed."""
        self._removals.pop(target.name, None)
        self._removals[target.name] = _Removal(target, now_s)
        while len(self._removals) > MAX_REMOVAL_COUNT:
            del self._removals[next(iter(self._removals))]

    def record_restore(self, now_s: float) -> None:
        """Record that the next list is that of a restored store."""
        self._drop_expired(now_s)
        self._held.clear()

    def hold(self, target: data.ListedTarget, now_s: float) -> bool:
        """Hold a listed entry back if it is older than a removal.

        :return: whether it must not be used now.
        """
        removal = self._removals.get(target.name)
        if removal is None or not self._restored.is_being_rewritten(now_s):
            return False
        # A removal that the restored store reports is later than its list.
        if removal.at_s > self._restored.restored_at_s:
            return False
        if not _restored_entries.are_comparable(target, removal.target):
            return False
        if _target_exclusions.is_later_start(
            target.started_at_ms, removal.target.started_at_ms
        ):
            return False
        held = self._held.setdefault(target.name, target)
        return not _restored_entries.is_older(held, target)

    def record_listed(self, name: str) -> None:
        """Record that an entry of a target is used."""
        self._removals.pop(name, None)
        self._held.pop(name, None)

    def discard(self, name: str) -> None:
        """Record that the store no longer lists a target."""
        self._held.pop(name, None)

    def discard_others(self, names: frozenset[str]) -> None:
        """Record that the store lists no targets but the named ones."""
        for name in list(self._held):
            if name not in names:
                del self._held[name]

    def take_rewritten(self, now_s: float) -> tuple[data.ListedTarget, ...]:
        """Return held entries that would have expired by now."""
        if not self._held or self._restored.is_being_rewritten(now_s):
            return ()
        rewritten = tuple(self._held.values())
        self._held.clear()
        return rewritten

    def _drop_expired(self, now_s: float) -> None:
        while self._removals:
            name, removal = next(iter(self._removals.items()))
            if now_s - removal.at_s < REMOVAL_LIFETIME_S:
                return
            del self._removals[name]
