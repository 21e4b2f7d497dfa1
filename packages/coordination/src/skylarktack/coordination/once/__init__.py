"""Plain calls that run at most once."""

from skylarktack.coordination.once._bucket import BucketLog
from skylarktack.coordination.once._bucket import BucketParts
from skylarktack.coordination.once._dispatch import Dispatcher
from skylarktack.coordination.once._dispatch import OnceParts
from skylarktack.coordination.once._dispatch import outcome_kind
from skylarktack.coordination.once._dispatch import target_key
from skylarktack.coordination.once._in_flight import CallResult
from skylarktack.coordination.once._in_flight import InFlightCalls
from skylarktack.coordination.once._messages import ClaimForward
from skylarktack.coordination.once._messages import ClaimForwarded
from skylarktack.coordination.once._operators import Settlement
from skylarktack.coordination.once._operators import UnknownCalls
from skylarktack.coordination.once._rules import UNRESOLVED_AGE_S
from skylarktack.coordination.once._rules import is_unresolved
from skylarktack.coordination.once._rules import keep
from skylarktack.coordination.once._rules import merge
from skylarktack.coordination.once._runner import KEY_LIMIT_CHARS
from skylarktack.coordination.once._runner import OnceRunner
from skylarktack.coordination.once._table import ClaimTable
from skylarktack.coordination.once._table import ClaimTableParts
from skylarktack.coordination.once._writer import BucketWriter

__all__ = [
    'BucketLog',
    'BucketParts',
    'BucketWriter',
    'CallResult',
    'ClaimForward',
    'ClaimForwarded',
    'ClaimTable',
    'ClaimTableParts',
    'Dispatcher',
    'InFlightCalls',
    'KEY_LIMIT_CHARS',
    'OnceParts',
    'OnceRunner',
    'Settlement',
    'UNRESOLVED_AGE_S',
    'UnknownCalls',
    'is_unresolved',
    'keep',
    'merge',
    'outcome_kind',
    'target_key',
]
