"""Connections between entry instances on loopback."""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import dataclasses
import socket
import threading

import pytest
from websockets.sync import client
from websockets.sync import connection as websocket

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
class _Unregistered:
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


@pytest.fixture
def start() -> Iterator[Callable[..., Peer]]:
    """Return a function that starts peers, which are stopped later."""
    started: list[Peer] = []

    def _start(name: str, **options: object) -> Peer:
        started.append(Peer(name, **options))  # type: ignore[arg-type]
        return started[-1]

    yield _start
    for peer in started:
        peer.network.stop()


def raw_connection(peer: Peer) -> websocket.Connection:
    """Open a websocket without a handshake."""
    return client.connect(
        f'ws://{peer.address}/', compression=None, legacy=True
    )


class RawInitiator:
    """The initiator's side of a handshake, step by step."""

    def __init__(self, peer: Peer, name: str) -> None:
        self.codec = protocol.PeerCodec(protocol.PEER_MESSAGES)
        self.authenticator = protocol.PeerAuthenticator(SECRET)
        self.connection = raw_connection(peer)
        self.hello = self.authenticator.hello(name, '1', True)
        self.send(self.hello)
        received = self.connection.recv(timeout=5)
        assert isinstance(received, bytes)
        self.challenge = self.codec.decode(received).ok.message

    def send(self, message: object) -> None:
        """Send a frame without a code."""
        self.connection.send(self.codec.encode(protocol.Frame(message)))

    def prove(self) -> protocol.FrameSeal:
        """End the handshake and return the seal of further frames."""
        self.send(self.authenticator.proof(self.hello, self.challenge))
        return self.authenticator.seals(self.hello, self.challenge)[0]


