"""Reads the requests of one caller, within limits on size and time."""

import dataclasses
import select
import socket
import threading
import time

import h11

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import _lingering
from skylarktack.transport.forwarding import _body_claim
from skylarktack.transport.forwarding import _connection_phase
from skylarktack.transport.forwarding import _front_handler
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _request_framing
from skylarktack.transport.forwarding import _sockets

#: Maximum time for a whole request. The time limit of the configuration
#: bounds the head, and each pause between parts of the body.
MAX_REQUEST_READ_S = 60.0

#: Time for which a caller's bytes are still read after a final response, so
#: that closing does not reset the connection before the response is read.
LINGER_S = 0.5

#: Held while received chunks of a body are parsed. Tiny chunks take much
#: processor time; if many connections parsed them at once, each would take
#: its turn at the interpreter's lock before a request of another caller.
_chunk_parsing = threading.Lock()

#: States of the parser once a request was read whole.
_WHOLE_REQUEST_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


@dataclasses.dataclass
class _PartialRequest:
    """The part of a request that has been read."""

    #: Monotonic time at which the first byte was read; None before it.
    began_at_s: float | None = None

    #: Monotonic time from which the timeout of the next part counts.
    part_began_at_s: float = 0.0

    head: data.RequestHead | None = None

    has_body: bool = False

    is_chunked: bool = False

    #: Whether a part was still received after its timeout had passed.
    is_overdue: bool = False

    #: Grows in place; a list of parts would be held twice when joined.
    body: bytearray = dataclasses.field(default_factory=bytearray)


