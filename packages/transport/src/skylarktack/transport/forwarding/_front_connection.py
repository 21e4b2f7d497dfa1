"""One connection of a caller: reads requests, writes answers."""

import contextlib
import select
import socket
import threading
import time
from typing import Protocol

import h11

from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _sockets

#: Pipelined bytes that are taken while a request is in progress.
PIPELINE_LIMIT_BYTES = 65536

#: Longest time that a caller may leave written bytes unread.
WRITE_STALL_S = 20.0

#: Time for which a caller's bytes are still read after a final answer, so
#: that closing does not reset the connection before the answer is read.
LINGER_S = 0.5

_FRAMING_NAMES = frozenset((b'content-length',))

_STATUSES_WITHOUT_BODY = frozenset((204, 304))

_HEADER_TOO_LARGE_STATUS = 431


class FrontHandler(Protocol):
    """Decides what becomes of the requests of a connection."""

    @property
    def is_stopping(self) -> bool:
        """Return whether the connection ends after the current answer."""
        ...

    def limits(self) -> data.FrontLimits:
        """Return the limits on callers."""
        ...

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Serve one request and return how it ended."""
        ...


class FrontConnection:
    """Serves the requests of one caller, one after another."""

    def __init__(
        self,
        connection: socket.socket,
        handler: FrontHandler,
        codec: forwarding.MessageCodec,
    ) -> None:
        self._connection = connection
        self._handler = handler
        self._codec = codec
        limits = handler.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._pipelined_bytes = 0
        self._has_left = False
        self._has_begun_answer = False
        self._state = threading.Lock()
        self._is_idle = True
        self._is_closing = False
        self._is_closed = False

    def run(self) -> None:
        """Serve requests until either side ends the connection."""
        try:
            self._connection.setblocking(False)
            _sockets.tune(self._connection)
            while self._serve_next():
                self._pipelined_bytes = 0
                self._has_begun_answer = False
                self._parser.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The caller is gone or does not speak HTTP; nothing can be sent.
            pass
        finally:
            with self._state:
                self._is_closed = True
            self._connection.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        with self._state:
            if self._is_closed or not self._is_idle:
                return
            # A request that has arrived but was not read yet is served.
            if _sockets.wait_for(self._connection, select.POLLIN, 0.0):
                return
            self._is_closing = True
            # The caller may close it at the same moment.
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)

    def fileno(self) -> int:
        """Return the descriptor to wait on, or -1 to wait for nothing."""
        if self._pipelined_bytes > PIPELINE_LIMIT_BYTES:
            return -1
        return self._connection.fileno()

    def has_disconnected(self) -> bool:
        """Take what has arrived; return whether the caller has left."""
        if self._has_left:
            return True
        try:
            received = self._connection.recv(_sockets.READ_SIZE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self._has_left = True
            return True
        self._pipelined_bytes += len(received)
        self._parser.receive_data(received)
        self._has_left = not received
        return self._has_left

    def start_stream(self, head: data.ResponseHead) -> bool:
        """Send the head of a stream; return whether the caller is there."""
        self._has_begun_answer = True
        headers = messages.without_names(head.headers, _FRAMING_NAMES)
        return self._write(self._encode_head(head.status, headers))

    def send_events(self, events: bytes) -> bool:
        """Send whole events; return whether the caller is there."""
        return self._write(self._parser.send(h11.Data(data=events)) or b'')

    def _serve_next(self) -> bool:
        """Serve one request; return whether the connection goes on."""
        received = self._read_request()
        if received is None:
            return False
        if isinstance(received, data.Refusal):
            self._send_whole(
                self._codec.encode_refusal(received), must_close=True
            )
            self._drain()
            return False
        outcome = self._handler.handle(received, self)
        return self._answer(outcome)

    def _answer(self, outcome: forwarding.StreamOutcome) -> bool:
        if isinstance(
            outcome,
            forwarding.CallerDisconnected | forwarding.StreamInterrupted,
        ):
            return False
        if isinstance(outcome, forwarding.StreamCompleted):
            if not self._write(self._parser.send(h11.EndOfMessage()) or b''):
                return False
            return self._goes_on()
        if isinstance(outcome, data.Refusal):
            outcome = self._codec.encode_refusal(outcome)
        must_close = self._handler.is_stopping
        return self._send_whole(outcome, must_close) and self._goes_on()

    def _goes_on(self) -> bool:
        if self._handler.is_stopping or self._has_left:
            return False
        with self._state:
            self._is_idle = True
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    def _send_whole(
        self, answer: data.FrontResponse, must_close: bool
    ) -> bool:
        headers = messages.without_names(answer.headers, _FRAMING_NAMES)
        if answer.status not in _STATUSES_WITHOUT_BODY:
            length = str(len(answer.body)).encode()
            headers += ((b'Content-Length', length),)
        outgoing = self._encode_head(answer.status, headers, must_close)
        if answer.body and answer.status not in _STATUSES_WITHOUT_BODY:
            outgoing += self._parser.send(h11.Data(data=answer.body)) or b''
        outgoing += self._parser.send(h11.EndOfMessage()) or b''
        return self._write(outgoing)

    def _encode_head(
        self, status: int, headers: data.Headers, must_close: bool = False
    ) -> bytes:
        kept = messages.without_names(
            headers, messages.connection_bound_names(headers)
        )
        if must_close or self._handler.is_stopping:
            kept += ((b'Connection', b'close'),)
        response = h11.Response(status_code=status, headers=list(kept))
        return self._parser.send(response) or b''

    def _read_request(self) -> data.FrontRequest | data.Refusal | None:
        limits = self._handler.limits()
        head: data.RequestHead | None = None
        has_body = False
        body: list[bytes] = []
        size_bytes = 0
        begun_at_s: float | None = None
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                return _bad_request(error)
            if event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self._write(self._parser.send(interim) or b'')
                if begun_at_s is None and self._parser.trailing_data[0]:
                    begun_at_s = time.monotonic()
                refusal = self._read_more(limits, begun_at_s)
                if refusal is not None:
                    return refusal if begun_at_s is not None else None
                if self._has_left:
                    return None
                if begun_at_s is None:
                    begun_at_s = time.monotonic()
                continue
            if isinstance(event, h11.Request):
                with self._state:
                    if self._is_closing:
                        return None
                    self._is_idle = False
                head = data.RequestHead(
                    method=event.method,
                    target=event.target,
                    headers=tuple(event.headers.raw_items()),
                )
                has_body = _has_body(head.headers)
                if _has_two_lengths(head.headers):
                    return data.Refusal(
                        data.RefusalReason.BAD_REQUEST,
                        detail='both a length and a transfer coding',
                    )
                continue
            if isinstance(event, h11.Data):
                begun_at_s = time.monotonic()
                size_bytes += len(event.data)
                if size_bytes > limits.max_body_bytes:
                    return data.Refusal(data.RefusalReason.BODY_TOO_LARGE)
                body.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                return self._codec.decode_request(
                    head, b''.join(body), has_body
                )
            return None

    def _read_more(
        self, limits: data.FrontLimits, begun_at_s: float | None
    ) -> data.Refusal | None:
        """Read once; return a refusal if nothing came in time."""
        if begun_at_s is None:
            wait_s = limits.idle_timeout_ms / 1000
        else:
            waited_s = time.monotonic() - begun_at_s
            wait_s = limits.header_timeout_ms / 1000 - waited_s
        found = _sockets.wait_for(self._connection, select.POLLIN, wait_s)
        if not found:
            return data.Refusal(data.RefusalReason.READ_TIMEOUT)
        self.has_disconnected()
        return None

    def _write(self, outgoing: bytes) -> bool:
        """Write all bytes; return whether the caller is still there."""
        view = memoryview(outgoing)
        while view:
            try:
                sent = self._connection.send(view)
            except BlockingIOError:
                if not _sockets.wait_for(
                    self._connection, select.POLLOUT, WRITE_STALL_S
                ):
                    self._has_left = True
                    return False
                continue
            except OSError:
                self._has_left = True
                return False
            view = view[sent:]
        return True

    def _drain(self) -> None:
        """Read and drop what a refused caller still sends, for a moment."""
        end_s = time.monotonic() + LINGER_S
        self._connection.shutdown(socket.SHUT_WR)
        while True:
            left_s = end_s - time.monotonic()
            if left_s <= 0 or not _sockets.wait_for(
                self._connection, select.POLLIN, left_s
            ):
                return
            if not self._connection.recv(_sockets.READ_SIZE_BYTES):
                return


def _bad_request(error: h11.RemoteProtocolError) -> data.Refusal:
    if error.error_status_hint == _HEADER_TOO_LARGE_STATUS:
        return data.Refusal(
            data.RefusalReason.HEADER_TOO_LARGE, detail=str(error)
        )
    return data.Refusal(data.RefusalReason.BAD_REQUEST, detail=str(error))


def _has_body(headers: data.Headers) -> bool:
    for name, _ in headers:
        if name.lower() in (b'content-length', b'transfer-encoding'):
            return True
    return False


def _has_two_lengths(headers: data.Headers) -> bool:
    names = [name.lower() for name, _ in headers]
    return b'content-length' in names and b'transfer-encoding' in names
