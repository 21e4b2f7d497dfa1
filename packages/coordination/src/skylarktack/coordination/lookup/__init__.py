"""Lookups: service calls that are idempotent and may be retried."""

from skylarktack.coordination.lookup._latencies import RouteLatencies
from skylarktack.coordination.lookup._runner import DEADLINE_HEADER
from skylarktack.coordination.lookup._runner import CallResult
from skylarktack.coordination.lookup._runner import LookupParts
from skylarktack.coordination.lookup._runner import LookupRunner

__all__ = [
    'CallResult',
    'DEADLINE_HEADER',
    'LookupParts',
    'LookupRunner',
    'RouteLatencies',
]
