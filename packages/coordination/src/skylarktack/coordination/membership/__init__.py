"""Entry instances that know of each other."""

from skylarktack.coordination.membership._health import LocalHealth
from skylarktack.coordination.membership._membership import Membership
from skylarktack.coordination.membership._membership import MembershipParts
from skylarktack.coordination.membership._messages import INLINE_TYPES
from skylarktack.coordination.membership._messages import Exchange
from skylarktack.coordination.membership._messages import Join
from skylarktack.coordination.membership._messages import Joined
from skylarktack.coordination.membership._messages import News
from skylarktack.coordination.membership._messages import Probe
from skylarktack.coordination.membership._messages import Probed
from skylarktack.coordination.membership._messages import RelayedProbe
from skylarktack.coordination.membership._messages import RelayProbe
from skylarktack.coordination.membership._messages import TopicPayload
from skylarktack.coordination.membership._neighbours import ranked_neighbours

__all__ = [
    'Exchange',
    'INLINE_TYPES',
    'Join',
    'Joined',
    'LocalHealth',
    'Membership',
    'MembershipParts',
    'News',
    'Probe',
    'Probed',
    'RelayProbe',
    'RelayedProbe',
    'TopicPayload',
    'ranked_neighbours',
]
