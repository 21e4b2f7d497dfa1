"""How much of the memory of a process bodies may take."""

import math

#: Fraction of the memory limit of the process that bodies may take, and the
#: limit that is assumed without one.
BODY_FRACTION = 0.5
DEFAULT_MEMORY_LIMIT_BYTES = 256 * 1024 * 1024

#: Fraction of the memory of bodies that only responses may take: a request
#: whose response cannot be buffered has run in vain.
RESPONSE_FRACTION = 0.25


def body_limit_bytes(memory_limit_bytes: int | None) -> int:
    """Return what all bodies may take together.

    :param memory_limit_bytes: limit of the process, or None if unknown.
    """
    limit_bytes = memory_limit_bytes or DEFAULT_MEMORY_LIMIT_BYTES
    return int(BODY_FRACTION * limit_bytes)


def request_limit_bytes(body_limit_bytes: int) -> int:
    """Return what the bodies of requests may take together.

    :param body_limit_bytes: what all bodies may take.
    """
    return body_limit_bytes - int(RESPONSE_FRACTION * body_limit_bytes)


def needed_memory_bytes(max_body_bytes: int) -> int:
    """Return the smallest memory limit under which one request body fits."""
    return math.ceil(max_body_bytes / (1 - RESPONSE_FRACTION) / BODY_FRACTION)
