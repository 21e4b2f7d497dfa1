"""What one instance uses at its bounds, and how calls end there.

Every measurement has an instance of its own, whose settings allow 300 MB.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import socket
import time

import h11
import psutil

from skylarktack.emulator import platform
from skylarktack.emulator.bench import _figures

MEMORY_LIMIT_MB = 300.0

#: Long requests that arrive together.
BODY = bytes(4 * 1024 * 1024)
BODY_CALLER_COUNTS = (20, 34, 100, 600)
WORK_S = 0.5

#: Callers that read their answers at 1 KB/s.
SLOW_CALLER_COUNT = 60
SLOW_READ_BYTES = 1024
SLOW_READ_S = 10
ANSWER_BYTES = 4 * 1024 * 1024

#: Kept connections without a request, and requests on others meanwhile.
IDLE_COUNTS = (720, 2000, 4000)
OPENING_TASK_COUNT = 32
NEW_REQUEST_COUNT = 100
MAX_READ_DELAY_MS = 100.0
IDLE_S = 3.0

#: Cuts of the store, and the manifests that come during one.
CUTS_S = (1.0, 5.5, 20.0)
MANIFEST_COUNT = 25
MANIFEST_GAP_S = 0.04
MORE_ROUTES = tuple(f'r-{number}' for number in range(2800))
APPLY_TARGET_S = 2.0

#: Errors of a call that got no answer.
_CUT = (OSError, h11.RemoteProtocolError)


@dataclasses.dataclass(frozen=True)
class _Reporter:
    """Makes the figures of one measurement."""

    name: str
    seed: int
    sample_count: int

    def figure(
        self,
        name: str,
        value: float,
        unit: str,
        target: float | None = None,
    ) -> _figures.Figure:
        return _figures.Figure(
            f'bounds.{self.name}.{name}',
            value,
            unit,
            self.seed,
            self.sample_count,
            target,
        )

    def endings(
        self, instance: platform.PlatformInstance, endings: Counter[str]
    ) -> Iterator[_figures.Figure]:
        """Yield the peak of the memory, and how many calls ended how."""
        yield self.figure(
            'peak', _peak_mb(instance), 'MB', target=MEMORY_LIMIT_MB
        )
        yield self.figure('without_answer', endings.pop('cut', 0), 'calls', 0)
        for ending, count in sorted(endings.items()):
            yield self.figure(f'answered_{ending}', count, 'calls')


def run(seed: int) -> Iterator[_figures.Figure]:
    """Measure each bound."""
    for count in BODY_CALLER_COUNTS:
        yield from _measure_long_bodies(seed, count)
    yield from _measure_slow_callers(seed)
    for count in IDLE_COUNTS:
        yield from _measure_idle_connections(seed, count)
    for cut_s in CUTS_S:
        yield from _measure_cut(seed, cut_s)


def _measure_long_bodies(seed: int, count: int) -> Iterator[_figures.Figure]:
    def call() -> str:
        attempt = platform.Attempt(
            'book', platform.new_attempt_id(), body=BODY
        )
        try:
            return str(platform.call(instance.address, attempt).status)
        except _CUT:
            return 'cut'

    with platform.PlatformDeployment(
        instance_count=1, service_count=6
    ) as deployment:
        instance = deployment.instances[0]
        for service in deployment.services:
            service.behaviour.work_s = WORK_S
        endings = _count_endings(call, count)
        reporter = _Reporter(f'long_bodies.{count}', seed, count)
        yield from reporter.endings(instance, endings)


def _measure_slow_callers(seed: int) -> Iterator[_figures.Figure]:
    def read_slowly() -> str:
        attempt = platform.Attempt('peek', platform.new_attempt_id())
        try:
            with platform.CallerConnection(
                instance.address, attempt
            ) as connection:
                for _ in range(SLOW_READ_S):
                    if not connection.read_some(SLOW_READ_BYTES):
                        return 'cut'
                    time.sleep(1.0)
        except _CUT:
            return 'cut'
        return 'slowly'

    with platform.PlatformDeployment(
        instance_count=1, service_count=6
    ) as deployment:
        instance = deployment.instances[0]
        for service in deployment.services:
            service.behaviour.answer_bytes = ANSWER_BYTES
        endings = _count_endings(read_slowly, SLOW_CALLER_COUNT)
        reporter = _Reporter('slow_callers', seed, SLOW_CALLER_COUNT)
        yield from reporter.endings(instance, endings)


def _measure_idle_connections(
    seed: int, count: int
) -> Iterator[_figures.Figure]:
    reporter = _Reporter(f'idle_connections.{count}', seed, count)
    with (
        platform.PlatformDeployment(instance_count=1) as deployment,
        contextlib.ExitStack() as open_connections,
    ):
        instance = deployment.instances[0]
        process = _process(instance)
        before_mb = _resident_mb(process)

        def keep_connection() -> None:
            attempt = platform.Attempt('peek', platform.new_attempt_id())
            with contextlib.suppress(*_CUT):
                connection = platform.CallerConnection(
                    instance.address, attempt
                )
                open_connections.enter_context(connection)
                connection.read_answer()

        with futures.ThreadPoolExecutor(OPENING_TASK_COUNT) as tasks:
            for _ in range(count):
                tasks.submit(keep_connection)
        kept_count = _connection_count(process)
        yield reporter.figure('kept', kept_count, 'connections')
        grown_mb = _resident_mb(process) - before_mb
        yield reporter.figure(
            'memory', 1024 * grown_mb / max(1, kept_count), 'kB/connection'
        )
        yield reporter.figure('cpu', 1000 * _idle_cpu_share(process), 'ms/s')
        yield reporter.figure(
            'read_delay',
            max(_call_ms(instance) for _ in range(NEW_REQUEST_COUNT)),
            'ms',
            MAX_READ_DELAY_MS,
        )
        yield reporter.figure(
            'ready_delay',
            max(_ready_ms(instance) for _ in range(NEW_REQUEST_COUNT)),
            'ms',
            MAX_READ_DELAY_MS,
        )


def _measure_cut(seed: int, cut_s: float) -> Iterator[_figures.Figure]:
    """Cut an instance off the store while it gets long manifests."""
    with platform.PlatformDeployment(
        instance_count=1, has_proxies=True
    ) as deployment:
        instance = deployment.instances[0]
        (link,) = deployment.store_proxies
        link.set_mode(platform.ProxyMode.RESET)
        end_s = time.monotonic() + cut_s
        version = deployment.version
        for _ in range(MANIFEST_COUNT):
            version += 1
            deployment.apply(
                platform.manifest(version, more_routes=MORE_ROUTES)
            )
            time.sleep(MANIFEST_GAP_S)
        time.sleep(max(0.0, end_s - time.monotonic()))
        link.set_mode(platform.ProxyMode.PASS)
        began_s = time.monotonic()
        instance.wait_for_line(
            'configuration', 'configuration applied', version=version
        )
        reporter = _Reporter(f'store_cut.{cut_s:g}', seed, 1)
        yield reporter.figure(
            'applied_after', time.monotonic() - began_s, 's', APPLY_TARGET_S
        )
        yield reporter.figure(
            'peak', _peak_mb(instance), 'MB', MEMORY_LIMIT_MB
        )


def _count_endings(call: Callable[[], str], count: int) -> Counter[str]:
    """Make calls at the same time and count how they ended."""
    with futures.ThreadPoolExecutor(count) as tasks:
        calls = [tasks.submit(call) for _ in range(count)]
        return Counter(pending.result() for pending in calls)


def _call_ms(instance: platform.PlatformInstance) -> float:
    """Return the time of a call that its target answers at once."""
    began_s = time.monotonic()
    platform.call(
        instance.address,
        platform.Attempt('peek', platform.new_attempt_id()),
    )
    return 1000 * (time.monotonic() - began_s)


def _ready_ms(instance: platform.PlatformInstance) -> float:
    address = instance.ready_address
    began_s = time.monotonic()
    with socket.create_connection((address.host, address.port), 10.0) as probe:
        probe.sendall(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        probe.recv(1)
    return 1000 * (time.monotonic() - began_s)


def _process(instance: platform.PlatformInstance) -> psutil.Process:
    assert instance.process is not None
    return psutil.Process(instance.process.pid)


def _peak_mb(instance: platform.PlatformInstance) -> float:
    return instance.peak_memory_kb() / 1024


def _resident_mb(process: psutil.Process) -> float:
    return float(process.memory_info().rss) / 1024**2


def _connection_count(process: psutil.Process) -> int:
    return sum(
        connection.status == psutil.CONN_ESTABLISHED
        for connection in process.net_connections('tcp')
    )


def _idle_cpu_share(process: psutil.Process) -> float:
    before = process.cpu_times()
    time.sleep(IDLE_S)
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    return float(used_s) / IDLE_S
