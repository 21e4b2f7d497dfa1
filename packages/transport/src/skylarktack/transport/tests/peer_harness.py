"""Test harness: entry instances with a peer network and nothing else."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import threading

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import membership
from skylarktack.coordination import ports

SECRET = 'secret of the test'
RELAY = membership.IndirectProbe(state.InstanceName('x'), 1)


@dataclasses.dataclass(frozen=True)
class Unregistered:
    """A message that only a later release knows."""

    text: str = ''


class Peer:
    """One instance with a network and nothing else."""

    def __init__(
        self,
        name: str,
        secret: str = SECRET,
        connection_count: int = 8,
        more: dict[str, type] | None = None,
        inline_types: frozenset[type] = frozenset(),
    ) -> None:
        anywhere = state.Address('127.0.0.1', 0)
        self.metrics = fakes.MemoryMetrics()
        self.errors = forwarding.ErrorRecorder(
            ports.SystemClock(), fakes.RecordingLog()
        )
        listening = transport.listen_for_peers(anywhere)
        self.address = state.Address('127.0.0.1', listening.getsockname()[1])
        self.table = state.MemberTable(
            state.Member(
                name=state.InstanceName(name),
                address=self.address,
                failure_domain=state.FailureDomain('domain-0'),
                region='region-1',
                incarnation=1,
                state=state.MemberState.ALIVE,
            )
        )
        self.network = transport.WebsocketPeerNetwork(
            transport.PeerNetworkParts(
                settings=state.PeerSettings(
                    anywhere,
                    connection_count=connection_count,
                    frame_limit_bytes=4096,
                ),
                secret=secret,
                table=self.table,
                messages={**protocol.PEER_MESSAGES, **(more or {})},
                clock=ports.SystemClock(),
                metrics=self.metrics,
                supervisor=forwarding.Supervisor(
                    ports.SystemClock(), self.errors
                ),
                inline_types=inline_types,
            ),
            listening,
        )
        self.received: list[object] = []
        self.network.register_handler(
            membership.MembershipUpdates, self._receive
        )
        self.network.register_handler(
            membership.IndirectProbe,
            lambda peer, message: membership.IndirectProbeResponse(True),
        )
        self.network.start()

    def _receive(self, peer: state.InstanceName, message: object) -> None:
        self.received.append(message)

    def heard_once(self) -> bool:
        """Return whether exactly one message was received."""
        return len(self.received) == 1

    def refused(self, reason: str) -> int:
        """Return how many were refused for a reason."""
        return self.metrics.counts[f'peer.refused.{reason}']


def introduce(*peers: Peer) -> None:
    """Tell all peers of all others."""
    for one in peers:
        for other in peers:
            one.table.merge(other.table.own)


def eventually(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; False if it never does."""
    waiting = threading.Event()
    for _ in range(1000):
        if condition():
            return True
        waiting.wait(0.01)
    return False


def start_peers() -> Iterator[Callable[..., Peer]]:
    """Yield a function that starts peers, which are stopped later."""
    started: list[Peer] = []

    def _start(name: str, **options: object) -> Peer:
        started.append(Peer(name, **options))  # type: ignore[arg-type]
        return started[-1]

    yield _start
    for peer in started:
        peer.network.stop()
