"""Generations over faulty engines, compared token for token."""

import random

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.coordination.tests import generation_harness

KINDS = fakes.EngineFaultKind

#: Moments of a fault in an answer of 20 tokens.
MOMENTS = (('first token', 0), ('between', 9), ('last', 19), ('end', 20))

#: Faults of one stream or engine; each one loses the stream or wrongs it.
LOSSES = (
    KINDS.CLOSE,
    KINDS.SILENCE,
    KINDS.ERROR,
    KINDS.GAP,
    KINDS.CROSSED_STREAM,
    KINDS.TRUNCATE,
    KINDS.SKIP_TO_END,
    KINDS.DIE,
    KINDS.FREEZE,
    KINDS.RESTART,
)
INTRUSIONS = (KINDS.REPEAT, KINDS.CROSS, KINDS.LATE)

#: Seeds of the random faults; each one runs ``GENERATION_COUNT`` answers.
SEEDS = range(25)
GENERATION_COUNT = 100


def _bed(
    seed: int, protection: bool = True
) -> generation_harness.GenerationHarness:
    settings = state.GenerationSettings(protection=protection)
    return generation_harness.GenerationHarness(
        generation_harness.Fleet(seed), seed, settings
    )


class TestFaultTable:
    """Guards against lost, repeated or mixed tokens at single faults."""

    @pytest.mark.parametrize('kind', (*LOSSES, *INTRUSIONS))
    @pytest.mark.parametrize(('moment', 'position'), MOMENTS)
    def test_answer_is_whole(
        self, kind: fakes.EngineFaultKind, moment: str, position: int
    ) -> None:
        """Each fault at each moment leaves the answer whole."""
        bed = _bed(7)
        wanted = generation_harness.request()
        bed.fleet.engines.faults[wanted.request_id] = [
            fakes.EngineFault(kind, position)
        ]
        received = bed.run(wanted)
        assert bed.fleet.engines.fired == [kind]
        assert received.refusal is None
        assert received.end is not None
        assert received.text == generation_harness.expected_text(
            'prompt 1', 20
        )

    @pytest.mark.parametrize('kind', LOSSES)
    def test_fails_without_protection(
        self, kind: fakes.EngineFaultKind
    ) -> None:
        """The same losses end the answer when the mechanism is off."""
        bed = _bed(7, protection=False)
        wanted = generation_harness.request()
        bed.fleet.engines.faults[wanted.request_id] = [
            fakes.EngineFault(kind, 9)
        ]
        received = bed.run(wanted)
        assert received.refusal is not None
        assert received.end is None

    @pytest.mark.parametrize('kind', INTRUSIONS)
    def test_unchecked_relay_is_wrong(
        self, kind: fakes.EngineFaultKind
    ) -> None:
        """A relay that does not check its tokens passes wrong ones on."""
        fleet = generation_harness.Fleet(7)
        wanted = generation_harness.request()
        fleet.engines.faults[wanted.request_id] = [fakes.EngineFault(kind, 9)]
        order = state.AttemptRequest(
            wanted.request_id, 2, 'model-1', 'digest', 'prompt 1', (), 20, 10
        )
        stream = fleet.engines.start(fleet.targets[0], order, 1.0).ok
        text = ''
        while not isinstance(arrived := stream.read(1.0), ports.StreamFault):
            for event in arrived:
                if isinstance(event, state.TokenEvent):
                    text += event.text.decode()
            if isinstance(arrived[-1], state.StreamEnd):
                break
        assert text != generation_harness.expected_text('prompt 1', 20)

    def test_silent_stream_keeps_its_work(self) -> None:
        """A silent connection to a live engine starts no new attempt."""
        bed = _bed(3)
        wanted = generation_harness.request()
        bed.fleet.engines.faults[wanted.request_id] = [
            fakes.EngineFault(KINDS.SILENCE, 9)
        ]
        assert bed.run(wanted).end is not None
        assert bed.fleet.engines.started_count == 1
        assert bed.fleet.engines.generated_count == 20

    def test_frozen_attempt_is_cancelled_when_it_is_back(self) -> None:
        """An abandoned attempt is cancelled until acknowledged."""
        bed = _bed(3)
        wanted = generation_harness.request()
        bed.fleet.engines.faults[wanted.request_id] = [
            fakes.EngineFault(KINDS.FREEZE, 9)
        ]
        assert bed.run(wanted).end is not None
        assert bed.fleet.engines.running()
        while bed.canceller.run_round():
            bed.fleet.clock.advance(0.5)
        assert not bed.fleet.engines.running()

    def test_evidence_of_both_attempts(self) -> None:
        """The observer learns which target failed and which served."""
        bed = _bed(3)
        wanted = generation_harness.request()
        bed.fleet.engines.faults[wanted.request_id] = [
            fakes.EngineFault(KINDS.ERROR, 9)
        ]
        bed.run(wanted)
        kinds = [outcome.kind for outcome in bed.outcomes.seen]
        assert kinds == [state.OutcomeKind.ERROR, state.OutcomeKind.SUCCESS]


class TestContinuedPrefix:
    """Guards against a silent mix of two texts after a failover."""

    @pytest.mark.parametrize(
        ('kind', 'accepts', 'code', 'restart_count'),
        (
            (KINDS.IGNORE_PREFIX, False, None, 0),
            (KINDS.DIVERGE, False, state.RefusalCode.DIVERGED, 0),
            (KINDS.DIVERGE, True, None, 1),
        ),
    )
    def test_engine_that_starts_again(
        self,
        kind: fakes.EngineFaultKind,
        accepts: bool,
        code: state.RefusalCode | None,
        restart_count: int,
    ) -> None:
        """Equal text is dropped; other text fails or restarts."""
        bed = _bed(5)
        wanted = generation_harness.request(accepts_restart=accepts)
        engines = bed.fleet.engines
        engines.faults[wanted.request_id] = [
            fakes.EngineFault(KINDS.RESTART, 9)
        ]
        engines.faults[f'prefix {wanted.request_id}'] = [
            fakes.EngineFault(kind, 0)
        ]
        received = bed.run(wanted)
        assert received.restart_count == restart_count
        if code is not None:
            assert received.refusal is not None
            assert received.refusal.code is code
            return
        assert received.text == generation_harness.expected_text(
            'prompt 1', 20
        )


class TestRandomFaults:
    """Guards against combinations that no table lists."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_no_wrong_answer(self, seed: int) -> None:
        """Up to three faults an answer leave every answer whole."""
        chance = random.Random(seed)
        # Outages overlap, but never of all engines at once.
        bed = generation_harness.GenerationHarness(
            generation_harness.Fleet(seed, 8), seed
        )
        for number in range(GENERATION_COUNT):
            count = chance.randint(1, 24)
            wanted = generation_harness.request(number, count)
            faults: list[fakes.EngineFault] = []
            for _ in range(chance.randint(1, 3)):
                kind = chance.choice((*LOSSES, *INTRUSIONS))
                at = chance.randint(0, count)
                faults.append(fakes.EngineFault(kind, at))
            bed.fleet.engines.faults[wanted.request_id] = faults
            bed.fleet.clock.advance(1.0)
            received = bed.run(wanted)
            expected = generation_harness.expected_text(wanted.prompt, count)
            assert received.refusal is None, (number, faults)
            assert received.text == expected, (number, faults)
            assert received.end is not None
            assert received.end.token_count == count
        while bed.canceller.run_round():
            bed.fleet.clock.advance(0.5)
        assert not bed.fleet.engines.running()
