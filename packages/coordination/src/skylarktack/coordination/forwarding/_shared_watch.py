"""Watches of the store that few instances hold for all.

Each call to the store has its price and counts against its rates, and a
change of one kind wakes each instance that watches it. In a small fleet each
instance watches for itself. In a larger one the first instances in an order
of all watch and pass the store's answers on; the others listen. When no word
of a watching instance is heard, the others ask one after the other, in that
order: the first that is answered watches for all until a better one is heard,
and in an outage the whole fleet makes a few calls a second.
"""

import dataclasses
import enum
import math
import queue
import random
import threading

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _fleet_tasks
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Up to this number of instances each watches for itself.
WATCH_FREELY_COUNT = 12

#: Instances that watch for all others in a larger fleet.
WATCHER_COUNT = 2

#: Longest wait of the watch that others rely on; it bounds the time for which
#: a silent store goes unnoticed. When the watching instances are cut off, the
#: next one asks after this, the margin of a confirmation and the life of a
#: beat, 1.7 s, less than a leaving target may go on to get requests.
SHARED_WATCH_WAIT_S = 0.5

#: Shortest pause between two watches of an instance that hears one that comes
#: before it, and only keeps up to replace it.
BACKUP_GATHER_S = 1.0

#: Time after the start in which an instance waits to hear the others before
#: it asks the store for what its first, stale lists lack.
SETTLE_S = 1.0

#: Time between the turns of two instances that hear no watching one, the
#: longest wait for the first turn, and the calls that all instances make a
#: second after it.
TURN_STEP_S = 0.1
LONGEST_FIRST_TURN_S = 2.0
TURNS_PER_S = 10.0

#: Time between two beats of a watching instance.
BEAT_INTERVAL_S = 0.4

#: A beat counts for this time. Together with a watch it stays below the time
#: within which a configuration has to be in force.
BEAT_LIFETIME_S = 0.9

#: Age up to which the store's last answer is passed on as a beat.
CONFIRMATION_LIFETIME_S = SHARED_WATCH_WAIT_S + 0.3

#: Changes that wait to be taken over.
INBOX_LIMIT_COUNT = 256


class StoreRole(enum.Enum):
    """How an instance follows one kind of objects."""

    #: It asks the store itself.
    ASK = 'ask'

    #: It takes over what others pass on.
    LISTEN = 'listen'

    #: It hears nobody, and others ask before it.
    WAIT = 'wait'


@dataclasses.dataclass
class _Kind:
    """What is known about one kind of objects."""

    confirmed: data.ConfirmedKind | None = None
    confirmed_at_s: float = -math.inf
    heard: data.ConfirmedKind | None = None
    heard_until_s: float = -math.inf
    #: The same for instances that come before this one.
    preceded_until_s: float = -math.inf
    #: When this instance may ask although nobody is heard, or None.
    turn_at_s: float | None = None
    inbox: queue.Queue[data.StoreChange] = dataclasses.field(
        default_factory=lambda: queue.Queue(INBOX_LIMIT_COUNT)
    )


