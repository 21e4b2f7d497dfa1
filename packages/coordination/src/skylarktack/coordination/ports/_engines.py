"""Port to model engines."""

import dataclasses
import enum
from typing import Protocol

from expression import Result

from skylarktack import state


class StreamFaultKind(enum.Enum):
    """Why a stream or a call to an engine failed."""

    #: No connection could be opened; the engine did not receive the call.
    UNREACHABLE = 'unreachable'

    #: The engine responded with an error status.
    REFUSED = 'refused'

    #: The engine does not know the request or the attempt.
    MISSING = 'missing'

    #: The connection closed before the end event.
    CLOSED = 'closed'

    #: Nothing arrived within the time limit; the connection is still open.
    UNRESPONSIVE = 'unresponsive'

    #: The engine violated its protocol.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True)
class StreamFault:
    """A failed call to an engine, or an interrupted stream."""

    kind: StreamFaultKind

    #: Human-readable description.
    message: str


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load report of an engine; outdated by its age and transmission."""

    #: Identifier of the engine's process, new at each start.
    incarnation: str

    #: Streams in the running batch.
    running_count: int

    #: Streams in the queue, waiting for a slot.
    waiting_count: int

    #: Maximum number of streams in the running batch.
    slot_count: int

    #: Versions that are currently loaded.
    versions: tuple[state.VersionName, ...]

    #: Age of the report when it was sent.
    age_ms: int

    #: Whether the engine is draining and accepts no new requests.
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache, published with a delay."""

    #: Sequence number; gaps mean that events were lost.
    sequence: int

    #: Hash of the cached prefix, as ``prefix_hash`` of the engine protocol
    #: computes it.
    prefix_hash: str

    #: Whether the prefix was added rather than removed.
    added: bool


class TargetCommandKind(enum.Enum):
    """What a command changes."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ROLE = 'role'


@dataclasses.dataclass(frozen=True)
class TargetCommand:
    """A command to a target to change what it serves."""

    #: Idempotency key: commands that repeat it take effect once.
    order_id: str

    kind: TargetCommandKind

    #: Version to load or unload, or the name of the new role.
    subject: str

    #: Fencing number of the lease under which the command is sent.
    fencing_number: int


#: Events that arrived together, or the fault that ended the stream.
StreamRead = tuple[state.StreamEvent, ...] | StreamFault


class TokenStream(Protocol):
    """An open stream of one attempt."""

    def read(self, timeout_s: float) -> StreamRead:
        """Return all events that have arrived, waiting for at least one.

        After any fault the stream can only be closed. The fault is returned
        without a ``Result``, since creating one would add seven microseconds
        to the path of each token.
        """
        ...

    def close(self) -> None:
        """Close the connection; idempotent and thread-safe."""
        ...


class EngineClient(Protocol):
    """Client of model engines. Each call opens its own connection."""

    def start(
        self,
        target: state.Target,
        request: state.AttemptRequest,
        timeout_s: float,
    ) -> Result[TokenStream, StreamFault]:
        """Start an attempt, which continues the prefix in its request."""
        ...

    def attach(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        from_position: int,
        timeout_s: float,
    ) -> Result[TokenStream, StreamFault]:
        """Attach to a running or finished attempt from a position on."""
        ...

    def cancel(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        timeout_s: float,
    ) -> Result[None, StreamFault]:
        """Cancel an attempt; Ok once the engine has acknowledged it."""
        ...

    def read_load(
        self, target: state.Target, timeout_s: float
    ) -> Result[EngineLoad, StreamFault]:
        """Read the load report, which also has the incarnation."""
        ...

    def cache_events(
        self, target: state.Target, after: int, timeout_s: float
    ) -> Result[tuple[CacheEvent, ...], StreamFault]:
        """Read the cache events with a sequence number above ``after``."""
        ...

    def send_command(
        self, target: state.Target, command: TargetCommand, timeout_s: float
    ) -> Result[None, StreamFault]:
        """Send a command; a stale fencing number is ``REFUSED`` or ignored."""
        ...
