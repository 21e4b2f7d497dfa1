"""Peer network of instances in one process, with direct calls."""

import threading
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.fakes import _handlers


class LocalPeerHub:
    """Connects the ``LocalPeerNetwork`` objects of several instances."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._networks: dict[state.InstanceName, LocalPeerNetwork] = {}
        self._cut: set[frozenset[state.InstanceName]] = set()

    def join(
        self, name: str, failure_domain: str = 'domain-0'
    ) -> 'LocalPeerNetwork':
        """Add one instance and return its network."""
        network = LocalPeerNetwork(
            self, state.InstanceName(name), failure_domain
        )
        with self._lock:
            self._networks[network.name] = network
        return network

    def leave(self, name: str) -> None:
        """Remove one instance; peers can no longer reach it."""
        with self._lock:
            self._networks.pop(state.InstanceName(name), None)

    def cut(self, one: str, other: str) -> None:
        """Drop all messages between two instances, in both directions."""
        with self._lock:
            self._cut.add(_pair(one, other))

    def heal(self) -> None:
        """Remove all cuts."""
        with self._lock:
            self._cut.clear()

    def reach(
        self, source: state.InstanceName, peer: state.InstanceName
    ) -> 'LocalPeerNetwork | None':
        """Return the peer's network, or None if it cannot be reached."""
        with self._lock:
            if _pair(source, peer) in self._cut:
                return None
            return self._networks.get(peer)

    def networks(self) -> 'tuple[LocalPeerNetwork, ...]':
        """Return the networks of all instances, sorted by name."""
        with self._lock:
            names = sorted(self._networks)
            return tuple(self._networks[name] for name in names)


class LocalPeerNetwork(_handlers.MessageHandlers):
    """The network of one instance; handlers run in the sender's thread."""

    def __init__(
        self,
        hub: LocalPeerHub,
        name: state.InstanceName,
        failure_domain: str,
    ) -> None:
        super().__init__()
        self._hub = hub
        self._name = name
        self.member = state.Member(
            name=name,
            address=state.Address('127.0.0.1', 0),
            failure_domain=state.FailureDomain(failure_domain),
            region='region-1',
            incarnation=1,
            state=state.MemberState.ALIVE,
        )

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        return self._name

    def members(self) -> tuple[state.Member, ...]:
        """Return the instances that can be reached, this one included."""
        found: list[state.Member] = []
        for network in self._hub.networks():
            if network is self or self._hub.reach(self._name, network.name):
                found.append(network.member)
        return tuple(found)

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send without a response; False if the message was not sent."""
        network = self._hub.reach(self._name, peer)
        if network is None:
            return False
        network.receive(self._name, message)
        return True

    def broadcast(self, message: object) -> int:
        """Send to all reachable peers; return how many were reached."""
        reached_count = 0
        for member in self.members():
            if member.name == self._name:
                continue
            if self.send(member.name, message):
                reached_count += 1
        return reached_count

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, ports.PeerFault]:
        """Send a message and return the response."""
        network = self._hub.reach(self._name, peer)
        if network is None:
            return Error(
                ports.PeerFault(ports.PeerFaultKind.UNREACHABLE, peer)
            )
        return Ok(network.receive(self._name, message))


def _pair(one: str, other: str) -> frozenset[state.InstanceName]:
    return frozenset({state.InstanceName(one), state.InstanceName(other)})
