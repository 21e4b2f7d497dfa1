"""Log lines about requests that have ended."""

import threading

from skylarktack.coordination import forwarding
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Lines a second about requests that were served in time, and late; failures
#: are never left out.
SERVED_LINES_PER_S = 2.0
LATE_LINES_PER_S = 20.0

#: Most characters of a path in a line.
PATH_LIMIT_CHARS = 200

SERVED_OUTCOMES = frozenset(('answered', 'streamed'))

#: Statuses from which on an answer is a failure.
FIRST_FAILURE_STATUS = 400


class RequestLog:
    """Writes a line for each failed request, and for some others."""

    def __init__(self, clock: Clock, log: forwarding.EventLog) -> None:
        self._log = log
        self._served = _Allowance(clock, SERVED_LINES_PER_S)
        self._late = _Allowance(clock, LATE_LINES_PER_S)

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Take one report without waiting."""
        outcome, cause = describe(report.outcome)
        event_type: type[forwarding.RequestServed] = forwarding.RequestFailed
        if outcome in SERVED_OUTCOMES:
            event_type = forwarding.RequestServed
            allowance = self._served
            if _is_late(report):
                event_type = forwarding.RequestLate
                allowance = self._late
            if not allowance.claim():
                return
        self._log.record(
            event_type(
                request=report.request.attempt_id,
                host=report.request.host,
                path=report.request.path.decode('latin-1')[:PATH_LIMIT_CHARS],
                route=report.route,
                kind=report.kind.value if report.kind else None,
                organisation=report.organisation,
                configuration=report.configuration_version,
                is_current=report.is_configuration_current,
                time_limit_ms=report.request.time_limit_ms,
                after_event=report.request.last_event_id,
                outcome=outcome,
                cause=cause,
                duration_ms=round(report.duration_ms, 1),
                steps=tuple(
                    {'at_ms': step.at_ms, 'step': step.step, **step.inputs}
                    for step in report.steps
                ),
            )
        )


class _Allowance:
    """Lines that may be written in a second."""

    def __init__(self, clock: Clock, lines_per_s: float) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._left = lines_per_s
        self._refilled_at_s = clock.monotonic_s()

    def claim(self) -> bool:
        """Return whether one more line may be written, and count it."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            gained = (now_s - self._refilled_at_s) * self._lines_per_s
            self._refilled_at_s = now_s
            self._left = min(self._lines_per_s, self._left + gained)
            if self._left < 1:
                return False
            self._left -= 1
            return True


def _is_late(report: forwarding.RequestReport) -> bool:
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


def describe(outcome: forwarding.StreamOutcome) -> tuple[str, str]:
    """Return the name of an outcome and its cause in one phrase."""
    if isinstance(outcome, data.FrontResponse):
        if outcome.status < FIRST_FAILURE_STATUS:
            return 'answered', f'status {outcome.status}'
        return 'target_failure', f'status {outcome.status}'
    if isinstance(outcome, data.Refusal):
        return 'refused', f'{outcome.reason.value}: {outcome.detail}'
    if isinstance(outcome, forwarding.StreamInterrupted):
        return 'broken', outcome.detail
    if isinstance(outcome, forwarding.CallerDisconnected):
        return 'caller_left', 'the caller closed the connection'
    return 'streamed', 'complete'


class Observers:
    """Tells several observers of each request that ended."""

    def __init__(self, *observers: forwarding.RequestObserver) -> None:
        self._observers = observers

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Pass one report on."""
        for observer in self._observers:
            observer.on_request_end(report)
