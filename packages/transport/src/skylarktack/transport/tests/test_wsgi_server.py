"""Contract of the HTTP server towards callers whose request it refuses."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import os
import socket
import threading
import time
from typing import Any

import pytest

from skylarktack import state
from skylarktack import transport
from skylarktack.transport import _lingering

BODY_LIMIT_BYTES = 1000
BODY_BYTES = 400_000

HEAD = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % BODY_BYTES
)

TIMEOUT_S = 20.0

STOP_S = 10.0


def _echo_length(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    length = str(len(environ['wsgi.input'].read())).encode()
    start_response('200 OK', [('Content-Length', str(len(length)))])
    return [length]


@pytest.fixture(name='caller')
def _caller() -> Iterator[socket.socket]:
    server = transport.WsgiServer(
        _echo_length,
        state.Address('127.0.0.1', 0),
        state.CallerSettings(body_limit_bytes=BODY_LIMIT_BYTES),
    )
    server.start()
    address = (server.address.host, server.address.port)
    with socket.create_connection(address, TIMEOUT_S) as caller:
        yield caller
    server.stop(STOP_S)


class TestRefusedBodies:
    """A body that is refused before it was read whole."""

    @pytest.mark.parametrize('sending_s', [0.0, 1.2])
    def test_the_caller_reads_the_refusal(
        self, sending_s: float, caller: socket.socket
    ) -> None:
        """Guards against a reset before the refusal was read."""
        step_count = 8
        caller.sendall(HEAD)
        for _ in range(step_count):
            caller.sendall(b'x' * (BODY_BYTES // step_count))
            time.sleep(sending_s / step_count)
        assert caller.recv(65536).startswith(b'HTTP/1.1 413 ')

    def test_an_endless_body_is_cut(
        self, caller: socket.socket, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that hold a connection without end."""
        monkeypatch.setattr(_lingering, 'MAX_LINGER_S', 0.3)
        caller.sendall(HEAD)
        end_s = time.monotonic() + TIMEOUT_S
        with pytest.raises(ConnectionError):
            while time.monotonic() < end_s:
                caller.sendall(b'x' * 1000)
                time.sleep(0.01)

    def test_a_sound_request_is_served(self, caller: socket.socket) -> None:
        """Guards against a server that reads on after each answer."""
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'
        for _ in range(2):
            caller.sendall(head + b'body')
            received = b''
            while not received.endswith(b'\r\n\r\n4'):
                received += caller.recv(65536)
            assert received.startswith(b'HTTP/1.1 200 ')


WORK_S = 0.3

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


def _slow(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    time.sleep(WORK_S)
    return _echo_length(environ, start_response)


def _read_to_end(caller: socket.socket) -> bytes:
    """Return all that is received until the server closes."""
    received = b''
    while True:
        try:
            part = caller.recv(65536)
        except ConnectionError:
            part = b''
        if not part:
            return received
        received += part


class _StoppingServer:
    """A server with one thread and a slow application."""

    def __init__(self) -> None:
        self.server = transport.WsgiServer(
            _slow,
            state.Address('127.0.0.1', 0),
            state.CallerSettings(thread_count=1),
        )
        self._address = (self.server.address.host, self.server.address.port)
        self.server.start()

    def connect(self, sent: bytes) -> socket.socket:
        """Return a new connection on which bytes were sent."""
        caller = socket.create_connection(self._address, TIMEOUT_S)
        caller.sendall(sent)
        return caller


class TestStop:
    """Connections that are open when the server stops."""

    def test_received_requests_are_answered(self) -> None:
        """Guards against requests without an answer in a planned stop."""
        stopping_server = _StoppingServer()
        # The server accepts two of them; the others wait in the backlog.
        callers = [stopping_server.connect(REQUEST) for _ in range(4)]
        time.sleep(WORK_S / 2)
        stopping = threading.Thread(
            target=stopping_server.server.stop, args=(STOP_S,)
        )
        stopping.start()
        answers = [_read_to_end(caller) for caller in callers]
        stopping.join(STOP_S)
        for answer in answers:
            assert answer.startswith(b'HTTP/1.1 200 ')
            assert b'\r\nConnection: close\r\n' in answer

    def test_pipelined_request_is_answered(self) -> None:
        """Guards against a request that is dropped behind another one."""
        stopping_server = _StoppingServer()
        caller = stopping_server.connect(REQUEST + REQUEST)
        time.sleep(WORK_S / 2)
        stopping = threading.Thread(
            target=stopping_server.server.stop, args=(STOP_S,)
        )
        stopping.start()
        assert _read_to_end(caller).count(b'HTTP/1.1 200 ') == 2
        stopping.join(STOP_S)

    def test_idle_connections_do_not_delay_the_stop(self) -> None:
        """Guards against callers that keep a stopping server alive."""
        stopping_server = _StoppingServer()
        with (
            stopping_server.connect(b''),
            stopping_server.connect(b'GET /a HT'),
        ):
            began_s = time.monotonic()
            stopping_server.server.stop(STOP_S)
        assert time.monotonic() - began_s < STOP_S / 2

    def test_stop_ends_in_time(self) -> None:
        """Guards against a stop that outlasts the grace period."""
        stopping_server = _StoppingServer()
        callers = [stopping_server.connect(REQUEST) for _ in range(20)]
        time.sleep(WORK_S / 2)
        began_s = time.monotonic()
        stopping_server.server.stop(WORK_S / 2)
        assert time.monotonic() - began_s < STOP_S / 2
        for caller in callers:
            caller.close()

    def test_stop_may_be_repeated(self) -> None:
        """Guards against bytes written to a descriptor that is in new use."""
        stopping_server = _StoppingServer()
        stopping_server.server.stop(STOP_S)
        pipe = [os.pipe() for _ in range(4)]
        stopping_server.server.stop(STOP_S)
        for reading, writing in pipe:
            os.close(writing)
            assert os.read(reading, 1) == b''
            os.close(reading)
