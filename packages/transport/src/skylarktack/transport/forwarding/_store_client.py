"""HTTP calls to the platform's store, one persistent connection per task."""

from collections.abc import Callable
import select
import socket
import time

import h11

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import _undelivered_bytes
from skylarktack.transport.forwarding import _bounded_response
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _sockets

#: Maximum wait for a connection to the store.
CONNECT_TIMEOUT_S = 0.5

#: A connection that was idle for longer is replaced. Middleboxes on the path
#: may have dropped its state silently, and a call on it would then run into
#: its timeout.
IDLE_LIMIT_S = 1.0

#: Maximum size of one response. Values hold at most a megabyte, and a page of
#: a list about as much. Changes that exceed it are read as a list, which is
#: shorter.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class _SlowResponseError(OSError):
    """A response began and was not complete in time."""


class _NoResponseError(OSError):
    """No byte of a response arrived in time."""


class HttpStoreCalls:
    """Sends calls to the store, one at a time.

    Not safe for use by several threads.
    """

    def __init__(
        self,
        store: data.Address,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._read_clock = read_clock
        self._last_used_at_s = 0.0
        self._connection: socket.socket | None = None
        self._parser = _new_parser()

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> forwarding.StoreResponse | forwarding.ExchangeFault:
        """Send one call and return the complete response.

        :param path: path and query.
        :param timeout_s: maximum time for connection and response together.
        :return: a fault of the kind ``LOST`` if the call failed or its
            response was not read in time, ``MALFORMED`` if a response arrived
            that is too long, too slow, incomplete or malformed, and
            ``NO_RESPONSE`` if none began in time.
        """
        now_s = self._read_clock()
        if now_s > self._last_used_at_s + IDLE_LIMIT_S:
            self._disconnect()
        try:
            response = self._call(method, path, body, now_s + timeout_s)
            self._last_used_at_s = self._read_clock()
            if self._last_used_at_s > now_s + timeout_s:
                # It may have waited while the process was suspended.
                raise TimeoutError('the response was read too late')
            return response
        except (OSError, h11.ProtocolError) as error:
            self._disconnect()
            kind = forwarding.FaultKind.LOST
            if isinstance(error, h11.ProtocolError | _SlowResponseError):
                kind = forwarding.FaultKind.MALFORMED
            if isinstance(error, _NoResponseError):
                kind = forwarding.FaultKind.NO_RESPONSE
            return forwarding.ExchangeFault(
                kind,
                str(error) or 'the store did not answer in time',
            )

    def _call(
        self, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> forwarding.StoreResponse:
        connection = self._connect_if_needed()
        parser = self._parser
        headers = [(b'Host', str(self._store).encode())]
        if body is not None:
            headers.append((b'Content-Type', b'application/json'))
            headers.append((b'Content-Length', str(len(body)).encode()))
        outgoing = parser.encode(
            h11.Request(method=method, target=path, headers=headers),
            body or b'',
        )
        view = memoryview(b''.join(outgoing))
        while view:
            try:
                view = view[connection.send(view) :]
            except BlockingIOError:
                self._wait(connection, select.POLLOUT, deadline_s)
        status = 0
        response_headers: list[tuple[str, str]] = []
        chunks: list[bytes] = []
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                self._wait_for_response(connection, deadline_s)
                received = self._receive(connection)
                if not received and not parser.has_begun():
                    raise ConnectionError('the store closed the connection')
                if not received and _undelivered_bytes.count_undelivered(
                    connection
                ):
                    raise h11.RemoteProtocolError(
                        'the connection ended before the request was delivered'
                    )
                parser.receive_data(received)
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
                for name, value in event.headers:
                    response_headers.append(
                        (name.decode('latin-1'), value.decode('latin-1'))
                    )
                continue
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                break
        if not parser.start_next_cycle():
            self._disconnect()
        return forwarding.StoreResponse(
            status, b''.join(chunks), tuple(response_headers)
        )

    def _connect_if_needed(self) -> socket.socket:
        # Bytes that arrive between two calls are a late or second response,
        # which the next call would take for its own.
        if self._connection is not None and _sockets.wait_for(
            self._connection, select.POLLIN, 0.0
        ):
            self._disconnect()
        if self._connection is not None:
            return self._connection
        connection = _sockets.connect(self._store, CONNECT_TIMEOUT_S)
        self._connection = connection
        self._parser = _new_parser()
        return connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _wait_for_response(
        self, connection: socket.socket, deadline_s: float
    ) -> None:
        try:
            self._wait(connection, select.POLLIN, deadline_s)
        except TimeoutError as error:
            raise self._timeout_error(error) from error

    def _receive(self, connection: socket.socket) -> bytes:
        try:
            return connection.recv(_sockets.READ_SIZE_BYTES)
        except TimeoutError as error:
            # Keepalive found the path dead, so nothing has arrived for long.
            raise self._timeout_error(error) from error

    def _timeout_error(self, error: TimeoutError) -> OSError:
        if self._parser.has_begun():
            return _SlowResponseError('the response was not complete in time')
        return _NoResponseError(str(error))

    def _wait(
        self, connection: socket.socket, events: int, deadline_s: float
    ) -> None:
        remaining_s = deadline_s - self._read_clock()
        if remaining_s <= 0 or not _sockets.wait_for(
            connection, events, remaining_s
        ):
            raise TimeoutError('the store did not answer in time')


def _new_parser() -> _bounded_response.BoundedResponseParser:
    limits = _bounded_response.ResponseLimits(
        MAX_RESPONSE_BYTES, _memory.MemoryBudget(MAX_RESPONSE_BYTES)
    )
    return _bounded_response.BoundedResponseParser(limits)
