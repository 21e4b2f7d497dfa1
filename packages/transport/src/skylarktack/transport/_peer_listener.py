"""The socket on which an instance accepts its peers."""

import errno
import socket
import time
from typing import Any

import structlog

from skylarktack import state

#: Connections that wait to be accepted.
BACKLOG_COUNT = 128

#: Delay after an accept that failed. Descriptors and memory take time to
#: become free, and the connection stays in the backlog meanwhile.
ACCEPT_RETRY_S = 0.2

#: Errors of accept after which the next one may succeed: the peer closed the
#: connection, or the process or its host lacks descriptors or memory.
PASSING_ERRORS = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
)

_LOG = structlog.get_logger(part='peers')


class PeerListener(socket.socket):
    """A listening socket whose accept outlasts passing errors.

    The server of websockets ends for good at any error of accept.
    """

    def accept(self) -> tuple[socket.socket, Any]:
        """Wait for a connection.

        :raises OSError: if the socket is closed.
        """
        while True:
            try:
                return super().accept()
            except OSError as error:
                if error.errno not in PASSING_ERRORS:
                    raise
                _LOG.warning('peer not accepted', error=str(error))
                time.sleep(ACCEPT_RETRY_S)


def listen_for_peers(address: state.Address) -> PeerListener:
    """Bind the port on which peers are accepted; port 0 takes any."""
    bound = socket.create_server(
        (address.host, address.port), backlog=BACKLOG_COUNT
    )
    return PeerListener(fileno=bound.detach())
