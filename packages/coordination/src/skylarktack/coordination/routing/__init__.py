"""State of targets and the choice among them."""

from skylarktack.coordination.routing._digests import DigestTopic
from skylarktack.coordination.routing._ejection import EVIDENCE_S
from skylarktack.coordination.routing._ejection import TargetEjection
from skylarktack.coordination.routing._evidence import Candidate
from skylarktack.coordination.routing._evidence import DigestCodec
from skylarktack.coordination.routing._evidence import LoadDigest
from skylarktack.coordination.routing._evidence import LoadSample
from skylarktack.coordination.routing._evidence import TargetLeaving
from skylarktack.coordination.routing._evidence import TargetStatus
from skylarktack.coordination.routing._explain import RouteExplainer
from skylarktack.coordination.routing._explain import RouteExplanation
from skylarktack.coordination.routing._explain import TargetExplanation
from skylarktack.coordination.routing._policies import CandidatePool
from skylarktack.coordination.routing._policies import SelectionPolicy
from skylarktack.coordination.routing._prefixes import PrefixIndex
from skylarktack.coordination.routing._selector import TableSelector
from skylarktack.coordination.routing._selector import make_policy
from skylarktack.coordination.routing._subsets import instance_place
from skylarktack.coordination.routing._subsets import ordered_targets
from skylarktack.coordination.routing._subsets import used_targets
from skylarktack.coordination.routing._subsets import watched_targets
from skylarktack.coordination.routing._table import TargetTable
from skylarktack.coordination.routing._watch import LeavingNotices
from skylarktack.coordination.routing._watch import TargetWatcher

__all__ = [
    'Candidate',
    'CandidatePool',
    'DigestCodec',
    'DigestTopic',
    'EVIDENCE_S',
    'TargetStatus',
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
    'TargetTable',
    'TargetWatcher',
    'instance_place',
    'make_policy',
    'ordered_targets',
    'used_targets',
    'watched_targets',
]
