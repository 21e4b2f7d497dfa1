"""Servers whose connection ends within a line, before all clients of HTTP."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
from typing import Any

from expression import Result
import pytest

from skylarktack import state
from skylarktack import transport
from skylarktack.transport.tests import raw_server

TIMEOUT_S = 5.0

STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'

TRUNCATED_RESPONSES = {
    'nothing': b'',
    'within the status': b'HTTP/1.1 200 O',
    'after the status': STATUS,
    'within the name of a header': STATUS + b'Content-Le',
    'within the value of a header': STATUS + b'Content-Length: 0',
    'after a header': STATUS + b'ETag: "7"\r\nContent-Length: 0\r\n',
    'within the empty line': STATUS + b'Content-Length: 0\r\n\r',
    'after an interim response': b'HTTP/1.1 103 Early Hints\r\n\r\n',
    'within a chunk size': CHUNKED + b'00',
    'within the trailers': CHUNKED + b'0\r\n',
}

Answered = Result[Any, Any]


def _call(target: state.Target) -> Answered:
    return transport.HttpServiceClient().call(
        target, raw_server.service_call(), TIMEOUT_S
    )


def _ask_outcome(target: state.Target) -> Answered:
    return transport.HttpServiceClient().outcome(target, 'key-1', TIMEOUT_S)


def _look_up(target: state.Target) -> Answered:
    client = transport.HttpLookupClient()
    return client.send(
        target, raw_server.service_call(), TIMEOUT_S
    ).ok.receive(TIMEOUT_S)


def _command(target: state.Target) -> Answered:
    return transport.HttpEngineClient().cancel(
        target, state.RequestId('request-1'), 1, TIMEOUT_S
    )


def _attach(target: state.Target) -> Answered:
    """Read a stream that has no event; any event or end is a fault."""
    opened = transport.HttpEngineClient().attach(
        target, state.RequestId('request-1'), 1, 0, TIMEOUT_S
    )
    if opened.is_ok():
        opened.ok.close()
    return opened


def _write(target: state.Target) -> Answered:
    settings = state.StoreSettings(address=target.address)
    return transport.HttpObjectStore(settings).put('claims/1', b'{}', None)


def _read(target: state.Target) -> Answered:
    settings = state.StoreSettings(address=target.address)
    return transport.HttpObjectStore(settings).get('claims/1')


CLIENTS: dict[str, Callable[[state.Target], Answered]] = {
    'call': _call,
    'outcome of a call': _ask_outcome,
    'lookup': _look_up,
    'command of an engine': _command,
    'stream of an engine': _attach,
    'write of the object store': _write,
    'read of the object store': _read,
}


@contextlib.contextmanager
def _serving(response: bytes) -> Iterator[state.Target]:
    """Send a response to each request and end the connection in order."""

    def serve(connection: socket.socket) -> None:
        connection.recv(65_536)
        connection.sendall(response)
        # Closing with unread bytes would reset the connection.
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            continue

    server = raw_server.RawServer(serve)
    try:
        yield raw_server.target(server.address)
    finally:
        server.close()


class TestTruncatedHead:
    """A response that ends within its head or framing is no response."""

    @pytest.mark.parametrize('client', CLIENTS.values(), ids=CLIENTS.keys())
    @pytest.mark.parametrize(
        'response',
        TRUNCATED_RESPONSES.values(),
        ids=TRUNCATED_RESPONSES.keys(),
    )
    def test_is_a_fault(
        self, client: Callable[[state.Target], Answered], response: bytes
    ) -> None:
        """Guards against an empty 200 made of a head that broke off."""
        with _serving(response) as target:
            answered = client(target)
        if client is _attach and response.startswith(CHUNKED):
            # The head is whole; the end event decides, not the connection.
            assert answered.is_ok()
            return
        assert answered.is_error()
