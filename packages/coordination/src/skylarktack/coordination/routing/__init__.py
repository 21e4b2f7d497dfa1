"""Tracking of target state and selection of a target for each request.

A target that is leaving is draining: it finishes its requests, but accepts no
new ones.
"""

from skylarktack.coordination.routing._digests import DigestTopic
from skylarktack.coordination.routing._ejection import FAULT_WINDOW_S
from skylarktack.coordination.routing._ejection import TargetEjection
from skylarktack.coordination.routing._explain import RouteExplainer
from skylarktack.coordination.routing._explain import RouteExplanation
from skylarktack.coordination.routing._explain import TargetExplanation
from skylarktack.coordination.routing._policies import CandidatePool
from skylarktack.coordination.routing._policies import SelectionPolicy
from skylarktack.coordination.routing._prefixes import PrefixIndex
from skylarktack.coordination.routing._records import Candidate
from skylarktack.coordination.routing._records import DigestCodec
from skylarktack.coordination.routing._records import LoadDigest
from skylarktack.coordination.routing._records import LoadSample
from skylarktack.coordination.routing._records import TargetLeaving
from skylarktack.coordination.routing._records import TargetStatus
from skylarktack.coordination.routing._selector import TableSelector
from skylarktack.coordination.routing._selector import make_policy
from skylarktack.coordination.routing._subsets import instance_position
from skylarktack.coordination.routing._subsets import select_subset
from skylarktack.coordination.routing._subsets import sort_targets
from skylarktack.coordination.routing._subsets import watched_targets
from skylarktack.coordination.routing._table import TargetTable
from skylarktack.coordination.routing._watch import LeavingNotices
from skylarktack.coordination.routing._watch import TargetWatcher

__all__ = [
    'Candidate',
    'CandidatePool',
    'DigestCodec',
    'DigestTopic',
    'FAULT_WINDOW_S',
    'LeavingNotices',
    'LoadDigest',
    'LoadSample',
    'PrefixIndex',
    'RouteExplainer',
    'RouteExplanation',
    'SelectionPolicy',
    'TableSelector',
    'TargetEjection',
    'TargetExplanation',
    'TargetLeaving',
    'TargetStatus',
    'TargetTable',
    'TargetWatcher',
    'instance_position',
    'make_policy',
    'select_subset',
    'sort_targets',
    'watched_targets',
]
