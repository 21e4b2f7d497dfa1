"""Seeded test runs of concurrent bookings under random faults."""

import concurrent.futures
import dataclasses
import random
import threading

from skylarktack import state
from skylarktack.coordination.fakes import _calls
from skylarktack.coordination.fakes import _services
from skylarktack.coordination.fakes import _steps
from skylarktack.coordination.fakes import _store

#: Number of concurrent bookings in one ``CallSimulation``.
BOOKING_COUNT = 24

#: Maximum number of requests with one idempotency key.
_MAX_REQUEST_COUNT = 4


@dataclasses.dataclass(frozen=True)
class FaultedSummary:
    """Result of one seeded test run."""

    seed: int

    #: Bookings of the run, each exposed to its faults.
    booking_count: int

    #: Bookings answered at least once.
    answered_count: int

    #: Refusals that reported ``not_run``.
    not_run_count: int

    #: Refusals that reported ``unknown``.
    unknown_count: int

    #: Violations of at-most-once execution.
    faults: tuple[str, ...]


def run_faulted_bookings(
    seed: int, shape: _calls.CallSimulationShape
) -> FaultedSummary:
    """Run bookings while two instances are stopped and other faults occur.

    The other faults are those of the store and of the services.
    """
    rng = random.Random(seed)
    simulation = _calls.CallSimulation(shape)
    faults = threading.Thread(
        target=_inject_store_faults, args=(simulation, rng.random())
    )
    simulation.services.faults = _random_misbehaviour(rng)
    for instance in rng.sample(simulation.instances, 2):
        step = rng.choice(tuple(_steps.CallStep))
        instance.gate.arm(step, rng.choice(tuple(_steps.StepAction)))
    faults.start()
    with concurrent.futures.ThreadPoolExecutor(BOOKING_COUNT) as pool:
        bookings = [
            pool.submit(_book, simulation, f'key-{index}', rng.random())
            for index in range(BOOKING_COUNT)
        ]
        faults.join()
        for instance in simulation.instances:
            instance.gate.resume()
    simulation.stop()
    # Wait for late executions, so that the summary includes them.
    threading.Event().wait(simulation.services.faults.late_s)
    return _summary(seed, simulation, [item.result() for item in bookings])


def _random_misbehaviour(rng: random.Random) -> _services.ServiceMisbehaviour:
    return _services.ServiceMisbehaviour(
        refuse_count=rng.randrange(4),
        lose_answer_count=rng.randrange(4),
        late_execution_count=rng.randrange(4),
        tells_outcome=rng.random() < 0.7,
    )


def _inject_store_faults(
    simulation: _calls.CallSimulation, seed: float
) -> None:
    """Inject store faults, then resume the paused instances."""
    rng = random.Random(seed)
    waiting = threading.Event()
    for _ in range(3):
        waiting.wait(rng.uniform(0.0, 0.05))
        simulation.store.set_faults(
            _store.StoreFaults(
                down=rng.random() < 0.3,
                lose_write_answers_count=rng.randrange(3),
                lose_writes_count=rng.randrange(3),
            )
        )
        waiting.wait(rng.uniform(0.0, 0.05))
        simulation.store.set_faults(_store.StoreFaults())
    waiting.wait(rng.uniform(0.0, 0.3))
    for instance in simulation.instances:
        instance.gate.resume()


def _book(
    simulation: _calls.CallSimulation, key: str, seed: float
) -> _calls.BookingResult:
    """Send requests with one key to random instances.

    The first two are concurrent; the others are retries until one is
    answered.
    """
    rng = random.Random(seed)
    responses: list[_calls.Response] = []
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        first = [
            pool.submit(
                rng.choice(simulation.instances).book,
                _calls.plain_call(key, f'{key}-{index}'),
            )
            for index in range(2)
        ]
        for request in first:
            responses.append(request.result())
    for index in range(2, _MAX_REQUEST_COUNT):
        if responses[-1].answer is not None:
            break
        instance = rng.choice(simulation.instances)
        call = _calls.plain_call(key, f'{key}-{index}')
        responses.append(instance.book(call))
    return _calls.BookingResult(key, tuple(responses))


def _summary(
    seed: int,
    simulation: _calls.CallSimulation,
    results: list[_calls.BookingResult],
) -> FaultedSummary:
    runs: dict[state.RunState, int] = dict.fromkeys(state.RunState, 0)
    faults: list[str] = []
    answered_count = 0
    for result in results:
        fault = _calls.booking_fault(result, simulation.services)
        if fault is not None:
            faults.append(f'seed {seed}: {fault}')
        answers = [item for item in result.responses if item.answer]
        answered_count += bool(answers)
        for response in result.responses:
            if response.refusal is not None:
                runs[response.refusal.run] += 1
    return FaultedSummary(
        seed=seed,
        booking_count=len(results),
        answered_count=answered_count,
        not_run_count=runs[state.RunState.NOT_RUN],
        unknown_count=runs[state.RunState.UNKNOWN],
        faults=tuple(faults),
    )
