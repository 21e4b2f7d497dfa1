"""Requests to targets and connection failures."""

from collections.abc import Iterator
import contextlib
import select
import socket
import threading

import h11
import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding import _bounded_response
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding.tests import front_harness


class _ConnectedCaller:
    """A caller that never disconnects."""

    def fileno(self) -> int:
        return -1

    def has_disconnected(self) -> bool:
        return False

    def hold_response(self, size_bytes: int) -> None:
        pass

    def start_stream(self, head: data.ResponseHead) -> bool:
        return True

    def send_events(self, events: bytes) -> bool:
        return True


class _Target:
    """Sends the given bytes to one request, then applies the ending.

    The connection stays open, is closed for writing, or is reset.
    """

    def __init__(self, response: bytes, ending: str = 'stay') -> None:
        self._response = response
        self._ending = ending
        self.received = b''
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def target(self) -> data.ListedTarget:
        host, port = self._listener.getsockname()
        return data.ListedTarget(
            'target', 'pool', data.Address(host, port), 'domain', 'v1', 1
        )

    def close(self) -> None:
        # A thread that is still accepting would keep the socket open.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._connections:
            connection.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self._listener.accept()
            self._connections.append(connection)
            while b'\r\n\r\n' not in self.received:
                received = connection.recv(65536)
                if not received:
                    return
                self.received += received
            connection.sendall(self._response)
            if self._ending == 'end':
                connection.shutdown(socket.SHUT_WR)
            if self._ending == 'reset':
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
                connection.close()


def _request(body: bytes = b'body') -> data.FrontRequest:
    head = data.RequestHead(
        b'POST', b'/a', ((b'Host', b'h'), (b'Attempt', b'own'))
    )
    decoded = front_harness.PassThroughCodec().decode_request(head, body, True)
    assert isinstance(decoded, data.FrontRequest)
    return decoded


@contextlib.contextmanager
def _serving(response: bytes, ending: str = 'stay') -> Iterator[_Target]:
    target = _Target(response, ending)
    try:
        yield target
    finally:
        target.close()


def _exchange(
    target: _Target, body: bytes = b'body'
) -> list[forwarding.ResponseEvent]:
    """Send a request and return all events of the response."""
    client = transport.HttpTargetClient(front_harness.PassThroughCodec())
    sent = client.send(
        _request(body), data.DispatchContext(target.target, None, None), 5.0
    )
    assert not isinstance(sent, forwarding.ExchangeFault)
    events: list[forwarding.ResponseEvent] = []
    while True:
        ready = client.wait(
            (sent,), _ConnectedCaller(), front_harness.TIMEOUT_S
        )
        assert ready.exchanges == (sent,)
        events.extend(sent.receive())
        if events and isinstance(
            events[-1], forwarding.ResponseEnd | forwarding.ExchangeFault
        ):
            sent.close()
            return events


RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nAttempt: own\r\n'


class TestLongResponses:
    """Long responses for which there is no memory yet."""

    @pytest.mark.parametrize('has_length', [True, False])
    def test_response_waits_for_memory(self, has_length: bool) -> None:
        """Guards against failing an answer that a target has made."""
        limit_bytes = 10_000_000
        memory = transport.MemoryBudget(limit_bytes)
        memory.hold_response(limit_bytes)
        bounds = forwarding.BoundRecorder(
            fakes.SteppingClock(), fakes.RecordingLog()
        )
        client = transport.HttpTargetClient(
            front_harness.PassThroughCodec(), memory, bounds
        )
        body = b'x' * 500_000
        framing = b'\r\n'
        if has_length:
            framing = b'Content-Length: %d\r\n\r\n' % len(body)
        ending = 'stay' if has_length else 'end'
        received = b''
        has_ended = False
        with _serving(RESPONSE_HEAD + framing + body, ending) as target:
            sent = client.send(
                _request(b''),
                data.DispatchContext(target.target, None, None),
                5.0,
            )
            assert not isinstance(sent, forwarding.ExchangeFault)
            while not sent.is_held_back:
                client.wait((sent,), _ConnectedCaller(), 0.1)
                for event in sent.receive():
                    if isinstance(event, forwarding.BodyChunk):
                        received += event.data
            assert len(received) < len(body)
            memory.release(limit_bytes)
            while not has_ended:
                client.wait((sent,), _ConnectedCaller(), 0.1)
                for event in sent.receive():
                    assert not isinstance(event, forwarding.ExchangeFault)
                    if isinstance(event, forwarding.BodyChunk):
                        received += event.data
                    has_ended = isinstance(event, forwarding.ResponseEnd)
            assert received == body
            assert bounds.counts()[forwarding.Bound.RESPONSE_MEMORY] == 1
            assert not memory.claim_response(limit_bytes)
            sent.close()
        assert memory.claim_response(limit_bytes)


