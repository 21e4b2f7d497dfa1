"""Listening sockets."""

import socket

#: Maximum number of connections that wait to be accepted.
BACKLOG_COUNT = 512


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    :raises OSError: if the address cannot be used.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG_COUNT)
    except BaseException:
        listener.close()
        raise
    return listener
