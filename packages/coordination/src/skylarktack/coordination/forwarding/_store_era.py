"""The era of the store, which changes when it is restored from a copy.

A restored store has lost its last changes, acknowledged ones too, and gives
their revisions out again. Whatever was read in an earlier era has to be read
again, and whatever this instance wrote then may have to be written again.
"""

import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _store_events


class StoreEra:
    """The newest era that the store reported to this instance."""

    def __init__(self, log: _events.EventLog) -> None:
        self._log = log
        self._lock = threading.Lock()
        self._current: int | None = None
        self._listeners: list[threading.Event] = []

    @property
    def current(self) -> int:
        """Return the newest era; 0 before the first response."""
        return self._current or 0

    def add_listener(self, event: threading.Event) -> None:
        """Set the event each time the store has been restored."""
        with self._lock:
            self._listeners.append(event)

    def record(self, era: int) -> None:
        """Record the era of a response; an earlier one has no effect."""
        with self._lock:
            previous = self._current
            if previous is not None and era <= previous:
                return
            self._current = era
            listeners = tuple(self._listeners)
        if previous is None:
            return
        self._log.record(_store_events.StoreRestored(previous, era))
        for event in listeners:
            event.set()
