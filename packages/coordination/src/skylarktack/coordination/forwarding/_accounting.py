"""Accounts for finished requests: one result and one cause for each.

Log lines of served requests are sampled, so totals come from counts that are
logged at intervals.
"""

import dataclasses
import enum
import threading

from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _gateway
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.state import forwarding as data

#: Maximum number of rows that are counted between two log lines; further
#: requests are counted without their organisation.
MAX_ROW_COUNT = 200

#: Organisation of requests beyond the maximum number of rows.
OTHER_ORGANISATIONS = 'other'

_CAUSE_BY_REASON = {
    data.RefusalReason.NO_CONFIGURATION: 'configuration out of date',
    data.RefusalReason.PROMPT_QUARANTINED: 'prompt part quarantined',
    data.RefusalReason.MEMORY_FULL: 'memory full',
    data.RefusalReason.OVER_SHARE: 'organisation over its share',
    data.RefusalReason.STOPPING: 'instance stopping',
    data.RefusalReason.TIME_UP: 'waited too long',
    data.RefusalReason.TIME_UP_NOT_RUN: 'waited too long',
    data.RefusalReason.INTERNAL_ERROR: 'unexpected error',
    data.RefusalReason.INTERNAL_ERROR_NOT_RUN: 'unexpected error',
}

#: Reasons for which the caller's own request was wrong.
_CALLER_REASONS = frozenset(
    (
        data.RefusalReason.NO_ROUTE,
        data.RefusalReason.UNKNOWN_KEY,
        data.RefusalReason.BAD_REQUEST,
        data.RefusalReason.HEADER_TOO_LARGE,
        data.RefusalReason.BODY_TOO_LARGE,
        data.RefusalReason.READ_TIMEOUT,
    )
)


class RequestResult(enum.Enum):
    """What a caller got."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'

    #: The caller closed the connection.
    LEFT = 'left'

    #: The request itself was not allowed or not valid.
    REJECTED = 'rejected'


@dataclasses.dataclass(frozen=True)
class CountKey:
    """Requests with the same key are counted together."""

    #: Name of the route, or empty if none matched.
    route: str

    #: Organisation of the caller, or empty if it was not authenticated.
    organisation: str

    result: RequestResult

    #: Cause of a result other than ``IN_TIME``, which has an empty one.
    cause: str


@dataclasses.dataclass(frozen=True)
class CountSums:
    """Sums over counted requests."""

    request_count: int = 0

    #: Sends to targets beyond the first of each request.
    extra_send_count: int = 0

    #: Prompt tokens that engines were sent again without a copy.
    reread_tokens: int = 0

    #: Time until the first send, and from there to the first event or the
    #: complete response.
    queued_ms: float = 0.0
    waited_ms: float = 0.0

    #: Time from the first to the last event of streams, and the events.
    streamed_ms: float = 0.0
    event_count: int = 0

    def plus(self, other: 'CountSums') -> 'CountSums':
        """Return the sums over both."""
        return CountSums(
            self.request_count + other.request_count,
            self.extra_send_count + other.extra_send_count,
            self.reread_tokens + other.reread_tokens,
            self.queued_ms + other.queued_ms,
            self.waited_ms + other.waited_ms,
            self.streamed_ms + other.streamed_ms,
            self.event_count + other.event_count,
        )


@dataclasses.dataclass(frozen=True)
class RequestCount:
    """One row of counts."""

    key: CountKey
    sums: CountSums


class RequestAccounts:
    """Counts finished requests between two log lines."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sums: dict[CountKey, CountSums] = {}

    def on_request_end(self, report: _gateway.RequestReport) -> None:
        """Count one finished request."""
        key = key_of(report)
        sums = sums_of(report)
        with self._lock:
            if key not in self._sums and len(self._sums) >= MAX_ROW_COUNT:
                key = dataclasses.replace(
                    key, organisation=OTHER_ORGANISATIONS
                )
            self._sums[key] = self._sums.get(key, CountSums()).plus(sums)

    def take(self) -> tuple[RequestCount, ...]:
        """Return the counts since the last call, and start anew."""
        with self._lock:
            taken = self._sums
            self._sums = {}
        return tuple(RequestCount(key, sums) for key, sums in taken.items())


def key_of(report: _gateway.RequestReport) -> CountKey:
    """Return the key under which a request is counted."""
    result, cause = _result_and_cause(report)
    return CountKey(
        report.route or '', report.organisation or '', result, cause
    )


