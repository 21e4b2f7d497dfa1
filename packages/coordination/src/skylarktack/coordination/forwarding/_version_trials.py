"""Versions that must not be used because their move was called off.

An order for a move may be replaced before its end, and the store then holds
nothing of the former one. So each version is recorded when its move begins and
removed when the move is completed. An instance that starts excludes the
recorded versions, except the one of the current order.
"""

from collections.abc import Sequence
import dataclasses
import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _move_events
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum number of records that are kept; the oldest are removed first.
MAX_TRIAL_COUNT = 256

#: Age at which a record is removed. It is longer than targets of a version
#: that was called off are expected to stay.
MAX_TRIAL_AGE_S = 30 * 24 * 3600


@dataclasses.dataclass(frozen=True)
class TrialChange:
    """A change of the records that the store does not have yet."""

    service: str

    version: str

    #: None if the record is to be removed.
    trial: data.VersionTrial | None


@dataclasses.dataclass(frozen=True)
class _Key:
    """The version of a service to which a record belongs."""

    service: str

    version: str


class VersionTrials:
    """Records of versions whose move has begun; safe for several threads."""

    def __init__(self, clock: Clock, log: _events.EventLog) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._changes: dict[_Key, data.VersionTrial | None] = {}
        #: Records that the store has, or will have after the changes.
        self._recorded: dict[_Key, data.VersionTrial] = {}
        #: Versions whose move was completed, whose records a restored store
        #: may have again.
        self._completed: dict[_Key, None] = {}
        self._called_off: set[_Key] = set()
        #: Set once the records have been read.
        self.is_read = threading.Event()
        #: Set when there are changes, and by a restore of the store.
        self.has_changes = threading.Event()

    def record_begun(self, service: str, version: str) -> None:
        """Record that a move to a version is in progress."""
        key = _Key(service, version)
        began_at_ms = int(self._clock.wall_s() * 1000)
        with self._lock:
            self._called_off.discard(key)
            self._completed.pop(key, None)
            if key in self._recorded:
                return
            trial = data.VersionTrial(service, version, began_at_ms)
            self._recorded[key] = trial
            self._change(key, trial)

    def record_completed(self, service: str, version: str) -> None:
        """Record that a version has proved to be good."""
        key = _Key(service, version)
        with self._lock:
            self._called_off.discard(key)
            self._completed.pop(key, None)
            self._completed[key] = None
            if len(self._completed) > MAX_TRIAL_COUNT:
                del self._completed[next(iter(self._completed))]
            if self.is_read.is_set() and key not in self._recorded:
                return
            self._recorded.pop(key, None)
            self._change(key, None)

    def restore(self, stored: Sequence[data.VersionTrial]) -> None:
        """Apply the records of the store, read at the start.

        Changes that were made before go first. Later calls have no effect,
        since they would take a completed move for one that was called off.
        """
        if self.is_read.is_set():
            return
        newest = sorted(
            stored, key=lambda trial: trial.began_at_ms, reverse=True
        )
        oldest_ms = (self._clock.wall_s() - MAX_TRIAL_AGE_S) * 1000
        called_off = []
        with self._lock:
            unstored = set(self._changes)
            for position, trial in enumerate(newest):
                key = _Key(trial.service, trial.version)
                unstored.discard(key)
                if key in self._changes:
                    if self._changes[key] is not None:
                        del self._changes[key]
                    continue
                is_old = trial.began_at_ms < oldest_ms
                if is_old or position >= MAX_TRIAL_COUNT:
                    self._change(key, None)
                    continue
                self._recorded[key] = trial
                self._called_off.add(key)
                called_off.append(trial)
            for key in unstored:
                if self._changes[key] is None:
                    del self._changes[key]
            self.is_read.set()
        for trial in called_off:
            self._log.record(
                _move_events.VersionExcluded(trial.service, trial.version)
            )

    def compare(self, stored: Sequence[data.VersionTrial]) -> None:
        """Mark for writing what a restored store lacks or has again.

        Nothing is excluded by its records; see ``restore``.
        """
        stored_keys = {_Key(trial.service, trial.version) for trial in stored}
        with self._lock:
            newest = sorted(
                self._recorded.items(),
                key=lambda item: item[1].began_at_ms,
                reverse=True,
            )
            for key, trial in newest[:MAX_TRIAL_COUNT]:
                if key not in stored_keys:
                    self._change(key, trial)
            for key in self._completed:
                if key in stored_keys:
                    self._change(key, None)

    def take_changes(self) -> tuple[TrialChange, ...]:
        """Return the changes since the last call."""
        with self._lock:
            changes = []
            for key, trial in self._changes.items():
                changes.append(TrialChange(key.service, key.version, trial))
            self._changes.clear()
            self.has_changes.clear()
        return tuple(changes)

    def last_resort(self, service: str, ordered: str | None) -> frozenset[str]:
        """Return the versions that were called off by the records.

        They are used where no other version is listed, so that a record that
        could not be removed leaves the service with targets.

        :param ordered: version of the service's current order, or None.
        """
        called_off = set()
        with self._lock:
            for key in self._called_off:
                if key.service == service and key.version != ordered:
                    called_off.add(key.version)
        return frozenset(called_off)

    def _change(self, key: _Key, trial: data.VersionTrial | None) -> None:
        self._changes[key] = trial
        self.has_changes.set()
