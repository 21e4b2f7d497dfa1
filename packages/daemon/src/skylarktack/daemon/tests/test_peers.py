"""Peers of one instance over real connections."""

from collections.abc import Iterator
import threading
import time

import pytest

from skylarktack import daemon
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import membership
from skylarktack.coordination import ports

#: Longest wait for something that has to happen.
PATIENCE_S = 30.0

#: Time that the neighbour takes to handle a message.
HANDLING_S = 0.1


def _peers(name: str) -> daemon.Peers:
    anywhere = state.Address('127.0.0.1', 0)
    settings = state.InstanceSettings(
        name=state.InstanceName(name),
        failure_domain=state.FailureDomain('domain-0'),
        region='region-1',
        listen=anywhere,
        operator_listen=anywhere,
        secret='secret of the test',
        operator_token_sha256='',
        store=state.StoreSettings(anywhere),
        peer=state.PeerSettings(anywhere),
    )
    return daemon.Peers(settings, ports.SystemClock(), fakes.MemoryMetrics())


@pytest.fixture(name='pair')
def _pair() -> Iterator[tuple[daemon.Peers, daemon.Peers]]:
    """Return two instances that are neighbours."""
    pair = _peers('entry-1'), _peers('entry-2')
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
    end_s = time.monotonic() + PATIENCE_S
    while not all(peers.network.neighbours() for peers in pair):
        assert time.monotonic() < end_s
        time.sleep(0.02)
    yield pair
    for peers in pair:
        peers.stop()


class TestFarewell:
    """Guards against a planned stop that is taken for a failure."""

    def test_neighbours_know_before_the_end(
        self, pair: tuple[daemon.Peers, daemon.Peers]
    ) -> None:
        """The farewell was handled when the connections are closed.

        A neighbour that has not handled it yet finds the connections closed
        and can tell no other one of the stop.
        """
        leaving, staying = pair
        handled: list[object] = []

        def _handle(peer: state.InstanceName, message: object) -> None:
            threading.Event().wait(HANDLING_S)
            handled.append(message)

        staying.network.register_handler(membership.MembershipUpdates, _handle)
        leaving.leave()
        assert handled
