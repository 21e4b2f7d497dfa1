"""Latency of lookups through one instance, with bad targets."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import signal
import socket
import threading
import time
from typing import Any

from skylarktack import emulator
from skylarktack import state
from skylarktack.emulator.bench import _figures
from skylarktack.emulator.bench import _streams

#: Lookups of each measurement.
LOOKUP_COUNT = 1000

#: Most time that one measurement may take; without hedges a frozen target
#: costs a time limit for each lookup that meets it.
MEASURE_LIMIT_S = 5.0

#: Generations that run alongside.
GENERATION_COUNT = 500

_KEY = emulator.organisation_key('large')
_PLAIN = {'lookup': {'hedges': False, 'ejects': False}}


@dataclasses.dataclass(frozen=True)
class _Measured:
    """Lookups of one measurement."""

    durations_ms: list[float]
    failed_count: int
    extra_share: float

    def percentile(self, share: float) -> float:
        return _figures.percentile(self.durations_ms, share)


class _ExtraCounter:
    """Counts retries and hedges from the instances' statsd packets."""

    def __init__(self) -> None:
        self.count = 0
        self._socket: socket.socket | None = None

    @property
    def port(self) -> int:
        """Where instances send; bound at the first use."""
        if self._socket is None:
            self._socket = socket.socket(type=socket.SOCK_DGRAM)
            self._socket.bind(('127.0.0.1', 0))
            threading.Thread(target=self._run, daemon=True).start()
        port: int = self._socket.getsockname()[1]
        return port

    def _run(self) -> None:
        assert self._socket is not None
        while True:
            packet = self._socket.recv(65_536)
            for name in (b'lookup.hedges:', b'lookup.retries:'):
                if name in packet:
                    self.count += 1


_EXTRA = _ExtraCounter()


def run(seed: int) -> Iterator[_figures.Figure]:
    """Yield the figures of the area ``lookup``."""
    with _deployment({}) as deployment:
        yield from _added(seed, deployment)
        healthy = _measure(deployment)
        slow = _with_fault(deployment, _set_slow, _set_quick)
        time.sleep(2.5)
        frozen = _with_fault(deployment, _freeze, _thaw)
        time.sleep(2.5)
        dead = _with_fault(deployment, _kill, _nothing)
    with _deployment(_PLAIN) as deployment:
        plain_slow = _with_fault(deployment, _set_slow, _set_quick)
        plain_frozen = _with_fault(deployment, _freeze, _thaw)
    yield from _figures_of(seed, 'healthy', healthy, None)
    yield from _figures_of(seed, 'slow', slow, None)
    yield from _figures_of(seed, 'frozen', frozen, healthy)
    yield from _figures_of(seed, 'dead', dead, None)
    yield from _figures_of(seed, 'plain.slow', plain_slow, None, False)
    yield from _figures_of(seed, 'plain.frozen', plain_frozen, None, False)
    with _deployment({}) as deployment, _generations(deployment):
        alongside = _measure(deployment)
    yield from _figures_of(seed, 'generations', alongside, None)


def _deployment(overrides: dict[str, Any]) -> emulator.Deployment:
    caller = {
        'thread_count': GENERATION_COUNT + 32,
        'generation_count': GENERATION_COUNT,
    }
    shape = emulator.DeploymentShape(
        instance_count=1,
        engine_count=4,
        service_count=4,
        step_ms=68.0,
        slot_count=GENERATION_COUNT,
        overrides={
            'caller': caller,
            'statsd': {'host': '127.0.0.1', 'port': _EXTRA.port},
            **overrides,
        },
    )
    return emulator.Deployment(shape)


def _figures_of(
    seed: int,
    name: str,
    measured: _Measured,
    healthy: _Measured | None,
    is_protected: bool = True,
) -> Iterator[_figures.Figure]:
    count = len(measured.durations_ms)
    prefix = f'lookup.{name}'
    p99_target = None
    if healthy is not None:
        p99_target = round(3 * healthy.percentile(0.99), 3)
    for label, value, unit, target in (
        ('p50', measured.percentile(0.5), 'ms', None),
        ('p99', measured.percentile(0.99), 'ms', p99_target),
        ('failed', float(measured.failed_count), 'lookups', None),
        (
            'extra_share',
            measured.extra_share,
            'share',
            0.1 if is_protected else None,
        ),
    ):
        yield _figures.Figure(
            f'{prefix}.{label}', value, unit, seed, count, target
        )


