"""Watches of the store that a few instances hold for the whole fleet.

Each call to the store is charged and counts against its rate limits, and a
change of one kind wakes each instance that watches it. In a small fleet each
instance watches for itself. In a larger one the instances of the lowest ranks
watch and forward the store's responses; the others receive them. When no
heartbeat of a watching instance arrives, the others ask the store one after
the other, in the order of their ranks. The first that gets a response watches
for the fleet until an instance of a lower rank does. In an outage the whole
fleet makes a few calls a second.
"""

import dataclasses
import enum
import math
import queue
import random
import threading

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _fleet_tasks
from skylarktack.coordination.forwarding import _store_era
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: In a fleet of up to this size each instance watches for itself.
MAX_UNSHARED_FLEET_SIZE = 12

#: Instances that watch for the others in a larger fleet.
WATCHER_COUNT = 2

#: Maximum wait of a watch that peers rely on, which bounds how long an
#: unresponsive store goes unnoticed. When the watching instances lose the
#: store, the next one takes over after this time, the margin of a confirmation
#: and the lifetime of a heartbeat: 1.7 s in all, which is less than the time
#: for which a target that is being drained may still receive requests.
SHARED_WATCH_WAIT_S = 0.5

#: Minimum pause between two watches of a backup, an instance that watches
#: only to be able to replace one of a lower rank.
BACKUP_PAUSE_S = 1.0

#: Time after the start for which an instance waits for heartbeats of peers
#: before it asks the store for the changes that its first, stale lists lack.
STARTUP_WAIT_S = 1.0

#: While no heartbeat arrives: delay between the first calls of instances of
#: adjacent ranks, maximum delay of the first call, and calls that the whole
#: fleet makes each second after it.
FIRST_CALL_INTERVAL_S = 0.1
MAX_FIRST_CALL_DELAY_S = 2.0
FLEET_CALLS_PER_S = 10.0

#: Interval between two heartbeats of a watching instance.
HEARTBEAT_INTERVAL_S = 0.4

#: Time for which a heartbeat is valid. Together with the wait of a watch it is
#: shorter than the time in which a configuration has to take effect.
HEARTBEAT_LIFETIME_S = 0.9

#: Heartbeats are sent while the store's last response is younger than this.
CONFIRMATION_LIFETIME_S = SHARED_WATCH_WAIT_S + 0.3

#: Forwarded changes of one kind that may wait to be applied.
MAX_QUEUED_CHANGE_COUNT = 256


class WatchRole(enum.Enum):
    """How an instance learns of changes to one kind of objects."""

    #: It lists and watches the kind itself.
    WATCH = 'watch'

    #: It applies the changes that peers forward.
    RECEIVE = 'receive'

    #: No peer sends heartbeats, and instances of lower ranks ask first.
    WAIT = 'wait'


@dataclasses.dataclass
class _KindState:
    """State of the shared watch of one kind of objects."""

    #: State that the store last confirmed to this instance, and when.
    confirmed: data.ConfirmedKind | None = None
    confirmed_at_s: float = -math.inf
    #: Newest state that heartbeats report, and until when they are valid.
    peer_confirmed: data.ConfirmedKind | None = None
    peer_confirmed_until_s: float = -math.inf
    #: Like peer_confirmed_until_s, but only for instances of lower ranks.
    outranked_until_s: float = -math.inf
    #: Time at which this instance may ask the store although no heartbeat
    #: arrives; None while one does.
    next_call_at_s: float | None = None
    inbox: queue.Queue[data.StoreChange] = dataclasses.field(
        default_factory=lambda: queue.Queue(MAX_QUEUED_CHANGE_COUNT)
    )


