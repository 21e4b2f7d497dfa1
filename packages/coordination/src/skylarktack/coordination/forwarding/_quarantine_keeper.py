"""Keeps quarantined prompt parts in the store.

Instances learn of quarantines from each other. If all of them stop at once,
the parts would have to be learned again from crashes. An instance reads the
store when it starts, and writes what it decided itself. A store that was
restored from a copy has lost the last decisions; two instances write them
again.
"""

import dataclasses
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _record_writers
from skylarktack.coordination.forwarding import _store_era
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Number of reads after the start. Stale reads cost a tenth of a call, but may
#: miss writes of the last seconds.
READ_COUNT = 2

#: Time between two reads, and the delay after a failed call.
READ_INTERVAL_S = 4.0
RETRY_DELAY_S = 0.7

#: Time after which an instance looks for changes that it missed.
CHANGE_WAIT_S = 60.0


class QuarantineStore(Protocol):
    """Stored quarantines; the calls return None or False on a failure."""

    def load(
        self, may_be_stale: bool
    ) -> tuple[data.StoredQuarantine, ...] | None:
        """Return all stored quarantines.

        :param may_be_stale: whether they may be seconds old, which costs a
            tenth of a call.
        """
        ...

    def save(self, quarantine: data.StoredQuarantine) -> bool:
        """Create or replace the quarantine of a part."""
        ...

    def remove(self, part_id: str) -> bool:
        """Remove the quarantine of a part."""
        ...


@dataclasses.dataclass(frozen=True)
class QuarantineChange:
    """A decision of this instance that the store does not have yet."""

    part_id: str

    #: None for a part that was released.
    stored: data.StoredQuarantine | None


class QuarantineSource(Protocol):
    """The quarantines of this instance."""

    #: Set when there are changes, and by a restore of the store.
    has_changes: threading.Event

    def restore(self, stored: tuple[data.StoredQuarantine, ...]) -> None:
        """Apply what the store has."""
        ...

    def compare(self, stored: tuple[data.StoredQuarantine, ...]) -> None:
        """Mark for writing what a restored store lacks or has again."""
        ...

    def take_changes(self) -> tuple[QuarantineChange, ...]:
        """Return the decisions since the last call."""
        ...


class QuarantineKeeper:
    """Reads and writes stored quarantines; runs as a task."""

    def __init__(
        self,
        clock: Clock,
        source: QuarantineSource,
        store: QuarantineStore,
        fleet: _record_writers.RankSource,
        era: _store_era.StoreEra,
    ) -> None:
        self._clock = clock
        self._source = source
        self._store = store
        self._restore_checks = _record_writers.RestoreChecks(
            clock,
            era,
            _record_writers.WriterOrder(clock, fleet),
            source.has_changes,
        )
        self._never_set = threading.Event()

    def run(self) -> None:
        """Read the store, then write changes until the process ends."""
        for _ in range(READ_COUNT):
            self.read()
            self._clock.wait(self._source.has_changes, READ_INTERVAL_S)
            self.write_changes()
        while True:
            self.check_restore()
            self._clock.wait(self._source.has_changes, CHANGE_WAIT_S)
            self.write_changes()

    def read(self) -> None:
        """Apply what the store has; repeat the call until it succeeds."""
        self._source.restore(self._load(may_be_stale=True))

    def check_restore(self) -> None:
        """Find what a restored store lacks, if this instance is due."""
        if self._restore_checks.wait_if_due():
            self._source.compare(self._load(may_be_stale=False))

    def write_changes(self) -> None:
        """Write the decisions of this instance, each until it succeeds.

        A decision that a later one replaces meanwhile is left out.
        """
        pending = {
            change.part_id: change for change in self._source.take_changes()
        }
        while pending:
            for change in list(pending.values()):
                if self._write(change):
                    del pending[change.part_id]
            if not pending:
                return
            self._clock.wait(self._never_set, RETRY_DELAY_S)
            for change in self._source.take_changes():
                pending[change.part_id] = change

    def _load(self, may_be_stale: bool) -> tuple[data.StoredQuarantine, ...]:
        while True:
            stored = self._store.load(may_be_stale)
            if stored is not None:
                return stored
            self._clock.wait(self._never_set, RETRY_DELAY_S)

    def _write(self, change: QuarantineChange) -> bool:
        if change.stored is None:
            return self._store.remove(change.part_id)
        return self._store.save(change.stored)
