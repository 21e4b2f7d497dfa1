"""Tasks that tell the peers of this instance, and find them."""

import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Bytes of changes that an instance receives in a second while all tell
#: theirs at once. Each byte is also passed on once by somebody.
RECEIVED_BYTES_PER_S = 14000.0

#: Bytes a second that the changes of one instance may cost the fleet while
#: more than that is received, and the time for which it may spend them in
#: advance.
CHANGE_BYTES_PER_S = 8000.0
CHANGE_ADVANCE_S = 4.0

#: Size of a change that is assumed before the first.
TYPICAL_CHANGE_BYTES = 170.0

#: Time for each peer, and the longest time, in which changes that nobody
#: waits for are gathered. Runs that begin are told at once, since others
#: choose an engine at the same moment.
GATHER_PER_PEER_S = 0.005
LONGEST_GATHER_S = 0.5

#: Peers to which an instance sends a message that is passed on. A message
#: reaches 340 instances within three hops.
SPREAD_COUNT = 8


class FleetLink(Protocol):
    """Sends datagrams to other instances."""

    def send(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to each peer; return the bytes sent."""
        ...

    def broadcast(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to a few peers, which pass it on to the others.

        :param peers: all that have to get it, the surest ones first.
        :return: bytes that it costs all instances together.
        """
        ...


class PeerRegistry(Protocol):
    """Lists the instances of the fleet."""

    def register(
        self, peer: data.ListedPeer
    ) -> tuple[data.ListedPeer, ...] | None:
        """Enter this instance; return all, or None if the store is away."""
        ...


def broadcast_groups(
    peers: tuple[data.Address, ...],
) -> tuple[tuple[data.Address, ...], ...]:
    """Return who is sent a message directly, each with those it passes it to.

    The first of each group is sent the message; it does the same with the
    rest of its group, so that nobody sends more than a few datagrams. Links of
    5 Mbit/s lose most of 90 datagrams that are sent to them at once.
    """
    groups = []
    for first in range(min(SPREAD_COUNT, len(peers))):
        groups.append(peers[first::SPREAD_COUNT])
    return tuple(groups)


class FleetReporter:
    """Tells the peers of this instance's runs; run it as a task."""

    def __init__(
        self, clock: Clock, view: _fleet.FleetView, link: FleetLink
    ) -> None:
        self._clock = clock
        self._view = view
        self._link = link
        self._paid_until_s = clock.monotonic_s()
        self._change_bytes = TYPICAL_CHANGE_BYTES
        self._never = threading.Event()

    def run(self) -> None:
        """Send reports until the process ends."""
        next_full_s = self._clock.monotonic_s()
        while True:
            left_s = next_full_s - self._clock.monotonic_s()
            if left_s <= 0 or self._view.is_greeting():
                self._link.send(self._view.full_report(), self._view.peers())
                interval_s = self._view.report_interval_s()
                jitter = 0.75 + random.random() / 2
                next_full_s = self._clock.monotonic_s() + interval_s * jitter
                continue
            if not self._view.outgoing.wait_for_changes(left_s):
                continue
            held_s = min(LONGEST_GATHER_S, self._held_s())
            if held_s > 0:
                self._clock.wait(self._never, held_s)
            else:
                self._view.outgoing.wait_for_news(self._gather_s())
            self.send_changes()

    def send_changes(self) -> None:
        """Tell what changed, unless that would cost too much by now.

        What is held back goes with the next changes, in one message.
        """
        if self._held_s() > 0:
            self._view.outgoing.wake()
            return
        report = self._view.change_report()
        if report is None:
            return
        peers = self._view.broadcast_order()
        cost_bytes = self._link.broadcast(report, peers)
        self._change_bytes = cost_bytes / max(1, len(peers))
        now_s = self._clock.monotonic_s()
        # What was told while all could be told is not paid for later.
        owed_s = min(CHANGE_ADVANCE_S, max(0.0, self._paid_until_s - now_s))
        self._paid_until_s = now_s + owed_s + cost_bytes / CHANGE_BYTES_PER_S

    def _held_s(self) -> float:
        """Return the time until changes may be told.

        Busy instances may use what the others leave, so what counts first is
        the rate that reaches everybody.
        """
        received_bytes_per_s = self._view.change_rate() * self._change_bytes
        if received_bytes_per_s < RECEIVED_BYTES_PER_S:
            return 0.0
        allowed_at_s = self._paid_until_s - CHANGE_ADVANCE_S
        return max(0.0, allowed_at_s - self._clock.monotonic_s())

    def _gather_s(self) -> float:
        gather_s = GATHER_PER_PEER_S * self._view.peer_count()
        return min(LONGEST_GATHER_S, gather_s)


class PeerDiscovery:
    """Enters this instance in the list of instances; run it as a task."""

    #: Time between two looks at the list, which repairs lost greetings.
    LOOK_INTERVAL_S = 60.0

    #: Wait after the store could not be asked.
    RETRY_S = 0.7

    def __init__(
        self,
        clock: Clock,
        view: _fleet.FleetView,
        registry: PeerRegistry,
        peer: data.ListedPeer,
    ) -> None:
        self._clock = clock
        self._view = view
        self._registry = registry
        self._peer = peer
        self._never = threading.Event()

    def run(self) -> None:
        """Register and look for peers until the process ends."""
        while True:
            peers = self._registry.register(self._peer)
            if peers is None:
                self._clock.wait(self._never, self.RETRY_S)
                continue
            self._view.add_peers(peers)
            self._clock.wait(self._never, self.LOOK_INTERVAL_S)
