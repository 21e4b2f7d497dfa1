"""Log lines about requests that have ended."""

import threading

from skylarktack.coordination import forwarding
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Lines a second about requests that were served; failures are never left
#: out.
SERVED_LINES_PER_S = 2.0

#: Statuses from which on an answer is a failure.
FIRST_FAILURE_STATUS = 400


class RequestLog:
    """Writes one line for each failed request and some served ones."""

    def __init__(self, clock: Clock, log: forwarding.EventLog) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._allowance = SERVED_LINES_PER_S
        self._refilled_at_s = clock.monotonic_s()

    def ended(self, report: forwarding.RequestReport) -> None:
        """Take one report without waiting."""
        outcome, cause = describe(report.outcome)
        is_served = outcome in ('answered', 'streamed')
        if is_served and not self._has_allowance():
            return
        event_type = (
            forwarding.RequestServed if is_served else forwarding.RequestFailed
        )
        self._log.record(
            event_type(
                request=report.request.attempt_id,
                route=report.route,
                kind=report.kind.value if report.kind else None,
                organisation=report.organisation,
                configuration=report.configuration_version,
                is_current=report.is_configuration_current,
                outcome=outcome,
                cause=cause,
                duration_ms=round(report.duration_ms, 1),
                steps=tuple(
                    {'at_ms': step.at_ms, 'step': step.step, **step.inputs}
                    for step in report.steps
                ),
            )
        )

    def _has_allowance(self) -> bool:
        now_s = self._clock.monotonic_s()
        with self._lock:
            gained = (now_s - self._refilled_at_s) * SERVED_LINES_PER_S
            self._refilled_at_s = now_s
            self._allowance = min(SERVED_LINES_PER_S, self._allowance + gained)
            if self._allowance < 1:
                return False
            self._allowance -= 1
            return True


def describe(outcome: forwarding.StreamOutcome) -> tuple[str, str]:
    """Return the name of an outcome and its cause in one phrase."""
    if isinstance(outcome, data.FrontAnswer):
        if outcome.status < FIRST_FAILURE_STATUS:
            return 'answered', f'status {outcome.status}'
        return 'target_failure', f'status {outcome.status}'
    if isinstance(outcome, data.Refusal):
        return 'refused', f'{outcome.reason.value}: {outcome.detail}'
    if isinstance(outcome, forwarding.StreamBroken):
        return 'broken', outcome.detail
    if isinstance(outcome, forwarding.CallerLeft):
        return 'caller_left', 'the caller closed the connection'
    return 'streamed', 'complete'


class Observers:
    """Tells several observers of each request that ended."""

    def __init__(self, *observers: forwarding.RequestObserver) -> None:
        self._observers = observers

    def ended(self, report: forwarding.RequestReport) -> None:
        """Pass one report on."""
        for observer in self._observers:
            observer.ended(report)
