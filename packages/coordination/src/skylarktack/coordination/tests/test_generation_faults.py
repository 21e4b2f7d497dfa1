"""Generations on faulty engines, compared token by token."""

import random

from expression import Result
import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.coordination.tests import generation_harness

KINDS = fakes.EngineFaultKind

#: Positions of a fault in a response of 20 tokens.
POSITIONS = (('first token', 0), ('between', 9), ('last', 19), ('end', 20))

#: Faults of a stream or an engine that interrupt or corrupt the stream.
STREAM_FAULTS = (
    KINDS.CLOSE,
    KINDS.UNRESPONSIVE,
    KINDS.ERROR,
    KINDS.GAP,
    KINDS.CROSSED_STREAM,
    KINDS.TRUNCATE,
    KINDS.SKIP_TO_END,
    KINDS.DIE,
    KINDS.FREEZE,
    KINDS.RESTART,
)
TOKEN_FAULTS = (KINDS.REPEAT, KINDS.CROSS, KINDS.LATE)

#: Seeds of random faults; each one runs ``GENERATION_COUNT`` generations.
SEEDS = range(25)
GENERATION_COUNT = 100


def _new_harness(
    seed: int, protection: bool = True
) -> generation_harness.GenerationHarness:
    settings = state.GenerationSettings(protection=protection)
    return generation_harness.GenerationHarness(
        generation_harness.Fleet(seed), seed, settings
    )


