"""Requests to targets, each over a new connection.

A reused connection may be stale, unresponsive, or hold a late second
response, and a request that is not idempotent is lost with it. A new
connection costs a millisecond.
"""

import collections
import dataclasses
import select
import socket
import time

import h11

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _bounded_response
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _sockets

#: Maximum size of a response body that is buffered.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

#: Maximum size of a target's report on itself.
MAX_REPORT_BYTES = 256 * 1024

#: Interval at which a response that waits for memory asks for it again.
MEMORY_CHECK_S = 0.05

#: Maximum wait for an engine to free a copy.
RELEASE_TIMEOUT_S = 0.02

#: Statuses of a target that is alive and refuses to report.
_REFUSAL_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True)
class _TargetResponse:
    """A complete response to a request of the frontend itself."""

    head: data.ResponseHead
    body: bytes


class HttpExchange:
    """One request to one target and its response."""

    def __init__(
        self,
        connection: socket.socket,
        parser: _bounded_response.BoundedResponseParser,
        codec: forwarding.MessageCodec,
        attempt_id: str,
        is_stream: bool = False,
    ) -> None:
        self._connection = connection
        self._parser = parser
        self._codec = codec
        self._attempt_id = attempt_id
        self._is_stream = is_stream
        self._has_ended = False
        #: Whether the rest of the response waits for memory.
        self.is_held_back = False
        self._unsent: collections.deque[memoryview] = collections.deque()
        #: Error that ended the connection while the request was being sent;
        #: None if there was none, or if the response had ended before it.
        self._send_error: OSError | None = None

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
        return tuple(self._read_events())

    def _send_some(self) -> None:
        """Send what the connection takes.

        After a failure nothing more is sent; the response may have arrived
        before the target closed the connection. The kernel reports a reset
        once, so it is kept for the reader, which would otherwise find an
        orderly end. A broken pipe is no reset within the response: the
        target had ended its side before.
        """
        while self._unsent:
            part = self._unsent[0]
            try:
                sent_bytes = self._connection.send(part)
            except BlockingIOError:
                return
            except BrokenPipeError:
                self._unsent.clear()
                return
            except OSError as error:
                self._unsent.clear()
                self._send_error = error
                return
            if sent_bytes < len(part):
                self._unsent[0] = part[sent_bytes:]
                return
            self._unsent.popleft()

    def _read_events(self) -> list[forwarding.ResponseEvent]:
        try:
            size_bytes = self._parser.claim_next(_sockets.READ_SIZE_BYTES)
        except h11.RemoteProtocolError as error:
            return [_malformed(error)]
        self.is_held_back = size_bytes == 0
        if self.is_held_back:
            return []
        try:
            received = self._connection.recv(size_bytes)
        except BlockingIOError:
            return []
        except OSError as error:
            return [_reading_failed(error)]
        if not received and self._send_error is not None:
            return [_reading_failed(self._send_error)]
        try:
            self._parser.receive_data(received)
            return self._parse()
        except h11.RemoteProtocolError as error:
            if not received:
                return [
                    _connection_lost('the connection ended within the answer')
                ]
            return [_malformed(error)]

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
                    _connection_lost('the connection ended without answer')
                )
        return events


