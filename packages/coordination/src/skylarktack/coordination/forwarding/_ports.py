"""What forwarding needs from outside: targets, callers, codecs, a log."""

import dataclasses
import enum
from typing import Protocol

from skylarktack.state import forwarding as data


class FaultKind(enum.Enum):
    """How an exchange with a target failed."""

    #: No connection; nothing was sent, so the request has not run.
    NOT_CONNECTED = 'not_connected'

    #: Nothing listens at the address; the request has not run.
    DOWN = 'down'

    #: The connection broke after the request was sent; it may have run.
    LOST = 'lost'

    #: The target sent bytes that are no answer to this request.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True)
class ExchangeFault:
    """An exchange ended without a whole answer."""

    #: How.
    kind: FaultKind

    #: Cause, for logs.
    detail: str

    @property
    def may_have_arrived(self) -> bool:
        """Return whether the request may have reached the target."""
        return self.kind not in (FaultKind.NOT_CONNECTED, FaultKind.DOWN)


@dataclasses.dataclass(frozen=True)
class BodyChunk:
    """Bytes of an answer's body."""

    #: The bytes, never empty.
    data: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """The answer is complete."""


ResponseEvent = data.ResponseHead | BodyChunk | ResponseEnd | ExchangeFault


class Exchange(Protocol):
    """One request that was sent to one target, and its answer."""

    def receive(self) -> tuple[ResponseEvent, ...]:
        """Return what has arrived, without waiting; may be empty."""
        ...

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        ...


class Caller(Protocol):
    """The connection of the caller whose request is forwarded."""

    def fileno(self) -> int:
        """Return the descriptor to wait on, or -1 to wait for nothing."""
        ...

    def has_disconnected(self) -> bool:
        """Take what has arrived; return whether the caller has left."""
        ...

    def start_stream(self, head: data.ResponseHead) -> bool:
        """Send the head of a stream; return whether the caller is there."""
        ...

    def send_events(self, events: bytes) -> bool:
        """Send whole events; return whether the caller is there."""
        ...


@dataclasses.dataclass(frozen=True)
class WaitResult:
    """What a wait ended with; both empty after a timeout."""

    #: Exchanges with something to receive.
    exchanges: tuple[Exchange, ...]

    #: Whether the caller has left.
    has_caller_disconnected: bool


class TargetClient(Protocol):
    """Sends requests to targets."""

    def send(
        self,
        request: data.FrontRequest,
        delivery: data.DispatchContext,
        connect_timeout_s: float,
    ) -> Exchange | ExchangeFault:
        """Connect to the target and send the whole request.

        :param connect_timeout_s: longest wait for the connection.
        """
        ...

    def wait(
        self,
        exchanges: tuple[Exchange, ...],
        caller: Caller,
        timeout_s: float,
    ) -> WaitResult:
        """Wait for an answer, the caller's leaving, or the timeout."""
        ...

    def probe(
        self, target: data.ListedTarget, timeout_s: float
    ) -> data.TargetReport | None:
        """Return what the target says of itself, or None if it is silent."""
        ...


class EventSplitter(Protocol):
    """Splits the bytes of a stream into whole events."""

    def split(self, received: bytes) -> 'SplitEvents':
        """Return the whole events that are complete with these bytes."""
        ...

    def has_partial(self) -> bool:
        """Return whether part of an event is waiting for its rest."""
        ...


@dataclasses.dataclass(frozen=True)
class SplitEvents:
    """Whole events of a stream."""

    #: Their bytes, unchanged.
    events: bytes

    #: Ids of the events in order.
    ids: tuple[int, ...]


class MessageCodec(Protocol):
    """Translates HTTP messages to typed requests and answers."""

    def decode_request(
        self, head: data.RequestHead, body: bytes, has_body: bool
    ) -> data.FrontRequest | data.Refusal:
        """Return the request of a caller."""
        ...

    def encode_request(
        self, request: data.FrontRequest, delivery: data.DispatchContext
    ) -> data.Headers:
        """Return the header fields of a request to a target."""
        ...

    def decode_response(
        self, status: int, headers: data.Headers
    ) -> data.ResponseHead:
        """Return the head of a target's answer."""
        ...

    def encode_refusal(self, refusal: data.Refusal) -> data.FrontResponse:
        """Return the answer that tells a caller of a refusal."""
        ...

    def probe_path(self) -> bytes:
        """Return the path at which a target tells its load."""
        ...

    def decode_report(self, body: bytes) -> data.TargetReport | None:
        """Return what a target says of itself, or None if unreadable."""
        ...


@dataclasses.dataclass(frozen=True)
class StoreResponse:
    """An answer of the store."""

    #: HTTP status.
    status: int

    #: The whole body.
    body: bytes


class StoreClient(Protocol):
    """Sends calls to the store, one at a time."""

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> StoreResponse | ExchangeFault:
        """Send one call and return the whole answer.

        :param path: path and query.
        :param timeout_s: longest time for connection and answer together.
        """
        ...
