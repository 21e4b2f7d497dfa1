"""One connection of a caller: reads requests and writes responses."""

import contextlib
import socket
import time

import h11

from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _connection_phase
from skylarktack.transport.forwarding import _front_handler
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _request_reader
from skylarktack.transport.forwarding import _sockets

ConnectionEnd = _connection_phase.ConnectionEnd

#: Limit for pipelined bytes that are read while a request is in progress.
PIPELINE_LIMIT_BYTES = 65536

#: Maximum time for which a stop answers requests that were received behind
#: others before it announces the close regardless of them.
MAX_PIPELINED_STOP_S = 1.0

#: Size up to which a body is sent in one piece with its head. A longer one
#: is not copied.
JOINED_BODY_BYTES = 65536

_FRAMING_NAMES = frozenset((b'content-length',))

_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class FrontConnection:
    """Serves the requests of one caller, one after another."""

    def __init__(
        self,
        connection: socket.socket,
        handler: _front_handler.FrontHandler,
        codec: forwarding.MessageCodec,
        memory: _memory.MemoryBudget,
        bounds: forwarding.BoundRecorder,
    ) -> None:
        self._connection = connection
        self._memory = memory
        self._bounds = bounds
        self._held_bytes = 0
        self._handler = handler
        self._codec = codec
        self._phase = _connection_phase.ConnectionPhase(connection)
        self._reader = _request_reader.RequestReader(
            connection, handler, codec, self._phase, memory
        )
        self._has_begun_response = False
        #: Whether the current request has reached the pipeline limit.
        self._is_pipeline_full = False
        #: When this connection first noticed the stop, or None.
        self._stopping_since_s: float | None = None

    def run(self) -> ConnectionEnd:
        """Serve requests until either side ends the connection.

        :return: why it has ended.
        """
        end = ConnectionEnd.UNEXPECTED
        try:
            self._connection.setblocking(False)
            _sockets.set_options(self._connection)
            end = self._serve()
        except (OSError, h11.RemoteProtocolError):
            # The caller disconnected or violated HTTP; nothing can be sent.
            end = ConnectionEnd.CALLER
        finally:
            self._reader.release_body()
            self._release_response()
            end = self._phase.record_end(end)
            self._close()
        return end

    def close_if_idle(self) -> None:
        """Close the connection if it has been idle for a while."""
        self._phase.close_if_idle()

    @property
    def waiting_since_s(self) -> float | None:
        """Return since when no request has been read whole, or None."""
        return self._phase.waiting_since_s

    @property
    def is_lingering(self) -> bool:
        """Return whether a refused caller may go on sending."""
        return self._phase.is_lingering

    def evict(self) -> bool:
        """Close the connection to make room; return whether it closes.

        It stays open while it has a request, read or still unread. A part of
        a request is dropped, so that callers that send slowly are evicted too.
        """
        return self._phase.evict()

    def fileno(self) -> int:
        """Return the descriptor to poll, or -1 above the pipeline limit."""
        if self._reader.pipelined_bytes > PIPELINE_LIMIT_BYTES:
            if not self._is_pipeline_full:
                self._is_pipeline_full = True
                self._bounds.record(
                    forwarding.Bound.PIPELINED_BYTES, self._reader.attempt_id
                )
            return -1
        return self._connection.fileno()

    def has_disconnected(self) -> bool:
        """Read received bytes; return whether the caller has disconnected."""
        return self._reader.receive()

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

    @property
    def _parser(self) -> h11.Connection:
        return self._reader.parser

    def _serve(self) -> ConnectionEnd:
        while True:
            end = self._serve_next()
            if end is not None:
                return end
            self._has_begun_response = False
            self._is_pipeline_full = False
            self._reader.start_next_cycle()

    def _serve_next(self) -> ConnectionEnd | None:
        """Serve one request; return why the connection ends, or None."""
        received = self._reader.read()
        if isinstance(received, ConnectionEnd):
            return received
        if isinstance(received, data.Refusal):
            self._bounds.record_refusal(received, self._reader.attempt_id)
            # A body that is dropped needs no memory.
            self._reader.release_body()
            self._send_response(
                self._codec.encode_refusal(received), must_close=True
            )
            self._connection.shutdown(socket.SHUT_WR)
            self._phase.begin_linger()
            if received.reason is data.RefusalReason.READ_TIMEOUT:
                # A caller that sends too slowly would be waited for again.
                self._reader.discard_briefly()
            elif not self._reader.discard_rest():
                self._bounds.record(
                    forwarding.Bound.REFUSED_REQUEST, self._reader.attempt_id
                )
            return ConnectionEnd.REFUSED
        outcome = self._handler.handle(received, self)
        # The body is not needed while the caller reads its response.
        del received
        self._reader.release_body()
        end = self._respond(outcome)
        self._release_response()
        return end

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

    def _respond(
        self, outcome: forwarding.StreamOutcome
    ) -> ConnectionEnd | None:
        """Send what is left of the response; return why to close, or None."""
        if isinstance(outcome, forwarding.CallerDisconnected):
            return ConnectionEnd.CALLER
        if isinstance(outcome, forwarding.StreamInterrupted):
            return ConnectionEnd.INTERRUPTED
        if isinstance(outcome, forwarding.StreamCompleted):
            if not self._write(self._parser.send(h11.EndOfMessage()) or b''):
                return ConnectionEnd.CALLER
            return self._end_after_response()
        if self._has_begun_response:
            # A second head would be taken for a part of the stream.
            return ConnectionEnd.INTERRUPTED
        if isinstance(outcome, data.Refusal):
            outcome = self._codec.encode_refusal(outcome)
        if not self._send_response(outcome, must_close=False):
            return ConnectionEnd.CALLER
        return self._end_after_response()

    def _end_after_response(self) -> ConnectionEnd | None:
        if self._reader.has_disconnected:
            return ConnectionEnd.CALLER
        if self._parser.our_state is not h11.DONE:
            self._finish_announced_close()
            return ConnectionEnd.ANNOUNCED
        self._phase.await_request()
        return None

    def _finish_announced_close(self) -> None:
        """Let the caller read the last response before the close.

        Closing with unread bytes would reset the connection.
        """
        if self._reader.has_pipelined_bytes():
            self._connection.shutdown(socket.SHUT_WR)
            self._reader.discard_briefly()

    def _send_response(
        self, response: data.FrontResponse, must_close: bool
    ) -> bool:
        headers = messages.without_names(response.headers, _FRAMING_NAMES)
        has_length = response.status not in _STATUSES_WITHOUT_BODY
        if has_length:
            length = str(len(response.body)).encode()
            headers += ((b'Content-Length', length),)
        outgoing = self._encode_head(response.status, headers, must_close)
        has_body = has_length and not self._reader.is_head_request
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
        if must_close or self._must_announce_close():
            kept += ((b'Connection', b'close'),)
        response = h11.Response(status_code=status, headers=list(kept))
        return self._parser.send(response) or b''

    def _must_announce_close(self) -> bool:
        """Return whether the response is the last one of a stop.

        A request that was received behind this one is answered first.
        """
        if not self._handler.is_stopping:
            return False
        now_s = time.monotonic()
        if self._stopping_since_s is None:
            self._stopping_since_s = now_s
        if now_s >= self._stopping_since_s + MAX_PIPELINED_STOP_S:
            return True
        return not self._reader.has_pipelined_bytes()

    def _write(self, outgoing: bytes) -> bool:
        """Write all bytes; return False if the caller is gone or stalled."""
        sent = _sockets.send_all(self._connection, outgoing)
        if sent is _sockets.SendResult.SENT:
            return True
        if sent is _sockets.SendResult.STALLED:
            self._bounds.record(
                forwarding.Bound.RESPONSE_WRITE_TIME, self._reader.attempt_id
            )
        self._reader.has_disconnected = True
        return False
