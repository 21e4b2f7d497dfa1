"""Choice of targets."""

from skylarktack.coordination.routing._ejection import EVIDENCE_S
from skylarktack.coordination.routing._ejection import TargetEjection
from skylarktack.coordination.routing._targets import TwoChoicesSelector

__all__ = [
    'EVIDENCE_S',
    'TargetEjection',
    'TwoChoicesSelector',
]
