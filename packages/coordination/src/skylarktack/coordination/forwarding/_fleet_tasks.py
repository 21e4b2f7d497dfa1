"""Tasks that tell the peers of this instance, and find them."""

import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Bytes a second that changes may take, and the burst that is allowed.
CHANGE_BYTES_PER_S = 6000.0
CHANGE_BURST_BYTES = 20000.0

#: Peers to which an instance sends a message that is passed on. A message
#: reaches 340 instances within three hops.
RELAY_COUNT = 8


class FleetLink(Protocol):
    """Sends datagrams to other instances."""

    def send(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to each peer; return the bytes sent."""
        ...

    def spread(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> None:
        """Send one message to a few peers, which pass it on to the others.

        :param peers: all that have to get it, the surest ones first.
        """
        ...


class PeerRegistry(Protocol):
    """Lists the instances of the fleet."""

    def register(
        self, peer: data.ListedPeer
    ) -> tuple[data.ListedPeer, ...] | None:
        """Enter this instance; return all, or None if the store is away."""
        ...


def relay_groups(
    peers: tuple[data.Address, ...],
) -> tuple[tuple[data.Address, ...], ...]:
    """Return who is sent a message directly, each with those it passes it to.

    The first of each group is sent the message; it does the same with the
    rest of its group, so that nobody sends more than a few datagrams. Links of
    5 Mbit/s lose most of 90 datagrams that are sent to them at once.
    """
    groups = []
    for first in range(min(RELAY_COUNT, len(peers))):
        groups.append(peers[first::RELAY_COUNT])
    return tuple(groups)


class FleetReporter:
    """Tells the peers of this instance's runs; run it as a task."""

    def __init__(
        self, clock: Clock, view: _fleet.FleetView, link: FleetLink
    ) -> None:
        self._clock = clock
        self._view = view
        self._link = link
        self._allowance_bytes = CHANGE_BURST_BYTES
        self._refilled_at_s = clock.monotonic_s()
        self._change_bytes = 200.0

    def run(self) -> None:
        """Send reports until the process ends."""
        next_full_s = self._clock.monotonic_s()
        while True:
            left_s = next_full_s - self._clock.monotonic_s()
            if left_s > 0 and not self._view.is_greeting():
                if self._view.wait_for_news(left_s):
                    self._send_changes()
                continue
            peers = self._view.peers()
            self._link.send(self._view.full_report(), peers)
            interval_s = self._view.report_interval_s()
            jitter = 0.75 + random.random() / 2
            next_full_s = self._clock.monotonic_s() + interval_s * jitter

    def _send_changes(self) -> None:
        report = self._view.change_report()
        if report is None:
            return
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._refilled_at_s) * CHANGE_BYTES_PER_S
        self._refilled_at_s = now_s
        self._allowance_bytes = min(
            CHANGE_BURST_BYTES, self._allowance_bytes + gained
        )
        # Beyond the allowance only some peers learn of a change at once; the
        # others learn of it with the next full report.
        affordable = int(max(0.0, self._allowance_bytes) / self._change_bytes)
        peers = self._view.peers()[:affordable]
        if not peers:
            return
        sent_bytes = self._link.send(report, peers)
        self._change_bytes = max(1.0, sent_bytes / len(peers))
        self._allowance_bytes -= sent_bytes


class FleetMember:
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
