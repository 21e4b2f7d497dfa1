"""One request to one target and its response, without blocking."""

import collections
import select
import socket

import h11

from skylarktack.coordination import forwarding
from skylarktack.transport import _undelivered_bytes
from skylarktack.transport.forwarding import _bounded_response
from skylarktack.transport.forwarding import _exchange_faults
from skylarktack.transport.forwarding import _sockets


class HttpExchange:
    """One request to one target and its response."""

    def __init__(
        self,
        connection: socket.socket,
        parser: _bounded_response.BoundedResponseParser,
        codec: forwarding.MessageCodec,
        attempt_id: str,
        is_stream: bool = False,
        bounds: forwarding.BoundRecorder | None = None,
    ) -> None:
        """Create an exchange over an open connection.

        :param bounds: records the bounds that it reaches, or None.
        """
        self._connection = connection
        self._parser = parser
        self._codec = codec
        self._attempt_id = attempt_id
        self._is_stream = is_stream
        self._bounds = bounds
        self._has_ended = False
        #: Whether the rest of the response waits for memory.
        self.is_held_back = False
        self._unsent: collections.deque[memoryview] = collections.deque()
        #: Error that ended the connection while the request was being sent,
        #: or None.
        self._send_error: OSError | None = None
        #: Whether the kernel took a byte of the request, which the target
        #: may then have read.
        self._has_sent = False
        self._has_received = False

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._connection.fileno()

    @property
    def connection(self) -> socket.socket:
        """Return the socket to poll."""
        return self._connection

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request.

        Of a request that the target has not received whole, nothing more is
        delivered, so that it does not run after its caller has left.
        """
        if not self._has_ended:
            _sockets.discard_undelivered(self._connection)
        self.finish()

    def finish(self) -> None:
        """Close the connection; what was sent is still delivered."""
        self._connection.close()
        self._parser.release()

    @property
    def awaited_events(self) -> int:
        """Return the poll events after which to call ``receive``."""
        if self._unsent:
            return select.POLLIN | select.POLLOUT
        return select.POLLIN

    def send(self, parts: tuple[bytes, ...]) -> None:
        """Send what the connection takes at once, without blocking.

        The rest is sent by ``receive``, so the time limit and the caller of
        the request are watched meanwhile. A target may also respond before
        it has read the body, and still need it for the rest of its response.
        """
        self._unsent.extend(memoryview(part) for part in parts)
        self._send_some()

    def receive(self) -> tuple[forwarding.ResponseEvent, ...]:
        """Return the events received so far, without blocking."""
        if self._unsent:
            self._send_some()
        events = self._read_events()
        if self._has_sent or self._has_received:
            return tuple(events)
        return tuple(_exchange_faults.not_sent(event) for event in events)

    def _send_some(self) -> None:
        """Send what the connection takes.

        After a failure nothing more is sent; the response may have arrived
        before the target closed the connection. The kernel reports a reset
        once, so it is kept for the reader, which would otherwise find an
        orderly end.
        """
        while self._unsent:
            part = self._unsent[0]
            try:
                sent_bytes = self._connection.send(part)
            except BlockingIOError:
                return
            except OSError as error:
                self._unsent.clear()
                self._send_error = error
                return
            self._has_sent = self._has_sent or sent_bytes > 0
            if sent_bytes < len(part):
                self._unsent[0] = part[sent_bytes:]
                return
            self._unsent.popleft()

    def _read_events(self) -> list[forwarding.ResponseEvent]:
        try:
            size_bytes = self._parser.claim_next(_sockets.READ_SIZE_BYTES)
        except h11.RemoteProtocolError as error:
            return [self._malformed(error)]
        was_held_back = self.is_held_back
        self.is_held_back = size_bytes == 0
        if self.is_held_back:
            if not was_held_back:
                self._record(forwarding.Bound.RESPONSE_MEMORY, '')
            return []
        try:
            received = self._connection.recv(size_bytes)
        except BlockingIOError:
            return []
        except OSError as error:
            return [_exchange_faults.reading_failed(error)]
        self._has_received = self._has_received or bool(received)
        if not received and not self._has_ended:
            fault = self._early_end()
            if fault is not None:
                return [fault]
        try:
            self._parser.receive_data(received)
            return self._parse()
        except h11.RemoteProtocolError as error:
            if not received:
                return [
                    _exchange_faults.connection_lost(
                        'the connection ended within the answer'
                    )
                ]
            return [self._malformed(error)]

    def _early_end(self) -> forwarding.ExchangeFault | None:
        """Return the fault of an end before the request was delivered.

        Of a response without length, nothing else tells whether it is whole.
        """
        if self._send_error is not None:
            return _exchange_faults.reading_failed(self._send_error)
        if self._unsent or _undelivered_bytes.count_undelivered(
            self._connection
        ):
            return _exchange_faults.connection_lost(
                'the connection ended before the request was delivered'
            )
        return None

    def _malformed(
        self, error: h11.RemoteProtocolError
    ) -> forwarding.ExchangeFault:
        if isinstance(error, _bounded_response.ResponseLimitError):
            self._record(forwarding.Bound.RESPONSE_SIZE, str(error))
        return _exchange_faults.malformed(error)

    def _record(self, bound: forwarding.Bound, detail: str) -> None:
        if self._bounds is not None:
            self._bounds.record(bound, self._attempt_id, detail)

    def _parse(self) -> list[forwarding.ResponseEvent]:
        events: list[forwarding.ResponseEvent] = []
        while not self._has_ended:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Response):
                head = self._codec.decode_response(
                    event.status_code, tuple(event.headers.raw_items())
                )
                if head.attempt_id not in (None, self._attempt_id):
                    self._has_ended = True
                    events.append(
                        forwarding.ExchangeFault(
                            forwarding.FaultKind.MALFORMED,
                            'the answer belongs to another request',
                        )
                    )
                    break
                if self._is_stream and head.is_relayable:
                    self._parser.stop_counting()
                events.append(head)
                continue
            if isinstance(event, h11.Data):
                if event.data:
                    events.append(forwarding.BodyChunk(bytes(event.data)))
                continue
            self._has_ended = True
            if isinstance(event, h11.EndOfMessage):
                events.append(forwarding.ResponseEnd())
            else:
                events.append(
                    _exchange_faults.connection_lost(
                        'the connection ended without answer'
                    )
                )
        return events
