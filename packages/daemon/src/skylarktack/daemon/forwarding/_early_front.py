"""Opens the socket for callers before the instance is imported.

Connections wait in the socket's backlog until the instance accepts them,
which takes a fraction of a second of processor time.
"""

import os
import socket

from skylarktack import platform
from skylarktack.transport import forwarding as transport


def open_front() -> socket.socket | None:
    """Return the listening socket, or None if it cannot be opened yet.

    The instance opens it later in that case, and reports what is wrong with
    the settings.
    """
    path = os.environ.get(platform.PATH_VARIABLE, '')
    try:
        with open(path, encoding='utf-8') as lines:
            address = platform.find_front_address(lines)
        if address is None:
            return None
        return transport.listen(address.host, address.port)
    except (OSError, OverflowError, UnicodeError):
        return None