class SharedWatch:
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
        self._started_at_s = clock.monotonic_s()

    def is_shared(self) -> bool:
        """Return whether the fleet is large enough for shared watches."""
        return self._fleet.instance_count() > WATCH_FREELY_COUNT

    def role(self, kind: str) -> StoreRole:
        """Return how this instance follows a kind now."""
        now_s = self._clock.monotonic_s()
        if not self.is_shared():
            is_starting = now_s < self._started_at_s + SETTLE_S
            if is_starting and not self._fleet.is_small(WATCH_FREELY_COUNT):
                return StoreRole.WAIT
            return StoreRole.ASK
        rank = self._fleet.rank()
        if rank < WATCHER_COUNT:
            return StoreRole.ASK
        with self._lock:
            known = self._of(kind)
            is_acting = self._is_confirmed(known, now_s)
            is_preceded = now_s <= known.preceded_until_s
            is_heard = now_s <= known.heard_until_s
            if is_preceded or (is_heard and not is_acting):
                known.turn_at_s = None
                return StoreRole.LISTEN
            if is_acting:
                return StoreRole.ASK
            if known.turn_at_s is None:
                wait_s = min(
                    TURN_STEP_S * (rank - WATCHER_COUNT), LONGEST_FIRST_TURN_S
                )
                known.turn_at_s = now_s + wait_s * _jitter()
            if now_s < known.turn_at_s:
                return StoreRole.WAIT
            return StoreRole.ASK

    def take_turn(self) -> None:
        """Note that this instance asks the store."""
        interval_s = self._fleet.instance_count() / TURNS_PER_S
        next_s = self._clock.monotonic_s() + interval_s * _jitter()
        with self._lock:
            for known in self._kinds.values():
                if known.turn_at_s is not None:
                    known.turn_at_s = next_s

    def watch_wait_s(self, kind: str, longest_s: float) -> float:
        """Return how long a watch of a kind may wait for a change.

        :param longest_s: the same in a small fleet.
        """
        if not self.is_shared() or self._is_preceded(kind):
            return longest_s
        return SHARED_WATCH_WAIT_S

    def gather_s(self, kind: str, shortest_s: float) -> float:
        """Return the pause between two watches of a kind.

        It gathers changes into one call.

        :param shortest_s: the same in a small fleet.
        """
        if self.is_shared() and self._is_preceded(kind):
            return max(shortest_s, BACKUP_GATHER_S)
        return shortest_s

    def heard(self, kind: str) -> data.ConfirmedKind | None:
        """Return what others say of a kind, or None if none is heard."""
        with self._lock:
            known = self._of(kind)
            if self._clock.monotonic_s() > known.heard_until_s:
                return None
            return known.heard

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

    def note_answer(self, confirmed: data.ConfirmedKind) -> None:
        """Note that the store answered."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            known = self._of(confirmed.kind)
            known.confirmed = confirmed
            known.confirmed_at_s = now_s
            for other in self._kinds.values():
                # The store answers, so the other kinds need not wait.
                if other.turn_at_s is not None:
                    other.turn_at_s = now_s

    def publish(self, change: data.StoreChange) -> None:
        """Pass a change on unless one that comes before does so."""
        if self.is_shared() and not self._is_preceded(change.kind):
            self._link.broadcast(change, self._fleet.broadcast_order())

    def receive_change(self, change: data.StoreChange) -> None:
        """Queue a change of another instance."""
        with self._lock:
            inbox = self._of(change.kind).inbox
        try:
            inbox.put_nowait(change)
        except queue.Full:
            # The revision that the next beat names shows what is missing.
            return

    def receive_heartbeat(self, beat: data.WatchHeartbeat) -> None:
        """Note that another instance hears the store."""
        until_s = self._clock.monotonic_s() + BEAT_LIFETIME_S
        precedes = self._fleet.precedes(beat.instance)
        with self._lock:
            for confirmed in beat.kinds:
                known = self._of(confirmed.kind)
                known.heard_until_s = until_s
                if precedes:
                    known.preceded_until_s = until_s
                newest = (
                    0 if known.heard is None else known.heard.changed_revision
                )
                if confirmed.changed_revision >= newest:
                    known.heard = confirmed

    def beat(self) -> data.WatchHeartbeat | None:
        """Return the word that this instance hears the store, or None."""
        if not self.is_shared():
            return None
        now_s = self._clock.monotonic_s()
        kinds = []
        with self._lock:
            for known in self._kinds.values():
                if now_s <= known.preceded_until_s:
                    continue
                if known.confirmed and self._is_confirmed(known, now_s):
                    kinds.append(known.confirmed)
        if not kinds:
            return None
        return data.WatchHeartbeat(self._fleet.instance, tuple(kinds))

    def run_heartbeats(self) -> None:
        """Send beats until the process ends; run it as a task."""
        while True:
            self._clock.wait(self._never, BEAT_INTERVAL_S)
            beat = self.beat()
            if beat is not None:
                self._link.broadcast(beat, self._fleet.broadcast_order())

    def _is_preceded(self, kind: str) -> bool:
        """Return whether one that comes before this one is heard for a kind.

        The store may answer an instance for some kinds and refuse others.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            return now_s <= self._of(kind).preceded_until_s

    def _is_confirmed(self, known: _Kind, now_s: float) -> bool:
        return now_s <= known.confirmed_at_s + CONFIRMATION_LIFETIME_S

    def _of(self, kind: str) -> _Kind:
        known = self._kinds.get(kind)
        if known is None:
            known = _Kind()
            self._kinds[kind] = known
        return known


def _jitter() -> float:
    return 0.75 + random.random() / 2
