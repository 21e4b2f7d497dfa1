"""Plain calls that may be repeated."""

from skylarktack.coordination.lookup._runner import LookupRunner

__all__ = [
    'LookupRunner',
]
