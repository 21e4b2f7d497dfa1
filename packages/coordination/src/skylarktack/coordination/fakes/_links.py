"""In-memory links between instances, with message loss and partitions."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.fakes import _handlers


@dataclasses.dataclass(frozen=True)
class _QueuedMessage:
    source: state.InstanceName
    message: object


class MemoryLinkHub:
    """Delivers messages in the sender's thread; not thread-safe.

    Unlike ``LocalPeerHub`` it supports neighbours and faults in one
    direction.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._networks: dict[state.InstanceName, MemoryLinkNetwork] = {}
        self._cut: set[tuple[str, str]] = set()
        self._lossy: dict[str, float] = {}
        self._paused: set[str] = set()
        self._reads_blocked: set[str] = set()
        self._queued: dict[str, list[_QueuedMessage]] = {}
        #: Called with the receiver's name and the message for each message
        #: and response, and with None for each attempt to connect.
        self.observe: Callable[[str, object], None] | None = None

    def join(self, table: state.MemberTable) -> 'MemoryLinkNetwork':
        """Add an instance, or replace the one with the same name."""
        name = table.own.name
        self.leave(name)
        network = MemoryLinkNetwork(self, table)
        self._networks[name] = network
        return network

    def leave(self, name: str) -> None:
        """Remove an instance; its connections close."""
        self._networks.pop(state.InstanceName(name), None)
        self._queued.pop(name, None)
        self._paused.discard(name)
        for network in self._networks.values():
            network.linked.discard(state.InstanceName(name))

    def cut(self, source: str, receiver: str) -> None:
        """Drop all messages in one direction."""
        self._cut.add((source, receiver))

    def heal(self) -> None:
        """Remove all cuts, all loss and all blocks of reads."""
        self._reads_blocked.clear()
        self._cut.clear()
        self._lossy.clear()

    def set_loss(self, name: str, fraction: float) -> None:
        """Lose a fraction of the messages from and to one instance."""
        self._lossy[name] = fraction

    def pause(self, name: str) -> None:
        """Pause an instance; messages that need no response are queued."""
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Resume a paused instance; its messages stay queued."""
        self._paused.discard(name)

    def block_reads(self, name: str) -> None:
        """Let an instance run without reading; plain messages are queued."""
        self._reads_blocked.add(name)

    def reads(self, name: str) -> bool:
        """Return whether an instance reads arriving messages."""
        return name not in self._paused and name not in self._reads_blocked

    def deliver_waiting(self, name: str) -> None:
        """Deliver the queued messages of an instance."""
        network = self._networks[state.InstanceName(name)]
        for queued in self._queued.pop(name, []):
            network.receive(queued.source, queued.message)

    def is_paused(self, name: str) -> bool:
        """Return whether an instance is paused."""
        return name in self._paused

    def find(self, name: state.InstanceName) -> 'MemoryLinkNetwork | None':
        """Return the network of a running instance."""
        return self._networks.get(name)

    def passes(self, source: str, receiver: str, message: object) -> bool:
        """Call the observer, then return whether the message arrives."""
        if self.observe is not None:
            self.observe(receiver, message)
        if (source, receiver) in self._cut:
            return False
        loss = max(
            self._lossy.get(source, 0.0), self._lossy.get(receiver, 0.0)
        )
        return loss == 0.0 or self._random.random() >= loss

    def queue(self, source: str, receiver: str, message: object) -> None:
        """Queue a message for an instance that does not read."""
        self._queued.setdefault(receiver, []).append(
            _QueuedMessage(state.InstanceName(source), message)
        )


class MemoryLinkNetwork(_handlers.MessageHandlers):
    """The links of one instance."""

    def __init__(self, hub: MemoryLinkHub, table: state.MemberTable) -> None:
        super().__init__()
        self._hub = hub
        self._table = table
        #: Peers with a persistent connection.
        self.linked: set[state.InstanceName] = set()

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        return self._table.own.name

    def members(self) -> tuple[state.Member, ...]:
        """Return the members live in this table, this instance included."""
        return self._table.live()

    def neighbours(self) -> tuple[state.InstanceName, ...]:
        """Return the peers with a persistent connection, sorted by name."""
        return tuple(sorted(self.linked))

    def connect(self, peer: state.InstanceName) -> bool:
        """Open a persistent connection; False if the peer is unreachable."""
        other = self._hub.find(peer)
        if other is None or self._hub.is_paused(peer):
            return False
        for source, receiver in ((self.name, peer), (peer, self.name)):
            if not self._hub.passes(source, receiver, None):
                return False
        self.linked.add(peer)
        other.linked.add(self.name)
        return True

    def disconnect(self, peer: state.InstanceName) -> None:
        """Close the persistent connection to a peer."""
        self.linked.discard(peer)
        other = self._hub.find(peer)
        if other is not None:
            other.linked.discard(self.name)

    def close_stale_connections(self) -> None:
        """Do nothing: in-memory connections are never idle."""

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send without a response; False if the message was not sent."""
        other = self._hub.find(peer)
        if other is None:
            return False
        if not self._hub.passes(self.name, peer, message):
            return True
        if not self._hub.reads(peer):
            self._hub.queue(self.name, peer, message)
            return True
        other.receive(self.name, message)
        return True

    def broadcast(self, message: object) -> int:
        """Send to all neighbours; return how many were reached."""
        sent = [self.send(peer, message) for peer in self.neighbours()]
        return sum(sent)

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, ports.PeerFault]:
        """Send a message and return the response."""
        other = self._hub.find(peer)
        if other is None:
            return Error(
                ports.PeerFault(ports.PeerFaultKind.UNREACHABLE, peer)
            )
        no_answer = ports.PeerFault(ports.PeerFaultKind.NO_ANSWER, peer)
        if not self._hub.passes(self.name, peer, message):
            return Error(no_answer)
        if not self._hub.reads(peer):
            return Error(no_answer)
        response = other.receive(self.name, message)
        if not self._hub.passes(peer, self.name, response):
            return Error(no_answer)
        if not self._hub.reads(self.name):
            return Error(no_answer)
        return Ok(response)
