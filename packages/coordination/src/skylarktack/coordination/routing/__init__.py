"""Choice of targets."""

from skylarktack.coordination.routing._targets import TwoChoicesSelector

__all__ = [
    'TwoChoicesSelector',
]
