"""Service calls that are not idempotent and must execute at most once."""

from skylarktack.coordination.once._bucket import BucketDependencies
from skylarktack.coordination.once._bucket import BucketLog
from skylarktack.coordination.once._dispatch import AtMostOnceDependencies
from skylarktack.coordination.once._dispatch import Dispatcher
from skylarktack.coordination.once._dispatch import outcome_kind
from skylarktack.coordination.once._dispatch import target_idempotency_key
from skylarktack.coordination.once._in_flight import CallResult
from skylarktack.coordination.once._in_flight import InFlightCalls
from skylarktack.coordination.once._messages import ClaimForwardRequest
from skylarktack.coordination.once._messages import ClaimForwardResponse
from skylarktack.coordination.once._operators import Settlement
from skylarktack.coordination.once._operators import UnknownCalls
from skylarktack.coordination.once._rules import UNRESOLVED_AGE_S
from skylarktack.coordination.once._rules import apply_retention
from skylarktack.coordination.once._rules import is_unresolved
from skylarktack.coordination.once._rules import merge
from skylarktack.coordination.once._runner import MAX_KEY_CHARS
from skylarktack.coordination.once._runner import AtMostOnceRunner
from skylarktack.coordination.once._table import ClaimTable
from skylarktack.coordination.once._table import ClaimTableDependencies
from skylarktack.coordination.once._writer import BucketWriter

__all__ = [
    'AtMostOnceDependencies',
    'AtMostOnceRunner',
    'BucketDependencies',
    'BucketLog',
    'BucketWriter',
    'CallResult',
    'ClaimForwardRequest',
    'ClaimForwardResponse',
    'ClaimTable',
    'ClaimTableDependencies',
    'Dispatcher',
    'InFlightCalls',
    'MAX_KEY_CHARS',
    'Settlement',
    'UNRESOLVED_AGE_S',
    'UnknownCalls',
    'apply_retention',
    'is_unresolved',
    'merge',
    'outcome_kind',
    'target_idempotency_key',
]
