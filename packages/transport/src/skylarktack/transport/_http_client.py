"""HTTP calls by ``http.client``, one connection for each call.

Nothing in this module sends a request twice.
"""

from collections.abc import Mapping
import dataclasses
import http.client

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state


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


def open_http_response(
    address: state.Address,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    timeout_s: float,
) -> Result[OpenResponse, HttpFault]:
    """Send a request on a new connection and read the response's head."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_s
    )
    try:
        connection.connect()
    except OSError as error:
        connection.close()
        return Error(
            HttpFault(False, isinstance(error, TimeoutError), str(error))
        )
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        return Error(
            HttpFault(True, isinstance(error, TimeoutError), repr(error))
        )
    return Ok(OpenResponse(connection, response))


def http_call(
    address: state.Address,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    timeout_s: float,
) -> Result[HttpAnswer, HttpFault]:
    """Send a request on a new connection and read the whole answer."""
    opened = open_http_response(
        address, method, path, body, headers, timeout_s
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