def _added(
    seed: int, deployment: emulator.Deployment
) -> Iterator[_figures.Figure]:
    direct_ms: list[float] = []
    through_ms: list[float] = []
    service = deployment.services[0].address
    instance = deployment.instances[0].address
    with (
        contextlib.closing(_connect(service)) as direct,
        contextlib.closing(_connect(instance)) as through,
    ):
        # Alternating calls see the same state of the machine.
        for _ in range(LOOKUP_COUNT):
            direct_ms.append(_call_ms(direct, '/items/7')[0])
            through_ms.append(_call_ms(through, '/v1/call/stock/items/7')[0])
    for share, name, target in ((0.5, 'p50', 1.0), (0.99, 'p99', 4.0)):
        added_ms = _figures.percentile(
            through_ms, share
        ) - _figures.percentile(direct_ms, share)
        yield _figures.Figure(
            f'lookup.added_{name}', added_ms, 'ms', seed, LOOKUP_COUNT, target
        )


def _with_fault(
    deployment: emulator.Deployment,
    begin: Callable[[emulator.EmulatedProcess], None],
    end: Callable[[emulator.EmulatedProcess], None],
) -> _Measured:
    target = deployment.services[0]
    begin(target)
    try:
        return _measure(deployment)
    finally:
        end(target)


def _set_slow(process: emulator.EmulatedProcess) -> None:
    process.control(delay_ms=300)


def _set_quick(process: emulator.EmulatedProcess) -> None:
    process.control(delay_ms=0)


def _freeze(process: emulator.EmulatedProcess) -> None:
    process.signal(signal.SIGSTOP)


def _thaw(process: emulator.EmulatedProcess) -> None:
    process.signal(signal.SIGCONT)


def _kill(process: emulator.EmulatedProcess) -> None:
    process.kill()


def _nothing(process: emulator.EmulatedProcess) -> None:
    """Leave the target as it is."""


def _measure(deployment: emulator.Deployment) -> _Measured:
    durations_ms: list[float] = []
    failed_count = 0
    address = deployment.instances[0].address
    before_count = _EXTRA.count
    end_s = time.monotonic() + MEASURE_LIMIT_S
    with contextlib.closing(_connect(address)) as connection:
        for _ in range(LOOKUP_COUNT):
            if time.monotonic() > end_s:
                break
            duration_ms, status = _call_ms(
                connection, '/v1/call/stock/items/7'
            )
            durations_ms.append(duration_ms)
            failed_count += status != 200
    # Statsd packets arrive a little after the answers.
    time.sleep(0.2)
    extra_count = _EXTRA.count - before_count
    return _Measured(
        durations_ms, failed_count, extra_count / len(durations_ms)
    )


def _connect(address: state.Address) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(address.host, address.port)


def _call_ms(
    connection: http.client.HTTPConnection, path: str
) -> tuple[float, int]:
    started_s = time.perf_counter()
    connection.request(
        'GET', path, headers={'Authorization': f'Bearer {_KEY}'}
    )
    response = connection.getresponse()
    response.read()
    return (time.perf_counter() - started_s) * 1000, response.status


@contextlib.contextmanager
def _generations(deployment: emulator.Deployment) -> Iterator[None]:
    """Keep many generations running."""
    stopping = threading.Event()
    counts = [0] * GENERATION_COUNT
    readers: list[threading.Thread] = []
    for index in range(GENERATION_COUNT):
        reader = threading.Thread(
            target=_streams.read_stream,
            args=(deployment.instances[0].address, index, counts, stopping),
        )
        reader.start()
        readers.append(reader)
    time.sleep(4.0)
    try:
        yield
    finally:
        stopping.set()
        for reader in readers:
            reader.join()
