"""Watches of the store that few instances hold for all.

Each call to the store has its price and counts against its rates, and a
change of one kind wakes each instance that watches it. In a small fleet each
instance watches for itself. In a larger one a few watch and pass the store's
answers on; the others listen, and ask the store themselves as soon as they
miss a change or no longer hear that the watching instances hear the store.
"""

import dataclasses
import math
import queue
import threading

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _fleet_tasks
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Up to this number of instances each watches for itself.
WATCH_FREELY_COUNT = 12

#: Instances that watch for all others in a larger fleet.
WATCHER_COUNT = 3

#: Longest wait of a watch that others rely on; it bounds the time for which
#: a silent store goes unnoticed.
SHARED_WATCH_WAIT_S = 1.0

#: Time between two beats of a watching instance.
BEAT_INTERVAL_S = 0.4

#: A beat counts for this time. Together with a watch it stays below the time
#: within which a configuration has to be in force.
BEAT_LIFETIME_S = 0.9

#: Age up to which the store's last answer is passed on as a beat.
CONFIRMATION_LIFETIME_S = SHARED_WATCH_WAIT_S + 0.3

#: Changes that wait to be taken over.
INBOX_LIMIT_COUNT = 256


@dataclasses.dataclass
class _Kind:
    """What is known about one kind of objects."""

    own_revision: int = 0
    confirmed_at_s: float = -math.inf
    heard_revision: int = 0
    heard_until_s: float = -math.inf
    inbox: queue.Queue[data.StoreChange] = dataclasses.field(
        default_factory=lambda: queue.Queue(INBOX_LIMIT_COUNT)
    )


class StoreSharing:
    """Decides who watches, and passes changes among the instances."""

    def __init__(
        self,
        clock: Clock,
        fleet: _fleet.FleetView,
        link: _fleet_tasks.FleetLink,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._link = link
        self._lock = threading.Lock()
        self._kinds: dict[str, _Kind] = {}
        self._never = threading.Event()

    def is_shared(self) -> bool:
        """Return whether the fleet is large enough for shared watches."""
        return self._fleet.instance_count() > WATCH_FREELY_COUNT

    def is_watcher(self) -> bool:
        """Return whether this instance watches for others."""
        return self.is_shared() and self._fleet.rank() < WATCHER_COUNT

    def may_listen(self, kind: str) -> bool:
        """Return whether this instance may rely on the others."""
        if not self.is_shared() or self._fleet.rank() < WATCHER_COUNT:
            return False
        return self.heard_revision(kind) is not None

    def heard_revision(self, kind: str) -> int | None:
        """Return the newest revision in use, or None if none is heard."""
        with self._lock:
            known = self._of(kind)
            if self._clock.monotonic_s() > known.heard_until_s:
                return None
            return known.heard_revision

    def next_change(
        self, kind: str, timeout_s: float
    ) -> data.StoreChange | None:
        """Return the next change that was passed on, or None."""
        with self._lock:
            inbox = self._of(kind).inbox
        try:
            return inbox.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def note_answer(self, kind: str, revision: int) -> None:
        """Note that the store answered.

        :param revision: revision of the newest change of the kind.
        """
        with self._lock:
            known = self._of(kind)
            known.own_revision = revision
            known.confirmed_at_s = self._clock.monotonic_s()

    def publish(self, change: data.StoreChange) -> None:
        """Pass a change on if others rely on this instance."""
        if self.is_watcher():
            self._link.send(change, self._fleet.peers())

    def take_change(self, change: data.StoreChange) -> None:
        """Queue a change of another instance."""
        with self._lock:
            inbox = self._of(change.kind).inbox
        try:
            inbox.put_nowait(change)
        except queue.Full:
            # The revision that the next beat names shows what is missing.
            return

    def take_beat(self, beat: data.StoreBeat) -> None:
        """Note that another instance hears the store."""
        until_s = self._clock.monotonic_s() + BEAT_LIFETIME_S
        with self._lock:
            for kind, revision in beat.revisions:
                known = self._of(kind)
                known.heard_until_s = until_s
                known.heard_revision = max(known.heard_revision, revision)

    def beat(self) -> data.StoreBeat | None:
        """Return the word that this instance hears the store, or None."""
        if not self.is_watcher():
            return None
        oldest_s = self._clock.monotonic_s() - CONFIRMATION_LIFETIME_S
        revisions = []
        with self._lock:
            for kind, known in self._kinds.items():
                if known.confirmed_at_s >= oldest_s:
                    revisions.append((kind, known.own_revision))
        if not revisions:
            return None
        return data.StoreBeat(self._fleet.instance, tuple(revisions))

    def run_beats(self) -> None:
        """Send beats until the process ends; run it as a task."""
        while True:
            self._clock.wait(self._never, BEAT_INTERVAL_S)
            beat = self.beat()
            if beat is not None:
                self._link.send(beat, self._fleet.peers())

    def _of(self, kind: str) -> _Kind:
        known = self._kinds.get(kind)
        if known is None:
            known = _Kind()
            self._kinds[kind] = known
        return known
