"""Client connections whose responses are bounded, and whole or a fault.

``http.client`` applies its timeout to each read, so a server that sends a
byte now and then, or bytes without end, would hold a call forever. The bound
is below the parser, so it holds for heads, bodies, trailers and informational
responses alike.

``http.client`` also takes the end of the connection for the end of a line, and
of a head. A head that broke off would be a response with an empty body.
"""

import http
import http.client
import io
import math
import re
import socket
import time
from typing import Any

from skylarktack.transport import _undelivered_bytes

#: Maximum size of one response, its head included.
RESPONSE_LIMIT_BYTES = 32 * 1024 * 1024

#: Highest status of HTTP (RFC 9110, 15). ``http.client`` refuses those below
#: 100 and accepts up to 999.
MAX_STATUS = 599

#: Begin of a status line (RFC 9112, 4).
_STATUS_LINE = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}[ \r\n]')


class ResponseTooLargeError(OSError):
    """A response exceeds the size limit."""


class EndBeforeRequestError(ConnectionError):
    """The connection ended before the server had the whole request.

    Of a response without length, nothing else tells whether it is whole.
    """


class BoundedSocket(socket.socket):
    """A connected socket that bounds what is read since ``start_response``.

    Without a started response, reads are not bounded.
    """

    def __init__(self, connected: socket.socket) -> None:
        timeout_s = connected.gettimeout()
        super().__init__(fileno=connected.detach())
        self.settimeout(timeout_s)
        self._deadline_s = math.inf
        self._free_bytes = math.inf

    def start_response(self, timeout_s: float) -> None:
        """Bound the next response.

        :param timeout_s: maximum time until the response is complete.
        """
        self._deadline_s = time.monotonic() + timeout_s
        self._free_bytes = RESPONSE_LIMIT_BYTES

    def lift_bounds(self) -> None:
        """End the bounds; the reader of a stream has its own."""
        self._deadline_s = math.inf
        self._free_bytes = math.inf

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read into a buffer within the bounds.

        :raises TimeoutError: if the deadline has passed.
        :raises ResponseTooLargeError: if the response exceeds its limit.
        :raises EndBeforeRequestError: if the connection ended before the
            request was delivered.
        """
        if self._deadline_s != math.inf:
            remaining_s = self._deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError('timed out')
            self.settimeout(remaining_s)
        size_bytes = super().recv_into(buffer, nbytes, flags)
        if not size_bytes and _undelivered_bytes.count_undelivered(self):
            raise EndBeforeRequestError(
                'the connection ended before the request was delivered'
            )
        self._free_bytes -= size_bytes
        if self._free_bytes < 0:
            raise ResponseTooLargeError('the response exceeds the size limit')
        return size_bytes


class EndWithinLineError(http.client.HTTPException):
    """The connection ended within a head, a chunk size or the trailers."""


class _WholeLineReader(io.BufferedReader):
    """Reads lines that end with a line feed, or as long as was asked for."""

    #: The line that was read last.
    last_line = b''

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read one line.

        :raises EndWithinLineError: if the connection ended before the line.
        """
        line = super().readline(size)
        if not line.endswith(b'\n') and len(line) != size:
            raise EndWithinLineError('the connection ended within a line')
        self.last_line = line
        return line


class FinalResponse(http.client.HTTPResponse):
    """A response after any number of interim ones (RFC 9110, 15.2).

    ``http.client`` skips only ``100 Continue`` and takes the others for the
    answer itself. The bounds of the socket hold for all of them together.

    A response that ends within a line is incomplete (RFC 9112, 8).
    """

    def __init__(
        self, connected: socket.socket, *arguments: Any, **named: Any
    ):
        super().__init__(connected, *arguments, **named)
        self.fp: _WholeLineReader = _WholeLineReader(self.fp.detach())

    def _read_status(self) -> tuple[str, int, str]:
        # The base class takes whatever ``int`` accepts for a status.
        found: tuple[str, int, str]
        found = super()._read_status()  # type: ignore[misc]
        if _STATUS_LINE.match(self.fp.last_line) is None:
            raise http.client.BadStatusLine(repr(self.fp.last_line))
        return found

    def begin(self) -> None:
        """Read the head of the final response.

        :raises http.client.HTTPException: if the protocol is switched, which
            no request asks for, or if the status is above 599.
        """
        super().begin()
        while self.status < http.HTTPStatus.OK:
            if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException('the protocol is switched')
            self.headers = self.msg = None  # type: ignore[assignment]
            super().begin()
        if self.status > MAX_STATUS:
            raise http.client.BadStatusLine(str(self.status))


class BoundedConnection(http.client.HTTPConnection):
    """A connection with a ``BoundedSocket``."""

    response_class = FinalResponse

    def connect(self) -> None:
        """Connect to the server."""
        super().connect()
        self.sock = BoundedSocket(self.sock)

    def start_response(self, timeout_s: float) -> None:
        """Bound the next response; the connection must be open."""
        assert isinstance(self.sock, BoundedSocket)
        self.sock.start_response(timeout_s)
