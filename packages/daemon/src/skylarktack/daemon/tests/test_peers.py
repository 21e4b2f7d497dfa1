"""Peer network and membership over real connections."""

from collections.abc import Iterator
import threading
import time

import pytest

from skylarktack import daemon
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import membership
from skylarktack.coordination import ports

#: Maximum time for the instances to connect.
CONNECT_TIMEOUT_S = 30.0

#: Delay of the neighbour's message handler.
HANDLER_DELAY_S = 0.1


def _make_peers(name: str) -> daemon.Peers:
    any_port = state.Address('127.0.0.1', 0)
    settings = state.InstanceSettings(
        name=state.InstanceName(name),
        failure_domain=state.FailureDomain('domain-0'),
        region='region-1',
        listen=any_port,
        operator_listen=any_port,
        secret='secret of the test',
        operator_token_sha256='',
        store=state.StoreSettings(any_port),
        peer=state.PeerSettings(any_port),
    )
    return daemon.Peers(
        settings,
        ports.SystemClock(),
        fakes.MemoryMetrics(),
        fakes.DirectTaskRunner(),
    )


@pytest.fixture(name='pair')
def _pair() -> Iterator[tuple[daemon.Peers, daemon.Peers]]:
    """Yield two connected instances that are neighbours."""
    pair = _make_peers('entry-1'), _make_peers('entry-2')
    listed = tuple(
        state.ListedInstance(
            name=peers.network.name,
            peer_address=peers.address,
            failure_domain=state.FailureDomain('domain-0'),
            region='region-1',
        )
        for peers in pair
    )
    for peers in pair:
        peers.membership.apply_platform_list(listed)
        peers.start()
    deadline_s = time.monotonic() + CONNECT_TIMEOUT_S
    while not all(peers.network.neighbours() for peers in pair):
        assert time.monotonic() < deadline_s
        time.sleep(0.02)
    yield pair
    for peers in pair:
        peers.stop()


class TestLeaveAnnouncement:
    """Guards against a planned stop that peers take for a failure."""

    def test_leave_waits_for_the_neighbours(
        self, pair: tuple[daemon.Peers, daemon.Peers]
    ) -> None:
        """leave() returns only after neighbours handled the announcement.

        A neighbour whose connection closes before that sees a lost
        connection and cannot forward the announcement to others.
        """
        leaving, staying = pair
        handled: list[object] = []

        def _handle(peer: state.InstanceName, message: object) -> None:
            threading.Event().wait(HANDLER_DELAY_S)
            handled.append(message)

        staying.network.register_handler(membership.MembershipUpdates, _handle)
        leaving.leave()
        assert handled
