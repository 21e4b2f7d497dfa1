"""Entries about loans that an instance passes on to its peers."""

import collections
import dataclasses

from skylarktack import state
from skylarktack.coordination.limits import _scopes

#: An entry must be newer by this than the one held. Its age leaves out the
#: time on connections, so an entry that comes back looks a little newer.
MARGIN_S = 0.3

#: Most entries held; the oldest are dropped.
ENTRY_COUNT = 4096

EntryKey = tuple[
    _scopes.LoanEntryKind,
    _scopes.Scope,
    state.InstanceName,
    state.InstanceName,
]


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """An entry with its place in the order of arrival."""

    entry: _scopes.LoanEntry
    origin_s: float
    arrival: int


class EntryLog:
    """Newest entry of each kind by arrival; used under the book's lock."""

    def __init__(self, settings: state.LimitSettings) -> None:
        self._settings = settings
        self._held: collections.OrderedDict[EntryKey, _Held] = (
            collections.OrderedDict()
        )
        self._arrival = 0

    def put(self, entry: _scopes.LoanEntry, now_s: float) -> bool:
        """Take an entry in; return whether it is news."""
        key = (entry.kind, entry.scope, entry.source, entry.destination)
        origin_s = now_s - entry.age_ms / 1000
        if entry.age_ms > self._settings.entry_age_limit_ms:
            return False
        held = self._held.get(key)
        if held is not None:
            if entry.serial < held.entry.serial:
                return False
            if entry.serial == held.entry.serial:
                if origin_s <= held.origin_s + MARGIN_S:
                    return False
        self._arrival += 1
        self._held[key] = _Held(entry, origin_s, self._arrival)
        self._held.move_to_end(key)
        if len(self._held) > ENTRY_COUNT:
            self._held.popitem(last=False)
        return True

    def after(
        self, arrival: int, now_s: float
    ) -> tuple[tuple[int, _scopes.LoanEntry], ...]:
        """Return the entries that arrived after a number, oldest first."""
        found: list[tuple[int, _scopes.LoanEntry]] = []
        for key in reversed(list(self._held)):
            held = self._held[key]
            if held.arrival <= arrival:
                break
            age_ms = round((now_s - held.origin_s) * 1000)
            if age_ms > self._settings.entry_age_limit_ms:
                del self._held[key]
                continue
            found.append(
                (held.arrival, dataclasses.replace(held.entry, age_ms=age_ms))
            )
        found.reverse()
        return tuple(found)
