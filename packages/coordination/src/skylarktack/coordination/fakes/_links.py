"""Links between instances in memory, with loss, cuts and pauses."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class _Waiting:
    source: state.InstanceName
    message: object


class MemoryLinkHub:
    """Carries messages in the sender's thread; for one thread only.

    Unlike ``LocalPeerHub`` it knows neighbours and faults in one direction.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._networks: dict[state.InstanceName, MemoryLinkNetwork] = {}
        self._cut: set[tuple[str, str]] = set()
        self._lossy: dict[str, float] = {}
        self._paused: set[str] = set()
        self._deaf: set[str] = set()
        self._waiting: dict[str, list[_Waiting]] = {}
        #: Called with the receiver's name and each message that is sent.
        self.observe: Callable[[str, object], None] | None = None

    def join(self, table: state.MemberTable) -> 'MemoryLinkNetwork':
        """Add an instance, or replace the one of the same name."""
        name = table.own.name
        self.leave(name)
        network = MemoryLinkNetwork(self, table)
        self._networks[name] = network
        return network

    def leave(self, name: str) -> None:
        """Remove an instance; its connections close."""
        self._networks.pop(state.InstanceName(name), None)
        self._waiting.pop(name, None)
        self._paused.discard(name)
        for network in self._networks.values():
            network.linked.discard(state.InstanceName(name))

    def cut(self, source: str, receiver: str) -> None:
        """Drop all messages in one direction."""
        self._cut.add((source, receiver))

    def heal(self) -> None:
        """Remove all cuts and all loss; all read again."""
        self._deaf.clear()
        self._cut.clear()
        self._lossy.clear()

    def set_loss(self, name: str, share: float) -> None:
        """Lose a share of the messages from and to one instance."""
        self._lossy[name] = share

    def pause(self, name: str) -> None:
        """Let an instance do nothing; plain messages wait for it."""
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Let a paused instance run; its messages still wait."""
        self._paused.discard(name)

    def deafen(self, name: str) -> None:
        """Let an instance act without reading; plain messages wait."""
        self._deaf.add(name)

    def reads(self, name: str) -> bool:
        """Return whether an instance reads what arrives."""
        return name not in self._paused and name not in self._deaf

    def deliver_waiting(self, name: str) -> None:
        """Hand a resumed instance the messages that waited for it."""
        network = self._networks[state.InstanceName(name)]
        for waiting in self._waiting.pop(name, []):
            network.receive(waiting.source, waiting.message)

    def is_paused(self, name: str) -> bool:
        """Return whether an instance does nothing."""
        return name in self._paused

    def find(self, name: state.InstanceName) -> 'MemoryLinkNetwork | None':
        """Return the network of a running instance."""
        return self._networks.get(name)

    def passes(self, source: str, receiver: str, message: object) -> bool:
        """Return whether a message arrives."""
        if self.observe is not None:
            self.observe(receiver, message)
        if (source, receiver) in self._cut:
            return False
        share = max(
            self._lossy.get(source, 0.0), self._lossy.get(receiver, 0.0)
        )
        return share == 0.0 or self._random.random() >= share

    def keep(self, source: str, receiver: str, message: object) -> None:
        """Keep a plain message for a paused instance."""
        self._waiting.setdefault(receiver, []).append(
            _Waiting(state.InstanceName(source), message)
        )


class MemoryLinkNetwork:
    """The links of one instance."""

    def __init__(self, hub: MemoryLinkHub, table: state.MemberTable) -> None:
        self._hub = hub
        self._table = table
        self._handlers: dict[type, ports.PeerHandler] = {}
        #: Peers with a lasting connection.
        self.linked: set[state.InstanceName] = set()

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        return self._table.own.name

    def members(self) -> tuple[state.Member, ...]:
        """Return the live instances as known here, this one included."""
        return self._table.live()

    def neighbours(self) -> tuple[state.InstanceName, ...]:
        """Return the peers with a lasting connection."""
        return tuple(sorted(self.linked))

    def connect(self, peer: state.InstanceName) -> bool:
        """Open a lasting connection unless there is one."""
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
        """Close the lasting connection to a peer."""
        self.linked.discard(peer)
        other = self._hub.find(peer)
        if other is not None:
            other.linked.discard(self.name)

    def close_stale_connections(self) -> None:
        """Do nothing: connections in memory are never idle."""

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send without an answer; False if it certainly was not sent."""
        other = self._hub.find(peer)
        if other is None:
            return False
        if not self._hub.passes(self.name, peer, message):
            return True
        if not self._hub.reads(peer):
            self._hub.keep(self.name, peer, message)
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
        """Send and wait for the answer."""
        other = self._hub.find(peer)
        if other is None:
            return Error(
                ports.PeerFault(ports.PeerFaultKind.UNREACHABLE, peer)
            )
        silent = ports.PeerFault(ports.PeerFaultKind.NO_ANSWER, peer)
        if not self._hub.passes(self.name, peer, message):
            return Error(silent)
        if not self._hub.reads(peer):
            return Error(silent)
        answer = other.receive(self.name, message)
        if not self._hub.passes(peer, self.name, answer):
            return Error(silent)
        if not self._hub.reads(self.name):
            return Error(silent)
        return Ok(answer)

    def register_handler(
        self, message_type: type, handler: ports.PeerHandler
    ) -> None:
        """Register the handler for one type of message."""
        self._handlers[message_type] = handler

    def receive(self, source: state.InstanceName, message: object) -> Any:
        """Run the handler of a message and return its answer."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        return handler(source, message)
