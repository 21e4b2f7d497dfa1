"""Servers that end a response before or after they have read the request."""

from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import socket
import struct
import threading

from skylarktack.transport.tests import raw_server

HEAD = b'HTTP/1.1 200 OK\r\n'

#: A response that only the end of the connection ends.
UNSIZED = HEAD + b'\r\n{}'
SIZED = HEAD + b'Content-Length: 2\r\n\r\n{}'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n'

#: Receive buffer of a server that does not read the request. Most of
#: ``UPLOAD`` stays with the client.
RECEIVE_BUFFER_BYTES = 4096

#: An upload that the send buffer of the client takes whole.
UPLOAD = b'x' * 200_000

#: An upload that fits in no buffer.
LONG_UPLOAD = b'x' * 16_000_000

_RESET_LINGER = struct.pack('ii', 1, 0)


class Ending(enum.Enum):
    """How a server ends its side after the response."""

    #: In order; the server reads no more and keeps its side open.
    END = 'end'

    #: In order, and the connection closes with unread bytes, which resets it.
    #: A send after that meets a broken pipe.
    BROKEN_PIPE = 'broken pipe'

    RESET = 'reset'


@dataclasses.dataclass(frozen=True)
class Case:
    """What a server does with one request, and what it makes of it."""

    response: bytes

    ending: Ending

    #: Whether the server reads the whole request before it responds.
    reads_upload: bool

    #: Whether the response is known to be whole.
    is_whole: bool


def _cases() -> dict[str, Case]:
    cases = {
        'without length, ended after the upload': Case(
            UNSIZED, Ending.END, True, True
        ),
        'without length, reset after the upload': Case(
            UNSIZED, Ending.RESET, True, False
        ),
        'with length, ended after the upload': Case(
            SIZED, Ending.END, True, True
        ),
        'with length, then a second head': Case(
            SIZED + SIZED, Ending.END, True, True
        ),
        'short of its length': Case(SIZED[:-1], Ending.END, True, False),
        'in chunks, ended after the upload': Case(
            CHUNKED, Ending.END, True, True
        ),
        'with length, ended within the upload': Case(
            SIZED, Ending.END, False, True
        ),
        'in chunks, ended within the upload': Case(
            CHUNKED, Ending.END, False, True
        ),
    }
    for ending in Ending:
        cases[f'without length, {ending.value} within the upload'] = Case(
            UNSIZED, ending, False, False
        )
    return cases


ENDED_RESPONSES = _cases()

#: Responses that are none, each after the whole request.
IMPROPER_RESPONSES = {
    f'status {status.decode()}': SIZED.replace(b'200', status)
    for status in (
        b'000',
        b'099',
        b'600',
        b'999',
        # ``int`` reads these as 200.
        b'0200',
        b'+200',
        b'2_00',
    )
} | {
    'interim responses without end': 5000
    * b'HTTP/1.1 103 Early Hints\r\n\r\n',
    'interim head without end': b'HTTP/1.1 103 Early Hints\r\n'
    + 20_000 * b'X-More: 1\r\n',
    'only an interim response': b'HTTP/1.1 100 Continue\r\n\r\n',
    'switched protocol': b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
}


@contextlib.contextmanager
def serving(case: Case, upload: bytes) -> Iterator[tuple[str, int]]:
    """Serve each request as a case describes.

    :param upload: body of the request, or empty.
    """
    is_over = threading.Event()

    def serve(connection: socket.socket) -> None:
        received = bytearray(connection.recv(1))
        if case.reads_upload:
            while b'\r\n\r\n' not in received:
                received += connection.recv(65536)
            size_bytes = received.index(b'\r\n\r\n') + 4 + len(upload)
            while len(received) < size_bytes:
                received += connection.recv(65536)
        connection.sendall(case.response)
        if case.ending is Ending.RESET:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
            )
            return
        connection.shutdown(socket.SHUT_WR)
        if case.ending is Ending.END:
            is_over.wait()

    server = raw_server.RawServer(
        serve, None if case.reads_upload else RECEIVE_BUFFER_BYTES
    )
    try:
        yield server.address
    finally:
        is_over.set()
        server.close()
