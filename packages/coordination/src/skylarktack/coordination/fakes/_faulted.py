"""Seeded runs of bookings under random faults."""

import concurrent.futures
import dataclasses
import random
import threading

from skylarktack import state
from skylarktack.coordination.fakes import _call_world
from skylarktack.coordination.fakes import _services
from skylarktack.coordination.fakes import _steps
from skylarktack.coordination.fakes import _store

#: Bookings of one world, in work at the same time.
BOOKING_COUNT = 24

#: Most requests of a caller with one key.
_REQUEST_COUNT = 4


@dataclasses.dataclass(frozen=True)
class FaultedSummary:
    """What one seeded world brought."""

    #: The seed.
    seed: int

    #: Bookings that met at least one fault in their world.
    booking_count: int

    #: Bookings answered at least once.
    answered_count: int

    #: Refusals that said ``not_run``.
    not_run_count: int

    #: Refusals that said ``unknown``.
    unknown_count: int

    #: Broken promises.
    faults: tuple[str, ...]


def run_faulted_bookings(
    seed: int, shape: _call_world.CallWorldShape
) -> FaultedSummary:
    """Run one world of bookings with two stopped instances and more."""
    chance = random.Random(seed)
    world = _call_world.CallWorld(shape)
    faults = threading.Thread(target=_inject, args=(world, chance.random()))
    world.services.faults = _misbehaviour(chance)
    for instance in chance.sample(world.instances, 2):
        step = chance.choice(tuple(_steps.CallStep))
        instance.gate.arm(step, chance.choice(tuple(_steps.StepAction)))
    faults.start()
    with concurrent.futures.ThreadPoolExecutor(BOOKING_COUNT) as pool:
        bookings = [
            pool.submit(_book, world, f'key-{index}', chance.random())
            for index in range(BOOKING_COUNT)
        ]
        faults.join()
        for instance in world.instances:
            instance.gate.resume()
    world.stop()
    # Late executions are over by then.
    threading.Event().wait(world.services.faults.late_s)
    return _summary(seed, world, [item.result() for item in bookings])


def _misbehaviour(chance: random.Random) -> _services.ServiceMisbehaviour:
    return _services.ServiceMisbehaviour(
        refuse_count=chance.randrange(4),
        lose_answer_count=chance.randrange(4),
        late_execution_count=chance.randrange(4),
        tells_outcome=chance.random() < 0.7,
    )


def _inject(world: _call_world.CallWorld, seed: float) -> None:
    """Let the store fail, then let paused instances go on."""
    chance = random.Random(seed)
    waiting = threading.Event()
    for _ in range(3):
        waiting.wait(chance.uniform(0.0, 0.05))
        world.store.set_faults(
            _store.StoreFaults(
                down=chance.random() < 0.3,
                lose_write_answers_count=chance.randrange(3),
                lose_writes_count=chance.randrange(3),
            )
        )
        waiting.wait(chance.uniform(0.0, 0.05))
        world.store.set_faults(_store.StoreFaults())
    waiting.wait(chance.uniform(0.0, 0.3))
    for instance in world.instances:
        instance.gate.resume()


def _book(
    world: _call_world.CallWorld, key: str, seed: float
) -> _call_world.BookingResult:
    """Send a key to random instances, two of them at once at first."""
    chance = random.Random(seed)
    responses: list[_call_world.Response] = []
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        first = [
            pool.submit(
                chance.choice(world.instances).book,
                _call_world.plain_call(key, f'{key}-{index}'),
            )
            for index in range(2)
        ]
        for request in first:
            responses.append(request.result())
    for index in range(2, _REQUEST_COUNT):
        if responses[-1].answer is not None:
            break
        instance = chance.choice(world.instances)
        call = _call_world.plain_call(key, f'{key}-{index}')
        responses.append(instance.book(call))
    return _call_world.BookingResult(key, tuple(responses))


def _summary(
    seed: int,
    world: _call_world.CallWorld,
    results: list[_call_world.BookingResult],
) -> FaultedSummary:
    runs: dict[state.RunState, int] = dict.fromkeys(state.RunState, 0)
    faults: list[str] = []
    answered_count = 0
    for result in results:
        fault = _call_world.booking_fault(result, world.services)
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
