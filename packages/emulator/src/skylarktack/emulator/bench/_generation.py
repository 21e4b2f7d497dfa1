"""Pause that callers see when an engine or an instance is lost."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import signal
import threading
import time

from skylarktack import emulator
from skylarktack import state
from skylarktack.emulator.bench import _figures
from skylarktack.emulator.bench import _generation_cost

_KEY = emulator.organisation_key('large')

#: Time that streams run before the fault.
RUN_UP_S = 0.4

#: Longest pause that any caller may see.
PAUSE_LIMIT_MS = 5000.0


@dataclasses.dataclass(frozen=True)
class _Load:
    """Streams of one run."""

    #: Open streams.
    stream_count: int

    #: Time of one step of an engine.
    step_ms: float

    #: Tokens of each answer.
    token_count: int

    #: Runs of each fault.
    run_count: int


_LOADS = (
    _Load(1, 20.0, 70, 3),
    _Load(100, 68.0, 50, 1),
    # The slower pace leaves processor time to the callers, who share the
    # machine.
    _Load(500, 136.0, 30, 1),
)


@dataclasses.dataclass(frozen=True)
class _Fault:
    """A fault and the stated targets of its pause."""

    #: Name in the figures.
    name: str

    #: Causes the fault and returns the name of the engine that it hits, or
    #: None if it hits all streams.
    cause: Callable[[emulator.Deployment], str | None]

    #: Target of the median, or None.
    p50_ms: float | None

    #: Target of the 95th percentile.
    p95_ms: float

    #: Streams above which it is left out to keep the area short.
    most_streams: int = 500


@dataclasses.dataclass(frozen=True)
class _Result:
    """What one run brought."""

    #: Longest pause of each stream that the fault hit.
    pauses_ms: list[float]

    #: Answers that were not whole.
    wrong_count: int

    #: Tokens that engines generated beyond the answers, as a share; None if
    #: an engine was lost with its count.
    again_share: float | None


def run(seed: int) -> Iterator[_figures.Figure]:
    """Yield the figures of the area ``generation``."""
    yield from _generation_cost.run(seed)
    for load in _LOADS:
        yield from _measure_load(seed, load)


def _measure_load(seed: int, load: _Load) -> Iterator[_figures.Figure]:
    shape = emulator.DeploymentShape(
        instance_count=2,
        engine_count=4,
        service_count=0,
        step_ms=load.step_ms,
        slot_count=max(32, load.stream_count),
        overrides={
            'caller': {
                'thread_count': load.stream_count + 32,
                'generation_count': load.stream_count + 16,
            }
        },
    )
    with emulator.Deployment(shape) as deployment:
        for fault in _FAULTS:
            if load.stream_count > fault.most_streams:
                continue
            yield from _measure(deployment, seed, load, fault)


def _measure(
    deployment: emulator.Deployment, seed: int, load: _Load, fault: _Fault
) -> Iterator[_figures.Figure]:
    pauses_ms: list[float] = []
    wrong_count = 0
    shares: list[float] = []
    for number in range(load.run_count):
        result = _run_once(deployment, load, fault, number)
        pauses_ms.extend(result.pauses_ms)
        wrong_count += result.wrong_count
        if result.again_share is not None:
            shares.append(result.again_share)
        _repair(deployment)
    name = f'generation.{fault.name}.streams_{load.stream_count}'
    samples = len(pauses_ms)
    for label, share, target in (
        ('p50', 0.5, fault.p50_ms),
        ('p95', 0.95, fault.p95_ms),
        ('max', 1.0, PAUSE_LIMIT_MS),
    ):
        value_ms = _figures.percentile(pauses_ms, share)
        yield _figures.Figure(
            f'{name}.pause_{label}', value_ms, 'ms', seed, samples, target
        )
    yield _figures.Figure(
        f'{name}.wrong', wrong_count, 'answers', seed, samples, 0
    )
    if shares:
        yield _figures.Figure(
            f'{name}.generated_again',
            sum(shares) / len(shares),
            'share',
            seed,
            samples,
        )


def _run_once(
    deployment: emulator.Deployment, load: _Load, fault: _Fault, number: int
) -> _Result:
    addresses = [
        each.address for each in deployment.instances if each.is_running
    ]
    received: list[emulator.ResumedAnswer | None] = [None] * load.stream_count
    before = _generated_count(deployment)
    readers: list[threading.Thread] = []
    for index in range(load.stream_count):
        reader = threading.Thread(
            target=_read,
            args=(addresses, f'week {number} {index}', load, received, index),
        )
        reader.start()
        readers.append(reader)
    _wait_all_started(deployment, load, before)
    time.sleep(RUN_UP_S)
    hit = fault.cause(deployment)
    fault_s = time.monotonic()
    for reader in readers:
        reader.join()
    pauses_ms: list[float] = []
    wrong_count = 0
    for index, resumed in enumerate(received):
        expected = emulator.expected_text(
            f'week {number} {index}', load.token_count
        )
        if resumed is None or resumed.answer.text != expected:
            wrong_count += 1
            continue
        if _was_hit(resumed.answer, hit, fault_s):
            pauses_ms.append(_pause_ms(resumed.answer, fault_s))
    again_share: float | None = None
    if fault.name not in _LOSES_COUNT:
        needed = load.stream_count * load.token_count
        made = _generated_count(deployment) - before
        again_share = (made - needed) / needed
    return _Result(pauses_ms, wrong_count, again_share)


def _wait_all_started(
    deployment: emulator.Deployment, load: _Load, before: int
) -> None:
    waiting = threading.Event()
    for _ in range(400):
        if _generated_count(deployment) - before > load.stream_count * 8:
            return
        waiting.wait(0.05)
    raise RuntimeError('the streams did not start')


def _read(
    addresses: list[state.Address],
    prompt: str,
    load: _Load,
    received: list[emulator.ResumedAnswer | None],
    index: int,
) -> None:
    received[index] = emulator.generate_resumed(
        addresses,
        'digest',
        _KEY,
        {'prompt': prompt, 'max_tokens': load.token_count},
    )


def _was_hit(
    answer: emulator.ReceivedAnswer, engine: str | None, fault_s: float
) -> bool:
    if answer.arrivals_s[-1] < fault_s:
        return False
    if engine is None:
        return True
    last_id = ''
    for arrived_s, event_id in zip(
        answer.arrivals_s, answer.event_ids, strict=True
    ):
        if arrived_s >= fault_s:
            break
        last_id = event_id
    return f'.{engine}/' in last_id


def _pause_ms(answer: emulator.ReceivedAnswer, fault_s: float) -> float:
    longest_s = 0.0
    for before_s, after_s in zip(
        answer.arrivals_s, answer.arrivals_s[1:], strict=False
    ):
        if after_s < fault_s:
            continue
        longest_s = max(longest_s, after_s - before_s)
    return longest_s * 1000


def _busiest(deployment: emulator.Deployment) -> emulator.EmulatedProcess:
    counts: list[int] = []
    for engine in deployment.engines:
        counts.append(engine.read_json('/control/running')['running_count'])
    return deployment.engines[counts.index(max(counts))]


def _kill_engine(deployment: emulator.Deployment) -> str | None:
    engine = _busiest(deployment)
    engine.kill()
    return engine.name


def _silence_engine(deployment: emulator.Deployment) -> str | None:
    engine = _busiest(deployment)
    engine.control(silence_open=True)
    return engine.name


def _freeze_engine(deployment: emulator.Deployment) -> str | None:
    engine = _busiest(deployment)
    engine.signal(signal.SIGSTOP)
    return engine.name


def _kill_instance(deployment: emulator.Deployment) -> str | None:
    for instance in deployment.instances:
        if instance.is_running:
            instance.kill()
            break
    return None


def _repair(deployment: emulator.Deployment) -> None:
    for index, engine in enumerate(deployment.engines):
        engine.signal(signal.SIGCONT)
        if not engine.is_running:
            deployment.restart_engine(index)
    running = [each for each in deployment.instances if each.is_running]
    if len(running) < 2:
        index = len(deployment.instances)
        emulator.wait_ready(deployment.start_instance(index))


def _generated_count(deployment: emulator.Deployment) -> int:
    found = 0
    for engine in deployment.engines:
        if not engine.is_running:
            continue
        seen = engine.read_json('/control/running')
        found += seen['generated_count']
    return found


_FAULTS = (
    _Fault('closed', _kill_engine, 150.0, 500.0),
    _Fault('silence', _silence_engine, None, 2000.0, 100),
    _Fault('frozen', _freeze_engine, None, 2000.0, 1),
    _Fault('instance_killed', _kill_instance, None, 1500.0),
)

#: Faults after which an engine cannot tell what it generated.
_LOSES_COUNT = ('closed', 'frozen')
