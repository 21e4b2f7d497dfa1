"""Generations whose engine is unresponsive while no other is available."""

from collections.abc import Callable
import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import generation
from skylarktack.coordination.tests import generation_harness

#: Positions of the tokens before which an engine becomes unresponsive, of 20.
POSITIONS = (0, 9, 19)

#: Settings with which each failover takes a retry from the budget.
SETTINGS = state.GenerationSettings(free_failover_count=0)


def _make_harness(
    engine_count: int = 4,
    burst_count: int = 1000,
    settings: state.GenerationSettings = SETTINGS,
) -> generation_harness.GenerationHarness:
    fleet = generation_harness.Fleet(7, engine_count)
    return generation_harness.GenerationHarness(
        fleet, 7, settings, burst_count=burst_count
    )


def _use_one_attempt() -> generation_harness.GenerationHarness:
    settings = dataclasses.replace(SETTINGS, attempt_count=1)
    return _make_harness(settings=settings)


@dataclasses.dataclass(frozen=True)
class NoWayOnCase:
    """Why a generation cannot go on at another engine."""

    name: str
    make_harness: Callable[[], generation_harness.GenerationHarness]


NO_WAY_ON_CASES = (
    NoWayOnCase('retry budget spent', lambda: _make_harness(burst_count=0)),
    NoWayOnCase('no other engine', lambda: _make_harness(engine_count=1)),
    NoWayOnCase('attempts used up', _use_one_attempt),
)


def _freeze(
    harness: generation_harness.GenerationHarness, position: int
) -> state.GenerationRequest:
    """Return a request whose engine freezes for 2.5 s at a position."""
    request = generation_harness.request()
    harness.fleet.engines.faults[request.request_id] = [
        fakes.EngineFault(fakes.EngineFaultKind.FREEZE, position)
    ]
    return request


class TestUnresponsiveEngines:
    """A pause ends an attempt only if the generation can go on."""

    @pytest.mark.parametrize('position', POSITIONS)
    @pytest.mark.parametrize(
        'case', NO_WAY_ON_CASES, ids=lambda case: case.name
    )
    def test_generation_waits_for_its_engine(
        self, case: NoWayOnCase, position: int
    ) -> None:
        """Guards against responses that are cut though their engine goes on.

        The run goes on where it was: no token is generated twice.
        """
        harness = case.make_harness()
        received = harness.run(_freeze(harness, position))
        assert received.refusal is None
        assert received.text == generation_harness.expected_text(
            'prompt 1', 20
        )
        engines = harness.fleet.engines
        assert engines.started_count == 1
        assert engines.generated_count == 20
        assert harness.metrics.counts['generation.kept_at_silent_engine']

    def test_generation_moves_on_once_it_can(self) -> None:
        """Guards against a response that stays at a lost engine."""
        harness = _make_harness(engine_count=1)
        engines = harness.fleet.engines
        request = _freeze(harness, 9)
        opened = harness.service.open(request)
        received = generation_harness.Received()
        for event in opened.ok:
            if isinstance(event, generation.TokenBatch):
                for token in event.tokens:
                    received.text += token.text.decode()
            if engines.fired and len(harness.fleet.targets) == 1:
                other = generation_harness.Fleet(7, 2).targets[1]
                harness.fleet.targets.append(other)
                harness.selector.update(tuple(harness.fleet.targets))
        harness.service.release(opened.ok)
        assert received.text == generation_harness.expected_text(
            'prompt 1', 20
        )
        assert engines.started_count == 2

    def test_lost_engine_is_given_up(self) -> None:
        """Guards against a caller that waits for good."""
        harness = _make_harness(burst_count=0)
        request = _freeze(harness, 9)
        engine = harness.fleet.engines.engine
        started_s = harness.fleet.clock.monotonic_s()
        opened = harness.service.open(request)
        refusal = None
        for event in opened.ok:
            for target in harness.fleet.targets:
                if harness.fleet.engines.fired:
                    engine(target.name).frozen_until_s = 1e9
            if isinstance(event, generation.Failed):
                refusal = event.refusal
        assert refusal is not None
        assert refusal.code is state.RefusalCode.RETRY_BUDGET
        waited_s = harness.fleet.clock.monotonic_s() - started_s
        assert 10.0 <= waited_s <= 25.0

    def test_reserved_target_is_released(self) -> None:
        """Guards against targets that seem busy after a failover."""
        harness = _make_harness()
        assert harness.run(_freeze(harness, 9)).end is not None
        assert harness.fleet.engines.started_count == 2
        assert not harness.selector.in_flight()

    def test_lost_run_is_not_waited_for(self) -> None:
        """Guards against a wait for a run that the engine does not have."""
        harness = _make_harness(burst_count=0)
        request = generation_harness.request()
        harness.fleet.engines.faults[request.request_id] = [
            fakes.EngineFault(fakes.EngineFaultKind.RESTART, 9)
        ]
        started_s = harness.fleet.clock.monotonic_s()
        received = harness.run(request)
        assert received.refusal is not None
        assert received.refusal.code is state.RefusalCode.RETRY_BUDGET
        assert harness.fleet.clock.monotonic_s() - started_s < 1.0
