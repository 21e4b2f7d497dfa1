"""Group membership of entry instances.

A SWIM-style protocol: instances probe each other, directly and through relay
instances, and disseminate membership updates by gossip.
"""

from skylarktack.coordination.membership._health import LocalHealth
from skylarktack.coordination.membership._membership import Membership
from skylarktack.coordination.membership._membership import (
    MembershipDependencies,
)
from skylarktack.coordination.membership._messages import NON_BLOCKING_TYPES
from skylarktack.coordination.membership._messages import Exchange
from skylarktack.coordination.membership._messages import IndirectProbe
from skylarktack.coordination.membership._messages import IndirectProbeResponse
from skylarktack.coordination.membership._messages import Join
from skylarktack.coordination.membership._messages import JoinResponse
from skylarktack.coordination.membership._messages import MembershipUpdates
from skylarktack.coordination.membership._messages import Probe
from skylarktack.coordination.membership._messages import ProbeResponse
from skylarktack.coordination.membership._messages import TopicPayload
from skylarktack.coordination.membership._neighbours import ranked_neighbours

__all__ = [
    'Exchange',
    'NON_BLOCKING_TYPES',
    'Join',
    'JoinResponse',
    'LocalHealth',
    'Membership',
    'MembershipDependencies',
    'MembershipUpdates',
    'Probe',
    'ProbeResponse',
    'IndirectProbe',
    'IndirectProbeResponse',
    'TopicPayload',
    'ranked_neighbours',
]
