"""The era of the store, which changes when it is restored from a copy.

A restored store has lost its last changes, acknowledged ones too, and gives
their revisions out again. Whatever was read in an earlier era has to be read
again, and whatever this instance wrote then may have to be written again.
"""

import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _store_events

#: Number of responses that have to report the same unexpected era, one that
#: falls or rises by more than one, before it is believed.
CONFIRMATION_COUNT = 3


class StoreEra:
    """The era that the store reports to this instance.

    A reported era that rises by one is believed at once. Any other change is
    only believed when several responses agree, or one and a peer, since a
    response may be wrong.

    The eras of this instance never fall: after a fall of the reported one they
    differ from it by an offset, which peers do not know.
    """

    def __init__(self, log: _events.EventLog) -> None:
        self._log = log
        self._lock = threading.Lock()
        self._reported: int | None = None
        self._offset = 0
        self._listeners: list[threading.Event] = []
        self._call_count = 0
        # Number of calls that had begun at the last response of the era.
        self._confirmed_call_count = 0
        self._unexpected: int | None = None
        self._unexpected_count = 0
        # Last era that a peer was told, if it is another one.
        self._peer_reported: int | None = None

    @property
    def current(self) -> int:
        """Return the era of this instance; 0 before the first response."""
        with self._lock:
            return (self._reported or 0) + self._offset

    @property
    def reported(self) -> int:
        """Return the era that the store reports; 0 before the first."""
        with self._lock:
            return self._reported or 0

    def from_reported(self, reported: int) -> int:
        """Return the era of this instance for one that a peer was told."""
        with self._lock:
            return reported + self._offset

    def to_reported(self, era: int) -> int:
        """Return the era that peers know for one of this instance."""
        with self._lock:
            return era - self._offset

    def add_listener(self, event: threading.Event) -> None:
        """Set the event each time the store has been restored."""
        with self._lock:
            self._listeners.append(event)

    def record_peer(self, reported: int) -> None:
        """Record the era that the store reports to a peer."""
        with self._lock:
            if reported != self._reported:
                self._peer_reported = reported

    def begin_call(self) -> int:
        """Return the number of a call that begins, for ``record``."""
        with self._lock:
            self._call_count += 1
            return self._call_count

    def record(self, reported: int, call_number: int = 0) -> int | None:
        """Record the era that a response reports.

        :param call_number: number of its call. An unexpected era counts only
            if the call began after the last response of the current era.
        :return: era of this instance for the response, or None if it is
            not of the current era.
        """
        with self._lock:
            previous = self._reported
            if reported == previous or previous is None:
                self._confirm(reported)
                return reported + self._offset
            if reported != previous + 1 and not self._is_confirmed(
                reported, call_number
            ):
                return None
            if reported < previous:
                self._offset += previous + 1 - reported
            self._confirm(reported)
            era = reported + self._offset
            listeners = tuple(self._listeners)
        self._log.record(_store_events.StoreRestored(previous, reported))
        for event in listeners:
            event.set()
        return era

    def _confirm(self, reported: int) -> None:
        self._reported = reported
        self._confirmed_call_count = self._call_count
        self._unexpected = None
        self._unexpected_count = 0
        self._peer_reported = None

    def _is_confirmed(self, reported: int, call_number: int) -> bool:
        """Count an unexpected era; return whether it is to be believed."""
        if call_number <= self._confirmed_call_count:
            return False
        if reported == self._peer_reported:
            return True
        if reported != self._unexpected:
            self._unexpected = reported
            self._unexpected_count = 0
        self._unexpected_count += 1
        return self._unexpected_count >= CONFIRMATION_COUNT
