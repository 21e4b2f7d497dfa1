"""Promises, checked from what callers and targets saw."""

import collections
from collections.abc import Callable
import dataclasses

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _callers

#: Statuses that promise that a request has not run.
PROMISE_STATUSES = frozenset((408, 421, 429, 503))

#: Time after its acknowledgement in which a configuration is in force, and the
#: time for which an answer may be on its way.
APPLY_S = 2.0
CHECK_S = 0.5

#: Statuses that deny a proper request.
DENIAL_STATUSES = frozenset((400, 401, 403, 404, 413, 431))


@dataclasses.dataclass
class Promise:
    """One promise with the checks made and what broke it."""

    name: str
    check_count: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: bool, what: str) -> None:
        """Count one check."""
        self.check_count += 1
        if not holds:
            self.broken.append(what)


@dataclasses.dataclass(frozen=True)
class UnknownTime:
    """A time in which neither the store nor a process knew some routes.

    The store was restored from a copy without them, and all processes of
    before were killed before the routes were written again.
    """

    #: Routes that the copy lacked.
    routes: frozenset[str]

    #: From the restore until the routes were written again.
    began_at_s: float
    ended_at_s: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """All that callers and targets saw in a run."""

    calls: tuple[_callers.CallRecord, ...]
    streams: tuple[_callers.StreamRecord, ...]
    runs: tuple[platform.Run, ...]

    #: When each route that was added was acknowledged.
    confirmed_at_s: dict[str, float] = dataclasses.field(default_factory=dict)

    #: Times in which nobody knew some of them.
    unknown_times: tuple[UnknownTime, ...] = ()


def check_all(evidence: Evidence) -> tuple[Promise, ...]:
    """Return all promises with their checks."""
    return tuple(check(evidence) for check in _CHECKS)


def _order(evidence: Evidence) -> Promise:
    promise = Promise('no event is missing, doubled, mixed or torn')
    for stream in evidence.streams:
        attempt = stream.attempts[0]
        for number, event in enumerate(stream.events, start=1):
            expected = platform.event_text(attempt.subject or '', number)
            promise.check(
                event == expected,
                f'{attempt.attempt_id}: event {number} is {event!r}',
            )
    return promise


def _completeness(evidence: Evidence) -> Promise:
    promise = Promise('a stream that ends as complete is whole')
    for stream in evidence.streams:
        attempt = stream.attempts[0]
        if stream.is_complete:
            promise.check(
                len(stream.events) == attempt.event_count,
                f'{attempt.attempt_id}: {len(stream.events)} of '
                f'{attempt.event_count} events',
            )
    return promise


def _once(evidence: Evidence) -> Promise:
    promise = Promise('a booking runs at most once')
    counts = _run_counts(evidence)
    for call in evidence.calls:
        if call.attempt.route == 'book':
            count = counts[call.attempt.attempt_id]
            promise.check(
                count <= 1, f'{call.attempt.attempt_id} ran {count} times'
            )
    return promise


def _true_refusals(evidence: Evidence) -> Promise:
    promise = Promise('a refusal that says not run is true')
    counts = _run_counts(evidence)
    for call in evidence.calls:
        if call.answer is None or call.attempt.route != 'book':
            continue
        if call.answer.status in PROMISE_STATUSES:
            promise.check(
                counts[call.attempt.attempt_id] == 0,
                f'{call.attempt.attempt_id} got {call.answer.status} and ran',
            )
    return promise


def _own_answers(evidence: Evidence) -> Promise:
    promise = Promise('a caller gets the answer to its own request')
    for call in evidence.calls:
        if call.answer is None or call.answer.status != 200:
            continue
        expected = f'{call.attempt.attempt_id} done'.encode()
        promise.check(
            call.answer.body == expected,
            f'{call.attempt.attempt_id} got {call.answer.body!r}',
        )
        promise.check(
            'Replica-Signature' in call.answer.headers,
            f'{call.attempt.attempt_id} got an unsigned answer',
        )
    return promise


def _no_denial(evidence: Evidence) -> Promise:
    promise = Promise('nothing is denied that each manifest allows')
    for call in evidence.calls:
        if call.answer is None or call.attempt.route not in ('book', 'peek'):
            continue
        if call.may_be_denied:
            continue
        promise.check(
            call.answer.status not in DENIAL_STATUSES,
            f'{call.attempt.attempt_id} got {call.answer.status}',
        )
    for stream in evidence.streams:
        for refusal in stream.refusals:
            promise.check(
                refusal.status not in DENIAL_STATUSES,
                f'{stream.attempts[0].attempt_id} got {refusal.status}',
            )
    return promise


def _no_return(evidence: Evidence) -> Promise:
    promise = Promise('a configuration never goes back in a process')
    served_at_s: dict[tuple[int, str], float] = {}
    for call in sorted(evidence.calls, key=lambda record: record.ended_at_s):
        if call.answer is None or not call.attempt.route.startswith('r'):
            continue
        key = (call.process_id, call.attempt.route)
        if call.answer.status == 200:
            served_at_s.setdefault(key, call.ended_at_s)
            continue
        if key in served_at_s and call.started_at_s > served_at_s[key]:
            promise.check(
                call.answer.status != 404,
                f'{call.instance} lost route {call.attempt.route}',
            )
    return promise


def _no_late_denial(evidence: Evidence) -> Promise:
    promise = Promise('a route that was confirmed is not denied later')
    for call in evidence.calls:
        confirmed_at_s = evidence.confirmed_at_s.get(call.attempt.route)
        if call.answer is None or confirmed_at_s is None:
            continue
        if _is_unknown(evidence, call):
            continue
        after_s = call.started_at_s - confirmed_at_s
        if after_s > APPLY_S + CHECK_S:
            promise.check(
                call.answer.status not in DENIAL_STATUSES,
                f'{call.attempt.attempt_id} got {call.answer.status} for '
                f'{call.attempt.route} at {call.instance}, process '
                f'{call.process_id}, {after_s:.2f} s after it was confirmed',
            )
    return promise


def _is_unknown(evidence: Evidence, call: _callers.CallRecord) -> bool:
    """Return whether nobody could know the route when it was called."""
    for each in evidence.unknown_times:
        if call.attempt.route not in each.routes:
            continue
        known_at_s = each.ended_at_s + APPLY_S + CHECK_S
        if each.began_at_s <= call.started_at_s <= known_at_s:
            return True
    return False


def _organisation(evidence: Evidence) -> Promise:
    promise = Promise('a target is told the organisation of the key')
    for run in evidence.runs:
        promise.check(
            run.organisation == 'dealer',
            f'{run.attempt_id} ran for {run.organisation}',
        )
    return promise


def _known_requests(evidence: Evidence) -> Promise:
    promise = Promise('only what a caller sent runs')
    sent = {call.attempt.attempt_id for call in evidence.calls}
    for stream in evidence.streams:
        sent.update(attempt.attempt_id for attempt in stream.attempts)
    for run in evidence.runs:
        promise.check(run.attempt_id in sent, f'{run.attempt_id} ran')
    return promise


def _run_counts(evidence: Evidence) -> collections.Counter[str]:
    return collections.Counter(run.attempt_id for run in evidence.runs)


_CHECKS: tuple[Callable[[Evidence], Promise], ...] = (
    _order,
    _completeness,
    _once,
    _true_refusals,
    _own_answers,
    _no_denial,
    _no_return,
    _no_late_denial,
    _organisation,
    _known_requests,
)
