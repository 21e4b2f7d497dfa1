"""Composition of the peer network and of membership."""

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import membership
from skylarktack.coordination import ports


class Peers:
    """Peer network and membership of one instance."""

    def __init__(
        self,
        settings: state.InstanceSettings,
        clock: ports.Clock,
        metrics: ports.Metrics,
        supervisor: ports.TaskSupervisor,
    ) -> None:
        listening_socket = transport.listen_for_peers(settings.peer.listen)
        self.address = state.Address(
            settings.peer.listen.host, int(listening_socket.getsockname()[1])
        )
        table = state.MemberTable(
            state.Member(
                name=settings.name,
                address=self.address,
                failure_domain=settings.failure_domain,
                region=settings.region,
                # The start time in milliseconds, so that a restarted instance
                # supersedes its earlier incarnation at once.
                incarnation=int(clock.wall_s() * 1000),
                state=state.MemberState.ALIVE,
            )
        )
        self.network = transport.WebsocketPeerNetwork(
            transport.PeerNetworkParts(
                settings=settings.peer,
                secret=settings.secret,
                table=table,
                messages=protocol.PEER_MESSAGES,
                clock=clock,
                metrics=metrics,
                supervisor=supervisor,
                inline_types=membership.NON_BLOCKING_TYPES,
            ),
            listening_socket,
        )
        self.membership = membership.Membership(
            membership.MembershipDependencies(
                settings=settings.peer,
                network=self.network,
                table=table,
                clock=clock,
                metrics=metrics,
                supervisor=supervisor,
            )
        )

    def start(self) -> None:
        """Accept connections of peers and join the fleet."""
        self.network.start()
        self.membership.start()

    def leave(self) -> None:
        """Announce to the peers that this instance stops."""
        self.membership.leave()

    def stop(self) -> None:
        """Close all connections and stop all tasks."""
        self.membership.stop()
        self.network.stop()
