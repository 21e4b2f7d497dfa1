"""Values in datagrams between instances, each with its bounds."""

import ipaddress
from typing import Any

from skylarktack.state import forwarding as data

#: Integers in datagrams fit into 64 bits.
MAX_INTEGER = 2**63 - 1

#: Longest time between two reports that is accepted of a peer.
MAX_REPORT_INTERVAL_MS = 600_000

MAX_PORT = 65535


def integer(value: Any, maximum: int = MAX_INTEGER) -> int:
    """Return an integer from 0 to the maximum.

    :raises ValueError: if the value is anything else.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError('not an integer')
    if not 0 <= value <= maximum:
        raise ValueError('integer out of range')
    return value


def signed_integer(value: Any) -> int:
    """Return an integer of 64 bits.

    :raises ValueError: if the value is anything else.
    """
    return -integer(-value) if value < 0 else integer(value)


def address(host: Any, port: Any) -> data.Address:
    """Return an address to which a datagram can be sent.

    A name instead of an IP address would block the sender in a lookup.

    :raises ValueError: if the host is no IP address or the port is invalid.
    """
    text = str(ipaddress.IPv4Address(str(host)))
    if integer(port, MAX_PORT) == 0:
        raise ValueError('port out of range')
    return data.Address(text, port)
