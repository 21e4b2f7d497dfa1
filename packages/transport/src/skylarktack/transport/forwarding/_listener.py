"""Accepts connections and starts a task for each."""

from concurrent import futures
import contextlib
import socket
import threading

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _front_connection
from skylarktack.transport.forwarding import _sockets


class Listener:
    """Accepts the connections of one address."""

    def __init__(
        self,
        endpoint: data.Address,
        handler: _front_connection.FrontHandler,
        codec: forwarding.MessageCodec,
        tasks: futures.Executor,
    ) -> None:
        self._socket = _sockets.listen(endpoint)
        self._handler = handler
        self._codec = codec
        self._tasks = tasks
        self._lock = threading.Lock()
        self._open: set[_front_connection.FrontConnection] = set()
        self._is_closed = False

    @property
    def endpoint(self) -> data.Address:
        """Return the address in use, with the port that was assigned."""
        host, port = self._socket.getsockname()
        return data.Address(host, port)

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        while not self._is_closed:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                if self._is_closed:
                    return
                # The caller left before it was accepted, or descriptors are
                # short for a moment.
                continue
            connection = _front_connection.FrontConnection(
                accepted, self._handler, self._codec
            )
            with self._lock:
                self._open.add(connection)
            self._tasks.submit(self._serve, connection)

    def open_count(self) -> int:
        """Return the number of open connections."""
        with self._lock:
            return len(self._open)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        with self._lock:
            connections = tuple(self._open)
        for connection in connections:
            connection.close_if_idle()

    def close(self) -> None:
        """Accept no more connections."""
        self._is_closed = True
        # A listening socket that never accepted cannot be shut down.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _serve(self, connection: _front_connection.FrontConnection) -> None:
        try:
            connection.run()
        finally:
            with self._lock:
                self._open.discard(connection)
