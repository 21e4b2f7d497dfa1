"""Ports of instances that are down for a moment."""

import socket
import struct

import pytest

from skylarktack.emulator import platform
from skylarktack.transport import forwarding as transport

#: Option of a socket: the range of its local port (Linux 6.3, ip(7)).
IP_LOCAL_PORT_RANGE = 51


def _connect_from(port: int, server: socket.socket) -> None:
    """Connect from a port that the kernel chooses, with one to choose from.

    :raises OSError: if the port is not free.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        only_port = struct.pack('=I', port << 16 | port)
        try:
            connection.setsockopt(
                socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, only_port
            )
        except OSError:
            pytest.skip('the kernel has no range of ports for one socket')
        connection.connect(server.getsockname())


class TestReservedPort:
    """A port is kept for a process that is started again."""

    def test_listens_again_and_again(self) -> None:
        """Guards against an instance that cannot start again."""
        port = platform.ReservedPort()
        for _ in range(3):
            with (
                transport.listen('127.0.0.1', port.number) as listener,
                socket.create_connection(listener.getsockname()),
            ):
                accepted, _ = listener.accept()
                accepted.close()
        port.release()

    def test_refuses_connections_while_nobody_listens(self) -> None:
        """Guards against callers that wait for an instance that is down."""
        port = platform.ReservedPort()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(('127.0.0.1', port.number), 1.0)
        port.release()

    def test_is_assigned_to_no_other_connection(self) -> None:
        """Guards against an address in use when an instance starts again."""
        with socket.create_server(('127.0.0.1', 0)) as server:
            port = platform.ReservedPort()
            with pytest.raises(OSError, match='assign requested address'):
                _connect_from(port.number, server)
            port.release()
            _connect_from(port.number, server)
