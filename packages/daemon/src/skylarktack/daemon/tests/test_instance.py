"""A whole instance whose steps fail, without a platform."""

from collections.abc import Iterator
import threading

from expression import Ok
import pytest

from skylarktack import daemon
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import configuration
from skylarktack.coordination import generation
from skylarktack.coordination import moves
from skylarktack.daemon import _calls
from skylarktack.daemon import _errors
from skylarktack.daemon import _limits

_ANY_PORT = state.Address('127.0.0.1', 0)

PATIENCE_S = 20.0

EMPTY_LIST = state.PlatformList((), ())


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
            stop=state.StopSettings(accept_ms=0),
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


class _FailsOnce:
    """A step that fails at its first run and reports the second one."""

    def __init__(self) -> None:
        self.has_run_again = threading.Event()
        self._has_failed = False

    def __call__(self, *arguments: object) -> None:
        """Run the step."""
        if not self._has_failed:
            self._has_failed = True
            _fail()
        self.has_run_again.set()


class TestBackgroundTasks:
    """Tasks of the instance that fail once."""

    @pytest.mark.parametrize(
        ('owner', 'step'),
        [
            (_limits.LimitsComponents, 'update'),
            (configuration.ConfigurationFollower, 'follow'),
            (moves.MoveCoordinator, 'read_records'),
        ],
    )
    def test_task_is_started_again(
        self,
        owner: type,
        step: str,
        instance: daemon.Instance,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against an instance that serves by stale objects."""
        fails_once = _FailsOnce()
        monkeypatch.setattr(
            transport.HttpObjectStore,
            'platform_list',
            lambda store: Ok(EMPTY_LIST),
        )
        monkeypatch.setattr(owner, step, fails_once)
        instance.start()
        assert fails_once.has_run_again.wait(PATIENCE_S)
        assert instance.status().metrics[_errors.UNEXPECTED_ERROR] == 1
