"""Generations over faults of real processes."""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import http.client
import json
import signal
import threading

import pytest

from skylarktack import emulator
from skylarktack import state
from skylarktack import transport

KEY = emulator.organisation_key('small')
TOKEN_COUNT = 80

#: Tokens that a generation has when a fault is done to its engine.
RUN_UP_COUNT = 5

#: A fault done to the engine that runs the generation.
Fault = Callable[[emulator.Deployment, int], None]


def _kill(deployment: emulator.Deployment, index: int) -> None:
    deployment.engines[index].kill()


def _freeze(deployment: emulator.Deployment, index: int) -> None:
    engine = deployment.engines[index]
    engine.signal(signal.SIGSTOP)
    # The engine comes back after the failover with its attempt still there.
    threading.Timer(1.5, engine.signal, (signal.SIGCONT,)).start()


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
        request_id: str | None = None,
    ) -> None:
        super().__init__()
        self._request_id = request_id
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
            {
                'prompt': self.prompt,
                'max_tokens': TOKEN_COUNT,
                'request_id': self._request_id,
            },
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


@pytest.fixture(scope='module')
def deployment() -> Iterator[emulator.Deployment]:
    """Serve all cases, since starting processes takes most of the time."""
    shape = emulator.DeploymentShape(
        instance_count=7,
        engine_count=3,
        service_count=0,
        step_ms=10.0,
        overrides={'generation': {'drain_ms': 100}},
    )
    with emulator.Deployment(shape) as started:
        yield started


def _running_engine(deployment: emulator.Deployment) -> int:
    """Return the engine that runs a paused generation."""
    waiting = threading.Event()
    for _ in range(400):
        for index, engine in enumerate(deployment.engines):
            if engine.read_json('/control/running')['paused_count']:
                return index
        waiting.wait(0.02)
    raise AssertionError('no engine ran the generation')


@contextlib.contextmanager
def _paused_attempts(deployment: emulator.Deployment) -> Iterator[None]:
    """Let attempts that begin in the block wait until its end.

    A test that is slower than an engine would find the generation complete.
    """
    _pause_attempts(deployment, RUN_UP_COUNT)
    try:
        yield
    finally:
        _pause_attempts(deployment, 0)


def _pause_attempts(deployment: emulator.Deployment, after_count: int) -> None:
    # A frozen engine answers late; the others must not wait for it.
    with concurrent.futures.ThreadPoolExecutor() as pool:
        for engine in deployment.engines:
            pool.submit(engine.control, pause_after_count=after_count)


def _repair(deployment: emulator.Deployment) -> None:
    """End all faults of engines."""
    for index, engine in enumerate(deployment.engines):
        engine.signal(signal.SIGCONT)
        if not engine.is_running:
            deployment.restart_engine(index)
        deployment.engines[index].control(
            error_after_count=0,
            close_after_count=0,
            cross_answers=False,
            repeat_tokens=False,
        )


def _ready_instances(
    deployment: emulator.Deployment,
) -> list[emulator.EmulatedProcess]:
    return [each for each in deployment.instances if each.is_running]


class TestPausedAttempts:
    """Guards against a fault that comes after the end of a generation."""

    def test_generation_waits_for_a_slow_test(
        self, deployment: emulator.Deployment
    ) -> None:
        """A test that takes longer than the generation finds it running."""
        with _paused_attempts(deployment):
            reader = _Reader([deployment.instances[-1].address], 'a week')
            index = _running_engine(deployment)
            whole_s = TOKEN_COUNT * deployment.shape.step_ms / 1000
            threading.Event().wait(2 * whole_s)
            assert _running_engine(deployment) == index
            assert _generated_count(deployment) == RUN_UP_COUNT
        assert reader.check().connection_count == 1


class TestEngineFaults:
    """Guards against faults that only sockets and processes show."""

    @pytest.mark.parametrize('fault', FAULTS)
    def test_answer_is_whole(
        self, deployment: emulator.Deployment, fault: Fault
    ) -> None:
        """The caller's one connection brings the whole answer."""
        with _paused_attempts(deployment):
            reader = _Reader([deployment.instances[-1].address], 'a week')
            fault(deployment, _running_engine(deployment))
        try:
            assert reader.check().connection_count == 1
        finally:
            _repair(deployment)

    def test_cut_link(self, deployment: emulator.Deployment) -> None:
        """A link that loses all bytes is left for another engine."""
        links: list[emulator.CuttableLink] = []
        for engine in deployment.engines:
            links.append(emulator.CuttableLink(engine.address))
            deployment.links[engine.name] = links[-1].address
        # The new instance must never learn the addresses behind the links.
        deployment.publish_list()
        instance = deployment.start_instance(20)
        emulator.wait_ready(instance)
        deployment.instances.remove(instance)
        deployment.links.clear()
        try:
            with _paused_attempts(deployment):
                reader = _Reader([instance.address], 'a week')
                links[_running_engine(deployment)].cut()
            assert reader.check().connection_count == 1
        finally:
            instance.kill()
            instance.wait_stopped()
            deployment.publish_list()


