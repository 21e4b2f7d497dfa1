"""Other entry instances, as decisions see them."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any
from typing import Protocol

from expression import Result

from skylarktack import state


class PeerFaultKind(enum.Enum):
    """Why a message to a peer brought no answer."""

    #: The peer did not get the message.
    UNREACHABLE = 'unreachable'

    #: The peer may have acted on the message.
    NO_ANSWER = 'no_answer'

    #: The peer does not know this kind of message.
    UNSUPPORTED = 'unsupported'


@dataclasses.dataclass(frozen=True)
class PeerFault:
    """A message to a peer that brought no answer."""

    #: Why it failed.
    kind: PeerFaultKind

    #: One sentence for people.
    message: str


#: Handles a message of one registered type from a peer. The result is the
#: answer to a request; None if the message is not a request.
PeerHandler = Callable[[state.InstanceName, Any], Any]


class PeerNetwork(Protocol):
    """Messages between entry instances.

    Messages are frozen data classes with a tag in the peer message table of
    the protocol layer.
    """

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        ...

    def members(self) -> tuple[state.Member, ...]:
        """Return the live instances as known here, this one included."""
        ...

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send without an answer; False if it certainly was not sent."""
        ...

    def broadcast(self, message: object) -> int:
        """Send to all connected peers; return how many were reached."""
        ...

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, PeerFault]:
        """Send and wait for the answer."""
        ...

    def register_handler(
        self, message_type: type, handler: PeerHandler
    ) -> None:
        """Register the handler for one type of message."""
        ...


class NeighbourNetwork(PeerNetwork, Protocol):
    """A network whose lasting connections can be chosen."""

    def neighbours(self) -> tuple[state.InstanceName, ...]:
        """Return the peers with a lasting connection."""
        ...

    def connect(self, peer: state.InstanceName) -> bool:
        """Open a lasting connection unless there is one."""
        ...

    def disconnect(self, peer: state.InstanceName) -> None:
        """Close the lasting connection to a peer."""
        ...

    def close_stale_connections(self) -> None:
        """Close idle short connections and silent lasting ones."""
        ...


class GossipTopic(Protocol):
    """Small state spread on the periodic exchanges between peers."""

    @property
    def name(self) -> str:
        """Unique name of the topic."""
        ...

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return what this peer should learn, or None for nothing."""
        ...

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Take in what a peer sent."""
        ...
