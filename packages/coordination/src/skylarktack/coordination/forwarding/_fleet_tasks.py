"""Tasks that report to the peers of this instance and discover them."""

import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _restore_pause
from skylarktack.coordination.forwarding import _store_era
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Up to this rate of received changes, all instances report theirs at once.
#: Each byte that is received is also relayed once by some instance.
UNTHROTTLED_BYTES_PER_S = 14000.0

#: Above that rate, the changes of one instance may cost the fleet this many
#: bytes a second, with bursts of what accrues in CHANGE_BURST_S.
CHANGE_BYTES_PER_S = 8000.0
CHANGE_BURST_S = 4.0

#: Size that is assumed of a change before the first one is sent.
TYPICAL_CHANGE_BYTES = 170.0

#: Changes that are not urgent are batched for this time for each peer, up to
#: the maximum time. Runs that begin are reported at once, since other
#: instances select engines at the same moment.
BATCH_DELAY_PER_PEER_S = 0.005
MAX_BATCH_DELAY_S = 0.5

#: Fan-out of a broadcast. A message reaches 340 instances within three hops.
BROADCAST_FAN_OUT = 8


class FleetLink(Protocol):
    """Sends datagrams to other instances."""

    def send(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to each peer.

        :return: number of bytes sent.
        """
        ...

    def broadcast(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to a few peers, which relay it to the others.

        :param peers: all receivers; the first ones relay the message, so
            those that are most likely to be live come first.
        :return: number of bytes that all instances send in total.
        """
        ...


class PeerRegistry(Protocol):
    """Registers and lists the instances of the fleet in the store."""

    def register(
        self, peer: data.ListedPeer, may_be_stale: bool
    ) -> tuple[data.ListedPeer, ...] | None:
        """Register this instance unless the list has it, and list all.

        :param may_be_stale: whether the list may be seconds old, which costs a
            tenth of a call.
        :return: all instances, or None if the store is unavailable.
        """
        ...


def broadcast_groups(
    peers: tuple[data.Address, ...],
) -> tuple[tuple[data.Address, ...], ...]:
    """Return the groups of peers among which a broadcast is divided.

    The first peer of each group is sent the message and broadcasts it to the
    rest of its group, so that no instance sends more than a few datagrams.
    Links of 5 Mbit/s lose most of 90 datagrams that are sent at once.
    """
    groups = []
    for first in range(min(BROADCAST_FAN_OUT, len(peers))):
        groups.append(peers[first::BROADCAST_FAN_OUT])
    return tuple(groups)


class FleetReporter:
    """Reports the runs of this instance to its peers; runs as a task."""

    def __init__(
        self, clock: Clock, view: _fleet.FleetView, link: FleetLink
    ) -> None:
        self._clock = clock
        self._view = view
        self._link = link
        self._spent_until_s = clock.monotonic_s()
        self._change_bytes = TYPICAL_CHANGE_BYTES
        self._never_set = threading.Event()

    def run(self) -> None:
        """Send reports until the process ends."""
        next_full_s = self._clock.monotonic_s()
        while True:
            left_s = next_full_s - self._clock.monotonic_s()
            if left_s <= 0 or self._view.is_full_report_due():
                self._link.send(self._view.full_report(), self._view.peers())
                interval_s = self._view.report_interval_s()
                jitter = 0.75 + random.random() / 2
                next_full_s = self._clock.monotonic_s() + interval_s * jitter
                continue
            if not self._view.outgoing.wait_for_changes(left_s):
                continue
            throttle_s = min(MAX_BATCH_DELAY_S, self._throttle_s())
            if throttle_s > 0:
                self._clock.wait(self._never_set, throttle_s)
            else:
                self._view.outgoing.wait_for_urgent_changes(
                    self._batch_delay_s()
                )
            self.send_changes()

    def send_changes(self) -> None:
        """Report the changes unless that would exceed the byte budget.

        Changes that are held back are reported with the next ones, in one
        message.
        """
        if self._throttle_s() > 0:
            self._view.outgoing.wake()
            return
        report = self._view.change_report()
        if report is None:
            return
        peers = self._view.broadcast_order()
        cost_bytes = self._link.broadcast(report, peers)
        self._change_bytes = cost_bytes / max(1, len(peers))
        now_s = self._clock.monotonic_s()
        # Changes that were sent without throttling do not count later.
        overspent_s = min(
            CHANGE_BURST_S, max(0.0, self._spent_until_s - now_s)
        )
        self._spent_until_s = (
            now_s + overspent_s + cost_bytes / CHANGE_BYTES_PER_S
        )

    def _throttle_s(self) -> float:
        """Return the time until changes may be sent.

        Busy instances may use the share that others leave, so the budget of
        an instance applies only while the fleet's total rate is too high.
        """
        received_bytes_per_s = self._view.change_rate() * self._change_bytes
        if received_bytes_per_s < UNTHROTTLED_BYTES_PER_S:
            return 0.0
        allowed_at_s = self._spent_until_s - CHANGE_BURST_S
        return max(0.0, allowed_at_s - self._clock.monotonic_s())

    def _batch_delay_s(self) -> float:
        delay_s = BATCH_DELAY_PER_PEER_S * self._view.peer_count()
        return min(MAX_BATCH_DELAY_S, delay_s)


class PeerDiscovery:
    """Registers this instance and discovers peers; runs as a task."""

    #: Interval between two reads of the list of instances, which makes up for
    #: first reports that were lost.
    LIST_INTERVAL_S = 60.0

    #: Delay after a failed call to the store.
    RETRY_DELAY_S = 0.7

    #: After a restore of the store the instances read the list at random
    #: within this time for each instance, since each of them may have to
    #: write its entry again.
    MAX_RESTORE_DELAY_PER_INSTANCE_S = 0.02

    def __init__(
        self,
        clock: Clock,
        view: _fleet.FleetView,
        registry: PeerRegistry,
        peer: data.ListedPeer,
        era: _store_era.StoreEra,
    ) -> None:
        self._clock = clock
        self._view = view
        self._registry = registry
        self._peer = peer
        self._may_be_stale = True
        self._never_set = threading.Event()
        self._pause = _restore_pause.RestorePause(clock)
        self._is_restored = threading.Event()
        era.add_listener(self._is_restored)

    def run(self) -> None:
        """Register and list the peers until the process ends."""
        while True:
            delay_s = self.step()
            self._clock.wait(self._is_restored, delay_s)

    def step(self) -> float:
        """Register and list the peers once.

        The entry of this instance is written whenever the list lacks it. A
        stale list may still have an entry that a restored store has lost.

        :return: time until the next step, unless the store is restored before.
        """
        if self._is_restored.is_set():
            self._pause.wait(self._never_set)
            self._is_restored.clear()
            self._may_be_stale = False
            max_wait_s = self.MAX_RESTORE_DELAY_PER_INSTANCE_S * (
                1 + self._view.peer_count()
            )
            self._clock.wait(self._never_set, max_wait_s * random.random())
        peers = self._registry.register(self._peer, self._may_be_stale)
        if peers is None:
            return self.RETRY_DELAY_S
        self._may_be_stale = True
        self._view.add_peers(peers)
        return self.LIST_INTERVAL_S
