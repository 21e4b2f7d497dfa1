"""Interfaces that forwarding needs: targets, callers, codecs, the store."""

import dataclasses
import enum
from typing import Protocol

from skylarktack.state import forwarding as data


class FaultKind(enum.Enum):
    """How an exchange with a target failed."""

    #: No connection was made; nothing was sent, so the request was not
    #: executed.
    NOT_CONNECTED = 'not_connected'

    #: Nothing listens at the address; the request was not executed.
    CONNECTION_REFUSED = 'down'

    #: The connection was lost before it accepted a byte of the request; the
    #: request was not executed.
    NOT_SENT = 'not_sent'

    #: The connection was lost after the request was sent; the request may
    #: have been executed.
    LOST = 'lost'

    #: No byte of a response arrived in time; the request may have been
    #: executed.
    NO_RESPONSE = 'no_response'

    #: The target sent bytes that are not a response to this request.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True)
class ExchangeFault:
    """An exchange that ended without a complete response."""

    kind: FaultKind

    #: Cause, for the log.
    detail: str

    @property
    def may_have_arrived(self) -> bool:
        """Return whether the request may have reached the target."""
        return self.kind not in (
            FaultKind.NOT_CONNECTED,
            FaultKind.CONNECTION_REFUSED,
            FaultKind.NOT_SENT,
        )


@dataclasses.dataclass(frozen=True)
class BodyChunk:
    """Some bytes of a response body."""

    #: Never empty.
    data: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """The end of a complete response."""


ResponseEvent = data.ResponseHead | BodyChunk | ResponseEnd | ExchangeFault


class Exchange(Protocol):
    """One request that was sent to one target, and the response to it."""

    def receive(self) -> tuple[ResponseEvent, ...]:
        """Return the events that have arrived, possibly none; never block."""
        ...

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        ...


class Caller(Protocol):
    """The connection of the caller whose request is forwarded."""

    def fileno(self) -> int:
        """Return the file descriptor to poll, or -1 if there is none."""
        ...

    def has_disconnected(self) -> bool:
        """Read what has arrived; return whether the caller disconnected."""
        ...

    def hold_response(self, size_bytes: int) -> None:
        """Count a complete response as memory until it has been sent.

        :param size_bytes: size of the body.
        """
        ...

    def start_stream(self, head: data.ResponseHead) -> bool:
        """Send the head of a stream.

        :return: whether the caller is still connected.
        """
        ...

    def send_events(self, events: bytes) -> bool:
        """Send complete events.

        :return: whether the caller is still connected.
        """
        ...


@dataclasses.dataclass(frozen=True)
class WaitResult:
    """Result of a wait; no exchange and no disconnect after a timeout."""

    #: Exchanges with events to receive.
    exchanges: tuple[Exchange, ...]

    #: Whether the caller closed its connection.
    has_caller_disconnected: bool


class TargetClient(Protocol):
    """Sends requests to targets."""

    def send(
        self,
        request: data.FrontRequest,
        delivery: data.DispatchContext,
        connect_timeout_s: float,
    ) -> Exchange | ExchangeFault:
        """Connect to the target and begin to send the request.

        The rest is sent while the exchange is waited for.

        :param connect_timeout_s: maximum wait for the connection.
        """
        ...

    def wait(
        self,
        exchanges: tuple[Exchange, ...],
        caller: Caller,
        timeout_s: float,
    ) -> WaitResult:
        """Wait for an event, for the caller to disconnect, or for the timeout.

        :param exchanges: exchanges to poll; may be empty.
        """
        ...

    def start_copy(
        self, order: data.CopyOrder, connect_timeout_s: float
    ) -> Exchange | ExchangeFault:
        """Ask an engine to copy a run; the answer comes when it is done."""
        ...

    def decode_copy(self, body: bytes) -> str | None:
        """Return the handle of a copy, or None if it is malformed."""
        ...

    def release_copy(
        self, engine: data.ListedTarget, copy: data.RunCopy
    ) -> None:
        """Free a copy of a run that its engine made."""
        ...

    def cached_parts(
        self, target: data.ListedTarget, timeout_s: float
    ) -> frozenset[str]:
        """Return the ids of the prompt parts that an engine has cached.

        Empty without a response.
        """
        ...

    def probe(
        self, target: data.ListedTarget, timeout_s: float
    ) -> data.TargetReport | None:
        """Return the target's health report, or None without a response."""
        ...

    def refuses_connections(
        self, target: data.ListedTarget, timeout_s: float
    ) -> bool:
        """Return whether nothing listens at the target's address."""
        ...


class EventSplitter(Protocol):
    """Splits the bytes of a stream into complete events."""

    def split(self, received: bytes) -> 'SplitEvents':
        """Return the events that these bytes complete."""
        ...

    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        ...


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One complete event of a stream."""

    #: Bytes of the event, unchanged, with the empty line that ends it.
    data: bytes

    #: None for comments and for events without data.
    event_id: int | None


@dataclasses.dataclass(frozen=True)
class SplitEvents:
    """Complete events of a stream."""

    #: Events in order.
    events: tuple[StreamEvent, ...]

    #: Why the bytes after these events do not belong to the stream; None if
    #: there are none, or if they are the start of another event.
    defect: str | None = None


class MessageCodec(Protocol):
    """Translates between HTTP messages and typed requests and responses."""

    def decode_request(
        self, head: data.RequestHead, body: bytes, has_body: bool
    ) -> data.FrontRequest | data.Refusal:
        """Return the caller's request, or the reason why it is invalid."""
        ...

    def encode_request(
        self, request: data.FrontRequest, delivery: data.DispatchContext
    ) -> data.Headers:
        """Return the header fields of a request to a target."""
        ...

    def decode_response(
        self, status: int, headers: data.Headers
    ) -> data.ResponseHead:
        """Return the head of a target's response."""
        ...

    def encode_refusal(self, refusal: data.Refusal) -> data.FrontResponse:
        """Return the response for a refused request."""
        ...

    def encode_copy_order(self, order: data.CopyOrder) -> data.RequestMessage:
        """Return the request that asks an engine to copy a run."""
        ...

    def decode_copy(self, body: bytes) -> str | None:
        """Return the handle of a copy, or None if it is malformed."""
        ...

    def encode_copy_release(
        self, engine: data.ListedTarget, handle: str
    ) -> data.RequestMessage:
        """Return the request that frees a copy at both engines."""
        ...

    def cached_parts_path(self) -> bytes:
        """Return the path at which an engine lists its cached parts."""
        ...

    def decode_cached_parts(self, body: bytes) -> frozenset[str]:
        """Return the ids of cached parts; empty if the list is malformed."""
        ...

    def probe_path(self) -> bytes:
        """Return the path at which a target serves its health report."""
        ...

    def decode_report(self, body: bytes) -> data.TargetReport | None:
        """Return a target's health report, or None if it is malformed."""
        ...


@dataclasses.dataclass(frozen=True)
class StoreResponse:
    """A complete response of the store."""

    #: HTTP status.
    status: int

    body: bytes

    #: Fields of the head; their names are in lower case.
    headers: tuple[tuple[str, str], ...] = ()

    #: Era of the store, see ``StoreEra``; 0 until the platform's adapter has
    #: read it from the head.
    era: int = 0


class StoreClient(Protocol):
    """Sends requests to the store, one at a time."""

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> StoreResponse | ExchangeFault:
        """Send one request and return the complete response.

        :param path: path and query.
        :param timeout_s: maximum time for connecting and for the response
            together.
        """
        ...
