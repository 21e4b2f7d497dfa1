"""Decides the next step of a move from its record and the evidence."""

import dataclasses

from skylarktack import state
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _loading


@dataclasses.dataclass(frozen=True)
class Situation:
    """Everything that a decision depends on besides the record."""

    #: Wall clock time.
    now_s: float

    #: The move in the configuration in effect, None if it was removed.
    move: state.Move | None

    #: Revision of that configuration.
    revision: int

    #: How far loading has come.
    progress: _loading.LoadProgress

    #: What the combined evidence of the present stage says.
    judgement: _judging.Judgement

    #: Instances that stopped on their own evidence.
    stopped_count: int


def decide(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    situation: Situation,
) -> state.MoveRecord | None:
    """Return the record after the next step, None if there is none."""
    if record.ended:
        return None
    move = situation.move
    if move is None:
        return roll_back(record, 'Removed from the configuration.')
    if move.cancelled:
        return roll_back(record, 'Cancelled by an operator.')
    planned = (record.route, record.from_version, record.to_version)
    if planned != (move.route, move.from_version, move.to_version):
        return roll_back(record, 'Route or versions were changed.')
    # The old deadline counts if it has passed: instances act on it alone.
    if situation.now_s >= record.deadline_s:
        return roll_back(record, 'The deadline passed before completion.')
    if record.deadline_s != move.deadline_s:
        return dataclasses.replace(
            record,
            deadline_s=move.deadline_s,
            reason='The deadline was changed.',
        )
    if record.phase is state.MovePhase.PLANNED:
        return _plan(settings, record, situation)
    if record.phase is state.MovePhase.LOADING:
        return _finish_loading(settings, record, situation)
    return _shift(settings, record, situation)


def roll_back(
    record: state.MoveRecord,
    reason: str,
    verdict: state.MoveVerdict | None = None,
) -> state.MoveRecord:
    """Return the record after rolling back."""
    return dataclasses.replace(
        record,
        phase=state.MovePhase.ROLLED_BACK,
        share=0.0,
        verdict=verdict or record.verdict,
        reason=reason,
    )


def judging_floor_s(settings: state.MoveSettings) -> float:
    """Return the shortest time in which all stages can pass."""
    stages_ms = len(settings.shares) * settings.stage_floor_ms
    return (stages_ms + settings.deadline_margin_ms) / 1000


def stage_duration_s(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    progress: _loading.LoadProgress,
) -> float:
    """Return the shortest time of the record's present stage."""
    floor_s = settings.stage_floor_ms / 1000
    if record.stage == 0:
        return floor_s
    available_s = (
        record.deadline_s
        - _shifting_since_s(record)
        - progress.wanted_count * progress.interval_s
        - settings.deadline_margin_ms / 1000
    )
    ratio = settings.stage_ratio
    if _is_last_unjudged(settings, record.stage):
        ratio = settings.soak_ratio
    duration_s = min(ratio * available_s, settings.soak_ceiling_ms / 1000)
    return max(floor_s, duration_s)


def _plan(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    situation: Situation,
) -> state.MoveRecord | None:
    if situation.now_s < record.start_s:
        return None
    progress = situation.progress
    if not progress.wanted_count:
        return None
    needed_s = progress.remaining_s + judging_floor_s(settings)
    left_s = record.deadline_s - situation.now_s
    if needed_s > left_s:
        return roll_back(
            record,
            f'Loading and judging take {needed_s:.0f} s, '
            f'the deadline leaves {left_s:.0f} s.',
        )
    return dataclasses.replace(
        record, phase=state.MovePhase.LOADING, reason='Started.'
    )


def _finish_loading(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    situation: Situation,
) -> state.MoveRecord | None:
    progress = situation.progress
    if progress.loaded_count < progress.first_wave_count:
        return None
    return dataclasses.replace(
        record,
        phase=state.MovePhase.SHIFTING,
        stage=0,
        share=settings.shares[0],
        stage_since_s=situation.now_s,
        reason='The first targets have loaded the version.',
    )


def _shift(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    situation: Situation,
) -> state.MoveRecord | None:
    if situation.judgement.bad:
        return roll_back(
            record, situation.judgement.reason, state.MoveVerdict.BAD
        )
    if situation.judgement.suspect:
        return None
    if situation.stopped_count:
        # One instance's evidence is against the version; the others' may
        # confirm it. Until then nothing rises.
        return None
    progress = situation.progress
    in_stage_s = situation.now_s - record.stage_since_s
    if in_stage_s < stage_duration_s(settings, record, progress):
        return None
    compared = situation.judgement.compared_count
    if settings.shares[record.stage] > settings.unjudged_share:
        if compared < settings.judged_attempt_count:
            return None
    if record.stage + 1 >= len(settings.shares):
        return dataclasses.replace(
            record,
            phase=state.MovePhase.COMPLETED,
            share=1.0,
            reason='All stages passed.',
        )
    if record.verdict is not state.MoveVerdict.GOOD:
        if _is_last_unjudged(settings, record.stage):
            if compared < settings.judged_attempt_count:
                return None
            return dataclasses.replace(
                record,
                verdict=state.MoveVerdict.GOOD,
                reason=f'{compared} attempts showed nothing against it.',
            )
    share = settings.shares[record.stage + 1]
    if share > settings.unjudged_share:
        wanted = settings.loaded_ratio * progress.wanted_count
        if progress.loaded_count < wanted:
            return None
    return dataclasses.replace(
        record,
        stage=record.stage + 1,
        share=share,
        stage_since_s=situation.now_s,
        reason='The stage passed.',
    )


def _is_last_unjudged(settings: state.MoveSettings, stage: int) -> bool:
    shares = settings.shares
    if shares[stage] > settings.unjudged_share:
        return False
    return (
        stage + 1 >= len(shares) or shares[stage + 1] > settings.unjudged_share
    )


def _shifting_since_s(record: state.MoveRecord) -> float:
    for step in record.history:
        if step.phase is state.MovePhase.SHIFTING:
            return step.at_s
    return record.stage_since_s
