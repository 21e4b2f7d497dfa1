"""Generates attempt numbers."""

import secrets

#: Range of the random part of an attempt number. Two instances that continue
#: one generation concurrently must not use the same number on one engine.
RANDOM_RANGE = 65_536


def next_attempt_number(previous: int) -> int:
    """Return a number above the previous one that no other instance uses."""
    sequence_number = previous // RANDOM_RANGE + 1
    return sequence_number * RANDOM_RANGE + secrets.randbelow(RANDOM_RANGE)
