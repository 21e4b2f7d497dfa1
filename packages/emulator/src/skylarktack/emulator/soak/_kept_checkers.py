"""What became of requests on kept connections."""

import collections

from skylarktack.emulator.soak import _checkers
from skylarktack.emulator.soak import _kept_records

_Ending = _kept_records.KeptEnding
_Form = _kept_records.RequestForm


def check_answers(
    records: tuple[_kept_records.KeptRecord, ...],
    executed_ids: frozenset[str],
    has_faults: bool,
) -> _checkers.Promise:
    """Check that each whole request got a whole answer or refusal.

    Not judged are requests of killed processes, of callers that ended their
    sending side, and those that the end of the connection crossed, unless a
    target was sent them.

    :param executed_ids: attempts that a target executed.
    :param has_faults: whether targets fail, so that streams may break off.
    """
    promise = _checkers.Promise('a request on a kept connection is answered')
    for record in records:
        if record.form is _Form.HALF_CLOSED:
            continue
        is_lost = record.ending in (_Ending.UNANSWERED, _Ending.ANNOUNCED)
        if record.ending is _Ending.CROSSED:
            is_lost = record.attempt_id in executed_ids
        if record.ending is _Ending.TRUNCATED:
            is_lost = record.form is not _Form.STREAM or not has_faults
        promise.check(not is_lost, _describe(record))
    return promise


def check_open(
    early_ends: tuple[_kept_records.EarlyEnd, ...], has_loads: bool
) -> _checkers.Promise:
    """Check that idle connections stay open while callers may use them.

    An instance that has ended since may have stopped when it closed them.

    :param has_loads: whether callers open so many connections that idle ones
        are evicted.
    """
    promise = _checkers.Promise('a kept connection stays open for its caller')
    for end in early_ends:
        is_running = end.process.poll() is None
        promise.check(
            has_loads or not is_running,
            f'{end.instance} closed it after {end.idle_s:.2f} s idle, '
            f'the limit was {end.idle_timeout_ms} ms',
        )
    return promise


def summarise(
    records: tuple[_kept_records.KeptRecord, ...],
    early_ends: tuple[_kept_records.EarlyEnd, ...],
) -> tuple[str, ...]:
    """Return lines on endings that are not judged."""
    if not records:
        return ()
    counts = collections.Counter(
        (record.form, record.ending) for record in records
    )
    lines = []
    for form in _Form:
        endings = [
            f'{counts[form, ending]} {ending.value}'
            for ending in _Ending
            if counts[form, ending]
        ]
        lines.append(f'kept, {form.value}: {", ".join(endings) or "none"}')
    for record in records:
        if record.ending in (_Ending.CROSSED, _Ending.NOT_WHOLE):
            lines.append(_describe(record))
    lines.append(f'kept: {len(early_ends)} connections ended while idle')
    return tuple(lines)


def _describe(record: _kept_records.KeptRecord) -> str:
    return (
        f'{record.attempt_id} ({record.form.value}) at {record.instance}, '
        f'sent after {record.sent_at_s:.2f} s and an idle time of '
        f'{record.idle_s:.2f} s: {record.ending.value} after '
        f'{record.duration_s:.2f} s, {record.error}, '
        f'look {record.look_ms:.1f} ms'
    )
