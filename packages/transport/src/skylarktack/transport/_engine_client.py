"""Calls to model engines over HTTP."""

import http.client

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.transport import _http_client

#: Most bytes taken from a stream at once.
READ_LIMIT_BYTES = 65_536

_JSON = {'Content-Type': 'application/json'}


class HttpTokenStream:
    """A stream of server-sent events from one engine."""

    def __init__(self, opened: _http_client.OpenResponse) -> None:
        self._connection = opened.connection
        self._response = opened.response
        self._socket = opened.socket
        self._timeout_s = -1.0
        self._decoder = protocol.StreamDecoder()

    def read(self, timeout_s: float) -> ports.StreamRead:
        """Return all events that have arrived, waiting for at least one."""
        try:
            while True:
                if timeout_s != self._timeout_s:
                    self._socket.settimeout(timeout_s)
                    self._timeout_s = timeout_s
                data = self._response.read1(READ_LIMIT_BYTES)
                if not data:
                    return _fault(
                        ports.StreamFaultKind.CLOSED,
                        'The engine closed the stream.',
                    )
                try:
                    events = self._decoder.feed(data)
                except ValueError as error:
                    return _fault(ports.StreamFaultKind.MALFORMED, str(error))
                if events:
                    return events
        except TimeoutError:
            return _fault(
                ports.StreamFaultKind.UNRESPONSIVE,
                f'Nothing arrived within {timeout_s:.3f} s.',
            )
        except (OSError, ValueError, http.client.HTTPException) as error:
            return _fault(ports.StreamFaultKind.CLOSED, repr(error))

    def close(self) -> None:
        """Close the connection; safe to call twice and from any thread."""
        self._response.close()
        self._connection.close()
        self._socket.close()


class HttpEngineClient:
    """Calls to model engines; each opens its own connection."""

    def start(
        self,
        target: state.Target,
        order: state.AttemptRequest,
        timeout_s: float,
    ) -> Result[ports.TokenStream, ports.StreamFault]:
        """Start an attempt; the prefix in the order is continued."""
        return self._open(
            target,
            'POST',
            '/v1/generations',
            protocol.encode_engine_order(order),
            timeout_s,
        )

    def attach(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        from_position: int,
        timeout_s: float,
    ) -> Result[ports.TokenStream, ports.StreamFault]:
        """Join a running or finished attempt from a position."""
        path = (
            f'/v1/generations/{request_id}'
            f'?attempt={attempt}&from={from_position}'
        )
        return self._open(target, 'GET', path, None, timeout_s)

    def cancel(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        timeout_s: float,
    ) -> Result[None, ports.StreamFault]:
        """End an attempt; Ok once the engine acknowledged it."""
        path = f'/v1/generations/{request_id}?attempt={attempt}'
        answered = self._call(target, 'DELETE', path, None, timeout_s)
        return answered.map(lambda body: None)

    def read_load(
        self, target: state.Target, timeout_s: float
    ) -> Result[ports.EngineLoad, ports.StreamFault]:
        """Read the load report, which also names the incarnation."""
        answered = self._call(target, 'GET', '/v1/load', None, timeout_s)
        return answered.bind(protocol.decode_engine_load)

    def cache_events(
        self, target: state.Target, after: int, timeout_s: float
    ) -> Result[tuple[ports.CacheEvent, ...], ports.StreamFault]:
        """Read the cache events with a sequence number above ``after``."""
        path = f'/v1/cache-events?after={after}'
        answered = self._call(target, 'GET', path, None, timeout_s)
        return answered.bind(protocol.decode_cache_events)

    def send_command(
        self,
        target: state.Target,
        order: ports.TargetCommand,
        timeout_s: float,
    ) -> Result[None, ports.StreamFault]:
        """Give an order; a stale fencing number is ``REFUSED`` or ignored."""
        answered = self._call(
            target,
            'POST',
            '/v1/orders',
            protocol.encode_plain(order),
            timeout_s,
        )
        return answered.map(lambda body: None)

    def _open(
        self,
        target: state.Target,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Result[ports.TokenStream, ports.StreamFault]:
        opened = _http_client.open_http_response(
            target.address,
            method,
            path,
            body,
            _JSON,
            timeout_s,
            streamed=True,
        )
        if opened.is_error():
            return Error(_from_http(opened.error))
        if opened.ok.response.status == 200:
            return Ok(HttpTokenStream(opened.ok))
        status = opened.ok.response.status
        opened.ok.connection.close()
        return Error(_from_status(status))

    def _call(
        self,
        target: state.Target,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Result[bytes, ports.StreamFault]:
        answered = _http_client.http_call(
            target.address, method, path, body, _JSON, timeout_s
        )
        if answered.is_error():
            return Error(_from_http(answered.error))
        if answered.ok.status == 200:
            return Ok(answered.ok.body)
        return Error(_from_status(answered.ok.status))


def _from_http(fault: _http_client.HttpFault) -> ports.StreamFault:
    if not fault.sent:
        return _fault(ports.StreamFaultKind.UNREACHABLE, fault.message)
    if fault.timed_out:
        return _fault(ports.StreamFaultKind.UNRESPONSIVE, fault.message)
    return _fault(ports.StreamFaultKind.CLOSED, fault.message)


def _from_status(status: int) -> ports.StreamFault:
    kind = ports.StreamFaultKind.REFUSED
    if status == 404:
        kind = ports.StreamFaultKind.MISSING
    return _fault(kind, f'The engine answered with status {status}.')


def _fault(kind: ports.StreamFaultKind, message: str) -> ports.StreamFault:
    return ports.StreamFault(kind, message)
