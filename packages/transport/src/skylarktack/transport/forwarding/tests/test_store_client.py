"""Calls to the store over a kept connection."""

import contextlib
import socket
import threading

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

GOOD = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class _Store:
    """Answers calls by script; None closes the connection."""

    def __init__(self, *answers: bytes | None) -> None:
        self._answers = list(answers)
        self.connection_count = 0
        self.requests: list[bytes] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def endpoint(self) -> data.Address:
        host, port = self._listener.getsockname()
        return data.Address(host, port)

    def close(self) -> None:
        self._listener.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while self._answers:
                connection, _ = self._listener.accept()
                self.connection_count += 1
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        with connection:
            while self._answers:
                request = connection.recv(65536)
                if not request:
                    return
                self.requests.append(request)
                answer = self._answers.pop(0)
                if answer is None:
                    return
                connection.sendall(answer)
            connection.recv(1)


class TestStoreCalls:
    """One connection serves call after call until it breaks."""

    def test_keeps_the_connection(self) -> None:
        """Guards against a new connection for each call."""
        store = _Store(GOOD, GOOD)
        calls = transport.HttpStoreCalls(store.endpoint)
        for _ in range(2):
            answer = calls.call('GET', '/objects/a?x=1', None, 20.0)
            assert answer == forwarding.StoreResponse(200, b'{}')
        assert store.connection_count == 1
        assert store.requests[0].startswith(b'GET /objects/a?x=1 HTTP/1.1')
        store.close()

    def test_replaces_a_connection_that_rested(self) -> None:
        """Guards against a call that waits on a connection that is gone.

        An instance that listens to others calls rarely. A path that was cut
        meanwhile resets nothing, and the call would wait for its whole time.
        """
        store = _Store(GOOD, GOOD, GOOD)
        clock = fakes.SteppingClock()
        calls = transport.HttpStoreCalls(store.endpoint, clock.monotonic_s)
        for rested_s in (0.0, 0.5, 3.0):
            clock.advance(rested_s)
            answer = calls.call('GET', '/objects/a', None, 20.0)
            assert answer == forwarding.StoreResponse(200, b'{}')
        assert store.connection_count == 2
        store.close()

    def test_connects_again_after_a_break(self) -> None:
        """Guards against a store that is lost with its connection."""
        store = _Store(GOOD, None, GOOD)
        calls = transport.HttpStoreCalls(store.endpoint)
        kinds = []
        for _ in range(3):
            answer = calls.call('GET', '/objects/a', None, 20.0)
            kinds.append(type(answer))
        assert kinds == [
            forwarding.StoreResponse,
            forwarding.ExchangeFault,
            forwarding.StoreResponse,
        ]
        store.close()

    def test_names_a_break_within_the_answer(self) -> None:
        """Guards against a cause in the words of a library.

        The log names it as the reason for which the store is lost.
        """
        store = _Store(None)
        calls = transport.HttpStoreCalls(store.endpoint)
        answer = calls.call('GET', '/objects/a', None, 20.0)
        assert isinstance(answer, forwarding.ExchangeFault)
        assert answer.detail == 'the store closed the connection'
        store.close()

    def test_gives_a_silent_store_up(self) -> None:
        """Guards against a watch that hangs on a silent connection."""
        store = _Store(b'')
        calls = transport.HttpStoreCalls(store.endpoint)
        answer = calls.call('GET', '/objects/a', None, 0.1)
        assert isinstance(answer, forwarding.ExchangeFault)
        store.close()

    def test_sends_a_body(self) -> None:
        """Guards against writes without their content."""
        store = _Store(GOOD)
        calls = transport.HttpStoreCalls(store.endpoint)
        calls.call('PUT', '/objects/a/b', b'{"x":1}', 20.0)
        assert store.requests[0].endswith(b'\r\n\r\n{"x":1}')
        assert b'Content-Type: application/json' in store.requests[0]
        store.close()
