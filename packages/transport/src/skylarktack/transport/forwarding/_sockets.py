"""TCP sockets that notice a peer that is gone."""

import select
import socket

from skylarktack.state import forwarding as data

#: An idle connection is probed after this time, and again after the
#: interval; it is given up when as many probes stay without an answer.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2

#: Sent bytes that stay unacknowledged for this time end the connection.
UNACKNOWLEDGED_LIMIT_MS = 3000

#: Connections that wait to be accepted.
BACKLOG_COUNT = 512

#: Most bytes of one read.
READ_SIZE_BYTES = 65536


def tune(connection: socket.socket) -> None:
    """Send small messages at once and notice a peer that is gone."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S
    )
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT
    )
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_LIMIT_MS,
    )


def connect(endpoint: data.Address, timeout_s: float) -> socket.socket:
    """Return a connected, non-blocking socket.

    :raises OSError: if there is no connection within the timeout.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(max(timeout_s, 0.001))
        connection.connect((endpoint.host, endpoint.port))
        tune(connection)
        connection.setblocking(False)
    except BaseException:
        connection.close()
        raise
    return connection


def listen(endpoint: data.Address) -> socket.socket:
    """Return a listening socket.

    :raises OSError: if the address cannot be used.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((endpoint.host, endpoint.port))
        listener.listen(BACKLOG_COUNT)
    except BaseException:
        listener.close()
        raise
    return listener


def wait_for(connection: socket.socket, events: int, timeout_s: float) -> int:
    """Return the poll events of a socket; 0 after the timeout."""
    poller = select.poll()
    poller.register(connection, events)
    for _, found in poller.poll(max(0.0, timeout_s) * 1000):
        return found
    return 0
