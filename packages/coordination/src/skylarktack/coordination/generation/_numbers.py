"""Numbers of attempts."""

import secrets

#: Random part of an attempt's number. Two instances that continue one
#: generation at the same time must not use the same number on one engine.
RANDOM_COUNT = 65_536


def next_attempt(previous: int) -> int:
    """Return a number above the previous one that no other instance uses."""
    counted = previous // RANDOM_COUNT + 1
    return counted * RANDOM_COUNT + secrets.randbelow(RANDOM_COUNT)
