"""One open connection to a peer."""

import dataclasses
import threading
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from websockets import exceptions
from websockets import frames
from websockets.sync import connection as websocket

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class PeerSession:
    """What the handshake established."""

    #: Name that the peer proved.
    peer: state.InstanceName

    #: Identifier of the peer's process.
    start_id: str

    #: Whether this side opened the connection.
    initiated: bool

    #: Whether the connection is a lasting one between neighbours.
    lasting: bool

    #: Codes of the frames sent here.
    outgoing: protocol.FrameSeal

    #: Codes of the frames received here.
    incoming: protocol.FrameSeal


@dataclasses.dataclass
class _PendingAnswer:
    arrived: threading.Event
    message: Any = None


class PeerLink:
    """Sends frames, reads frames and waits for answers.

    Any thread may send; one thread reads.
    """

    def __init__(
        self,
        connection: websocket.Connection,
        session: PeerSession,
        codec: protocol.PeerCodec,
        clock: ports.Clock,
        metrics: ports.Metrics,
    ) -> None:
        self.session = session
        self._connection = connection
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._closed = threading.Event()
        self._retired = threading.Event()
        self._send_lock = threading.Lock()
        self._pending_lock = threading.Lock()
        self._pending: dict[int, _PendingAnswer] = {}
        self._last_number = 0
        self._received_s = clock.monotonic_s()
        self._used_s = clock.monotonic_s()

    @property
    def is_open(self) -> bool:
        """Whether neither side closed the connection."""
        return not self._closed.is_set()

    @property
    def is_usable(self) -> bool:
        """Whether new messages may be sent on it."""
        return not self._closed.is_set() and not self._retired.is_set()

    @property
    def has_pending(self) -> bool:
        """Whether a request waits for its answer."""
        with self._pending_lock:
            return bool(self._pending)

    @property
    def received_s(self) -> float:
        """Monotonic time at which the last frame arrived."""
        return self._received_s

    @property
    def used_s(self) -> float:
        """Monotonic time of the last frame in either direction."""
        return max(self._used_s, self._received_s)

    def send(self, message: object, request_number: int = 0) -> bool:
        """Send one message; False if it certainly was not sent whole."""
        encoded = self._codec.encode(protocol.Frame(message, request_number))
        if not self.is_open:
            return False
        with self._send_lock:
            sealed = self.session.outgoing.seal(encoded)
            try:
                self._connection.send(sealed)
            except (OSError, exceptions.WebSocketException):
                # A frame that was cut short is never acted on.
                self.close()
                return False
        self._used_s = self._clock.monotonic_s()
        self._metrics.count('peer.sent_frames')
        self._metrics.count('peer.sent_bytes', len(sealed))
        return True

    def request(
        self, message: object, timeout_s: float
    ) -> Result[Any, ports.PeerFault]:
        """Send one message and wait for its answer."""
        pending = _PendingAnswer(threading.Event())
        with self._pending_lock:
            self._last_number += 1
            number = self._last_number
            self._pending[number] = pending
        sent_s = self._clock.monotonic_s()
        if not self.send(message, number):
            self._forget(number)
            return Error(
                ports.PeerFault(
                    ports.PeerFaultKind.UNREACHABLE, 'connection closed'
                )
            )
        pending.arrived.wait(timeout_s)
        self._forget(number)
        if pending.message is not None:
            return _answer(pending.message)
        if self._received_s < sent_s:
            # The connection may have lost its state in a middlebox, so the
            # next message goes over a new one; answers may still come.
            self._metrics.count('peer.silent_links')
            self.retire()
        return Error(
            ports.PeerFault(ports.PeerFaultKind.NO_ANSWER, 'no answer')
        )

    def receive(self) -> Result[protocol.Frame, protocol.FrameFault] | None:
        """Wait for the next frame; None once the connection is closed."""
        try:
            sealed = self._connection.recv()
        except (OSError, exceptions.WebSocketException, EOFError) as error:
            if is_oversized(error):
                self._metrics.count('peer.refused.oversized')
            return None
        if not isinstance(sealed, bytes):
            self._metrics.count('peer.refused.malformed')
            return None
        data = self.session.incoming.open(sealed)
        if data is None:
            self._metrics.count('peer.refused.replayed')
            return None
        self._received_s = self._clock.monotonic_s()
        self._metrics.count('peer.received_frames')
        self._metrics.count('peer.received_bytes', len(sealed))
        return self._codec.decode(data)

    def take_answer(self, frame: protocol.Frame) -> None:
        """Hand an answer to the thread that waits for it."""
        with self._pending_lock:
            pending = self._pending.get(-frame.request_number)
        if pending is None:
            self._metrics.count('peer.late_answers')
            return
        pending.message = frame.message
        pending.arrived.set()

    def retire(self) -> None:
        """Let no new message use it; it is closed once it is idle."""
        self._retired.set()

    def close(self) -> None:
        """Close at once and wake all waiting threads; safe to call twice."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._connection.close_socket()
        with self._pending_lock:
            waiting = list(self._pending.values())
        for pending in waiting:
            pending.arrived.set()

    def _forget(self, number: int) -> None:
        with self._pending_lock:
            self._pending.pop(number, None)


def is_oversized(error: Exception) -> bool:
    """Return whether a connection was closed for a frame above the limit."""
    if not isinstance(error, exceptions.ConnectionClosed):
        return False
    return (
        error.sent is not None
        and error.sent.code == frames.CloseCode.MESSAGE_TOO_BIG
    )


def _answer(message: Any) -> Result[Any, ports.PeerFault]:
    if isinstance(message, protocol.PeerDone):
        return Ok(None)
    if not isinstance(message, protocol.PeerRefusal):
        return Ok(message)
    kind = ports.PeerFaultKind.NO_ANSWER
    if message.kind in {known.value for known in ports.PeerFaultKind}:
        kind = ports.PeerFaultKind(message.kind)
    return Error(ports.PeerFault(kind, message.message))
