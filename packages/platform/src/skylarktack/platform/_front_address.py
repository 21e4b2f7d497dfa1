"""The address for callers in a settings file, found without other imports.

A start imports many modules. Until it listens, callers that come back after a
loss of all instances are refused, and many of them come back only once.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: Environment variable with the path of the settings file.
PATH_VARIABLE = 'SKYLARKTACK_CONFIG'

_NAME = 'listen_addresses.frontend'


class FrontAddress(NamedTuple):
    """Where callers connect; a named tuple is created faster than a class."""

    host: str
    port: int


def find_front_address(lines: Iterable[str]) -> FrontAddress | None:
    """Return the address in the lines of a settings file, or None.

    Settings are validated later, when all modules are imported.
    """
    found = None
    for line in lines:
        name, _, value = line.partition('=')
        if name.strip() != _NAME:
            continue
        host, _, port = value.strip().rpartition(':')
        if host and port.isascii() and port.isdigit() and len(port) <= 5:
            found = FrontAddress(host, int(port))
    return found
