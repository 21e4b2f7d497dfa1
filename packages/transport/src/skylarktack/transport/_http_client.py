"""HTTP calls by ``http.client``, one connection for each call.

Nothing in this module sends a request twice.
"""

from collections.abc import Mapping
import dataclasses
import http.client
import socket
import threading

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.transport import _bounded_socket


@dataclasses.dataclass(frozen=True)
class HttpFault:
    """A call that brought no answer."""

    #: Whether any byte of the request may have reached the other end.
    sent: bool

    #: Whether the time limit ended the call.
    timed_out: bool

    #: One sentence for people.
    message: str


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """A complete answer."""

    #: HTTP status.
    status: int

    #: Headers in their order.
    headers: tuple[tuple[str, str], ...]

    #: Body.
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header of a name, in any case, or None."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


@dataclasses.dataclass(frozen=True)
class OpenResponse:
    """A response whose body is still to be read."""

    #: The connection; closing it ends the response.
    connection: http.client.HTTPConnection

    #: The response.
    response: http.client.HTTPResponse

    #: Socket of the connection, which gives it up to a response that ends
    #: with the connection.
    socket: socket.socket


class OpenConnections:
    """Connections of waiting calls, so that a stop can end them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._closed = False
        self._connections: set[http.client.HTTPConnection] = set()

    def add(self, connection: http.client.HTTPConnection) -> None:
        """Enter an open connection; it ends at once after ``close_all``."""
        with self._lock:
            self._connections.add(connection)
            closed = self._closed
        if closed:
            _shut_down(connection)

    def remove(self, connection: http.client.HTTPConnection) -> None:
        """Forget a connection."""
        with self._lock:
            self._connections.discard(connection)

    def close_all(self) -> None:
        """End all waiting calls and those that come later."""
        with self._lock:
            self._closed = True
            connections = tuple(self._connections)
        for connection in connections:
            _shut_down(connection)


def _shut_down(connection: http.client.HTTPConnection) -> None:
    # Unlike closing, this wakes a thread that reads from the socket.
    if connection.sock is None:
        return
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other end was faster.
        return


class StreamConnection(_bounded_socket.BoundedConnection):
    """A connection for one streamed response, by HTTP/1.0.

    Without chunked coding one read returns everything that has arrived,
    rather than one chunk, and no chunk has to be parsed. The engines' end
    event tells a whole stream from one that broke off.
    """

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'


def open_http_response(
    address: state.Address,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    timeout_s: float,
    connections: OpenConnections | None = None,
    streamed: bool = False,
) -> Result[OpenResponse, HttpFault]:
    """Send a request on a new connection and read the response's head.

    :param timeout_s: maximum time for the connection, and from then on for
        the complete response, or for the head of a streamed one.
    :param connections: where the connection is entered while it waits.
    :param streamed: whether the body is read as it arrives.
    """
    kind = _bounded_socket.BoundedConnection
    if streamed:
        kind = StreamConnection
    connection = kind(address.host, address.port, timeout=timeout_s)
    try:
        connection.connect()
    except OSError as error:
        connection.close()
        return Error(
            HttpFault(False, isinstance(error, TimeoutError), str(error))
        )
    connected = connection.sock
    assert isinstance(connected, _bounded_socket.BoundedSocket)
    connected.start_response(timeout_s)
    if connections is not None:
        connections.add(connection)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        if streamed:
            connected.lift_bounds()
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        return Error(
            HttpFault(True, isinstance(error, TimeoutError), repr(error))
        )
    finally:
        if connections is not None:
            connections.remove(connection)
    return Ok(OpenResponse(connection, response, connected))


def http_call(
    address: state.Address,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    timeout_s: float,
    connections: OpenConnections | None = None,
) -> Result[HttpAnswer, HttpFault]:
    """Send a request on a new connection and read the whole answer."""
    opened = open_http_response(
        address, method, path, body, headers, timeout_s, connections
    )
    if opened.is_error():
        return Error(opened.error)
    response = opened.ok.response
    try:
        content = response.read()
    except (OSError, http.client.HTTPException) as error:
        return Error(
            HttpFault(True, isinstance(error, TimeoutError), repr(error))
        )
    finally:
        opened.ok.connection.close()
    return Ok(
        HttpAnswer(response.status, tuple(response.getheaders()), content)
    )
