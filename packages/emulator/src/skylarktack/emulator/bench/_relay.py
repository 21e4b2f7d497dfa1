"""Cost of passing tokens and lookups through one instance."""

from collections.abc import Iterator
import http.client
import threading
import time

import psutil

from skylarktack import emulator
from skylarktack import state
from skylarktack.emulator.bench import _figures
from skylarktack.emulator.bench import _streams

#: Share of one of 340 instances in 3 million tokens a second.
TARGET_TOKENS_PER_S = 8800

_KEY = emulator.organisation_key('large')


def run(seed: int) -> Iterator[_figures.Figure]:
    """Yield the figures of the area ``relay``."""
    yield from _lookup_figures(seed)
    yield from _stream_figures(seed)


def _lookup_figures(seed: int) -> Iterator[_figures.Figure]:
    shape = emulator.DeploymentShape(instance_count=1, engine_count=1)
    count = 400
    with emulator.Deployment(shape) as deployment:
        direct = deployment.services[0].address
        through = deployment.instances[0].address
        direct_ms: list[float] = []
        through_ms: list[float] = []
        # Alternating calls see the same state of the machine.
        for _ in range(count):
            direct_ms.append(_call_ms(direct, '/items/7'))
            through_ms.append(_call_ms(through, '/v1/call/stock/items/7'))
    for share, name, target in ((0.5, 'p50', 1.0), (0.99, 'p99', 4.0)):
        added_ms = _figures.percentile(
            through_ms, share
        ) - _figures.percentile(direct_ms, share)
        yield _figures.Figure(
            f'relay.lookup_added_{name}', added_ms, 'ms', seed, count, target
        )


def _call_ms(address: state.Address, path: str) -> float:
    started_s = time.perf_counter()
    connection = http.client.HTTPConnection(address.host, address.port)
    connection.request(
        'GET', path, headers={'Authorization': f'Bearer {_KEY}'}
    )
    connection.getresponse().read()
    connection.close()
    return (time.perf_counter() - started_s) * 1000


def _stream_figures(seed: int) -> Iterator[_figures.Figure]:
    for stream_count, step_ms in ((64, 7.0), (640, 68.0)):
        shape = emulator.DeploymentShape(
            instance_count=1,
            engine_count=4,
            step_ms=step_ms,
            slot_count=stream_count,
            overrides={
                'caller': {
                    'thread_count': stream_count + 16,
                    'generation_count': stream_count,
                },
                # The engines' slots are enough for all streams at once.
                'routing': {'concurrency_start_count': stream_count},
            },
        )
        with emulator.Deployment(shape) as deployment:
            tokens_per_s, cores = measure_streams(
                deployment, stream_count, 8.0
            )
        name = f'relay.streams_{stream_count}'
        yield _figures.Figure(
            f'{name}.tokens',
            tokens_per_s,
            'tokens/s',
            seed,
            1,
            TARGET_TOKENS_PER_S,
            more_is_better=True,
        )
        yield _figures.Figure(f'{name}.cores', cores, 'cores', seed, 1, 0.5)
        yield _figures.Figure(
            f'{name}.cpu_per_token',
            cores / max(1.0, tokens_per_s) * 1e6,
            'us',
            seed,
            1,
            0.5 / TARGET_TOKENS_PER_S * 1e6,
        )


def measure_streams(
    deployment: emulator.Deployment, stream_count: int, duration_s: float
) -> tuple[float, float]:
    """Return tokens a second and cores used while streams run."""
    address = deployment.instances[0].address
    counts = [0] * stream_count
    stopping = threading.Event()
    readers: list[threading.Thread] = []
    for index in range(stream_count):
        reader = threading.Thread(
            target=_streams.read_stream,
            args=(address, index, counts, stopping),
        )
        reader.start()
        readers.append(reader)
    process = psutil.Process(deployment.instances[0].process_id)
    time.sleep(3.0)
    started_s = time.monotonic()
    cpu_before_s = sum(process.cpu_times()[:2])
    count_before = sum(counts)
    time.sleep(duration_s)
    cpu_s = sum(process.cpu_times()[:2]) - cpu_before_s
    elapsed_s = time.monotonic() - started_s
    token_count = sum(counts) - count_before
    stopping.set()
    for reader in readers:
        reader.join()
    return token_count / elapsed_s, cpu_s / elapsed_s
