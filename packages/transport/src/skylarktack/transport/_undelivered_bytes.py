"""Bytes that were sent on a connection and never reached the other end.

A response without length ends with its connection. If the other end closes
before it has received the whole request, nothing tells such a response from
one that broke off. The end of a connection acknowledges all that the other
end has received, so this is known exactly when the end has arrived.
"""

import array
import fcntl
import socket
import termios


def count_undelivered(connection: socket.socket) -> int:
    """Return how many sent bytes the other end has not acknowledged.

    0 for a connection that is closed.
    """
    unacknowledged = array.array('i', [0])
    try:
        # tcp(7): for a TCP socket this is SIOCOUTQ.
        fcntl.ioctl(connection, termios.TIOCOUTQ, unacknowledged)
    except (OSError, ValueError):
        return 0
    return unacknowledged[0]
