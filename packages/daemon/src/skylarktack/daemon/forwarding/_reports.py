"""Log lines for finished requests."""

import threading

from skylarktack.coordination import forwarding
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum rate of log lines for requests that were served in time, and for
#: late ones. Failed requests are always logged.
SERVED_LINES_PER_S = 2.0
LATE_LINES_PER_S = 20.0

#: Longer paths are truncated in log lines.
MAX_PATH_CHARS = 200

SERVED_OUTCOMES = frozenset(('answered', 'streamed'))

#: Lowest HTTP status that counts as a failure.
FIRST_FAILURE_STATUS = 400


class RequestLog:
    """Logs each failed request and a sample of the others."""

    def __init__(self, clock: Clock, log: forwarding.EventLog) -> None:
        self._log = log
        self._served_rate_limit = _LineRateLimit(clock, SERVED_LINES_PER_S)
        self._late_rate_limit = _LineRateLimit(clock, LATE_LINES_PER_S)

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Log one finished request, unless the rate limit excludes it."""
        outcome, cause = describe_outcome(report.outcome)
        event_type: type[forwarding.RequestServed] = forwarding.RequestFailed
        if outcome in SERVED_OUTCOMES:
            event_type = forwarding.RequestServed
            rate_limit = self._served_rate_limit
            if forwarding.is_late(report):
                event_type = forwarding.RequestLate
                rate_limit = self._late_rate_limit
            if not rate_limit.try_acquire():
                return
        self._log.record(
            event_type(
                request=report.request.attempt_id,
                host=report.request.host,
                path=report.request.path.decode('latin-1')[:MAX_PATH_CHARS],
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


class _LineRateLimit:
    """Token bucket that limits log lines per second."""

    def __init__(self, clock: Clock, lines_per_s: float) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._tokens = lines_per_s
        self._refilled_at_s = clock.monotonic_s()

    def try_acquire(self) -> bool:
        """Take one token; return False if there is none."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            refill = (now_s - self._refilled_at_s) * self._lines_per_s
            self._refilled_at_s = now_s
            self._tokens = min(self._lines_per_s, self._tokens + refill)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


def describe_outcome(outcome: forwarding.RequestOutcome) -> tuple[str, str]:
    """Return the name of an outcome, as logged, and its cause."""
    if isinstance(outcome, data.FrontResponse):
        if outcome.status < FIRST_FAILURE_STATUS:
            return 'answered', f'status {outcome.status}'
        return 'target_failure', f'status {outcome.status}'
    if isinstance(outcome, data.Refusal):
        return 'refused', f'{outcome.reason.value}: {outcome.detail}'
    if isinstance(outcome, forwarding.StreamInterrupted):
        return 'broken', outcome.detail
    if isinstance(outcome, forwarding.CutByExit):
        return 'cut', 'the instance exits'
    if isinstance(outcome, forwarding.CallerDisconnected):
        return 'caller_left', 'the caller closed the connection'
    return 'streamed', 'complete'


class CompositeObserver:
    """Calls several observers for each finished request."""

    def __init__(
        self,
        errors: forwarding.ErrorRecorder,
        *observers: forwarding.RequestObserver,
    ) -> None:
        self._errors = errors
        self._observers = observers

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Pass one report to each observer, even if another one fails."""
        for observer in self._observers:
            with self._errors.contain(forwarding.REQUEST_REPORT):
                observer.on_request_end(report)
