"""Wiring of planned moves."""

from typing import Any

from expression import Error
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination import ports


class NoPeers:
    """An instance that knows no other; moves then rest on the store."""

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
        """Return this instance."""
        return (self._member,)

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send nothing."""
        return False

    def broadcast(self, message: object) -> int:
        """Reach nobody."""
        return 0

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, ports.PeerFault]:
        """Fail as unreachable."""
        return Error(
            ports.PeerFault(ports.PeerFaultKind.UNREACHABLE, 'no peers')
        )

    def handle(self, message_type: type, handler: ports.PeerHandler) -> None:
        """Accept the handler; it is never called."""


def build_moves(
    settings: state.InstanceSettings,
    clock: ports.Clock,
    store: ports.ObjectStore,
    peers: ports.PeerNetwork,
    engines: ports.EngineClient,
    configuration: ports.ConfigurationSource,
    selector: ports.TargetSelector,
    metrics: ports.Metrics,
) -> moves.MovesPart:
    """Build the planned moves of one instance."""
    return moves.MovesPart(
        moves.MovesOutside(
            settings=settings.move,
            clock=clock,
            store=store,
            codec=protocol.JsonMoveCodec(),
            peers=peers,
            engines=engines,
            configuration=configuration,
            selector=selector,
            metrics=metrics,
        )
    )
