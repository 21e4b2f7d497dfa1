"""Cost and safety of calls that run at most once.

Instances, store and services share one process, so that the figures show the
decisions and the store calls; the store answers after a few milliseconds.
"""

from collections.abc import Iterator
import concurrent.futures
import dataclasses
import logging
import random
import threading
import time

from expression import Result
import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.emulator.bench import _figures

#: Delay of each store call.
STORE_DELAY_S = 0.004

#: Offered bookings, over all instances.
BOOKINGS_PER_S = 500

#: Duration of each load.
LOAD_S = 4.0

#: Simulations of 24 faulted bookings each.
FAULTED_SIMULATION_COUNT = 210

#: Simulations that run at the same time.
_PARALLEL_COUNT = 12


def run(seed: int) -> Iterator[_figures.Figure]:
    """Yield the figures of the area ``once``."""
    # The faults are injected, so their log lines say nothing new.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for instance_count in (1, 8, 64):
        yield from _load(seed, instance_count)
    yield from _faulted(seed)


class _SlowStore(fakes.MemoryObjectStore):
    """A store in memory that answers after some milliseconds."""

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object."""
        time.sleep(STORE_DELAY_S)
        return super().get(key)

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one."""
        time.sleep(STORE_DELAY_S)
        return super().put(key, value, expected_version)


def _load(seed: int, instance_count: int) -> Iterator[_figures.Figure]:
    shape = fakes.CallSimulationShape(
        codec=protocol.CborSegmentCodec(),
        instance_count=instance_count,
        claim=state.ClaimSettings(),
    )
    store = _SlowStore()
    simulation = fakes.CallSimulation(shape, store)
    chance = random.Random(seed)
    durations_ms: list[float] = []
    booking_count = int(BOOKINGS_PER_S * LOAD_S)

    def book(index: int) -> None:
        instance = chance.choice(simulation.instances)
        started_s = time.monotonic()
        response = instance.book(
            fakes.plain_call(f'key-{index}', f'request-{index}')
        )
        if response.answer is not None:
            durations_ms.append((time.monotonic() - started_s) * 1000)

    waiting = threading.Event()
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(128) as pool:
        for index in range(booking_count):
            due_s = started_s + index / BOOKINGS_PER_S
            waiting.wait(max(0.0, due_s - time.monotonic()))
            pool.submit(book, index)
    elapsed_s = time.monotonic() - started_s
    simulation.stop()
    name = f'once.instances_{instance_count}'
    answered_count = max(1, len(durations_ms))
    counts = store.call_counts
    for label, value, unit, target in (
        ('claims_per_s', answered_count / elapsed_s, '1/s', None),
        ('unanswered', booking_count - len(durations_ms), 'bookings', 0),
        ('writes_per_booking', counts['put'] / answered_count, 'calls', 0.2),
        ('reads_per_booking', counts['get'] / answered_count, 'calls', None),
        ('booking_p50', _figures.percentile(durations_ms, 0.5), 'ms', None),
        ('booking_p99', _figures.percentile(durations_ms, 0.99), 'ms', None),
    ):
        yield _figures.Figure(
            f'{name}.{label}', value, unit, seed, booking_count, target
        )


def _faulted(seed: int) -> Iterator[_figures.Figure]:
    shape = fakes.CallSimulationShape(codec=protocol.CborSegmentCodec())
    first = seed * 10_000
    seeds = range(first, first + FAULTED_SIMULATION_COUNT)
    with concurrent.futures.ThreadPoolExecutor(_PARALLEL_COUNT) as pool:
        summaries = list(
            pool.map(
                lambda number: fakes.run_faulted_bookings(number, shape), seeds
            )
        )
    booking_count = sum(item.booking_count for item in summaries)
    values = {
        'bookings': (float(booking_count), 5000.0, True),
        'broken_promises': (
            float(sum(len(item.faults) for item in summaries)),
            0.0,
            False,
        ),
    }
    for label, (value, target, more) in values.items():
        yield _figures.Figure(
            f'once.faulted.{label}',
            value,
            'bookings',
            seed,
            booking_count,
            target,
            more_is_better=more,
        )
    for field in ('answered_count', 'not_run_count', 'unknown_count'):
        total = sum(dataclasses.asdict(item)[field] for item in summaries)
        yield _figures.Figure(
            f'once.faulted.{field.removesuffix("_count")}',
            total,
            'responses',
            seed,
            booking_count,
        )
