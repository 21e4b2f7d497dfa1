"""One connection of a caller: reads requests and writes responses."""

import contextlib
import math
import select
import socket
import threading
import time
from typing import Protocol

import h11

from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _body_claim
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _request_framing
from skylarktack.transport.forwarding import _sockets

#: Limit for pipelined bytes that are read while a request is in progress.
PIPELINE_LIMIT_BYTES = 65536

#: Maximum time that a write waits for the caller to read.
WRITE_STALL_S = 20.0

#: Time for which a caller's bytes are still read after a final response, so
#: that closing does not reset the connection before the response is read.
LINGER_S = 0.5

#: Size up to which a body is sent in one piece with its head. A longer one
#: is not copied.
JOINED_BODY_BYTES = 65536

#: Maximum time for a whole request. The time limit of the configuration
#: bounds the head, and each pause between parts of the body.
MAX_REQUEST_READ_S = 60.0

_FRAMING_NAMES = frozenset((b'content-length',))

_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class FrontHandler(Protocol):
    """Handles the requests of a connection."""

    @property
    def is_stopping(self) -> bool:
        """Return whether to close connections after the current response."""
        ...

    def limits(self) -> data.FrontLimits:
        """Return the size and time limits for callers."""
        ...

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Serve one request.

        :return: the response to send, or how the stream ended.
        """
        ...


class FrontConnection:
    """Serves the requests of one caller, one after another."""

    def __init__(
        self,
        connection: socket.socket,
        handler: FrontHandler,
        codec: forwarding.MessageCodec,
        memory: _memory.MemoryBudget,
    ) -> None:
        self._connection = connection
        self._memory = memory
        self._body_claim = _body_claim.BodyClaim(memory)
        self._held_bytes = 0
        self._handler = handler
        self._codec = codec
        limits = handler.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._pipelined_bytes = 0
        self._has_disconnected = False
        self._has_begun_response = False
        self._is_head_request = False
        self._state_lock = threading.Lock()
        self._is_idle = True
        self._has_request = False
        #: Whether received bytes may hold a request that is not parsed yet.
        self._is_parsing = False
        self._waiting_since_s = time.monotonic()
        self._is_closing = False
        self._is_closed = False

    def run(self) -> None:
        """Serve requests until either side ends the connection."""
        try:
            self._connection.setblocking(False)
            _sockets.set_options(self._connection)
            while self._serve_next():
                self._pipelined_bytes = 0
                self._has_begun_response = False
                self._is_head_request = False
                self._parser.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The caller disconnected or violated HTTP; nothing can be sent.
            pass
        finally:
            self._body_claim.release()
            self._release_response()
            with self._state_lock:
                self._is_closed = True
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        with self._state_lock:
            if self._is_closed or self._is_parsing or not self._is_idle:
                return
            # A request that has arrived but is still unread is served.
            if _sockets.wait_for(self._connection, select.POLLIN, 0.0):
                return
            self._is_closing = True
            # The caller may close the connection at the same time.
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)

    @property
    def waiting_since_s(self) -> float | None:
        """Return since when no request has been read whole, or None."""
        with self._state_lock:
            if self._has_request or self._is_closing or self._is_closed:
                return None
            return self._waiting_since_s

    def evict(self) -> bool:
        """Close the connection to make room; return whether it closes.

        It stays open while it has a request, read or still unread. A part of
        a request is dropped, so that callers that send slowly are evicted too.
        """
        with self._state_lock:
            if self._has_request or self._is_closing or self._is_closed:
                return False
            if self._is_parsing:
                return False
            if _sockets.wait_for(self._connection, select.POLLIN, 0.0):
                return False
            self._is_closing = True
            # The caller may close the connection at the same time.
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)
            return True

    def fileno(self) -> int:
        """Return the descriptor to poll, or -1 above the pipeline limit."""
        if self._pipelined_bytes > PIPELINE_LIMIT_BYTES:
            return -1
        return self._connection.fileno()

    def has_disconnected(self) -> bool:
        """Read received bytes; return whether the caller has disconnected."""
        if self._has_disconnected:
            return True
        try:
            received = self._connection.recv(_sockets.READ_SIZE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self._has_disconnected = True
            return True
        self._pipelined_bytes += len(received)
        self._parser.receive_data(received)
        self._has_disconnected = not received
        return self._has_disconnected

    def hold_response(self, size_bytes: int) -> None:
        """Count a response as memory until it has been sent."""
        held_bytes = max(0, size_bytes - _memory.EXEMPT_BODY_BYTES)
        self._memory.hold_response(held_bytes)
        self._held_bytes += held_bytes

    def start_stream(self, head: data.ResponseHead) -> bool:
        """Send the head of a stream; return False if the caller is gone."""
        self._has_begun_response = True
        headers = messages.without_names(head.headers, _FRAMING_NAMES)
        return self._write(self._encode_head(head.status, headers))

    def send_events(self, events: bytes) -> bool:
        """Send complete events; return False if the caller is gone."""
        return self._write(self._parser.send(h11.Data(data=events)) or b'')

    def _serve_next(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        received = self._read_request()
        if received is None:
            return False
        if isinstance(received, data.Refusal):
            self._send_response(
                self._codec.encode_refusal(received), must_close=True
            )
            self._drain()
            return False
        outcome = self._handler.handle(received, self)
        # The body is not needed while the caller reads its response.
        del received
        self._body_claim.release()
        keeps_open = self._respond(outcome)
        self._release_response()
        return keeps_open

    def _release_response(self) -> None:
        self._memory.release(self._held_bytes)
        self._held_bytes = 0

    def _close(self) -> None:
        """Close the connection; an unfinished response must not look whole.

        A caller of HTTP/1.0 takes the end of the connection for the end of
        a response without a length (RFC 9112, 6.3), unless it is reset.
        """
        is_unfinished = self._parser.our_state is h11.SEND_BODY
        if is_unfinished and self._parser.their_http_version == b'1.0':
            with contextlib.suppress(OSError):
                _sockets.reset_on_close(self._connection)
        self._connection.close()

    def _respond(self, outcome: forwarding.StreamOutcome) -> bool:
        if isinstance(
            outcome,
            forwarding.CallerDisconnected | forwarding.StreamInterrupted,
        ):
            return False
        if isinstance(outcome, forwarding.StreamCompleted):
            if not self._write(self._parser.send(h11.EndOfMessage()) or b''):
                return False
            return self._keeps_open()
        if self._has_begun_response:
            # A second head would be taken for a part of the stream.
            return False
        if isinstance(outcome, data.Refusal):
            outcome = self._codec.encode_refusal(outcome)
        must_close = self._handler.is_stopping
        return self._send_response(outcome, must_close) and self._keeps_open()

    def _keeps_open(self) -> bool:
        if self._handler.is_stopping or self._has_disconnected:
            return False
        with self._state_lock:
            self._is_idle = True
            self._has_request = False
            # The next request may have been received with the last one.
            self._is_parsing = True
            self._waiting_since_s = time.monotonic()
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    def _send_response(
        self, response: data.FrontResponse, must_close: bool
    ) -> bool:
        headers = messages.without_names(response.headers, _FRAMING_NAMES)
        has_length = response.status not in _STATUSES_WITHOUT_BODY
        if has_length:
            length = str(len(response.body)).encode()
            headers += ((b'Content-Length', length),)
        outgoing = self._encode_head(response.status, headers, must_close)
        has_body = has_length and not self._is_head_request
        parts = [outgoing]
        if response.body and has_body:
            # Unlike ``send``, this does not copy the body.
            self._parser.send_with_data_passthrough(
                h11.Data(data=response.body)
            )
            parts.append(response.body)
        parts.append(self._parser.send(h11.EndOfMessage()) or b'')
        if len(response.body) <= JOINED_BODY_BYTES:
            return self._write(b''.join(parts))
        return all(self._write(part) for part in parts)

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
        # Grows in place; a list of parts would be held twice when joined.
        body = bytearray()
        size_bytes = 0
        started_at_s: float | None = None
        read_end_s = math.inf
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                return _request_framing.bad_request(error)
            if event is h11.NEED_DATA:
                with self._state_lock:
                    self._is_parsing = False
                if self._parser.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self._write(self._parser.send(interim) or b'')
                if started_at_s is None and self._parser.trailing_data[0]:
                    started_at_s = time.monotonic()
                refusal = self._read_more(limits, started_at_s, read_end_s)
                if refusal is not None:
                    return refusal if started_at_s is not None else None
                if self._has_disconnected:
                    return None
                if started_at_s is None:
                    started_at_s = time.monotonic()
                if read_end_s == math.inf:
                    read_end_s = started_at_s + MAX_REQUEST_READ_S
                continue
            if isinstance(event, h11.Request):
                with self._state_lock:
                    if self._is_closing:
                        return None
                    self._is_idle = False
                head = data.RequestHead(
                    method=event.method,
                    target=event.target,
                    headers=tuple(event.headers.raw_items()),
                )
                self._is_head_request = head.method == b'HEAD'
                has_body = _request_framing.has_body(head.headers)
                if _request_framing.has_conflicting_lengths(head.headers):
                    return data.Refusal(
                        data.RefusalReason.BAD_REQUEST,
                        detail='both a length and a transfer coding',
                    )
                refusal = self._body_claim.claim(
                    _request_framing.content_length(head), limits
                )
                if refusal is not None:
                    return refusal
                continue
            if isinstance(event, h11.Data):
                size_bytes += len(event.data)
                refusal = self._body_claim.grow(size_bytes, limits)
                if refusal is not None:
                    return refusal
                started_at_s = time.monotonic()
                body += event.data
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                with self._state_lock:
                    if self._is_closing:
                        return None
                    self._has_request = True
                self._body_claim.release(size_bytes)
                # What was read so far was the request itself.
                self._pipelined_bytes = len(self._parser.trailing_data[0])
                content = bytes(body)
                del body
                return self._codec.decode_request(head, content, has_body)
            return None

    def _read_more(
        self,
        limits: data.FrontLimits,
        started_at_s: float | None,
        read_end_s: float,
    ) -> data.Refusal | None:
        """Read once; return a refusal on timeout.

        :param started_at_s: when the caller began to send this part.
        :param read_end_s: when the whole request has to be read.
        """
        now_s = time.monotonic()
        if started_at_s is None:
            wait_s = limits.idle_timeout_ms / 1000
        else:
            wait_s = started_at_s + limits.header_timeout_ms / 1000 - now_s
        wait_s = min(wait_s, read_end_s - now_s)
        # A caller that sends a byte now and then is always readable.
        if wait_s <= 0 or not _sockets.wait_for(
            self._connection, select.POLLIN, wait_s
        ):
            return data.Refusal(data.RefusalReason.READ_TIMEOUT)
        with self._state_lock:
            self._is_parsing = True
        self.has_disconnected()
        return None

    def _write(self, outgoing: bytes) -> bool:
        """Write all bytes; return False if the caller is gone or stalled."""
        view = memoryview(outgoing)
        while view:
            try:
                sent = self._connection.send(view)
            except BlockingIOError:
                if not _sockets.wait_for(
                    self._connection, select.POLLOUT, WRITE_STALL_S
                ):
                    self._has_disconnected = True
                    return False
                continue
            except OSError:
                self._has_disconnected = True
                return False
            view = view[sent:]
        return True

    def _drain(self) -> None:
        """Discard what a refused caller still sends, for ``LINGER_S``."""
        deadline_s = time.monotonic() + LINGER_S
        self._connection.shutdown(socket.SHUT_WR)
        while True:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or not _sockets.wait_for(
                self._connection, select.POLLIN, remaining_s
            ):
                return
            if not self._connection.recv(_sockets.READ_SIZE_BYTES):
                return
