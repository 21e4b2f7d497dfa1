"""Requests to targets, each over a new connection.

A reused connection may be stale, unresponsive, or hold a late second
response, and a request that is not idempotent is lost with it. A new
connection costs a millisecond.
"""

import dataclasses
import select

import h11

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _bounded_response
from skylarktack.transport.forwarding import _control_requests
from skylarktack.transport.forwarding import _exchange_faults
from skylarktack.transport.forwarding import _http_exchange
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _sockets

#: Maximum size of a response body that is buffered.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

#: Interval at which a response that waits for memory asks for it again.
MEMORY_CHECK_S = 0.05

#: Maximum wait for an engine to free a copy.
RELEASE_TIMEOUT_S = 0.02

#: Statuses of a target that is alive and refuses to report.
_REFUSAL_STATUSES = frozenset((429, 503))


class HttpTargetClient:
    """Sends requests to targets over HTTP/1.1."""

    def __init__(
        self,
        codec: forwarding.MessageCodec,
        memory: _memory.MemoryBudget | None = None,
        bounds: forwarding.BoundRecorder | None = None,
    ) -> None:
        """Create a client.

        :param memory: budget of the bodies of responses; None for one of
            its own.
        :param bounds: records the bounds that responses reach, or None.
        """
        self._codec = codec
        self._bounds = bounds
        self._control = _control_requests.ControlRequests(codec)
        self._memory = memory or _memory.MemoryBudget(
            data.body_limit_bytes(None)
        )

    def send(
        self,
        request: data.FrontRequest,
        delivery: data.DispatchContext,
        connect_timeout_s: float,
    ) -> _http_exchange.HttpExchange | forwarding.ExchangeFault:
        """Connect to the target and begin to send the request.

        :param connect_timeout_s: maximum wait for the connection.
        """
        try:
            connection = _sockets.connect(
                delivery.target.endpoint, connect_timeout_s
            )
        except OSError as error:
            return _exchange_faults.not_connected(error)
        parser = _bounded_response.BoundedResponseParser(
            _bounded_response.ResponseLimits(MAX_RESPONSE_BYTES, self._memory)
        )
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
        exchange = _http_exchange.HttpExchange(
            connection,
            parser,
            self._codec,
            request.attempt_id,
            delivery.is_stream,
            self._bounds,
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
            if not isinstance(exchange, _http_exchange.HttpExchange):
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
        response = self._control.get(
            target, self._codec.probe_path(), timeout_s
        )
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
        response = self._control.get(target, path, timeout_s)
        if response is None or response.head.status != data.OK_STATUS:
            return frozenset()
        return self._codec.decode_cached_parts(response.body)

    def start_copy(
        self, order: data.CopyOrder, connect_timeout_s: float
    ) -> _http_exchange.HttpExchange | forwarding.ExchangeFault:
        """Ask an engine to copy a run; the answer comes when it is done."""
        return self._control.start(
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
        exchange = self._control.start(
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