class SharedWatch:
    """Decides which instances watch, and forwards changes between them."""

    def __init__(
        self,
        clock: Clock,
        fleet: _fleet.FleetView,
        link: _fleet_tasks.FleetLink,
        era: _store_era.StoreEra,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._link = link
        self._era = era
        self._lock = threading.Lock()
        self._kinds: dict[str, _KindState] = {}
        self._never_set = threading.Event()
        self._started_at_s = clock.monotonic_s()

    def is_shared(self) -> bool:
        """Return whether the fleet is large enough to share watches."""
        return self._fleet.instance_count() > MAX_UNSHARED_FLEET_SIZE

    def instance_count(self) -> int:
        """Return the number of live instances, with this one."""
        return self._fleet.instance_count()

    def role(self, kind: str) -> WatchRole:
        """Return how this instance learns of changes to a kind now."""
        now_s = self._clock.monotonic_s()
        if not self.is_shared():
            is_starting = now_s < self._started_at_s + STARTUP_WAIT_S
            if is_starting and not self._fleet.is_small(
                MAX_UNSHARED_FLEET_SIZE
            ):
                return WatchRole.WAIT
            return WatchRole.WATCH
        rank = self._fleet.rank()
        if rank < WATCHER_COUNT:
            return WatchRole.WATCH
        with self._lock:
            state = self._state_of(kind)
            is_confirmed = self._is_confirmed(state, now_s)
            is_outranked = now_s <= state.outranked_until_s
            is_peer_confirmed = now_s <= state.peer_confirmed_until_s
            if is_outranked or (is_peer_confirmed and not is_confirmed):
                state.next_call_at_s = None
                return WatchRole.RECEIVE
            if is_confirmed:
                return WatchRole.WATCH
            if state.next_call_at_s is None:
                wait_s = min(
                    FIRST_CALL_INTERVAL_S * (rank - WATCHER_COUNT),
                    MAX_FIRST_CALL_DELAY_S,
                )
                state.next_call_at_s = now_s + wait_s * _jitter()
            if now_s < state.next_call_at_s:
                return WatchRole.WAIT
            return WatchRole.WATCH

    def takes_turns(self, kind: str) -> bool:
        """Return whether this instance asks the store only in its turn.

        It does if it is not due to watch and no heartbeat of a watching
        instance is valid.
        """
        if not self.is_shared() or self._fleet.rank() < WATCHER_COUNT:
            return False
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._state_of(kind)
            if self._is_confirmed(state, now_s):
                return False
            return now_s > state.peer_confirmed_until_s

    def record_call(self) -> None:
        """Schedule the next call because this instance asks the store now."""
        interval_s = self._fleet.instance_count() / FLEET_CALLS_PER_S
        next_s = self._clock.monotonic_s() + interval_s * _jitter()
        with self._lock:
            for state in self._kinds.values():
                if state.next_call_at_s is not None:
                    state.next_call_at_s = next_s

    def watch_wait_s(self, kind: str, max_wait_s: float) -> float:
        """Return how long a watch of a kind may wait for a change.

        :param max_wait_s: wait of a watch that no peer relies on.
        """
        if not self.is_shared() or self._is_outranked(kind):
            return max_wait_s
        return SHARED_WATCH_WAIT_S

    def watch_pause_s(self, kind: str, min_pause_s: float) -> float:
        """Return the pause between two watches of a kind.

        Changes that occur in the pause are fetched by one call.

        :param min_pause_s: pause of an instance that is no backup.
        """
        if self.is_shared() and self._is_outranked(kind):
            return max(min_pause_s, BACKUP_PAUSE_S)
        return min_pause_s

    def reported(self, kind: str) -> data.ConfirmedKind | None:
        """Return what valid heartbeats report of a kind, or None."""
        with self._lock:
            state = self._state_of(kind)
            if self._clock.monotonic_s() > state.peer_confirmed_until_s:
                return None
            reported = state.peer_confirmed
        if reported is None or reported.era < self._era.current:
            return None
        return reported

    def next_change(
        self, kind: str, timeout_s: float
    ) -> data.StoreChange | None:
        """Return the next forwarded change, or None after the timeout."""
        with self._lock:
            inbox = self._state_of(kind).inbox
        try:
            return inbox.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def record_response(self, confirmed: data.ConfirmedKind) -> None:
        """Record that the store responded to a call for a kind."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._state_of(confirmed.kind)
            state.confirmed = confirmed
            state.confirmed_at_s = now_s
            for other in self._kinds.values():
                # The store is available, so the other kinds need not wait.
                if other.next_call_at_s is not None:
                    other.next_call_at_s = now_s

    def publish(self, change: data.StoreChange) -> None:
        """Forward a change to all peers unless a lower rank does so."""
        if not self.is_shared() or self._is_outranked(change.kind):
            return
        reported = dataclasses.replace(
            change, era=self._era.to_reported(change.era)
        )
        self._link.broadcast(reported, self._fleet.broadcast_order())

    def receive_change(self, change: data.StoreChange) -> None:
        """Queue a forwarded change; drop it if the queue is full."""
        received = dataclasses.replace(
            change, era=self._era.from_reported(change.era)
        )
        with self._lock:
            inbox = self._state_of(change.kind).inbox
        try:
            inbox.put_nowait(received)
        except queue.Full:
            # The revision in the next heartbeat shows that it is missing.
            return

    def receive_heartbeat(self, heartbeat: data.WatchHeartbeat) -> None:
        """Record the heartbeat of a peer to which the store responds.

        What the store confirmed before a restore is ignored.
        """
        now_s = self._clock.monotonic_s()
        until_s = now_s + HEARTBEAT_LIFETIME_S
        is_outranking = self._fleet.is_outranked_by(heartbeat.instance)
        with self._lock:
            for kind in heartbeat.kinds:
                self._era.record_peer(kind.era)
                confirmed = dataclasses.replace(
                    kind, era=self._era.from_reported(kind.era)
                )
                state = self._state_of(confirmed.kind)
                newest = state.peer_confirmed
                if now_s > state.peer_confirmed_until_s:
                    newest = None
                newest_era = self._era.current
                if newest is not None:
                    newest_era = max(newest_era, newest.era)
                if confirmed.era < newest_era:
                    continue
                state.peer_confirmed_until_s = until_s
                if is_outranking:
                    state.outranked_until_s = until_s
                if newest is None or confirmed.position >= newest.position:
                    state.peer_confirmed = confirmed

    def heartbeat(self) -> data.WatchHeartbeat | None:
        """Return the heartbeat to send, or None if nothing is confirmed."""
        if not self.is_shared():
            return None
        now_s = self._clock.monotonic_s()
        kinds = []
        with self._lock:
            for state in self._kinds.values():
                if now_s <= state.outranked_until_s:
                    continue
                if state.confirmed and self._is_confirmed(state, now_s):
                    kinds.append(state.confirmed)
        if not kinds:
            return None
        reported = [
            dataclasses.replace(kind, era=self._era.to_reported(kind.era))
            for kind in kinds
        ]
        return data.WatchHeartbeat(self._fleet.instance, tuple(reported))

    def run_heartbeats(self) -> None:
        """Send heartbeats until the process ends; runs as a task."""
        while True:
            self._clock.wait(self._never_set, HEARTBEAT_INTERVAL_S)
            heartbeat = self.heartbeat()
            if heartbeat is not None:
                self._link.broadcast(heartbeat, self._fleet.broadcast_order())

    def _is_outranked(self, kind: str) -> bool:
        """Return whether an instance of a lower rank watches a kind.

        The store may serve an instance for some kinds and reject others.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            return now_s <= self._state_of(kind).outranked_until_s

    def _is_confirmed(self, state: _KindState, now_s: float) -> bool:
        """Return whether the store confirmed a kind recently, in its era."""
        if state.confirmed is None or state.confirmed.era < self._era.current:
            return False
        return now_s <= state.confirmed_at_s + CONFIRMATION_LIFETIME_S

    def _state_of(self, kind: str) -> _KindState:
        state = self._kinds.get(kind)
        if state is None:
            state = _KindState()
            self._kinds[kind] = state
        return state


def _jitter() -> float:
    return 0.75 + random.random() / 2
