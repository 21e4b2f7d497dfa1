"""Entry instances as their peers know them."""

import dataclasses
import enum

from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._targets import Address


class MemberState(enum.Enum):
    """What an instance believes of a peer."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True)
class Member:
    """One entry instance."""

    #: Unique name.
    name: InstanceName

    #: Where it accepts peers.
    address: Address

    #: Its failure domain.
    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Number that the instance itself raises to refute a suspicion.
    incarnation: int

    #: What is believed of it.
    state: MemberState
