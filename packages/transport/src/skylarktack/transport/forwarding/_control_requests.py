"""Requests of an instance itself to targets, such as probes and copies."""

import dataclasses
import time

import h11

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _bounded_response
from skylarktack.transport.forwarding import _exchange_faults
from skylarktack.transport.forwarding import _http_exchange
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _sockets

#: Maximum size of a target's report on itself.
MAX_REPORT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class TargetResponse:
    """A complete response to a control request."""

    head: data.ResponseHead
    body: bytes


class ControlRequests:
    """Starts control requests, and waits for the responses to some."""

    def __init__(self, codec: forwarding.MessageCodec) -> None:
        self._codec = codec

    def start(
        self,
        target: data.ListedTarget,
        message: data.RequestMessage,
        connect_timeout_s: float,
    ) -> _http_exchange.HttpExchange | forwarding.ExchangeFault:
        """Connect to a target and begin a request.

        :param connect_timeout_s: maximum wait for the connection.
        """
        headers = list(message.headers)
        if message.body:
            length = str(len(message.body)).encode()
            headers.append((b'Content-Length', length))
        # A report is read at once, so it does not wait for the memory of
        # others.
        parser = _bounded_response.BoundedResponseParser(
            _bounded_response.ResponseLimits(
                MAX_REPORT_BYTES, _memory.MemoryBudget(MAX_REPORT_BYTES)
            )
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
            return _exchange_faults.not_connected(error)
        exchange = _http_exchange.HttpExchange(
            connection, parser, self._codec, ''
        )
        exchange.send(outgoing)
        return exchange

    def get(
        self, target: data.ListedTarget, path: bytes, timeout_s: float
    ) -> TargetResponse | None:
        """Send a GET request; return the complete response, or None.

        :param timeout_s: maximum time until the response is complete.
        """
        deadline_s = time.monotonic() + timeout_s
        exchange = self.start(
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
                        return TargetResponse(head, b''.join(body))
        finally:
            exchange.close()
