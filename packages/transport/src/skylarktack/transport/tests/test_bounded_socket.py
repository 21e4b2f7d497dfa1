"""Bounds on what a client reads of one response."""

import contextlib
import socket
import threading
import time

import pytest

from skylarktack import state
from skylarktack.transport import _bounded_socket
from skylarktack.transport import _http_client

HEAD = b'HTTP/1.1 200 OK\r\n'

#: Prefix that is sent once, bytes that are repeated, and the pause between.
STALLED_RESPONSES = {
    'slow head': (HEAD + b'X: ', b'x', 0.02),
    'slow body': (HEAD + b'Content-Length: 99999\r\n\r\n', b'x', 0.02),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 0.0),
    'endless body': (HEAD + b'\r\n', b'x' * 65536, 0.0),
    'endless chunk extension': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;',
        b'x' * 4096,
        0.0,
    ),
}


def _serve(
    listener: socket.socket, prefix: bytes, repeated: bytes, pause_s: float
) -> None:
    with contextlib.suppress(OSError):
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(prefix)
            while True:
                connection.sendall(repeated)
                time.sleep(pause_s)


class TestBoundedResponse:
    """A call ends although the server never ends its response."""

    @pytest.mark.parametrize(
        ('prefix', 'repeated', 'pause_s'),
        STALLED_RESPONSES.values(),
        ids=STALLED_RESPONSES.keys(),
    )
    def test_call_ends(
        self,
        prefix: bytes,
        repeated: bytes,
        pause_s: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a call that never ends or fills the memory."""
        monkeypatch.setattr(_bounded_socket, 'RESPONSE_LIMIT_BYTES', 1_000_000)
        with socket.create_server(('127.0.0.1', 0)) as listener:
            threading.Thread(
                target=_serve,
                args=(listener, prefix, repeated, pause_s),
                daemon=True,
            ).start()
            answered = _http_client.http_call(
                state.Address(*listener.getsockname()),
                'GET',
                '/',
                None,
                {},
                0.5,
            )
        assert answered.is_error()
        assert answered.error.sent

    def test_stream_is_not_bounded(self) -> None:
        """Guards against a long generation that a limit cuts off."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            threading.Thread(
                target=_serve,
                args=(listener, HEAD + b'\r\n', b'x' * 100, 0.05),
                daemon=True,
            ).start()
            opened = _http_client.open_http_response(
                state.Address(*listener.getsockname()),
                'GET',
                '/',
                None,
                {},
                0.3,
                streamed=True,
            )
            assert opened.is_ok()
            end_s = time.monotonic() + 0.6
            while time.monotonic() < end_s:
                assert opened.ok.response.read1(1000)
            opened.ok.response.close()
            opened.ok.connection.close()
            opened.ok.socket.close()
