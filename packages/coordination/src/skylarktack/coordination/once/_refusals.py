"""Typed refusals of calls that may not be repeated."""

from expression import Error
from expression import Ok

from skylarktack import state
from skylarktack.coordination.once import _in_flight


def key_refusal(key: str | None, limit_chars: int) -> state.Refusal | None:
    """Return why a key cannot be used, or None if it can."""
    if not key:
        return _not_run(
            state.RefusalCode.KEY_REQUIRED,
            'This route needs the header Idempotency-Key.',
        )
    if len(key) > limit_chars or not key.isprintable():
        return _not_run(
            state.RefusalCode.BAD_REQUEST,
            f'Idempotency-Key: 1 to {limit_chars} printable characters.',
        )
    return None


def key_conflict() -> state.Refusal:
    """Return the refusal of a used key with another request."""
    return _not_run(
        state.RefusalCode.KEY_CONFLICT,
        'The key was used with another route, path or body; this request'
        ' was not run.',
    )


def store_unavailable() -> state.Refusal:
    """Return the refusal of a call whose claim could not be written."""
    return state.Refusal(
        code=state.RefusalCode.STORE_UNAVAILABLE,
        message='The call could not be claimed; this request was not run.',
        run=state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )


def claim_late() -> state.Refusal:
    """Return the refusal of a call that was held up after its claim."""
    return state.Refusal(
        code=state.RefusalCode.QUEUE_DEADLINE,
        message='The deadline passed before the call was dispatched.',
        run=state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )


def target_unreachable(fault: state.DispatchFault) -> state.Refusal:
    """Return the refusal of a call that reached no target."""
    return state.Refusal(
        code=state.RefusalCode.TARGET_FAILED,
        message=f'No target was reached: {fault.message}',
        run=state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )


def outcome_unknown() -> state.Refusal:
    """Return the refusal of a call that may have run."""
    return state.Refusal(
        code=state.RefusalCode.OUTCOME_UNKNOWN,
        message='The call may have run; it will not be sent again. Ask'
        ' again with the same key.',
        run=state.RunState.UNKNOWN,
        retry_after_ms=5000,
    )


def final_result(record: state.ClaimRecord) -> _in_flight.CallResult:
    """Return what a key with a final record answers."""
    if record.phase is state.ClaimPhase.SETTLED_NOT_RUN:
        return Error(
            _not_run(
                state.RefusalCode.CANCELLED,
                'An operator found that the call did not run; use a new key.',
            )
        )
    if record.phase is state.ClaimPhase.RELEASED:
        return Error(store_unavailable())
    if record.answer is not None:
        return Ok(record.answer)
    return Error(
        state.Refusal(
            code=state.RefusalCode.ANSWER_EXPIRED,
            message='The call ran; its answer is not kept.',
            run=state.RunState.RAN,
        )
    )


def _not_run(code: state.RefusalCode, message: str) -> state.Refusal:
    return state.Refusal(code, message, state.RunState.NOT_RUN)
