"""Servers that send bytes without end, or a byte now and then."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import time
import tracemalloc

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding.tests import front_harness
from skylarktack.transport.tests import raw_server

HEAD = b'HTTP/1.1 200 OK\r\nAttempt: own\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'

#: Prefix that is sent once, and bytes that are then repeated without end.
ENDLESS_RESPONSES = {
    'head': (HEAD, b'X-More: ' + b'x' * 1000 + b'\r\n'),
    'header line': (HEAD + b'X: ', b'x' * 4096),
    'status line': (b'HTTP/1.1 200 ', b'x' * 4096),
    'no response': (b'', b'\x00\xff' * 2048),
    'body until close': (HEAD + b'\r\n', b'x' * 65536),
    'chunked body': (CHUNKED_HEAD, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'chunk extension': (CHUNKED_HEAD + b'1;', b'x' * 4096),
    'trailers': (CHUNKED_HEAD + b'0\r\n', b'X-More: 1\r\n' * 100),
    'informational': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
}

#: Memory that one reader may use at its peak: the largest body that is
#: buffered and a copy of it, and the parser's own buffers.
MAX_PEAK_BYTES = 40 * 1024 * 1024


class _EndlessServer:
    """Answers each connection with a prefix and bytes without end."""

    def __init__(
        self, prefix: bytes, repeated: bytes, pause_s: float = 0.0
    ) -> None:
        self._prefix = prefix
        self._repeated = repeated
        self._pause_s = pause_s
        self.closed_count = 0
        self._server = raw_server.RawServer(self._serve)

    @property
    def endpoint(self) -> data.Address:
        return data.Address(*self._server.address)

    @property
    def target(self) -> data.ListedTarget:
        return data.ListedTarget(
            'target', 'pool', self.endpoint, 'domain', 'v1', 1
        )

    def close(self) -> None:
        self._server.close()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            connection.recv(65536)
            connection.sendall(self._prefix)
            while True:
                connection.sendall(self._repeated)
                time.sleep(self._pause_s)
        self.closed_count += 1


@contextlib.contextmanager
def _serving(
    prefix: bytes, repeated: bytes, pause_s: float = 0.0
) -> Iterator[_EndlessServer]:
    server = _EndlessServer(prefix, repeated, pause_s)
    try:
        yield server
    finally:
        server.close()


def _peak_bytes(read: Callable[[], None]) -> int:
    """Return the memory that a read used at its peak."""
    tracemalloc.start()
    try:
        read()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def _request() -> data.FrontRequest:
    head = data.RequestHead(
        b'POST', b'/a', ((b'Host', b'h'), (b'Attempt', b'own'))
    )
    decoded = front_harness.PassThroughCodec().decode_request(head, b'', False)
    assert isinstance(decoded, data.FrontRequest)
    return decoded


def _read_until_fault(
    client: transport.HttpTargetClient, server: _EndlessServer
) -> forwarding.ExchangeFault:
    """Send a request, drop what arrives and return the fault."""
    exchange = client.send(
        _request(), data.DispatchContext(server.target, None, None), 5.0
    )
    assert not isinstance(exchange, forwarding.ExchangeFault)
    try:
        while True:
            for event in exchange.receive():
                if isinstance(event, forwarding.ExchangeFault):
                    return event
            time.sleep(0)
    finally:
        exchange.close()


def _recorder() -> forwarding.BoundRecorder:
    return forwarding.BoundRecorder(
        fakes.SteppingClock(), fakes.RecordingLog()
    )


def _has_fault(events: tuple[forwarding.ResponseEvent, ...]) -> bool:
    return any(isinstance(e, forwarding.ExchangeFault) for e in events)


class TestEndlessTarget:
    """Responses of a target without an end."""

    @pytest.mark.parametrize(
        ('prefix', 'repeated'),
        ENDLESS_RESPONSES.values(),
        ids=ENDLESS_RESPONSES.keys(),
    )
    def test_response(self, prefix: bytes, repeated: bytes) -> None:
        """Guards against a response that fills the memory of the instance."""
        bounds = _recorder()
        client = transport.HttpTargetClient(
            front_harness.PassThroughCodec(), bounds=bounds
        )
        faults = []
        with _serving(prefix, repeated) as server:
            peak_bytes = _peak_bytes(
                lambda: faults.append(_read_until_fault(client, server))
            )
        assert faults[0].kind is forwarding.FaultKind.MALFORMED
        is_http = not repeated.startswith(b'\x00')
        assert bounds.counts()[forwarding.Bound.RESPONSE_SIZE] == is_http
        assert peak_bytes < MAX_PEAK_BYTES

    def test_a_head_of_many_fields(self) -> None:
        """Guards against heads that take many times their size in memory."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        head = HEAD + b'a:\r\n' * 4000 + b'\r\n'
        with _serving(head, b'x' * 65536) as server:
            fault = _read_until_fault(client, server)
        assert fault.detail == 'too many header fields'

    def test_responses_share_a_budget(self) -> None:
        """Guards against many large responses that fill the memory together.

        The bytes of a closed exchange are free for the next one.
        """
        client = transport.HttpTargetClient(
            front_harness.PassThroughCodec(),
            transport.MemoryBudget(1_000_000),
        )
        prefix, repeated = ENDLESS_RESPONSES['body until close']
        with _serving(prefix, repeated) as server:
            for _ in range(3):
                fault = _read_until_fault(client, server)
                assert fault.detail == 'the buffers of all responses are full'

    def test_ordinary_response_needs_no_budget(self) -> None:
        """Guards against failing sound responses beside endless ones."""
        client = transport.HttpTargetClient(
            front_harness.PassThroughCodec(),
            transport.MemoryBudget(1_000_000),
        )
        sound_body = b'x' * 20_000
        length = b'Content-Length: %d\r\n\r\n' % len(sound_body)
        prefix, repeated = ENDLESS_RESPONSES['body until close']
        with (
            _serving(prefix, repeated) as endless,
            _serving(HEAD + length + sound_body, b'', 1.0) as sound,
        ):
            other = client.send(
                _request(),
                data.DispatchContext(endless.target, None, None),
                5.0,
            )
            assert not isinstance(other, forwarding.ExchangeFault)
            # Its fault is the first event after the budget was used up.
            while not _has_fault(other.receive()):
                time.sleep(0)
            exchange = client.send(
                _request(), data.DispatchContext(sound.target, None, None), 5.0
            )
            assert not isinstance(exchange, forwarding.ExchangeFault)
            body = b''
            end_s = time.monotonic() + front_harness.TIMEOUT_S
            while len(body) < len(sound_body) and time.monotonic() < end_s:
                for event in exchange.receive():
                    assert not isinstance(event, forwarding.ExchangeFault)
                    if isinstance(event, forwarding.BodyChunk):
                        body += event.data
            exchange.close()
            other.close()
        assert body == sound_body

    @pytest.mark.parametrize(
        ('prefix', 'repeated'),
        ENDLESS_RESPONSES.values(),
        ids=ENDLESS_RESPONSES.keys(),
    )
    def test_report(self, prefix: bytes, repeated: bytes) -> None:
        """Guards against a probe that never ends.

        A target that keeps sending is always readable, so a wait for its
        bytes never ran into the timeout.
        """
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        with _serving(prefix, repeated) as server:
            peak_bytes = _peak_bytes(
                lambda: self._probe_without_report(client, server)
            )
        assert peak_bytes < MAX_PEAK_BYTES

    def test_slow_report(self) -> None:
        """Guards against a probe that a byte now and then keeps waiting."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        with _serving(HEAD + b'Content-Length: 9999\r\n\r\n', b'1', 0.01) as (
            server
        ):
            assert client.probe(server.target, 0.2) is None

    def _probe_without_report(
        self, client: transport.HttpTargetClient, server: _EndlessServer
    ) -> None:
        assert client.probe(server.target, 2.0) is None


class TestEndlessStore:
    """Responses of the store without an end."""

    @pytest.mark.parametrize(
        ('prefix', 'repeated'),
        ENDLESS_RESPONSES.values(),
        ids=ENDLESS_RESPONSES.keys(),
    )
    def test_response(self, prefix: bytes, repeated: bytes) -> None:
        """Guards against a call to the store that fills the memory."""
        with _serving(prefix, repeated) as server:
            calls = transport.HttpStoreCalls(server.endpoint)
            peak_bytes = _peak_bytes(lambda: self._call_in_vain(calls))
        assert peak_bytes < 2 * MAX_PEAK_BYTES

    def test_slow_response(self) -> None:
        """Guards against a call that a byte now and then keeps waiting."""
        prefix = HEAD + b'Content-Length: 9999\r\n\r\n'
        with _serving(prefix, b'1', 0.01) as server:
            calls = transport.HttpStoreCalls(server.endpoint)
            response = calls.call('GET', '/objects/a', None, 0.2)
        assert isinstance(response, forwarding.ExchangeFault)
        # Asking again at the same revision would get the same response.
        assert response.kind is forwarding.FaultKind.MALFORMED

    def _call_in_vain(self, calls: transport.HttpStoreCalls) -> None:
        response = calls.call('GET', '/objects/a', None, 5.0)
        assert isinstance(response, forwarding.ExchangeFault)
        assert response.kind is forwarding.FaultKind.MALFORMED


class TestEndlessCaller:
    """Requests of a caller without an end."""

    @pytest.mark.parametrize(
        ('prefix', 'repeated'),
        [
            (b'GET /a HTTP/1.1\r\nHost: h\r\n', b'X: 1\r\n' * 100),
            (b'GET /', b'x' * 4096),
            (b'', b'\x00\xff' * 2048),
            (
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'1000\r\n' + b'x' * 4096 + b'\r\n',
            ),
            (
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n1;',
                b'x' * 4096,
            ),
            (
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
                b'X: 1\r\n' * 100,
            ),
        ],
        ids=['head', 'path', 'no request', 'body', 'extension', 'trailers'],
    )
    def test_request(self, prefix: bytes, repeated: bytes) -> None:
        """Guards against a caller that fills the memory of the instance."""
        front = front_harness.FrontHarness()
        front.start()
        with contextlib.suppress(OSError):
            front.caller.sendall(prefix)
            for _ in range(100_000_000 // len(repeated)):
                front.caller.sendall(repeated)
        front.wait_ended()
        assert not front.handler.requests
        front.close()

    def test_slow_head(self) -> None:
        """Guards against a head that a byte now and then keeps open."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(header_timeout_ms=200.0)
        front = front_harness.FrontHarness(handler)
        front.start()
        began_s = time.monotonic()
        front.caller.sendall(b'GET /a HTTP/1.1\r\nX: ')
        with contextlib.suppress(OSError):
            while time.monotonic() < began_s + front_harness.TIMEOUT_S:
                front.caller.sendall(b'x')
                time.sleep(0.02)
        front.wait_ended()
        assert time.monotonic() < began_s + front_harness.TIMEOUT_S
        assert not handler.requests
        front.close()
