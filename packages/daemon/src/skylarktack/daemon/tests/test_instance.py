"""A whole instance whose steps fail, without a platform."""

from collections.abc import Iterator

import pytest

from skylarktack import daemon
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import generation
from skylarktack.coordination import moves
from skylarktack.daemon import _calls
from skylarktack.daemon import _errors

_ANY_PORT = state.Address('127.0.0.1', 0)


def _fail(*arguments: object) -> None:
    raise ValueError('odd step')


@pytest.fixture(name='instance')
def _instance() -> Iterator[daemon.Instance]:
    instance = daemon.Instance(
        state.InstanceSettings(
            name=state.InstanceName('entry-1'),
            failure_domain=state.FailureDomain('domain-0'),
            region='region-1',
            listen=_ANY_PORT,
            operator_listen=_ANY_PORT,
            secret='secret of the test',
            operator_token_sha256='',
            store=state.StoreSettings(state.Address('127.0.0.1', 9)),
            peer=state.PeerSettings(_ANY_PORT),
            generation=state.GenerationSettings(drain_ms=100),
        )
    )
    yield instance
    instance.stop()


class TestStop:
    """A planned stop, one step of which fails."""

    @pytest.mark.parametrize(
        ('owner', 'step'),
        [
            (generation.GenerationService, 'drain'),
            (transport.WsgiServer, 'stop'),
            (moves.MoveCoordinator, 'stop'),
            (_calls.CallComponents, 'stop'),
            (daemon.Peers, 'leave'),
            (transport.HttpObjectStore, 'close'),
        ],
    )
    def test_later_steps_are_done(
        self,
        owner: type,
        step: str,
        instance: daemon.Instance,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a stop that ends at the first step that fails."""
        stopped: list[daemon.Peers] = []

        def stop(peers: daemon.Peers) -> None:
            stopped.append(peers)

        instance.start()
        with monkeypatch.context() as patch:
            patch.setattr(owner, step, _fail)
            patch.setattr(daemon.Peers, 'stop', stop)
            instance.stop()
        assert len(stopped) == 1
        counts = instance.status().metrics
        assert counts[_errors.UNEXPECTED_ERROR] >= 1