class RequestReader:
    """Reads one request after another from a connection."""

    def __init__(
        self,
        connection: socket.socket,
        handler: _front_handler.FrontHandler,
        codec: forwarding.MessageCodec,
        phase: _connection_phase.ConnectionPhase,
        memory: _memory.MemoryBudget,
    ) -> None:
        self._connection = connection
        self._handler = handler
        self._codec = codec
        self._phase = phase
        self._body_claim = _body_claim.BodyClaim(memory)
        self._waiting_since_s = time.monotonic()
        self._max_header_bytes = self._limits(None).max_header_bytes
        #: Parses requests and encodes responses.
        self.parser = self._new_parser()
        #: Bytes received while a request is in progress.
        self.pipelined_bytes = 0
        self.has_disconnected = False
        #: Whether the request that was read last wants no body in its answer.
        self.is_head_request = False
        self._head: data.RequestHead | None = None
        #: Event that was parsed behind chunks of a body; None without one.
        self._parsed_event: _Event | None = None

    @property
    def attempt_id(self) -> str:
        """Return the attempt that is read or was read last, or empty."""
        if self._head is None:
            return ''
        request = self._codec.decode_request(self._head, b'', has_body=False)
        if isinstance(request, data.Refusal):
            return ''
        return request.attempt_id

    def start_next_cycle(self) -> None:
        """Prepare for the request after a response."""
        self.pipelined_bytes = 0
        self.parser.start_next_cycle()
        self._waiting_since_s = time.monotonic()

    def release_body(self) -> None:
        """Return the memory that was claimed for the body."""
        self._body_claim.release()

    def has_pipelined_bytes(self) -> bool:
        """Return whether bytes of a next request have arrived."""
        if self.parser.trailing_data[0]:
            return True
        return bool(
            _sockets.wait_for(self._connection, select.POLLIN, 0.0)
            and not self.receive()
        )

    def receive(self) -> bool:
        """Receive once; return whether the caller has disconnected."""
        if self.has_disconnected:
            return True
        try:
            received = self._connection.recv(_sockets.READ_SIZE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self.has_disconnected = True
            return True
        self.pipelined_bytes += len(received)
        self.parser.receive_data(received)
        self.has_disconnected = not received
        return self.has_disconnected

    def read(
        self,
    ) -> data.FrontRequest | data.Refusal | _connection_phase.ConnectionEnd:
        """Wait for a request and read it whole.

        :return: the request, a refusal to send before the connection closes,
            or why it ends without one.
        """
        partial = _PartialRequest()
        self.is_head_request = False
        self._head = None
        while True:
            try:
                event = self._next_event(partial)
            except h11.RemoteProtocolError as error:
                return _request_framing.bad_request(error)
            if event is h11.NEED_DATA:
                ending = self._read_more(partial)
                if ending is not None:
                    return ending
                continue
            if isinstance(event, h11.Request):
                refusal = self._handle_head(event, partial)
                if refusal is not None:
                    return refusal
                continue
            if isinstance(event, h11.Data):
                refusal = self._handle_body(event.data, partial)
                if refusal is not None:
                    return refusal
                continue
            if isinstance(event, h11.EndOfMessage) and partial.head:
                return self._handle_end(partial.head, partial)
            return _connection_phase.ConnectionEnd.CALLER

    def discard_rest(self) -> bool:
        """Discard what a refused caller still sends.

        It has ``LINGER_S`` to read the refusal after the rest of its body.

        :return: False if it had not ended at the limit of time or size.
        """
        lingering = _lingering.Lingering(time.monotonic())
        while not self._has_read_all():
            received = self._receive_within(
                lingering.remaining_s(
                    time.monotonic(), self._handler.is_stopping
                )
            )
            if not received:
                return lingering.remaining_s(time.monotonic()) > 0
            lingering.record_received(len(received), time.monotonic())
            # Without a head, or after a malformed part, nothing tells where
            # the request ends.
            if self.parser.their_state is h11.SEND_BODY:
                self.parser.receive_data(received)
        self.discard_briefly()
        return True

    def discard_briefly(self) -> None:
        """Discard what arrives within ``LINGER_S`` or before the end."""
        end_s = time.monotonic() + LINGER_S
        while self._receive_within(end_s - time.monotonic()):
            continue

    def _receive_within(self, wait_s: float) -> bytes:
        """Return received bytes; empty after the wait or at the end."""
        if wait_s <= 0 or not _sockets.wait_for(
            self._connection, select.POLLIN, wait_s
        ):
            return b''
        return self._connection.recv(_sockets.READ_SIZE_BYTES)

    def _has_read_all(self) -> bool:
        """Drop parsed parts; return whether the request was read whole."""
        try:
            with _chunk_parsing:
                while self.parser.their_state is h11.SEND_BODY:
                    if not isinstance(self.parser.next_event(), h11.Data):
                        break
        except h11.RemoteProtocolError:
            return False
        return self.parser.their_state in _WHOLE_REQUEST_STATES

    def _next_event(self, partial: _PartialRequest) -> _Event:
        """Return the next event; received chunks of a body are one event.

        :raises h11.RemoteProtocolError: if the request is malformed.
        """
        if self._parsed_event is not None:
            event, self._parsed_event = self._parsed_event, None
            return event
        if not partial.is_chunked:
            return self.parser.next_event()
        chunks = bytearray()
        with _chunk_parsing:
            event = self.parser.next_event()
            while isinstance(event, h11.Data):
                chunks += event.data
                event = self.parser.next_event()
        if not chunks:
            return event
        self._parsed_event = event
        return h11.Data(data=bytes(chunks))

    def _handle_head(
        self, event: h11.Request, partial: _PartialRequest
    ) -> data.Refusal | None:
        fields = event.headers.raw_items()
        max_field_count = _request_framing.MAX_FIELD_COUNT
        partial.head = data.RequestHead(
            method=event.method,
            target=event.target,
            headers=tuple(fields[:max_field_count]),
        )
        self._head = partial.head
        self.is_head_request = event.method == b'HEAD'
        if len(fields) > max_field_count:
            return data.Refusal(
                data.RefusalReason.HEADER_TOO_LARGE,
                detail=f'more than {max_field_count} header fields',
            )
        partial.has_body = _request_framing.has_body(partial.head.headers)
        partial.is_chunked = _request_framing.is_chunked(partial.head.headers)
        if _request_framing.has_conflicting_lengths(partial.head.headers):
            return data.Refusal(
                data.RefusalReason.BAD_REQUEST,
                detail='both a length and a transfer coding',
            )
        return self._body_claim.claim(
            _request_framing.content_length(partial.head),
            self._limits(partial.began_at_s),
        )

    def _handle_body(
        self, received: bytes | bytearray, partial: _PartialRequest
    ) -> data.Refusal | None:
        refusal = self._body_claim.grow(
            len(partial.body) + len(received), self._limits(partial.began_at_s)
        )
        if refusal is not None:
            return refusal
        partial.part_began_at_s = time.monotonic()
        partial.body += received
        return None

    def _handle_end(
        self, head: data.RequestHead, partial: _PartialRequest
    ) -> data.FrontRequest | data.Refusal:
        self._phase.record_whole_request()
        self._body_claim.release(len(partial.body))
        # What was read so far was the request itself.
        self.pipelined_bytes = len(self.parser.trailing_data[0])
        content = bytes(partial.body)
        partial.body = bytearray()
        return self._codec.decode_request(head, content, partial.has_body)

    def _read_more(
        self, partial: _PartialRequest
    ) -> data.Refusal | _connection_phase.ConnectionEnd | None:
        """Wait for bytes and receive them; return why that fails, or None."""
        self._phase.record_parsed()
        if self.parser.they_are_waiting_for_100_continue:
            self._send_continue()
        if partial.began_at_s is None and self.parser.trailing_data[0]:
            self._record_begin(partial)
        if partial.began_at_s is None:
            if not self._wait_while_idle():
                return self._phase.end or _connection_phase.ConnectionEnd.IDLE
        elif not self._wait_for_part(partial):
            return data.Refusal(data.RefusalReason.READ_TIMEOUT)
        if not self._phase.begin_read():
            # Unread bytes tell the caller that its request was not read.
            return self._phase.end
        if partial.began_at_s is None:
            self._follow_header_limit()
        if self.receive():
            return _connection_phase.ConnectionEnd.CALLER
        if partial.began_at_s is None:
            self._record_begin(partial)
        return None

    def _record_begin(self, partial: _PartialRequest) -> None:
        self._phase.begin_request()
        partial.began_at_s = time.monotonic()
        partial.part_began_at_s = partial.began_at_s

    def _wait_while_idle(self) -> bool:
        """Wait for a request; return False if the connection is closed.

        The limits are read again when they have passed, since the
        configuration may have changed meanwhile.
        """
        while True:
            limits = self._limits(self._waiting_since_s)
            expires_at_s = (
                self._waiting_since_s + limits.idle_timeout_ms / 1000
            )
            wait_s = expires_at_s - time.monotonic()
            if wait_s <= 0:
                return not self._phase.expire()
            if _sockets.wait_for(self._connection, select.POLLIN, wait_s):
                return True

    def _wait_for_part(self, partial: _PartialRequest) -> bool:
        """Wait for the next part; return False if it does not come in time."""
        began_at_s = partial.began_at_s or 0.0
        now_s = time.monotonic()
        timeout_ms = self._limits(began_at_s).header_timeout_ms
        wait_s = min(
            partial.part_began_at_s + timeout_ms / 1000 - now_s,
            began_at_s + MAX_REQUEST_READ_S - now_s,
        )
        if wait_s > 0:
            return bool(
                _sockets.wait_for(self._connection, select.POLLIN, wait_s)
            )
        # The process may have been suspended while the rest arrived. A caller
        # that sends a byte now and then is always readable, so this is
        # allowed once.
        if partial.is_overdue:
            return False
        partial.is_overdue = True
        return bool(_sockets.wait_for(self._connection, select.POLLIN, 0.0))

    def _limits(self, began_at_s: float | None) -> data.FrontLimits:
        if began_at_s is None:
            began_at_s = self._waiting_since_s
        return self._handler.limits(began_at_s)

    def _follow_header_limit(self) -> None:
        """Parse the next request by the limit in force."""
        max_header_bytes = self._limits(None).max_header_bytes
        if max_header_bytes == self._max_header_bytes:
            return
        self._max_header_bytes = max_header_bytes
        self.parser = self._new_parser()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_header_bytes
        )

    def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        content = self.parser.send(interim) or b''
        sent = _sockets.send_all(self._connection, content)
        if sent is not _sockets.SendResult.SENT:
            self.has_disconnected = True