class HttpTargetClient:
    """Sends requests to targets over HTTP/1.1."""

    def __init__(
        self,
        codec: forwarding.MessageCodec,
        memory: _memory.MemoryBudget | None = None,
    ) -> None:
        """Create a client.

        :param memory: budget of the bodies of responses; None for one of
            its own.
        """
        self._codec = codec
        self._memory = memory or _memory.MemoryBudget(
            _memory.body_limit_bytes(None)
        )

    def send(
        self,
        request: data.FrontRequest,
        delivery: data.DispatchContext,
        connect_timeout_s: float,
    ) -> HttpExchange | forwarding.ExchangeFault:
        """Connect to the target and begin to send the request.

        :param connect_timeout_s: maximum wait for the connection.
        """
        try:
            connection = _sockets.connect(
                delivery.target.endpoint, connect_timeout_s
            )
        except OSError as error:
            return _not_connected(error)
        parser = _new_parser(MAX_RESPONSE_BYTES, self._memory)
        headers = list(self._codec.encode_request(request, delivery))
        if request.has_body:
            headers.append(
                (b'Content-Length', str(len(request.body)).encode())
            )
        try:
            outgoing = parser.encode(
                h11.Request(
                    method=request.method,
                    target=request.path,
                    headers=headers,
                ),
                request.body,
            )
        except h11.LocalProtocolError as error:
            connection.close()
            return forwarding.ExchangeFault(
                forwarding.FaultKind.NOT_CONNECTED,
                f'the request cannot be encoded: {error}',
            )
        exchange = HttpExchange(
            connection,
            parser,
            self._codec,
            request.attempt_id,
            delivery.is_stream,
        )
        exchange.send(outgoing)
        return exchange

    def wait(
        self,
        exchanges: tuple[forwarding.Exchange, ...],
        caller: forwarding.Caller,
        timeout_s: float,
    ) -> forwarding.WaitResult:
        """Wait for a response, the caller to disconnect, or the timeout."""
        poller = select.poll()
        exchange_by_descriptor: dict[int, forwarding.Exchange] = {}
        held_back_exchanges: list[forwarding.Exchange] = []
        for exchange in exchanges:
            if not isinstance(exchange, HttpExchange):
                raise TypeError('exchange was created by another client class')
            if exchange.is_held_back:
                held_back_exchanges.append(exchange)
                timeout_s = min(timeout_s, MEMORY_CHECK_S)
                continue
            exchange_by_descriptor[exchange.fileno()] = exchange
            poller.register(exchange.fileno(), exchange.awaited_events)
        caller_descriptor = caller.fileno()
        if caller_descriptor >= 0:
            poller.register(
                caller_descriptor, select.POLLIN | select.POLLRDHUP
            )
        found = poller.poll(max(0.0, timeout_s) * 1000)
        ready_exchanges = []
        is_caller_disconnected = False
        for descriptor, _ in found:
            if descriptor == caller_descriptor:
                is_caller_disconnected = caller.has_disconnected()
                continue
            ready_exchanges.append(exchange_by_descriptor[descriptor])
        return forwarding.WaitResult(
            (*ready_exchanges, *held_back_exchanges), is_caller_disconnected
        )

    def probe(
        self, target: data.ListedTarget, timeout_s: float
    ) -> data.TargetReport | None:
        """Return the target's load report, or None if there is none.

        None also stands for a failed connection and a malformed response. A
        target that refuses to report is alive, so it gets a report without
        a load.
        """
        response = self._get(target, self._codec.probe_path(), timeout_s)
        if response is None:
            return None
        report = self._codec.decode_report(response.body)
        retry_after_s = None
        if response.head.status in _REFUSAL_STATUSES:
            report = data.TargetReport(None)
            retry_after_s = response.head.retry_after_s
        if report is None:
            return None
        return dataclasses.replace(
            report,
            is_leaving=response.head.is_leaving,
            retry_after_s=retry_after_s,
        )

    def refuses_connections(
        self, target: data.ListedTarget, timeout_s: float
    ) -> bool:
        """Return whether nothing listens at the target's address.

        A timeout or a reset is no refusal: the target may be cut off or busy.
        """
        try:
            _sockets.connect(target.endpoint, timeout_s).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def cached_parts(
        self, target: data.ListedTarget, timeout_s: float
    ) -> frozenset[str]:
        """Return the ids of the prompt parts that an engine has cached.

        Empty without a response.
        """
        path = self._codec.cached_parts_path()
        response = self._get(target, path, timeout_s)
        if response is None or response.head.status != data.OK_STATUS:
            return frozenset()
        return self._codec.decode_cached_parts(response.body)

    def start_copy(
        self, order: data.CopyOrder, connect_timeout_s: float
    ) -> HttpExchange | forwarding.ExchangeFault:
        """Ask an engine to copy a run; the answer comes when it is done."""
        return self._start(
            order.engine,
            self._codec.encode_copy_order(order),
            connect_timeout_s,
        )

    def decode_copy(self, body: bytes) -> str | None:
        """Return the handle of a copy, or None if it is malformed."""
        return self._codec.decode_copy(body)

    def release_copy(
        self, engine: data.ListedTarget, copy: data.RunCopy
    ) -> None:
        """Free a copy; the engine frees it later if this fails."""
        if copy.handle is None:
            return
        exchange = self._start(
            engine,
            self._codec.encode_copy_release(engine, copy.handle),
            RELEASE_TIMEOUT_S,
        )
        if isinstance(exchange, forwarding.ExchangeFault):
            return
        # An engine may drop a request whose connection closes early.
        _sockets.wait_for(
            exchange.connection, select.POLLIN, RELEASE_TIMEOUT_S
        )
        exchange.finish()

    def _start(
        self,
        target: data.ListedTarget,
        message: data.RequestMessage,
        connect_timeout_s: float,
    ) -> HttpExchange | forwarding.ExchangeFault:
        """Connect to a target and begin a request of the frontend itself."""
        headers = list(message.headers)
        if message.body:
            length = str(len(message.body)).encode()
            headers.append((b'Content-Length', length))
        # A report is read at once, so it does not wait for the memory of
        # others.
        parser = _new_parser(
            MAX_REPORT_BYTES, _memory.MemoryBudget(MAX_REPORT_BYTES)
        )
        outgoing = parser.encode(
            h11.Request(
                method=message.method, target=message.target, headers=headers
            ),
            message.body,
        )
        try:
            connection = _sockets.connect(target.endpoint, connect_timeout_s)
        except OSError as error:
            return _not_connected(error)
        exchange = HttpExchange(connection, parser, self._codec, '')
        exchange.send(outgoing)
        return exchange

    def _get(
        self, target: data.ListedTarget, path: bytes, timeout_s: float
    ) -> _TargetResponse | None:
        """Send a GET request; return the complete response, or None."""
        deadline_s = time.monotonic() + timeout_s
        exchange = self._start(
            target,
            data.RequestMessage(
                b'GET',
                path,
                ((b'Host', str(target.endpoint).encode()),),
                b'',
            ),
            timeout_s,
        )
        if isinstance(exchange, forwarding.ExchangeFault):
            return None
        head: data.ResponseHead | None = None
        body: list[bytes] = []
        try:
            while True:
                # A target that never stops sending is always readable.
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or not _sockets.wait_for(
                    exchange.connection, exchange.awaited_events, remaining_s
                ):
                    return None
                for event in exchange.receive():
                    if isinstance(event, forwarding.ExchangeFault):
                        return None
                    if isinstance(event, data.ResponseHead):
                        head = event
                        continue
                    if isinstance(event, forwarding.BodyChunk):
                        body.append(event.data)
                        continue
                    if head is not None:
                        return _TargetResponse(head, b''.join(body))
        finally:
            exchange.close()


def _new_parser(
    max_body_bytes: int, memory: _memory.MemoryBudget
) -> _bounded_response.BoundedResponseParser:
    return _bounded_response.BoundedResponseParser(
        _bounded_response.ResponseLimits(max_body_bytes, memory)
    )


def _connection_lost(detail: str) -> forwarding.ExchangeFault:
    return forwarding.ExchangeFault(forwarding.FaultKind.LOST, detail)


def _malformed(error: h11.RemoteProtocolError) -> forwarding.ExchangeFault:
    return forwarding.ExchangeFault(forwarding.FaultKind.MALFORMED, str(error))


def _reading_failed(error: OSError) -> forwarding.ExchangeFault:
    return _connection_lost(f'connection lost: {error.strerror}')


def _not_connected(error: OSError) -> forwarding.ExchangeFault:
    kind = forwarding.FaultKind.NOT_CONNECTED
    if isinstance(error, ConnectionRefusedError):
        kind = forwarding.FaultKind.CONNECTION_REFUSED
    detail = error.strerror or 'timed out'
    return forwarding.ExchangeFault(kind, f'no connection: {detail}')
