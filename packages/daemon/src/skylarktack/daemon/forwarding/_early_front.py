"""Opens the socket for callers before the instance is imported.

Connections wait in the socket's backlog until the instance accepts them,
which takes a fraction of a second of processor time.
"""

import os
import socket

from skylarktack import platform
from skylarktack.daemon import _settings_file
from skylarktack.transport import forwarding as transport


def open_front() -> socket.socket | None:
    """Return the listening socket, or None if it cannot be opened yet.

    The instance opens it later in that case, and reports what is wrong with
    the settings.
    """
    path = os.environ.get(platform.PATH_VARIABLE, '')
    try:
        text = _settings_file.read_settings_file(path)
        address = platform.find_front_address(text.splitlines())
        if address is None:
            return None
        return transport.listen(address.host, address.port)
    except (OSError, OverflowError, _settings_file.SettingsFileError):
        return None
