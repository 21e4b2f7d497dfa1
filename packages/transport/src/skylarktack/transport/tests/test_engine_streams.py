"""Streams of engines that break off or hold other bytes, on raw sockets."""

from collections.abc import Iterator
import contextlib
import socket

import pytest

from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import ports
from skylarktack.transport.tests import raw_server

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
TOKEN = b'id: 1:0\ndata: "one"\n\n'

#: Bytes after the first token, and the fault that ends the stream.
OTHER_BYTES = {
    'nothing': (b'', ports.StreamFaultKind.CLOSED),
    'half a token': (b'id: 1:1\ndata: "t', ports.StreamFaultKind.CLOSED),
    'a token without its empty line': (
        b'id: 1:1\ndata: "two"\n',
        ports.StreamFaultKind.CLOSED,
    ),
    'text': (b'internal error\n\n', ports.StreamFaultKind.MALFORMED),
    'text in quotes after half a token': (
        b'id: 1:1\ndata: "t"internal error"\n\n',
        ports.StreamFaultKind.MALFORMED,
    ),
    'a line after a token': (
        b'id: 1:1\ndata: "t"\nfailed "badly"\n\n',
        ports.StreamFaultKind.MALFORMED,
    ),
    'a line within a token': (
        b'id: 1:1\ndata: "t\nHTTP/1.1 500 Error"\n\n',
        ports.StreamFaultKind.MALFORMED,
    ),
    'half a character': (
        b'id: 1:1\ndata: "\xe2\x82"\n\n',
        ports.StreamFaultKind.MALFORMED,
    ),
    'a page': (
        b'<html>\n\nfailed</html>\n\n',
        ports.StreamFaultKind.MALFORMED,
    ),
    'a second head': (
        b'HTTP/1.1 500 Error\nContent-Length: 5\n\nerror',
        ports.StreamFaultKind.MALFORMED,
    ),
}


@contextlib.contextmanager
def _serving(response: bytes) -> Iterator[state.Target]:
    """Send a response to each request and close the connection."""

    def serve(connection: socket.socket) -> None:
        connection.recv(65_536)
        connection.sendall(response)

    server = raw_server.RawServer(serve)
    try:
        yield raw_server.target(server.address, state.TargetKind.ENGINE)
    finally:
        server.close()


class TestEngineStream:
    """A stream yields the tokens of its engine and ends with a fault."""

    @pytest.mark.parametrize(
        ('other', 'kind'), OTHER_BYTES.values(), ids=OTHER_BYTES.keys()
    )
    def test_other_bytes_are_no_token(
        self, other: bytes, kind: ports.StreamFaultKind
    ) -> None:
        """Guards against the text of an error within a generation."""
        with _serving(HEAD + TOKEN + other) as target:
            stream = transport.HttpEngineClient().attach(
                target, state.RequestId('request-1'), 1, 0, 5.0
            )
            events: list[state.StreamEvent] = []
            while True:
                read = stream.ok.read(5.0)
                if isinstance(read, ports.StreamFault):
                    break
                events.extend(read)
            stream.ok.close()
        assert read.kind is kind
        # The tokens of a read with other bytes are generated again.
        assert events in ([], [state.TokenEvent(1, 0, b'one')])

    @pytest.mark.parametrize('status', [206, 302, 400, 429, 500, 503])
    def test_other_status_is_no_stream(self, status: int) -> None:
        """Guards against an error's body that is read as a stream."""
        head = f'HTTP/1.1 {status} X\r\n\r\n'.encode()
        with _serving(head + TOKEN) as target:
            stream = transport.HttpEngineClient().attach(
                target, state.RequestId('request-1'), 1, 0, 5.0
            )
        assert stream.error.kind is ports.StreamFaultKind.REFUSED
