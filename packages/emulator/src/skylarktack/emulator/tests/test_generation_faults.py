"""Generations over faults of real processes."""

from collections.abc import Callable
import signal
import threading
import time

import pytest

from skylarktack import emulator
from skylarktack import state

KEY = emulator.organisation_key('small')
TOKEN_COUNT = 60

#: A fault done to the engine that runs the generation.
Fault = Callable[[emulator.Deployment, int], None]


def _kill(deployment: emulator.Deployment, index: int) -> None:
    deployment.engines[index].kill()


def _freeze(deployment: emulator.Deployment, index: int) -> None:
    engine = deployment.engines[index]
    engine.signal(signal.SIGSTOP)
    # The engine comes back after the failover with its attempt still there.
    threading.Timer(2.5, engine.signal, (signal.SIGCONT,)).start()


def _silence(deployment: emulator.Deployment, index: int) -> None:
    deployment.engines[index].control(silence_open=True)


def _error(deployment: emulator.Deployment, index: int) -> None:
    deployment.engines[index].control(error_after_count=1)


def _close(deployment: emulator.Deployment, index: int) -> None:
    deployment.engines[index].control(close_after_count=1)


def _cross(deployment: emulator.Deployment, index: int) -> None:
    deployment.engines[index].control(cross_answers=True, repeat_tokens=True)


def _restart(deployment: emulator.Deployment, index: int) -> None:
    deployment.restart_engine(index)


FAULTS = (_kill, _freeze, _silence, _error, _close, _cross, _restart)


class _Reader(threading.Thread):
    """A caller in a thread of its own."""

    def __init__(
        self,
        addresses: list[state.Address],
        prompt: str,
        sends_delivered: bool = True,
    ) -> None:
        super().__init__()
        self._addresses = addresses
        self._sends_delivered = sends_delivered
        self.prompt = prompt
        self.start()

    def run(self) -> None:
        """Read the answer over as many connections as it takes."""
        self.received = emulator.generate_resumed(
            self._addresses,
            'digest',
            KEY,
            {'prompt': self.prompt, 'max_tokens': TOKEN_COUNT},
            self._sends_delivered,
        )

    def check(self) -> emulator.ResumedAnswer:
        """Compare the answer token for token."""
        self.join()
        answer = self.received.answer
        assert answer.error is None, answer.error
        assert answer.end is not None
        assert answer.text == emulator.expected_text(self.prompt, TOKEN_COUNT)
        return self.received


def _running_engine(deployment: emulator.Deployment) -> int:
    waiting = threading.Event()
    for _ in range(400):
        for index, engine in enumerate(deployment.engines):
            if not engine.is_running:
                continue
            seen = engine.read_json('/control/running')
            if seen['running_count'] and seen['generated_count'] > 5:
                return index
        waiting.wait(0.02)
    raise AssertionError('no engine ran the generation')


class TestEngineFaults:
    """Guards against faults that only sockets and processes show."""

    @pytest.mark.parametrize('fault', FAULTS)
    def test_answer_is_whole(self, fault: Fault) -> None:
        """The caller's one connection brings the whole answer."""
        shape = emulator.DeploymentShape(
            instance_count=1, engine_count=2, service_count=0
        )
        with emulator.Deployment(shape) as deployment:
            reader = _Reader([deployment.instances[0].address], 'a week')
            fault(deployment, _running_engine(deployment))
            assert reader.check().connection_count == 1

    def test_cut_link(self) -> None:
        """A link that loses all bytes is left for another engine."""
        shape = emulator.DeploymentShape(
            instance_count=1, engine_count=2, service_count=0
        )
        with emulator.Deployment(shape) as deployment:
            links = [
                emulator.CuttableLink(engine.address)
                for engine in deployment.engines
            ]
            for engine, link in zip(deployment.engines, links, strict=True):
                deployment.links[engine.name] = link.address
            deployment.publish_list()
            # The instance reads the list once a second.
            time.sleep(1.5)
            reader = _Reader([deployment.instances[0].address], 'a week')
            links[_running_engine(deployment)].cut()
            assert reader.check().connection_count == 1


class TestInstanceFaults:
    """Guards against streams that end with their instance."""

    @pytest.mark.parametrize('sends_delivered', (False, True))
    @pytest.mark.parametrize('engine_too', (False, True))
    def test_killed_while_serving(
        self, engine_too: bool, sends_delivered: bool
    ) -> None:
        """The caller's event id is enough on another instance."""
        shape = emulator.DeploymentShape(
            instance_count=2, engine_count=2, service_count=0
        )
        with emulator.Deployment(shape) as deployment:
            addresses = [each.address for each in deployment.instances]
            reader = _Reader(addresses, 'a week', sends_delivered)
            index = _running_engine(deployment)
            if engine_too:
                deployment.engines[index].kill()
            deployment.instances[0].kill()
            assert reader.check().connection_count == 2

    def test_planned_stop(self) -> None:
        """Streams that outlast the drain continue on another instance."""
        shape = emulator.DeploymentShape(
            instance_count=2,
            engine_count=2,
            service_count=0,
            overrides={'generation': {'drain_ms': 200}},
        )
        with emulator.Deployment(shape) as deployment:
            addresses = [each.address for each in deployment.instances]
            readers = [_Reader(addresses, f'week {at}') for at in range(8)]
            _running_engine(deployment)
            deployment.instances[0].stop()
            for reader in readers:
                assert reader.check().handover_count == 1
            assert deployment.instances[0].wait_stopped() == 0
            seen = [
                engine.read_json('/control/running')['generated_count']
                for engine in deployment.engines
            ]
            # No token was generated twice.
            assert sum(seen) == 8 * TOKEN_COUNT