class TestResponses:
    """Responses of each framing, and bytes that are no response."""

    @pytest.mark.parametrize(
        ('response', 'ending'),
        [
            (RESPONSE_HEAD + b'Content-Length: 2\r\n\r\nok', 'stay'),
            (
                RESPONSE_HEAD
                + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
                'stay',
            ),
            (RESPONSE_HEAD + b'\r\nok', 'end'),
            (
                RESPONSE_HEAD + b'Content-Length: 2\r\n\r\nok' + RESPONSE_HEAD,
                'stay',
            ),
            (
                b'HTTP/1.1 100 Continue\r\n\r\n'
                + RESPONSE_HEAD
                + b'Content-Length: 2\r\n\r\nok',
                'stay',
            ),
        ],
        ids=['length', 'chunks', 'until close', 'extra', 'interim'],
    )
    def test_a_complete_response(self, response: bytes, ending: str) -> None:
        """Guards against body bytes that are lost or added."""
        with _serving(response, ending) as target:
            events = _exchange(target)
        assert isinstance(events[0], data.ResponseHead)
        body = b''
        for event in events:
            if isinstance(event, forwarding.BodyChunk):
                body += event.data
        assert body == b'ok'
        assert events[-1] == forwarding.ResponseEnd()

    @pytest.mark.parametrize(
        ('response', 'ending', 'kind'),
        [
            (
                RESPONSE_HEAD + b'Content-Length: 5\r\n\r\nok',
                'end',
                forwarding.FaultKind.LOST,
            ),
            (
                RESPONSE_HEAD
                + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
                'end',
                forwarding.FaultKind.LOST,
            ),
            (RESPONSE_HEAD + b'\r\nok', 'reset', forwarding.FaultKind.LOST),
            (b'', 'end', forwarding.FaultKind.LOST),
            (b'no answer\r\n\r\n', 'stay', forwarding.FaultKind.MALFORMED),
            (
                RESPONSE_HEAD.replace(b'own', b'other')
                + b'Content-Length: 2\r\n\r\nok',
                'stay',
                forwarding.FaultKind.MALFORMED,
            ),
        ],
        ids=[
            'short',
            'no last chunk',
            'reset',
            'empty',
            'malformed',
            'foreign',
        ],
    )
    def test_an_invalid_response_is_a_fault(
        self, response: bytes, ending: str, kind: forwarding.FaultKind
    ) -> None:
        """Guards against a truncated, foreign or malformed response."""
        with _serving(response, ending) as target:
            last = _exchange(target)[-1]
        assert isinstance(last, forwarding.ExchangeFault)
        assert last.kind is kind

    def test_a_response_before_the_body_was_read(self) -> None:
        """Guards against waiting for a target that stops reading."""
        response = RESPONSE_HEAD + b'Content-Length: 2\r\n\r\nok'
        with _serving(response) as target:
            events = _exchange(target, b'x' * 20_000_000)
        assert events[-1] == forwarding.ResponseEnd()


class TestResetWhileSending:
    """Responses without a length, reset while the request is being sent."""

    @pytest.mark.parametrize('has_ended', [False, True])
    def test_the_end_of_the_response(self, has_ended: bool) -> None:
        """Guards against a truncated response that counts as complete.

        An end in order before the reset does not complete it either: the
        target ended before it had the request.
        """
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        with socket.create_server(('127.0.0.1', 0)) as listener:
            listed = data.ListedTarget(
                'target',
                'pool',
                data.Address(*listener.getsockname()),
                'domain',
                'v1',
                1,
            )
            exchange = client.send(
                _request(b'x' * 20_000_000),
                data.DispatchContext(listed, None, None),
                5.0,
            )
            connection, _ = listener.accept()
            connection.sendall(RESPONSE_HEAD + b'\r\n')
            connection.sendall(b'ok')
            if has_ended:
                connection.shutdown(socket.SHUT_WR)
            # Closing with unread bytes resets the connection.
            connection.close()
        assert isinstance(exchange, transport.HttpExchange)
        _wait_for_hangup(exchange.connection)
        events: list[forwarding.ResponseEvent] = []
        while not events or not isinstance(
            events[-1], forwarding.ResponseEnd | forwarding.ExchangeFault
        ):
            events.extend(exchange.receive())
        exchange.close()
        assert forwarding.BodyChunk(b'ok') in events
        assert isinstance(events[-1], forwarding.ExchangeFault)
        assert events[-1].kind is forwarding.FaultKind.LOST