def sums_of(report: _gateway.RequestReport) -> CountSums:
    """Return the sums of one request."""
    sends = [step for step in report.steps if step.step == 'send']
    first_event_at_ms = _first_at_ms(report, 'first_event')
    queued_ms = sends[0].at_ms if sends else report.duration_ms
    answered_at_ms = report.duration_ms
    if first_event_at_ms is not None:
        answered_at_ms = first_event_at_ms
    reread_count = 0
    for step in sends[1:]:
        reread_count += not step.inputs.get('from_copy')
    if report.kind is not data.RequestKind.STREAM:
        reread_count = 0
    elif report.request.last_event_id is not None and sends:
        reread_count += 1
    streamed_ms = 0.0
    if first_event_at_ms is not None:
        streamed_ms = report.duration_ms - first_event_at_ms
    return CountSums(
        request_count=1,
        extra_send_count=max(0, len(sends) - 1),
        reread_tokens=reread_count * report.request.prompt_tokens,
        queued_ms=queued_ms,
        waited_ms=max(0.0, answered_at_ms - queued_ms),
        streamed_ms=streamed_ms,
        event_count=_event_count(report),
    )


def _result_and_cause(
    report: _gateway.RequestReport,
) -> tuple[RequestResult, str]:
    outcome = report.outcome
    if isinstance(outcome, data.Refusal):
        if outcome.reason in _CALLER_REASONS:
            return RequestResult.REJECTED, outcome.reason.value
        if outcome.retry_after_s is not None:
            return RequestResult.REFUSED, _refusal_cause(report, outcome)
        return RequestResult.FAILED, _refusal_cause(report, outcome)
    if isinstance(outcome, _outcomes.CallerDisconnected):
        return RequestResult.LEFT, _slow_cause(report) or 'left by itself'
    if isinstance(outcome, _outcomes.CutByExit):
        return RequestResult.FAILED, 'cut by the exit'
    if isinstance(outcome, _outcomes.StreamInterrupted):
        return RequestResult.FAILED, _loss_cause(report) or 'waited too long'
    if isinstance(outcome, data.FrontResponse):
        if outcome.status >= _calls.FIRST_SERVER_ERROR_STATUS:
            return RequestResult.FAILED, 'error of the target'
    if is_late(report):
        return RequestResult.LATE, _slow_cause(report) or 'slow target'
    return RequestResult.IN_TIME, ''


def is_late(report: _gateway.RequestReport) -> bool:
    """Return whether a served request missed its objectives."""
    objective_ms = report.latency_objective_ms
    if objective_ms is None:
        return False
    if report.kind is not data.RequestKind.STREAM:
        return report.duration_ms > objective_ms
    for step in report.steps:
        if step.step == 'long_pause':
            return True
        if step.step == 'first_event' and step.at_ms > objective_ms:
            return True
    return False


def _refusal_cause(
    report: _gateway.RequestReport, refusal: data.Refusal
) -> str:
    cause = _CAUSE_BY_REASON.get(refusal.reason)
    if cause is not None:
        return cause
    if _first_at_ms(report, 'prompt_quarantined') is not None:
        return 'prompt part quarantined'
    if refusal.reason is data.RefusalReason.TARGET_FAILED:
        return _loss_cause(report) or 'error of the target'
    if _first_at_ms(report, 'engine_full') is not None:
        return 'no room at the targets'
    for step in report.steps:
        if step.step == 'answer':
            return 'refused by the targets'
    return 'no target'


def _slow_cause(report: _gateway.RequestReport) -> str:
    """Return why a request took long, or an empty text."""
    loss = _loss_cause(report)
    if loss:
        return loss
    if report.request.last_event_id is not None:
        return 'came back from a lost instance'
    for step in report.steps:
        if step.step == 'wait_for_pause':
            return 'targets paused'
    sums = sums_of(report)
    if sums.queued_ms > max(sums.waited_ms, sums.streamed_ms):
        return 'queued'
    if sums.extra_send_count:
        return 'sent again'
    return ''


def _loss_cause(report: _gateway.RequestReport) -> str:
    """Return how a run or call was lost at its target, or an empty text."""
    is_lost = False
    has_started = report.request.last_event_id is not None
    for step in report.steps:
        if step.step == 'first_event':
            has_started = True
        if step.step in ('fault', 'silence'):
            is_lost = True
            lost_with_events = has_started
        if step.step == 'send' and is_lost:
            if report.kind is not data.RequestKind.STREAM:
                return 'call lost'
            if not lost_with_events:
                return 'run lost while its prompt was read'
            if step.inputs.get('from_copy'):
                return 'run lost with a copy'
            return 'run lost without a copy'
    if not is_lost:
        return ''
    if report.kind is not data.RequestKind.STREAM:
        return 'call lost'
    return 'run lost at the end'


def _event_count(report: _gateway.RequestReport) -> int:
    for step in report.steps:
        if step.step == 'complete':
            count = step.inputs.get('event_count')
            return count if isinstance(count, int) else 0
    return 0


def _first_at_ms(report: _gateway.RequestReport, name: str) -> float | None:
    for step in report.steps:
        if step.step == name:
            return step.at_ms
    return None