class TestCallerLoss:
    """Guards against engine slots held for callers who left."""

    def test_slot_is_freed(self, deployment: emulator.Deployment) -> None:
        """The engine's attempt ends after its caller disconnected."""
        address = deployment.instances[-1].address
        connection = http.client.HTTPConnection(address.host, address.port)
        with _paused_attempts(deployment):
            connection.request(
                'POST',
                '/v1/generate/digest',
                json.dumps({'prompt': 'a week', 'max_tokens': 1_000_000}),
                {'Authorization': f'Bearer {KEY}'},
            )
            connection.getresponse().read(100)
            engine = deployment.engines[_running_engine(deployment)]
        connection.close()
        waiting = threading.Event()
        for _ in range(400):
            if not engine.read_json('/control/running')['running_count']:
                return
            waiting.wait(0.05)
        raise AssertionError('the attempt was not cancelled')


class TestInstanceFaults:
    """Guards against streams that end with their instance."""

    @pytest.mark.parametrize('sends_delivered', (False, True))
    @pytest.mark.parametrize('engine_too', (False, True))
    def test_killed_while_serving(
        self,
        deployment: emulator.Deployment,
        engine_too: bool,
        sends_delivered: bool,
    ) -> None:
        """The caller's event id is enough on another instance."""
        instances = _ready_instances(deployment)
        addresses = [each.address for each in instances[:2]]
        with _paused_attempts(deployment):
            reader = _Reader(addresses, 'a week', sends_delivered)
            index = _running_engine(deployment)
            if engine_too:
                deployment.engines[index].kill()
            instances[0].kill()
        try:
            assert reader.check().connection_count == 2
        finally:
            _repair(deployment)

    def test_fetch_and_cancel_through_a_peer(
        self, deployment: emulator.Deployment
    ) -> None:
        """The request id leads any instance to the one that minted it."""
        instances = _ready_instances(deployment)
        one, two = [each.address for each in instances[:2]]
        body: dict[str, object] = {'prompt': 'a week', 'max_tokens': 20}
        posted = emulator.generate(one, 'digest', KEY, body)
        fetched = emulator.fetch_generation(two, posted.request_id, KEY)
        assert fetched.tokens == posted.tokens
        assert fetched.end == posted.end
        other = emulator.organisation_key('large')
        hidden = emulator.fetch_generation(two, posted.request_id, other)
        assert hidden.status == 404
        long_id = f'r-{instances[0].name}-{"0" * 32}'
        with _paused_attempts(deployment):
            reader = _Reader([one], 'a week', request_id=long_id)
            _running_engine(deployment)
            cancelled = transport.http_call(
                two,
                'DELETE',
                f'/v1/generations/{long_id}',
                None,
                {'Authorization': f'Bearer {KEY}'},
                5.0,
            )
        assert cancelled.ok.status == 200
        reader.join()
        error = reader.received.answer.error
        assert error is not None
        assert error['code'] == 'cancelled'

    def test_planned_stop(self, deployment: emulator.Deployment) -> None:
        """Streams that outlast the drain continue on another instance."""
        instances = _ready_instances(deployment)
        addresses = [each.address for each in instances[:2]]
        # Attempts that the cases before have cancelled end a moment later;
        # their last tokens are not counted here.
        _await_running(deployment, 0)
        before = _generated_count(deployment)
        with _paused_attempts(deployment):
            readers = [_Reader(addresses, f'week {at}') for at in range(8)]
            # A stream that begins after the order to stop goes to the other
            # instance at once and is not handed over.
            _await_running(deployment, len(readers))
            instances[0].stop()
        for reader in readers:
            assert reader.check().handover_count == 1
        assert instances[0].wait_stopped() == 0
        # No token was generated twice.
        generated_count = _generated_count(deployment) - before
        assert generated_count == 8 * TOKEN_COUNT


def _await_running(deployment: emulator.Deployment, count: int) -> None:
    """Wait until the engines run a number of attempts."""
    waiting = threading.Event()
    for _ in range(400):
        running_count = 0
        for engine in deployment.engines:
            running_count += engine.read_json('/control/running')[
                'running_count'
            ]
        if running_count == count:
            return
        waiting.wait(0.05)
    raise AssertionError(f'the engines never ran {count} attempts')


def _generated_count(deployment: emulator.Deployment) -> int:
    found = 0
    for engine in deployment.engines:
        found += engine.read_json('/control/running')['generated_count']
    return found
