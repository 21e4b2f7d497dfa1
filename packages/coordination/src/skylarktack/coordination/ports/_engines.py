"""Model engines, as decisions see them."""

import dataclasses
import enum
from typing import Protocol

from expression import Result

from skylarktack import state


class StreamFaultKind(enum.Enum):
    """Why a stream or a call to an engine brought nothing more."""

    #: No connection could be made; the engine did not see the call.
    UNREACHABLE = 'unreachable'

    #: The engine answered with an error status.
    REFUSED = 'refused'

    #: The engine does not know the request or the attempt.
    MISSING = 'missing'

    #: The connection closed before the end event.
    CLOSED = 'closed'

    #: Nothing arrived within the time limit; the connection is still open.
    SILENT = 'silent'

    #: The engine sent something that is not in its protocol.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True)
class StreamFault:
    """A failed call to an engine or a stream that broke off."""

    #: Why it failed.
    kind: StreamFaultKind

    #: One sentence for people.
    message: str


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load report of an engine, which lags."""

    #: Identifier of the engine's process, new at each start.
    incarnation: str

    #: Streams in the running batch.
    running_count: int

    #: Streams waiting for a slot.
    waiting_count: int

    #: Slots of the batch.
    slot_count: int

    #: Versions loaded at present.
    versions: tuple[state.VersionName, ...]

    #: Age of the report when it was sent.
    age_ms: int

    #: Whether the engine takes no new work.
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache, published late."""

    #: Sequence number; numbers may be missing.
    sequence: int

    #: Hash of the cached prefix, as ``prefix_hash`` of the engine protocol
    #: computes it.
    prefix_hash: str

    #: Whether the prefix was added rather than removed.
    added: bool


class TargetCommandKind(enum.Enum):
    """What a target is ordered to do."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ROLE = 'role'


@dataclasses.dataclass(frozen=True)
class TargetCommand:
    """An order to a target to change what it serves."""

    #: Unique identifier; an order repeated with it acts once.
    order_id: str

    #: What to do.
    kind: TargetCommandKind

    #: Version to load or unload, or the new role.
    subject: str

    #: Fencing number of the lease under which the order is given.
    fencing_number: int


#: Events that arrived together, or why none can arrive any more.
StreamRead = tuple[state.StreamEvent, ...] | StreamFault


class TokenStream(Protocol):
    """An open stream of one attempt."""

    def read(self, timeout_s: float) -> StreamRead:
        """Return all events that have arrived, waiting for at least one.

        This is on the path of each token, where making a ``Result`` would
        cost seven microseconds, so a fault is returned as it is.

        After any fault the stream can only be closed.
        """
        ...

    def close(self) -> None:
        """Close the connection; safe to call twice and from any thread."""
        ...


class EngineClient(Protocol):
    """Calls to model engines. Each call opens its own connection."""

    def start(
        self,
        target: state.Target,
        order: state.AttemptRequest,
        timeout_s: float,
    ) -> Result[TokenStream, StreamFault]:
        """Start an attempt; the prefix in the order is continued."""
        ...

    def attach(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        from_position: int,
        timeout_s: float,
    ) -> Result[TokenStream, StreamFault]:
        """Join a running or finished attempt from a position."""
        ...

    def cancel(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        timeout_s: float,
    ) -> Result[None, StreamFault]:
        """End an attempt; Ok once the engine acknowledged it."""
        ...

    def read_load(
        self, target: state.Target, timeout_s: float
    ) -> Result[EngineLoad, StreamFault]:
        """Read the load report, which also names the incarnation."""
        ...

    def cache_events(
        self, target: state.Target, after: int, timeout_s: float
    ) -> Result[tuple[CacheEvent, ...], StreamFault]:
        """Read the cache events with a sequence number above ``after``."""
        ...

    def send_command(
        self, target: state.Target, order: TargetCommand, timeout_s: float
    ) -> Result[None, StreamFault]:
        """Give an order; a stale fencing number is ``REFUSED`` or ignored."""
        ...
