"""A peer network of one instance."""

from typing import Any

from expression import Error
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports


class SingleMemberNetwork:
    """Stands in where no network between instances exists."""

    def __init__(self, settings: state.InstanceSettings) -> None:
        self._member = state.Member(
            name=settings.name,
            address=settings.peer.listen,
            failure_domain=settings.failure_domain,
            region=settings.region,
            incarnation=1,
            state=state.MemberState.ALIVE,
        )

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        return self._member.name

    def members(self) -> tuple[state.Member, ...]:
        """Return this instance alone."""
        return (self._member,)

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Return False: there is nobody to send to."""
        return False

    def broadcast(self, message: object) -> int:
        """Reach nobody."""
        return 0

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, ports.PeerFault]:
        """Fail: there is nobody to ask."""
        return Error(ports.PeerFault(ports.PeerFaultKind.UNREACHABLE, peer))

    def handle(self, message_type: type, handler: ports.PeerHandler) -> None:
        """Do nothing: no message will arrive."""