class TestSingleFault:
    """Guards against lost, repeated or mixed tokens after a single fault."""

    @pytest.mark.parametrize('kind', (*STREAM_FAULTS, *TOKEN_FAULTS))
    @pytest.mark.parametrize(('moment', 'position'), POSITIONS)
    def test_response_is_complete(
        self, kind: fakes.EngineFaultKind, moment: str, position: int
    ) -> None:
        """Each fault at each position leaves the response complete."""
        harness = _new_harness(7)
        request = generation_harness.request()
        harness.fleet.engines.faults[request.request_id] = [
            fakes.EngineFault(kind, position)
        ]
        received = harness.run(request)
        assert harness.fleet.engines.fired == [kind]
        assert received.refusal is None
        assert received.end is not None
        assert received.text == generation_harness.expected_text(
            'prompt 1', 20
        )

    @pytest.mark.parametrize('kind', STREAM_FAULTS)
    def test_fails_without_protection(
        self, kind: fakes.EngineFaultKind
    ) -> None:
        """The same faults fail the generation when protection is off."""
        harness = _new_harness(7, protection=False)
        request = generation_harness.request()
        harness.fleet.engines.faults[request.request_id] = [
            fakes.EngineFault(kind, 9)
        ]
        received = harness.run(request)
        assert received.refusal is not None
        assert received.end is None

    @pytest.mark.parametrize('kind', TOKEN_FAULTS)
    def test_unchecked_stream_is_wrong(
        self, kind: fakes.EngineFaultKind
    ) -> None:
        """The faults yield wrong tokens if a reader does not check them."""
        fleet = generation_harness.Fleet(7)
        request = generation_harness.request()
        fleet.engines.faults[request.request_id] = [fakes.EngineFault(kind, 9)]
        order = state.AttemptRequest(
            request.request_id, 2, 'model-1', 'digest', 'prompt 1', (), 20, 10
        )
        stream = fleet.engines.start(fleet.targets[0], order, 1.0).ok
        text = ''
        while not isinstance(
            events_or_fault := stream.read(1.0), ports.StreamFault
        ):
            for event in events_or_fault:
                if isinstance(event, state.TokenEvent):
                    text += event.text.decode()
            if isinstance(events_or_fault[-1], state.StreamEnd):
                break
        assert text != generation_harness.expected_text('prompt 1', 20)

    def test_unresponsive_stream_is_reattached(self) -> None:
        """An unresponsive connection to a live engine is reattached."""
        harness = _new_harness(3)
        request = generation_harness.request()
        harness.fleet.engines.faults[request.request_id] = [
            fakes.EngineFault(KINDS.UNRESPONSIVE, 9)
        ]
        assert harness.run(request).end is not None
        assert harness.fleet.engines.started_count == 1
        assert harness.fleet.engines.generated_count == 20

    def test_failing_cancel_does_not_hold_up_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a canceller that ends at an unexpected error."""
        harness = _new_harness(1)
        first, second, *_ = harness.fleet.targets
        cancel = harness.fleet.engines.cancel
        cancelled = []

        def cancel_unless_first(
            target: state.Target,
            request_id: state.RequestId,
            attempt: int,
            timeout_s: float,
        ) -> Result[None, ports.StreamFault]:
            if target is first:
                raise ValueError('odd answer')
            cancelled.append(target.name)
            return cancel(target, request_id, attempt, timeout_s)

        monkeypatch.setattr(
            harness.fleet.engines, 'cancel', cancel_unless_first
        )
        for target in (first, second):
            harness.canceller.abandon(target, state.RequestId('request-1'), 1)
        assert harness.canceller.run_round() == 1
        assert cancelled == [second.name]

    def test_frozen_attempt_is_cancelled_later(self) -> None:
        """Cancelling is retried until the engine responds again."""
        harness = _new_harness(3)
        request = generation_harness.request()
        harness.fleet.engines.faults[request.request_id] = [
            fakes.EngineFault(KINDS.FREEZE, 9)
        ]
        assert harness.run(request).end is not None
        assert harness.fleet.engines.running()
        while harness.canceller.run_round():
            harness.fleet.clock.advance(0.5)
        assert not harness.fleet.engines.running()

    def test_outcomes_of_both_attempts(self) -> None:
        """The observer receives the outcome of each attempt."""
        harness = _new_harness(3)
        request = generation_harness.request()
        harness.fleet.engines.faults[request.request_id] = [
            fakes.EngineFault(KINDS.ERROR, 9)
        ]
        harness.run(request)
        kinds = [outcome.kind for outcome in harness.outcomes.seen]
        assert kinds == [state.OutcomeKind.ERROR, state.OutcomeKind.SUCCESS]


class TestContinuedPrefix:
    """Guards against unnoticed mixing of two texts after a failover."""

    @pytest.mark.parametrize(
        ('kind', 'accepts', 'code', 'restart_count'),
        (
            (KINDS.IGNORE_PREFIX, False, None, 0),
            (KINDS.DIVERGE, False, state.RefusalCode.DIVERGED, 0),
            (KINDS.DIVERGE, True, None, 1),
        ),
    )
    def test_engine_that_ignores_the_prefix(
        self,
        kind: fakes.EngineFaultKind,
        accepts: bool,
        code: state.RefusalCode | None,
        restart_count: int,
    ) -> None:
        """Equal text is skipped; different text fails or restarts."""
        harness = _new_harness(5)
        request = generation_harness.request(accepts_restart=accepts)
        engines = harness.fleet.engines
        engines.faults[request.request_id] = [
            fakes.EngineFault(KINDS.RESTART, 9)
        ]
        engines.faults[f'prefix {request.request_id}'] = [
            fakes.EngineFault(kind, 0)
        ]
        received = harness.run(request)
        assert received.restart_count == restart_count
        if code is not None:
            assert received.refusal is not None
            assert received.refusal.code is code
            return
        assert received.text == generation_harness.expected_text(
            'prompt 1', 20
        )


class TestRandomFaults:
    """Guards against combinations of faults beyond the single ones."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_responses_are_complete(self, seed: int) -> None:
        """Up to three faults per generation leave each response complete."""
        rng = random.Random(seed)
        # With eight engines, outages overlap but never affect all at once.
        harness = generation_harness.GenerationHarness(
            generation_harness.Fleet(seed, 8), seed
        )
        for number in range(GENERATION_COUNT):
            count = rng.randint(1, 24)
            request = generation_harness.request(number, count)
            faults: list[fakes.EngineFault] = []
            for _ in range(rng.randint(1, 3)):
                kind = rng.choice((*STREAM_FAULTS, *TOKEN_FAULTS))
                at = rng.randint(0, count)
                faults.append(fakes.EngineFault(kind, at))
            harness.fleet.engines.faults[request.request_id] = faults
            harness.fleet.clock.advance(1.0)
            received = harness.run(request)
            expected = generation_harness.expected_text(request.prompt, count)
            assert received.refusal is None, (number, faults)
            assert received.text == expected, (number, faults)
            assert received.end is not None
            assert received.end.token_count == count
        while harness.canceller.run_round():
            harness.fleet.clock.advance(0.5)
        assert not harness.fleet.engines.running()
