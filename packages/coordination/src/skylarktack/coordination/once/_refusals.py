"""Refusals and final results of at-most-once calls."""

from expression import Error
from expression import Ok

from skylarktack import state
from skylarktack.coordination.once import _in_flight


def key_refusal(key: str | None, max_chars: int) -> state.Refusal | None:
    """Return the refusal of an invalid key, or None if it is valid."""
    if not key:
        return _not_run(
            state.RefusalCode.KEY_REQUIRED,
            'This route needs the header Idempotency-Key.',
        )
    if len(key) > max_chars or not key.isprintable():
        return _not_run(
            state.RefusalCode.BAD_REQUEST,
            f'Idempotency-Key must have 1 to {max_chars} printable'
            ' characters.',
        )
    return None


def key_conflict() -> state.Refusal:
    """Return the refusal of a key reused for a different request."""
    return _not_run(
        state.RefusalCode.KEY_CONFLICT,
        'The key was used with another route, path or body; this request'
        ' was not run.',
    )


def store_unavailable() -> state.Refusal:
    """Return the refusal of a call whose claim was not written."""
    return state.Refusal(
        code=state.RefusalCode.STORE_UNAVAILABLE,
        message='The claim could not be stored; this request was not'
        ' executed.',
        run=state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )


def dispatch_deadline_passed() -> state.Refusal:
    """Return the refusal of a call delayed too long after its claim."""
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
        message=f'No target could be reached: {fault.message}',
        run=state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )


def outcome_unknown() -> state.Refusal:
    """Return the refusal of a call that may have been executed."""
    return state.Refusal(
        code=state.RefusalCode.OUTCOME_UNKNOWN,
        message='The call may have been executed and is not sent again;'
        ' repeat the request with the same key to query its outcome.',
        run=state.RunState.UNKNOWN,
        retry_after_ms=5000,
    )


def final_result(record: state.ClaimRecord) -> _in_flight.CallResult:
    """Return the result for a key whose record is final."""
    if record.phase is state.ClaimPhase.SETTLED_NOT_RUN:
        return Error(
            _not_run(
                state.RefusalCode.CANCELLED,
                'An operator settled the call as not executed; use a new key.',
            )
        )
    if record.phase is state.ClaimPhase.RELEASED:
        return Error(store_unavailable())
    if record.answer is not None:
        return Ok(record.answer)
    return Error(
        state.Refusal(
            code=state.RefusalCode.ANSWER_EXPIRED,
            message='The call was executed, but its response is not stored.',
            run=state.RunState.RAN,
        )
    )


def _not_run(code: state.RefusalCode, message: str) -> state.Refusal:
    return state.Refusal(code, message, state.RunState.NOT_RUN)
