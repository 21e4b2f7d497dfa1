"""Ports that stay reserved while the process that uses them is down."""

import socket


class ReservedPort:
    """Keeps a port of the loopback address for one process after another.

    The socket is bound and never listens. The kernel assigns its port to no
    other socket, neither to a listener nor to a connection, while a process
    that sets ``SO_REUSEADDR`` can bind it and listen.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(('127.0.0.1', 0))
        self.number: int = self._socket.getsockname()[1]

    def release(self) -> None:
        """Let other sockets have the port."""
        self._socket.close()
