"""Keeps the records of versions whose move has begun in the store."""

import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _record_writers
from skylarktack.coordination.forwarding import _store_era
from skylarktack.coordination.forwarding import _version_trials
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Delay after a failed call.
RETRY_DELAY_S = 0.7

#: Time after which an instance looks for changes that it missed.
CHANGE_WAIT_S = 60.0


class TrialStore(Protocol):
    """Stored records; the calls return None or False on a failure."""

    def load(self, may_be_stale: bool) -> tuple[data.VersionTrial, ...] | None:
        """Return all records.

        :param may_be_stale: whether they may be seconds old, which costs a
            tenth of a call.
        """
        ...

    def save(self, trial: data.VersionTrial) -> bool:
        """Create the record of a version unless there is one."""
        ...

    def remove(self, service: str, version: str) -> bool:
        """Remove the record of a version; True also if there is none."""
        ...


class TrialSource(Protocol):
    """The moves of this instance."""

    trials: _version_trials.VersionTrials

    #: Set once the orders have been read for the first time.
    is_synced: threading.Event

    def has_versions_on_trial(self) -> bool:
        """Return whether a service may have a version that is not proven."""
        ...


class TrialKeeper:
    """Reads the records at the start and writes changes; runs as a task."""

    def __init__(
        self,
        clock: Clock,
        moves: TrialSource,
        store: TrialStore,
        fleet: _record_writers.RankSource,
        era: _store_era.StoreEra,
        are_targets_listed: threading.Event,
    ) -> None:
        """Create a keeper.

        :param are_targets_listed: set once the targets have been listed.
        """
        self._clock = clock
        self._moves = moves
        self._trials = moves.trials
        self._are_targets_listed = are_targets_listed
        self._store = store
        self._writer_order = _record_writers.WriterOrder(clock, fleet)
        self._restore_checks = _record_writers.RestoreChecks(
            clock, era, self._writer_order, self._trials.has_changes
        )
        self._never_set = threading.Event()

    def run(self) -> None:
        """Read the records, then write changes until the process ends."""
        for is_synced in (self._moves.is_synced, self._are_targets_listed):
            while not is_synced.is_set():
                self._clock.wait(is_synced, CHANGE_WAIT_S)
        self.read()
        while True:
            self.check_restore()
            self._clock.wait(self._trials.has_changes, CHANGE_WAIT_S)
            self.write_changes()

    def read(self) -> None:
        """Apply the records; repeat the call until it succeeds.

        While a version may be on trial they have to be up to date: a record
        may be a fraction of a second old when all instances start again.
        """
        while True:
            may_be_stale = not self._moves.has_versions_on_trial()
            stored = self._store.load(may_be_stale)
            if stored is not None:
                self._trials.restore(stored)
                return
            self._clock.wait(self._never_set, RETRY_DELAY_S)

    def check_restore(self) -> None:
        """Find what a restored store lacks, if this instance is due."""
        if not self._restore_checks.wait_if_due():
            return
        while True:
            stored = self._store.load(may_be_stale=False)
            if stored is not None:
                self._trials.compare(stored)
                return
            self._clock.wait(self._never_set, RETRY_DELAY_S)

    def write_changes(self) -> None:
        """Write the changes of this instance, each until it succeeds.

        Instances of higher ranks leave them to the others.
        """
        pending = list(self._trials.take_changes())
        if not pending:
            return
        is_writer = self._writer_order.wait()
        while pending and is_writer:
            failed = [change for change in pending if not self._write(change)]
            if not failed:
                return
            self._clock.wait(self._never_set, RETRY_DELAY_S)
            pending = _without_replaced(failed, self._trials.take_changes())
            is_writer = self._writer_order.is_writer()

    def _write(self, change: _version_trials.TrialChange) -> bool:
        if change.trial is None:
            return self._store.remove(change.service, change.version)
        return self._store.save(change.trial)


def _without_replaced(
    failed: list[_version_trials.TrialChange],
    newer: tuple[_version_trials.TrialChange, ...],
) -> list[_version_trials.TrialChange]:
    """Return all changes, without those that a newer one replaces."""
    replaced = {(change.service, change.version) for change in newer}
    kept = []
    for change in failed:
        if (change.service, change.version) not in replaced:
            kept.append(change)
    return [*kept, *newer]