class TestRequests:
    """Guards against lost, crossed and endless requests."""

    def test_answer_and_faults(self, start: Callable[..., Peer]) -> None:
        """Answers and each kind of fault reach the caller."""
        one = start('one', more={'test.later': _Unregistered})
        two = start('two')
        introduce(one, two)
        peer = two.network.name
        answered = one.network.request(peer, RELAY, 5.0)
        assert answered.ok == membership.IndirectProbeResponse(True)
        for unknown in (membership.Probe(one.table.own), _Unregistered()):
            fault = one.network.request(peer, unknown, 5.0).error
            assert fault.kind == ports.PeerFaultKind.UNSUPPORTED
        missing = one.network.request(state.InstanceName('x'), RELAY, 5.0)
        assert missing.error.kind == ports.PeerFaultKind.UNREACHABLE

    def test_stopped_peer(self, start: Callable[..., Peer]) -> None:
        """A peer that stopped is unreachable once its close has arrived.

        A request that crosses the close may have been handled for all that
        its sender knows, so it may fail with no answer instead.
        """
        one, two = start('one'), start('two')
        introduce(one, two)
        peer = two.network.name
        assert one.network.connect(peer)
        two.network.stop()
        crossing = one.network.request(peer, RELAY, 5.0)
        assert crossing.error.kind in (
            ports.PeerFaultKind.NO_ANSWER,
            ports.PeerFaultKind.UNREACHABLE,
        )
        assert eventually(lambda: not one.network.neighbours())
        stopped = one.network.request(peer, RELAY, 5.0)
        assert stopped.error.kind == ports.PeerFaultKind.UNREACHABLE

    def test_peer_stops_while_it_handles(
        self, start: Callable[..., Peer]
    ) -> None:
        """A request that may have been acted on never counts as unsent."""
        one, two = start('one'), start('two')
        introduce(one, two)
        began, released = threading.Event(), threading.Event()

        def _handle(
            peer: state.InstanceName, message: membership.IndirectProbe
        ) -> membership.IndirectProbeResponse:
            began.set()
            released.wait(10.0)
            return membership.IndirectProbeResponse(True)

        two.network.register_handler(membership.IndirectProbe, _handle)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(
                one.network.request, two.network.name, RELAY, 3600.0
            )
            assert began.wait(10.0)
            two.network.stop()
            fault = waiting.result(10.0).error
            released.set()
        assert fault.kind == ports.PeerFaultKind.NO_ANSWER

    def test_slow_answers_do_not_cross(
        self, start: Callable[..., Peer]
    ) -> None:
        """A late answer is dropped; others on the connection still come."""
        one, two = start('one'), start('two')
        introduce(one, two)
        released = threading.Event()

        def _slow(
            peer: state.InstanceName, message: membership.IndirectProbe
        ) -> membership.IndirectProbeResponse:
            if message.timeout_ms == 0:
                released.wait(5.0)
            return membership.IndirectProbeResponse(message.timeout_ms == 0)

        two.network.register_handler(membership.IndirectProbe, _slow)
        peer = two.network.name
        slow = membership.IndirectProbe(peer, 0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(one.network.request, peer, slow, 5.0)
            late = one.network.request(peer, slow, 0.05)
            assert late.error.kind == ports.PeerFaultKind.NO_ANSWER
            quick = one.network.request(peer, RELAY, 5.0)
            assert quick.ok == membership.IndirectProbeResponse(False)
            released.set()
            assert waiting.result().ok == membership.IndirectProbeResponse(
                True
            )

    def test_failing_handler(self, start: Callable[..., Peer]) -> None:
        """A fault in a handler is a fault of the request alone."""
        one, two = start('one'), start('two')
        introduce(one, two)
        two.network.register_handler(
            membership.IndirectProbe, lambda peer, message: 1 / 0
        )
        fault = one.network.request(two.network.name, RELAY, 5.0).error
        assert fault.kind == ports.PeerFaultKind.NO_ANSWER
        assert one.network.send(
            two.network.name, membership.MembershipUpdates(())
        )
        assert eventually(lambda: bool(two.received))

    @pytest.mark.parametrize('initiates', (True, False))
    def test_error_of_a_reader(
        self, initiates: bool, start: Callable[..., Peer]
    ) -> None:
        """Guards against a connection that stays in use without a reader."""
        one = start('one')
        two = start('two', inline_types=frozenset({membership.IndirectProbe}))
        introduce(one, two)
        two.network.register_handler(
            membership.IndirectProbe, lambda peer, message: _Unregistered()
        )
        opening, accepting = (two, one) if initiates else (one, two)
        assert opening.network.connect(accepting.network.name)
        assert eventually(lambda: bool(one.network.neighbours()))
        fault = one.network.request(two.network.name, RELAY, 5.0).error
        assert fault.kind == ports.PeerFaultKind.NO_ANSWER
        assert eventually(lambda: not two.network.neighbours())
        assert two.errors.counts() == {'peer connections': 1}
        assert opening.network.connect(accepting.network.name)


class TestNeighbours:
    """Guards against doubled, unbounded and silent connections."""

    def test_broadcast_and_crossed_connections(
        self, start: Callable[..., Peer]
    ) -> None:
        """Two peers that connect at once agree on one connection."""
        one, two = start('one'), start('two')
        introduce(one, two)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            first = pool.submit(one.network.connect, two.network.name)
            second = pool.submit(two.network.connect, one.network.name)
            assert first.result() and second.result()
        assert one.network.neighbours() == (two.network.name,)
        assert two.network.neighbours() == (one.network.name,)
        for source, receiver in ((one, two), (two, one)):
            assert (
                source.network.broadcast(membership.MembershipUpdates(())) == 1
            )
            assert eventually(receiver.heard_once)

    def test_bounded(self, start: Callable[..., Peer]) -> None:
        """A peer with all its connections taken refuses further ones."""
        crowded = start('crowded', connection_count=1)
        others = [start(f'other-{index}') for index in range(3)]
        introduce(crowded, *others)
        for other in others:
            other.network.connect(crowded.network.name)
        assert eventually(lambda: crowded.refused('crowded') == 1)
        assert len(crowded.network.neighbours()) == 2

    def test_short_connections_are_bounded(
        self, start: Callable[..., Peer]
    ) -> None:
        """Requests to more peers than may be connected all succeed."""
        asking = start('asking', connection_count=1)
        others = [start(f'other-{index}') for index in range(8)]
        introduce(asking, *others)
        for other in others:
            answered = asking.network.request(other.network.name, RELAY, 5.0)
            assert answered.is_ok()

    def test_restarted_peer(self, start: Callable[..., Peer]) -> None:
        """A peer that restarts under its name is connected again."""
        one, two = start('one'), start('two')
        introduce(one, two)
        assert one.network.connect(two.network.name)
        two.network.stop()
        assert eventually(lambda: not one.network.neighbours())
        again = start('two')
        one.table.merge(dataclasses.replace(again.table.own, incarnation=2))
        assert one.network.connect(again.network.name)

    def test_stop_ends_threads(self, start: Callable[..., Peer]) -> None:
        """A stopped network leaves no thread behind."""
        before = set(threading.enumerate())
        one, two = start('one'), start('two')
        introduce(one, two)
        assert one.network.connect(two.network.name)
        one.network.request(two.network.name, RELAY, 5.0)
        one.network.stop()
        two.network.stop()
        assert eventually(lambda: set(threading.enumerate()) <= before)


class TestRefusals:
    """Guards against strangers and against frames that are not genuine."""

    def test_stranger(self, start: Callable[..., Peer]) -> None:
        """A peer with another secret is refused by both sides."""
        one, stranger = start('one'), start('two', secret='another')
        introduce(one, stranger)
        for source, receiver in ((one, stranger), (stranger, one)):
            name = receiver.network.name
            fault = source.network.request(name, RELAY, 5.0).error
            assert fault.kind == ports.PeerFaultKind.UNREACHABLE
            assert not source.network.connect(name)
            assert source.refused('stranger') >= 2
        assert not one.network.neighbours()

    def test_wrong_name(self, start: Callable[..., Peer]) -> None:
        """An address that another instance took over is not mistaken."""
        one, two = start('one'), start('two')
        one.table.merge(
            dataclasses.replace(
                two.table.own, name=state.InstanceName('three')
            )
        )
        fault = one.network.request(state.InstanceName('three'), RELAY, 5.0)
        assert fault.is_error()
        assert one.refused('wrong_name') == 1

    def test_replayed_handshake(self, start: Callable[..., Peer]) -> None:
        """The proof of an earlier handshake is refused."""
        one = start('one')
        earlier = RawInitiator(one, 'two')
        earlier.prove()
        replayed = RawInitiator(one, 'two')
        replayed.send(
            earlier.authenticator.proof(earlier.hello, earlier.challenge)
        )
        assert eventually(lambda: one.refused('stranger') == 1)

    def test_reflected_handshake(self, start: Callable[..., Peer]) -> None:
        """The acceptor's own proof is refused."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        raw.send(protocol.PeerProof(raw.challenge.proof))
        assert eventually(lambda: one.refused('stranger') == 1)

    def test_replayed_frame(self, start: Callable[..., Peer]) -> None:
        """A repeated frame is not handled and ends the connection."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        frame = raw.prove().seal(
            raw.codec.encode(protocol.Frame(membership.MembershipUpdates(())))
        )
        raw.connection.send(frame)
        raw.connection.send(frame)
        assert eventually(lambda: one.refused('replayed') == 1)
        assert len(one.received) == 1
        assert eventually(lambda: not one.network.neighbours())

    @pytest.mark.parametrize('proved', [False, True])
    def test_oversized_frame(
        self, start: Callable[..., Peer], proved: bool
    ) -> None:
        """A frame above the limit ends the connection."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        if proved:
            raw.prove()
        raw.connection.send(b'x' * 5000)
        reason = 'oversized' if proved else 'malformed'
        assert eventually(lambda: one.refused(reason) == 1)
        assert eventually(lambda: not one.network.neighbours())

    def test_malformed_frame(self, start: Callable[..., Peer]) -> None:
        """A genuine frame that is no message is counted and dropped."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        seal = raw.prove()
        raw.connection.send(seal.seal(b'\xff\x00'))
        genuine = raw.codec.encode(
            protocol.Frame(membership.MembershipUpdates(()))
        )
        raw.connection.send(seal.seal(genuine))
        assert eventually(lambda: len(one.received) == 1)
        assert one.refused('malformed') == 1

    def test_no_handshake(self, start: Callable[..., Peer]) -> None:
        """Bytes that are no handshake are counted."""
        one = start('one')
        raw_connection(one).send(b'anything')
        assert eventually(lambda: one.refused('malformed') == 1)
        with socket.create_connection(('127.0.0.1', one.address.port)) as raw:
            raw.sendall(b'not a websocket\r\n\r\n')
            raw.settimeout(10)
            raw.recv(1000)
        assert not one.network.neighbours()
