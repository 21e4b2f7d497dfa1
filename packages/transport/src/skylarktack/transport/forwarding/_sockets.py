"""TCP sockets with options that detect an unreachable peer."""

import contextlib
import enum
import select
import socket
import struct

from skylarktack.state import forwarding as data
from skylarktack.transport import _undelivered_bytes

#: TCP keepalive: an idle connection is probed after the idle time, then at
#: the interval, and is closed after this number of unanswered probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2

#: The connection is closed when sent bytes stay unacknowledged for longer.
UNACKNOWLEDGED_LIMIT_MS = 3000

#: Maximum time that a write waits for the peer to read.
WRITE_STALL_S = 20.0

#: Maximum bytes of one read.
READ_SIZE_BYTES = 65536


def set_options(connection: socket.socket) -> None:
    """Disable Nagle's algorithm and enable detection of a dead peer."""
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


def reset_on_close(connection: socket.socket) -> None:
    """Reset the connection when it is closed; unsent bytes are dropped."""
    linger_on_for_no_time = struct.pack('ii', 1, 0)
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger_on_for_no_time
    )


def discard_undelivered(connection: socket.socket) -> None:
    """Drop sent bytes that the peer has not acknowledged, on closing.

    If there are any, the connection is reset; otherwise it ends in order.
    """
    if _undelivered_bytes.count_undelivered(connection):
        # A connection that has failed has nothing to drop.
        with contextlib.suppress(OSError):
            reset_on_close(connection)


def connect(endpoint: data.Address, timeout_s: float) -> socket.socket:
    """Return a connected, non-blocking socket.

    :raises OSError: if there is no connection within the timeout.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(max(timeout_s, 0.001))
        connection.connect((endpoint.host, endpoint.port))
        set_options(connection)
        connection.setblocking(False)
    except BaseException:
        connection.close()
        raise
    return connection


def wait_for(connection: socket.socket, events: int, timeout_s: float) -> int:
    """Wait for poll events of a socket; return them, or 0 on timeout."""
    poller = select.poll()
    poller.register(connection, events)
    for _, found in poller.poll(max(0.0, timeout_s) * 1000):
        return found
    return 0


class SendResult(enum.Enum):
    """What became of bytes that were to be sent."""

    SENT = 'sent'

    #: The peer has closed the connection.
    DISCONNECTED = 'disconnected'

    #: The peer read nothing for ``WRITE_STALL_S``.
    STALLED = 'stalled'


def send_all(connection: socket.socket, outgoing: bytes) -> SendResult:
    """Send all bytes, unless the peer is gone or does not read."""
    view = memoryview(outgoing)
    while view:
        try:
            sent_bytes = connection.send(view)
        except BlockingIOError:
            if not wait_for(connection, select.POLLOUT, WRITE_STALL_S):
                return SendResult.STALLED
            continue
        except OSError:
            return SendResult.DISCONNECTED
        view = view[sent_bytes:]
    return SendResult.SENT
