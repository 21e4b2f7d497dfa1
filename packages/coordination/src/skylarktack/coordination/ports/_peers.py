"""Port to the other entry instances."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any
from typing import Protocol

from expression import Result

from skylarktack import state


class PeerFaultKind(enum.Enum):
    """Why a message to a peer had no response."""

    #: The peer did not receive the message.
    UNREACHABLE = 'unreachable'

    #: There was no response; the peer may have acted on the message.
    NO_ANSWER = 'no_answer'

    #: The peer does not support this type of message.
    UNSUPPORTED = 'unsupported'


@dataclasses.dataclass(frozen=True)
class PeerFault:
    """A message to a peer without a response."""

    kind: PeerFaultKind

    #: Human-readable description.
    message: str


#: Handles messages of one registered type. Returns the response to a request
#: and None for messages that are not requests.
PeerHandler = Callable[[state.InstanceName, Any], Any]


class PeerNetwork(Protocol):
    """Message exchange between entry instances.

    Messages are frozen data classes that are registered with a tag in the
    peer message table of the protocol layer.
    """

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        ...

    def members(self) -> tuple[state.Member, ...]:
        """Return the instances that are live in this view, own included."""
        ...

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send a one-way message; False if it was certainly not sent."""
        ...

    def broadcast(self, message: object) -> int:
        """Send to all connected peers; return the number of messages sent."""
        ...

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, PeerFault]:
        """Send a request and wait for its response."""
        ...

    def register_handler(
        self, message_type: type, handler: PeerHandler
    ) -> None:
        """Register the handler for one type of message."""
        ...


class NeighbourNetwork(PeerNetwork, Protocol):
    """Peer network with control over its persistent connections."""

    def neighbours(self) -> tuple[state.InstanceName, ...]:
        """Return the peers with a persistent connection."""
        ...

    def connect(self, peer: state.InstanceName) -> bool:
        """Open a persistent connection if there is none.

        Returns whether there is one now.
        """
        ...

    def disconnect(self, peer: state.InstanceName) -> None:
        """Close the persistent connection to a peer."""
        ...

    def close_stale_connections(self) -> None:
        """Close idle temporary and unresponsive persistent connections."""
        ...


class GossipTopic(Protocol):
    """State that is piggybacked on the gossip exchanges of peers."""

    @property
    def name(self) -> str:
        """Unique name of the topic in the exchanges."""
        ...

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the content for a peer, or None to send nothing."""
        ...

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Apply the content that a peer sent."""
        ...