class TestLostBeforeSending:
    """Connections that a target resets, as it does beyond its limit."""

    @pytest.mark.parametrize('accepts_byte', [False, True])
    @pytest.mark.parametrize('has_ended', [False, True])
    def test_request_arrived_only_if_a_byte_was_accepted(
        self, accepts_byte: bool, has_ended: bool
    ) -> None:
        """Guards against a 502 for a call that nobody can have read.

        And against a repeat of one that somebody may have read.
        """
        sending, receiving = _connected_pair()
        sending.setblocking(False)
        codec = front_harness.PassThroughCodec()
        exchange = transport.HttpExchange(
            sending, _parser(), codec, attempt_id='own'
        )
        if accepts_byte:
            exchange.send((b'P',))
        if has_ended:
            receiving.shutdown(socket.SHUT_WR)
        receiving.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        receiving.close()
        _wait_for_hangup(sending)
        exchange.send((b'OST',))
        (fault,) = exchange.receive()
        exchange.close()
        assert isinstance(fault, forwarding.ExchangeFault)
        assert fault.may_have_arrived == accepts_byte
        if not accepts_byte:
            assert fault.kind is forwarding.FaultKind.NOT_SENT

    def test_response_without_reading_is_still_read(self) -> None:
        """Guards against dropping what the target said before it closed."""
        sending, receiving = _connected_pair()
        sending.setblocking(False)
        exchange = transport.HttpExchange(
            sending, _parser(), front_harness.PassThroughCodec(), 'own'
        )
        receiving.sendall(RESPONSE_HEAD + b'Content-Length: 0\r\n\r\n')
        receiving.close()
        exchange.send((b'POST',))
        events = exchange.receive()
        exchange.close()
        assert isinstance(events[0], data.ResponseHead)


def _connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return two ends of a TCP connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        sending = socket.create_connection(listener.getsockname())
        receiving, _ = listener.accept()
    return sending, receiving


def _parser() -> _bounded_response.BoundedResponseParser:
    """Return a parser that waits for the response to a request."""
    parser = _bounded_response.BoundedResponseParser(
        _bounded_response.ResponseLimits(
            1024, _memory.MemoryBudget(data.body_limit_bytes(None))
        )
    )
    headers = [(b'Host', b'h'), (b'Content-Length', b'0')]
    parser.encode(
        h11.Request(method=b'POST', target=b'/a', headers=headers), b''
    )
    return parser


def _wait_for_hangup(connection: socket.socket) -> None:
    """Wait until the other end has reset the connection."""
    poller = select.poll()
    # Hang-ups and errors are reported without being asked for.
    poller.register(connection, 0)
    assert poller.poll(1000 * front_harness.TIMEOUT_S)


class TestConnections:
    """Refused connections, and probes with and without a response."""

    def test_a_refused_connection_means_down(self) -> None:
        """Guards against treating an ended process as a slow one."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        with socket.socket() as bound:
            # A bound port without a listener refuses connections.
            bound.bind(('127.0.0.1', 0))
            endpoint = data.Address(*bound.getsockname())
            listed = data.ListedTarget(
                'target', 'pool', endpoint, 'domain', 'v1', 1
            )
            delivery = data.DispatchContext(listed, None, None)
            fault = client.send(_request(), delivery, 5.0)
        assert isinstance(fault, forwarding.ExchangeFault)
        assert fault.kind is forwarding.FaultKind.CONNECTION_REFUSED
        assert not fault.may_have_arrived

    def test_a_probe_returns_the_load(self) -> None:
        """Guards against treating a live engine as failed."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n3'
        with _serving(response) as target:
            report = client.probe(target.target, front_harness.TIMEOUT_S)
            assert report == data.TargetReport(3)
            assert target.received.startswith(b'GET /load ')

    @pytest.mark.parametrize('status', [b'429', b'503'])
    def test_a_refused_probe_is_an_answer(self, status: bytes) -> None:
        """Guards against moving a run away from an engine that is alive."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        response = b'HTTP/1.1 ' + status + b' No\r\nContent-Length: 0\r\n\r\n'
        with _serving(response) as target:
            report = client.probe(target.target, front_harness.TIMEOUT_S)
        assert report == data.TargetReport(None)

    def test_an_ended_target_refuses_connections(self) -> None:
        """Guards against taking a reset for the end of an engine."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        with _serving(b'') as target:
            listed = target.target
            assert not client.refuses_connections(listed, 1.0)
        assert client.refuses_connections(listed, 1.0)

    def test_a_probe_without_a_response(self) -> None:
        """Guards against treating an unresponsive engine as live."""
        client = transport.HttpTargetClient(front_harness.PassThroughCodec())
        with _serving(b'') as target:
            assert client.probe(target.target, 0.1) is None
