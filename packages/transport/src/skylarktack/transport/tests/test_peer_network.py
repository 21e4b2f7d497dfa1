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
from skylarktack.coordination import membership
from skylarktack.coordination import ports
from skylarktack.transport.tests import peer_harness


@pytest.fixture(name='start')
def _start() -> Iterator[Callable[..., peer_harness.Peer]]:
    yield from peer_harness.start_peers()


def raw_connection(peer: peer_harness.Peer) -> websocket.Connection:
    """Open a websocket without a handshake."""
    return client.connect(
        f'ws://{peer.address}/', compression=None, legacy=True
    )


class RawInitiator:
    """The initiator's side of a handshake, step by step."""

    def __init__(self, peer: peer_harness.Peer, name: str) -> None:
        self.codec = protocol.PeerCodec(protocol.PEER_MESSAGES)
        self.authenticator = protocol.PeerAuthenticator(peer_harness.SECRET)
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

    def test_answer_and_faults(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """Answers and each kind of fault reach the caller."""
        one = start('one', more={'test.later': peer_harness.Unregistered})
        two = start('two')
        peer_harness.introduce(one, two)
        peer = two.network.name
        answered = one.network.request(peer, peer_harness.RELAY, 5.0)
        assert answered.ok == membership.IndirectProbeResponse(True)
        for unknown in (
            membership.Probe(one.table.own),
            peer_harness.Unregistered(),
        ):
            fault = one.network.request(peer, unknown, 5.0).error
            assert fault.kind == ports.PeerFaultKind.UNSUPPORTED
        missing = one.network.request(
            state.InstanceName('x'), peer_harness.RELAY, 5.0
        )
        assert missing.error.kind == ports.PeerFaultKind.UNREACHABLE

    def test_stopped_peer(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A peer that stopped is unreachable once its close has arrived.

        A request that crosses the close may have been handled for all that
        its sender knows, so it may fail with no answer instead.
        """
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
        peer = two.network.name
        assert one.network.connect(peer)
        two.network.stop()
        crossing = one.network.request(peer, peer_harness.RELAY, 5.0)
        assert crossing.error.kind in (
            ports.PeerFaultKind.NO_ANSWER,
            ports.PeerFaultKind.UNREACHABLE,
        )
        assert peer_harness.eventually(lambda: not one.network.neighbours())
        stopped = one.network.request(peer, peer_harness.RELAY, 5.0)
        assert stopped.error.kind == ports.PeerFaultKind.UNREACHABLE

    def test_peer_stops_while_it_handles(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A request that may have been acted on never counts as unsent."""
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
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
                one.network.request,
                two.network.name,
                peer_harness.RELAY,
                3600.0,
            )
            assert began.wait(10.0)
            two.network.stop()
            fault = waiting.result(10.0).error
            released.set()
        assert fault.kind == ports.PeerFaultKind.NO_ANSWER

    def test_slow_answers_do_not_cross(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A late answer is dropped; others on the connection still come."""
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
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
            quick = one.network.request(peer, peer_harness.RELAY, 5.0)
            assert quick.ok == membership.IndirectProbeResponse(False)
            released.set()
            assert waiting.result().ok == membership.IndirectProbeResponse(
                True
            )

    def test_failing_handler(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A fault in a handler is a fault of the request alone."""
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
        two.network.register_handler(
            membership.IndirectProbe, lambda peer, message: 1 / 0
        )
        fault = one.network.request(
            two.network.name, peer_harness.RELAY, 5.0
        ).error
        assert fault.kind == ports.PeerFaultKind.NO_ANSWER
        assert one.network.send(
            two.network.name, membership.MembershipUpdates(())
        )
        assert peer_harness.eventually(lambda: bool(two.received))


class TestNeighbours:
    """Guards against doubled, unbounded and silent connections."""

    def test_broadcast_and_crossed_connections(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """Two peers that connect at once agree on one connection."""
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
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
            assert peer_harness.eventually(receiver.heard_once)

    def test_bounded(self, start: Callable[..., peer_harness.Peer]) -> None:
        """A peer with all its connections taken refuses further ones."""
        crowded = start('crowded', connection_count=1)
        others = [start(f'other-{index}') for index in range(3)]
        peer_harness.introduce(crowded, *others)
        for other in others:
            other.network.connect(crowded.network.name)
        assert peer_harness.eventually(lambda: crowded.refused('crowded') == 1)
        assert len(crowded.network.neighbours()) == 2

    def test_short_connections_are_bounded(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """Requests to more peers than may be connected all succeed."""
        asking = start('asking', connection_count=1)
        others = [start(f'other-{index}') for index in range(8)]
        peer_harness.introduce(asking, *others)
        for other in others:
            answered = asking.network.request(
                other.network.name, peer_harness.RELAY, 5.0
            )
            assert answered.is_ok()

    def test_restarted_peer(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A peer that restarts under its name is connected again."""
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
        assert one.network.connect(two.network.name)
        two.network.stop()
        assert peer_harness.eventually(lambda: not one.network.neighbours())
        again = start('two')
        one.table.merge(dataclasses.replace(again.table.own, incarnation=2))
        assert one.network.connect(again.network.name)

    def test_stop_ends_threads(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A stopped network leaves no thread behind."""
        before = set(threading.enumerate())
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
        assert one.network.connect(two.network.name)
        one.network.request(two.network.name, peer_harness.RELAY, 5.0)
        one.network.stop()
        two.network.stop()
        assert peer_harness.eventually(
            lambda: set(threading.enumerate()) <= before
        )


class TestRefusals:
    """Guards against strangers and against frames that are not genuine."""

    def test_stranger(self, start: Callable[..., peer_harness.Peer]) -> None:
        """A peer with another secret is refused by both sides."""
        one, stranger = start('one'), start('two', secret='another')
        peer_harness.introduce(one, stranger)
        for source, receiver in ((one, stranger), (stranger, one)):
            name = receiver.network.name
            fault = source.network.request(name, peer_harness.RELAY, 5.0).error
            assert fault.kind == ports.PeerFaultKind.UNREACHABLE
            assert not source.network.connect(name)
            assert source.refused('stranger') >= 2
        assert not one.network.neighbours()

    def test_wrong_name(self, start: Callable[..., peer_harness.Peer]) -> None:
        """An address that another instance took over is not mistaken."""
        one, two = start('one'), start('two')
        one.table.merge(
            dataclasses.replace(
                two.table.own, name=state.InstanceName('three')
            )
        )
        fault = one.network.request(
            state.InstanceName('three'), peer_harness.RELAY, 5.0
        )
        assert fault.is_error()
        assert one.refused('wrong_name') == 1

    def test_replayed_handshake(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """The proof of an earlier handshake is refused."""
        one = start('one')
        earlier = RawInitiator(one, 'two')
        earlier.prove()
        replayed = RawInitiator(one, 'two')
        replayed.send(
            earlier.authenticator.proof(earlier.hello, earlier.challenge)
        )
        assert peer_harness.eventually(lambda: one.refused('stranger') == 1)

    def test_reflected_handshake(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """The acceptor's own proof is refused."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        raw.send(protocol.PeerProof(raw.challenge.proof))
        assert peer_harness.eventually(lambda: one.refused('stranger') == 1)

    def test_replayed_frame(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A repeated frame is not handled and ends the connection."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        frame = raw.prove().seal(
            raw.codec.encode(protocol.Frame(membership.MembershipUpdates(())))
        )
        raw.connection.send(frame)
        raw.connection.send(frame)
        assert peer_harness.eventually(lambda: one.refused('replayed') == 1)
        assert len(one.received) == 1
        assert peer_harness.eventually(lambda: not one.network.neighbours())

    @pytest.mark.parametrize('proved', [False, True])
    def test_oversized_frame(
        self, start: Callable[..., peer_harness.Peer], proved: bool
    ) -> None:
        """A frame above the limit ends the connection."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        if proved:
            raw.prove()
        raw.connection.send(b'x' * 5000)
        reason = 'oversized' if proved else 'malformed'
        assert peer_harness.eventually(lambda: one.refused(reason) == 1)
        assert peer_harness.eventually(lambda: not one.network.neighbours())

    def test_malformed_frame(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """A genuine frame that is no message is counted and dropped."""
        one = start('one')
        raw = RawInitiator(one, 'two')
        seal = raw.prove()
        raw.connection.send(seal.seal(b'\xff\x00'))
        genuine = raw.codec.encode(
            protocol.Frame(membership.MembershipUpdates(()))
        )
        raw.connection.send(seal.seal(genuine))
        assert peer_harness.eventually(lambda: len(one.received) == 1)
        assert one.refused('malformed') == 1

    def test_no_handshake(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """Bytes that are no handshake are counted."""
        one = start('one')
        raw_connection(one).send(b'anything')
        assert peer_harness.eventually(lambda: one.refused('malformed') == 1)
        with socket.create_connection(('127.0.0.1', one.address.port)) as raw:
            raw.sendall(b'not a websocket\r\n\r\n')
            raw.settimeout(10)
            raw.recv(1000)
        assert not one.network.neighbours()
