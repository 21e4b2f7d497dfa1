"""Log of the loan entries that an instance forwards to its peers."""

import collections
import dataclasses

from skylarktack import state
from skylarktack.coordination.limits import _scopes

#: An entry of the same serial number must be newer by this margin. Its age
#: excludes transmission time, so an entry that returns through other peers
#: looks slightly newer than it is.
DUPLICATE_MARGIN_S = 0.3

#: Maximum number of entries; the oldest are dropped.
MAX_ENTRY_COUNT = 4096

EntryKey = tuple[
    _scopes.LoanEntryKind,
    _scopes.Scope,
    state.InstanceName,
    state.InstanceName,
]


@dataclasses.dataclass(frozen=True, slots=True)
class _LoggedEntry:
    """An entry with its arrival number, which orders the log."""

    entry: _scopes.LoanEntry

    #: Monotonic time at which the source created the entry.
    created_s: float

    #: Increases by one with each entry added to the log.
    arrival: int


class EntryLog:
    """Latest entry for each key, in order of arrival.

    Not thread-safe; used under the lock of the share allocator.
    """

    def __init__(self, settings: state.LimitSettings) -> None:
        self._settings = settings
        self._logged: collections.OrderedDict[EntryKey, _LoggedEntry] = (
            collections.OrderedDict()
        )
        self._arrival = 0

    def add(self, entry: _scopes.LoanEntry, now_s: float) -> bool:
        """Add an entry; return False if it is outdated or a duplicate."""
        key = (entry.kind, entry.scope, entry.source, entry.destination)
        created_s = now_s - entry.age_ms / 1000
        if entry.age_ms > self._settings.entry_age_limit_ms:
            return False
        logged = self._logged.get(key)
        if logged is not None:
            if entry.serial < logged.entry.serial:
                return False
            if entry.serial == logged.entry.serial:
                if created_s <= logged.created_s + DUPLICATE_MARGIN_S:
                    return False
        self._arrival += 1
        self._logged[key] = _LoggedEntry(entry, created_s, self._arrival)
        self._logged.move_to_end(key)
        if len(self._logged) > MAX_ENTRY_COUNT:
            self._logged.popitem(last=False)
        return True

    def entries_after(
        self, arrival: int, now_s: float
    ) -> tuple[tuple[int, _scopes.LoanEntry], ...]:
        """Return the entries after an arrival number, oldest first."""
        found: list[tuple[int, _scopes.LoanEntry]] = []
        for key in reversed(list(self._logged)):
            logged = self._logged[key]
            if logged.arrival <= arrival:
                break
            age_ms = round((now_s - logged.created_s) * 1000)
            if age_ms > self._settings.entry_age_limit_ms:
                del self._logged[key]
                continue
            found.append(
                (
                    logged.arrival,
                    dataclasses.replace(logged.entry, age_ms=age_ms),
                )
            )
        found.reverse()
        return tuple(found)
