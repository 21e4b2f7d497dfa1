"""A network link that can be cut without closing a connection."""

import contextlib
import socket
import threading

from skylarktack import state

#: Most bytes passed on at once.
READ_LIMIT_BYTES = 65_536


class CuttableLink:
    """Passes TCP connections on to one address until it is cut.

    A cut link loses all bytes: open connections stay open and silent, and
    new ones are accepted and never answered, as behind a middlebox that
    drops packets.
    """

    def __init__(self, address: state.Address) -> None:
        self._address = address
        self._whole = threading.Event()
        self._whole.set()
        self._listener = socket.create_server(('127.0.0.1', 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> state.Address:
        """Where connections are accepted."""
        host, port = self._listener.getsockname()[:2]
        return state.Address(host, port)

    def cut(self) -> None:
        """Lose all bytes from now on."""
        self._whole.clear()

    def heal(self) -> None:
        """Pass bytes on again, those of old connections included."""
        self._whole.set()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near: socket.socket) -> None:
        self._whole.wait()
        with contextlib.suppress(OSError):
            far = socket.create_connection(
                (self._address.host, self._address.port)
            )
            threading.Thread(
                target=self._pass, args=(near, far), daemon=True
            ).start()
            self._pass(far, near)
            return
        near.close()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_LIMIT_BYTES):
                self._whole.wait()
                sink.sendall(data)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()
