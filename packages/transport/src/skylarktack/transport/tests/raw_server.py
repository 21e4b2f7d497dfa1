"""Servers that are raw sockets, and what lists them as targets."""

from collections.abc import Callable
import contextlib
import socket
import threading

from skylarktack import state


class RawServer:
    """Serves each connection in a task of its own until it is closed."""

    def __init__(
        self,
        serve: Callable[[socket.socket], None],
        receive_buffer_bytes: int | None = None,
    ) -> None:
        """Begin to accept connections.

        :param serve: serves one connection, which is closed after it. An
            ``OSError`` ends it.
        :param receive_buffer_bytes: size of the receive buffer of each
            connection; None for that of the system.
        """
        self._serve = serve
        self._listener = socket.create_server(('127.0.0.1', 0))
        if receive_buffer_bytes is not None:
            # Accepted connections inherit it.
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and the port."""
        host, port = self._listener.getsockname()
        return host, port

    def close(self) -> None:
        """Accept no more connections, and end the task that accepts."""
        # A task that is still accepting would never end.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._run, args=(connection,), daemon=True
                ).start()

    def _run(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            self._serve(connection)


def target(
    address: tuple[str, int],
    kind: state.TargetKind = state.TargetKind.SERVICE,
) -> state.Target:
    """Return the entry of a server."""
    return state.Target(
        name=state.TargetName('raw'),
        kind=kind,
        address=state.Address(*address),
        failure_domain=state.FailureDomain('domain-0'),
        region='region-1',
        versions=(),
    )


def service_call(body: bytes = b'') -> state.ServiceCall:
    """Return a call, by default without a body."""
    return state.ServiceCall(
        request_id=state.RequestId('request-1'),
        organisation=state.OrganisationName('small'),
        route=state.Route(
            state.RouteName('stock'),
            state.RouteKind.SERVICE,
            state.VersionName('desk-1'),
        ),
        method='GET',
        path='/items',
        headers=(),
        body=body,
        idempotency_key='key-1',
    )
