"""Contract of the HTTP server towards callers whose request it refuses."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import socket
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
    server.stop()


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
