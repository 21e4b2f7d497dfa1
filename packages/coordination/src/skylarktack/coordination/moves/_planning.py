"""Decision on the next step of a move, as a pure function."""

import dataclasses

from skylarktack import state
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _loading


@dataclasses.dataclass(frozen=True)
class DecisionInputs:
    """Inputs of a decision, in addition to the move record."""

    #: Wall clock time.
    now_s: float

    #: Move in the active configuration, None if it was removed.
    move: state.Move | None

    #: Revision of the active configuration.
    revision: int

    progress: _loading.LoadProgress

    #: Judgement on the combined evidence of the current stage.
    judgement: _judging.Judgement

    #: Number of instances that stopped the version on their own evidence.
    stopped_count: int


def decide(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    inputs: DecisionInputs,
) -> state.MoveRecord | None:
    """Return the record after the next step, None if no step is due."""
    if record.ended:
        return None
    move = inputs.move
    if move is None:
        return roll_back(record, 'Removed from the configuration.')
    if move.cancelled:
        return roll_back(record, 'Cancelled by an operator.')
    planned = (record.route, record.from_version, record.to_version)
    if planned != (move.route, move.from_version, move.to_version):
        return roll_back(record, 'Route or versions were changed.')
    # A deadline that has passed applies even if it was extended since:
    # instances already act on it without the driver.
    if inputs.now_s >= record.deadline_s:
        return roll_back(record, 'The deadline passed before completion.')
    if record.deadline_s != move.deadline_s:
        return dataclasses.replace(
            record,
            deadline_s=move.deadline_s,
            reason='The deadline was changed.',
        )
    if record.phase is state.MovePhase.PLANNED:
        return _start_loading(settings, record, inputs)
    if record.phase is state.MovePhase.LOADING:
        return _finish_loading(settings, record, inputs)
    return _shift(settings, record, inputs)


def roll_back(
    record: state.MoveRecord,
    reason: str,
    verdict: state.MoveVerdict | None = None,
) -> state.MoveRecord:
    """Return the record after a rollback.

    :param verdict: replaces the verdict of the record unless None.
    """
    return dataclasses.replace(
        record,
        phase=state.MovePhase.ROLLED_BACK,
        share=0.0,
        verdict=verdict or record.verdict,
        reason=reason,
    )


def minimum_judging_s(settings: state.MoveSettings) -> float:
    """Return the minimum duration of all stages."""
    stages_ms = len(settings.shares) * settings.stage_floor_ms
    return (stages_ms + settings.deadline_margin_ms) / 1000


def stage_duration_s(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    progress: _loading.LoadProgress,
) -> float:
    """Return the minimum duration of the record's current stage."""
    floor_s = settings.stage_floor_ms / 1000
    if record.stage == 0:
        return floor_s
    available_s = (
        record.deadline_s
        - _shifting_since_s(record)
        - progress.target_count * progress.interval_s
        - settings.deadline_margin_ms / 1000
    )
    ratio = settings.stage_ratio
    if _is_last_unjudged(settings, record.stage):
        ratio = settings.soak_ratio
    duration_s = min(ratio * available_s, settings.soak_ceiling_ms / 1000)
    return max(floor_s, duration_s)


def _start_loading(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    inputs: DecisionInputs,
) -> state.MoveRecord | None:
    if inputs.now_s < record.start_s:
        return None
    progress = inputs.progress
    if not progress.target_count:
        return None
    needed_s = progress.remaining_s + minimum_judging_s(settings)
    left_s = record.deadline_s - inputs.now_s
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
    inputs: DecisionInputs,
) -> state.MoveRecord | None:
    progress = inputs.progress
    if progress.loaded_count < progress.first_wave_count:
        return None
    return dataclasses.replace(
        record,
        phase=state.MovePhase.SHIFTING,
        stage=0,
        share=settings.shares[0],
        stage_since_s=inputs.now_s,
        reason='The first targets have loaded the version.',
    )


def _shift(
    settings: state.MoveSettings,
    record: state.MoveRecord,
    inputs: DecisionInputs,
) -> state.MoveRecord | None:
    if inputs.judgement.bad:
        return roll_back(
            record, inputs.judgement.reason, state.MoveVerdict.BAD
        )
    if inputs.judgement.suspect:
        return None
    if inputs.stopped_count:
        # At least one instance stopped the version on its own evidence. The
        # share does not rise while the combined evidence may still confirm it.
        return None
    progress = inputs.progress
    in_stage_s = inputs.now_s - record.stage_since_s
    if in_stage_s < stage_duration_s(settings, record, progress):
        return None
    compared = inputs.judgement.compared_count
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
        required_count = settings.loaded_ratio * progress.target_count
        if progress.loaded_count < required_count:
            return None
    return dataclasses.replace(
        record,
        stage=record.stage + 1,
        share=share,
        stage_since_s=inputs.now_s,
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
