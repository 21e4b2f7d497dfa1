"""Calls to the store over a persistent connection."""

import contextlib
import socket
import threading

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

OK_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class _Store:
    """Sends scripted responses; None closes the connection."""

    def __init__(self, *responses: bytes | None) -> None:
        self._responses = list(responses)
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
            while self._responses:
                connection, _ = self._listener.accept()
                self.connection_count += 1
                self._respond(connection)

    def _respond(self, connection: socket.socket) -> None:
        with connection:
            while self._responses:
                request = connection.recv(65536)
                if not request:
                    return
                self.requests.append(request)
                response = self._responses.pop(0)
                if response is None:
                    return
                connection.sendall(response)
            connection.recv(1)


class TestStoreCalls:
    """One connection is reused until it is idle too long or fails."""

    def test_reuses_the_connection(self) -> None:
        """Guards against a new connection for each call."""
        store = _Store(OK_RESPONSE, OK_RESPONSE)
        calls = transport.HttpStoreCalls(store.endpoint)
        for _ in range(2):
            response = calls.call('GET', '/objects/a?x=1', None, 20.0)
            assert response == forwarding.StoreResponse(200, b'{}')
        assert store.connection_count == 1
        assert store.requests[0].startswith(b'GET /objects/a?x=1 HTTP/1.1')
        store.close()

    def test_replaces_an_idle_connection(self) -> None:
        """Guards against a call that waits on a dead connection.

        An instance that receives forwarded changes rarely calls the store.
        A path that fails in between resets no connection, and the next call
        would wait until its timeout.
        """
        store = _Store(OK_RESPONSE, OK_RESPONSE, OK_RESPONSE)
        clock = fakes.SteppingClock()
        calls = transport.HttpStoreCalls(store.endpoint, clock.monotonic_s)
        for idle_s in (0.0, 0.5, 3.0):
            clock.advance(idle_s)
            response = calls.call('GET', '/objects/a', None, 20.0)
            assert response == forwarding.StoreResponse(200, b'{}')
        assert store.connection_count == 2
        store.close()

    def test_reconnects_after_a_failure(self) -> None:
        """Guards against a store that stays unavailable after one fault."""
        store = _Store(OK_RESPONSE, None, OK_RESPONSE)
        calls = transport.HttpStoreCalls(store.endpoint)
        kinds = []
        for _ in range(3):
            response = calls.call('GET', '/objects/a', None, 20.0)
            kinds.append(type(response))
        assert kinds == [
            forwarding.StoreResponse,
            forwarding.ExchangeFault,
            forwarding.StoreResponse,
        ]
        store.close()

    def test_reports_a_close_before_the_response(self) -> None:
        """Guards against reporting a message of the HTTP parser.

        The log gives the text as the cause of an unavailable store.
        """
        store = _Store(None)
        calls = transport.HttpStoreCalls(store.endpoint)
        response = calls.call('GET', '/objects/a', None, 20.0)
        assert isinstance(response, forwarding.ExchangeFault)
        assert response.detail == 'the store closed the connection'
        store.close()

    def test_abandons_an_unresponsive_store(self) -> None:
        """Guards against a watch that hangs on an unresponsive store."""
        store = _Store(b'')
        calls = transport.HttpStoreCalls(store.endpoint)
        response = calls.call('GET', '/objects/a', None, 0.1)
        assert isinstance(response, forwarding.ExchangeFault)
        store.close()

    def test_sends_a_body(self) -> None:
        """Guards against writes without a body or content type."""
        store = _Store(OK_RESPONSE)
        calls = transport.HttpStoreCalls(store.endpoint)
        calls.call('PUT', '/objects/a/b', b'{"x":1}', 20.0)
        assert store.requests[0].endswith(b'\r\n\r\n{"x":1}')
        assert b'Content-Type: application/json' in store.requests[0]
        store.close()
