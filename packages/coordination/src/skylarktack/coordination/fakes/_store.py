"""In-memory implementation of the platform's object API, with faults."""

import collections
import dataclasses
import threading
import time

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class StoreFaults:
    """Faults of the in-memory store.

    Each count is the number of further writes with the fault and decreases
    with each of them.
    """

    #: Whether every call fails without effect.
    down: bool = False

    #: Whether each watch fails although other calls are served.
    cuts_watches: bool = False

    #: Writes that take effect and whose response is lost.
    lose_write_answers_count: int = 0

    #: Writes that are lost before they take effect, without a response.
    lose_writes_count: int = 0


class MemoryObjectStore:
    """Versioned objects shared by all instances of one test."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, state.StoredObject] = {}
        self._version = 0
        self._copy: tuple[int, dict[str, state.StoredObject]] = (0, {})
        self._era = 0
        self._era_listeners: list[threading.Event] = []
        self.listed = state.PlatformList((), ())
        self.faults = StoreFaults()
        self.call_counts: collections.Counter[str] = collections.Counter()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults and wake waiting watches."""
        with self._changed:
            self.faults = faults
            self._changed.notify_all()

    @property
    def era(self) -> int:
        """Era of the store; each restore begins another one."""
        return self._era

    def add_era_listener(self, event: threading.Event) -> None:
        """Set the event at each restore."""
        with self._changed:
            self._era_listeners.append(event)

    def take_copy(self) -> None:
        """Take the copy that the next restore brings back."""
        with self._changed:
            self._copy = (self._version, dict(self._objects))

    def restore(self) -> None:
        """Come back from the copy and begin a new era."""
        with self._changed:
            self._version, objects = self._copy
            self._objects = dict(objects)
            self._era += 1
            self._changed.notify_all()
            listeners = tuple(self._era_listeners)
        for event in listeners:
            event.set()

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object."""
        with self._changed:
            self.call_counts['get'] += 1
            if self.faults.down:
                return Error(_unavailable())
            stored = self._objects.get(key)
            if stored is None:
                return Error(
                    state.StoreFault(state.StoreFaultKind.MISSING, key)
                )
            return Ok(stored)

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one."""
        with self._changed:
            self.call_counts['put'] += 1
            if self.faults.down:
                return Error(_unavailable())
            if self._consume_fault('lose_writes_count'):
                return Error(_response_lost())
            current = self._objects.get(key)
            found = None if current is None else current.version
            if found != expected_version:
                return Error(
                    state.StoreFault(state.StoreFaultKind.CONFLICT, key)
                )
            self._version += 1
            stored = state.StoredObject(key, value, self._version)
            self._objects[key] = stored
            self._changed.notify_all()
            if self._consume_fault('lose_write_answers_count'):
                return Error(_response_lost())
            return Ok(stored)

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Remove one object if its version is the expected one."""
        with self._changed:
            self.call_counts['delete'] += 1
            if self.faults.down:
                return Error(_unavailable())
            current = self._objects.get(key)
            if current is None or current.version != expected_version:
                return Error(
                    state.StoreFault(state.StoreFaultKind.CONFLICT, key)
                )
            self._version += 1
            del self._objects[key]
            return Ok(None)

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        """Read all objects whose key starts with the prefix."""
        with self._changed:
            self.call_counts['list'] += 1
            if self.faults.down:
                return Error(_unavailable())
            return Ok(self._matching(prefix, 0))

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        """Wait for changes after a version; empty after the wait."""
        end_s = time.monotonic() + wait_s
        with self._changed:
            self.call_counts['watch'] += 1
            era = self._era
            while True:
                if self._era != era:
                    return Ok(state.WatchBatch(after_version, ()))
                if self.faults.down or self.faults.cuts_watches:
                    return Error(_unavailable())
                changed = self._matching(prefix, after_version)
                if changed:
                    return Ok(state.WatchBatch(self._version, changed))
                remaining_s = end_s - time.monotonic()
                if remaining_s <= 0:
                    return Ok(state.WatchBatch(after_version, ()))
                self._changed.wait(remaining_s)

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        """Read the list of live and leaving (draining) instances."""
        with self._changed:
            self.call_counts['platform_list'] += 1
            if self.faults.down:
                return Error(_unavailable())
            return Ok(self.listed)

    def _consume_fault(self, field: str) -> bool:
        remaining: int = getattr(self.faults, field)
        if not remaining:
            return False
        self.faults = dataclasses.replace(
            self.faults,
            **{field: remaining - 1},  # type: ignore[arg-type]
        )
        return True

    def _matching(
        self, prefix: str, after_version: int
    ) -> tuple[state.StoredObject, ...]:
        found: list[state.StoredObject] = []
        for stored in self._objects.values():
            if not stored.key.startswith(prefix):
                continue
            if stored.version <= after_version:
                continue
            found.append(stored)
        return tuple(sorted(found, key=lambda stored: stored.version))


class SeenEra:
    """Newest era that the calls of one instance were answered in."""

    def __init__(self, store: MemoryObjectStore) -> None:
        self._store = store
        self._listeners: list[threading.Event] = []
        self.current = 0

    def add_listener(self, event: threading.Event) -> None:
        """Set the event each time a call notices a restore."""
        self._listeners.append(event)

    def update(self) -> None:
        """Notice the era of the store, at the end of a call."""
        if self.current == self._store.era:
            return
        self.current = self._store.era
        for event in self._listeners:
            event.set()


def _unavailable() -> state.StoreFault:
    return state.StoreFault(
        state.StoreFaultKind.UNAVAILABLE, 'store unavailable'
    )


def _response_lost() -> state.StoreFault:
    return state.StoreFault(state.StoreFaultKind.ANSWER_LOST, 'response lost')
