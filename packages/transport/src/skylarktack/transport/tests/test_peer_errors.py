"""Errors in the tasks of connections between instances."""

from collections.abc import Callable
from collections.abc import Iterator
import errno
import socket
from typing import Any

import pytest

from skylarktack.coordination import membership
from skylarktack.coordination import ports
from skylarktack.transport.tests import peer_harness


@pytest.fixture(name='start')
def _start() -> Iterator[Callable[..., peer_harness.Peer]]:
    yield from peer_harness.start_peers()


class TestTaskErrors:
    """Errors in the reader of a connection and in a request's task."""

    @pytest.mark.parametrize('initiates', (True, False))
    def test_error_of_a_reader(
        self, initiates: bool, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """Guards against a connection that stays in use without a reader."""
        one = start('one')
        two = start('two', inline_types=frozenset({membership.IndirectProbe}))
        peer_harness.introduce(one, two)
        two.network.register_handler(
            membership.IndirectProbe,
            lambda peer, message: peer_harness.Unregistered(),
        )
        opening, accepting = (two, one) if initiates else (one, two)
        assert opening.network.connect(accepting.network.name)
        assert peer_harness.eventually(lambda: bool(one.network.neighbours()))
        fault = one.network.request(
            two.network.name, peer_harness.RELAY, 5.0
        ).error
        assert fault.kind == ports.PeerFaultKind.NO_ANSWER
        assert peer_harness.eventually(lambda: not two.network.neighbours())
        assert two.errors.counts() == {'peer connections': 1}
        assert opening.network.connect(accepting.network.name)

    def test_answer_that_cannot_be_encoded(
        self, start: Callable[..., peer_harness.Peer]
    ) -> None:
        """Guards against a request that fails without a line."""
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
        two.network.register_handler(
            membership.IndirectProbe,
            lambda peer, message: peer_harness.Unregistered(),
        )
        fault = one.network.request(
            two.network.name, peer_harness.RELAY, 60.0
        ).error
        assert fault.message == 'answer not encoded'
        assert peer_harness.eventually(
            lambda: two.errors.counts() == {'peer requests': 1}
        )


class TestPeerListener:
    """Errors of accept."""

    def test_peers_are_accepted_after_an_error(
        self,
        start: Callable[..., peer_harness.Peer],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against an instance that never accepts a peer again."""
        accept = socket.socket.accept
        failures = [OSError(errno.EMFILE, 'Too many open files')]

        def fail_once(listening: socket.socket) -> tuple[socket.socket, Any]:
            if failures:
                raise failures.pop()
            return accept(listening)

        monkeypatch.setattr(socket.socket, 'accept', fail_once)
        one, two = start('one'), start('two')
        peer_harness.introduce(one, two)
        name = two.network.name
        assert any(one.network.connect(name) for _ in range(10))
        assert not failures
