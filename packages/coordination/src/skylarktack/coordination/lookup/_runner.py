"""Runs a plain call that may be repeated.

The caller's thread sends, waits on one or two connections and reads; a hedge
needs no further thread.
"""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.lookup import _latencies

#: Header that tells the target how long the caller still waits.
DEADLINE_HEADER = 'Skylarktack-Deadline-Ms'

#: Status from which an answer counts as a fault of the target.
_FAULT_STATUS = 500

CallResult = Result[state.ServiceResponse, state.Refusal]


@dataclasses.dataclass(frozen=True)
class LookupParts:
    """What repeatable calls need."""

    #: Settings of retries, hedges and ejection.
    settings: state.LookupSettings

    #: Connections to services.
    client: ports.LookupClient

    #: Choice of targets.
    selector: ports.TargetSelector

    #: Shares of two versions.
    versions: ports.VersionSelector

    #: Bound of retries and hedges.
    retry_budget: ports.RetryBudget

    #: Targets to avoid.
    health: ports.TargetHealth

    #: Takes evidence.
    outcomes: ports.OutcomeObserver

    #: Time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One sent call."""

    target: state.Target
    pending: ports.PendingCall
    started_s: float


class _Lookup:
    """One call and what was tried for it."""

    def __init__(self, call: state.ServiceCall, end_s: float) -> None:
        self.call = call
        self.end_s = end_s
        self.tried: tuple[state.TargetName, ...] = ()
        self.open: list[_Attempt] = []
        self.is_hedged = False
        self.last: CallResult = Error(_no_target())


class LookupRunner:
    """Sends repeatable calls, retries and hedges them within a budget."""

    def __init__(self, parts: LookupParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._latencies = _latencies.RouteLatencies()

    def run(self, call: state.ServiceCall) -> CallResult:
        """Return the first good answer of up to a few targets."""
        started_s = self._clock.monotonic_s()
        work = _Lookup(call, started_s + call.route.call_timeout_ms / 1000)
        self._parts.retry_budget.record_request(call.organisation)
        try:
            result = self._run(work)
        finally:
            for attempt in work.open:
                attempt.pending.close()
                self._parts.selector.release(attempt.target.name)
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self._parts.metrics.duration(
            'lookup.call', call.organisation, duration_ms
        )
        return result

    def _run(self, work: _Lookup) -> CallResult:
        if not self._send(work):
            return work.last
        while work.open:
            left_s = work.end_s - self._clock.monotonic_s()
            if left_s <= 0:
                return self._out_of_time(work)
            wait_s = left_s
            if self._may_hedge(work):
                wait_s = min(left_s, self._hedge_delay_s(work))
            ready = self._parts.client.first_ready(
                tuple(attempt.pending for attempt in work.open), wait_s
            )
            if ready is None:
                if wait_s < left_s:
                    self._hedge(work)
                continue
            if self._receive(work, ready):
                return work.last
            if not work.open:
                self._retry(work)
        return work.last

    def _send(self, work: _Lookup) -> bool:
        """Send to a target that was not tried; retry those that fail."""
        while True:
            chosen = self._select(work)
            if chosen.is_error():
                if not work.tried:
                    work.last = Error(chosen.error)
                return False
            target = chosen.ok
            work.tried = (*work.tried, target.name)
            now_s = self._clock.monotonic_s()
            left_s = max(0.001, work.end_s - now_s)
            sent = self._parts.client.send(
                target, _with_deadline(work.call, left_s), left_s
            )
            if sent.is_ok():
                work.open.append(_Attempt(target, sent.ok, now_s))
                return True
            self._parts.selector.release(target.name)
            self._note_fault(work, target, now_s, sent.error)
            if not self._may_retry(work):
                return False

    def _select(self, work: _Lookup) -> Result[state.Target, state.Refusal]:
        call = work.call
        request = ports.SelectionRequest(
            request_id=call.request_id,
            route=call.route,
            organisation=call.organisation,
            version=self._parts.versions.version_for(
                call.route, call.request_id
            ),
            excluded=work.tried,
        )
        ejected = self._parts.health.ejected()
        if ejected:
            chosen = self._parts.selector.assign(
                dataclasses.replace(request, excluded=(*work.tried, *ejected))
            )
            if chosen.is_ok():
                return chosen
        return self._parts.selector.assign(request)

    def _may_hedge(self, work: _Lookup) -> bool:
        if not self._parts.settings.hedges or work.is_hedged:
            return False
        return len(work.tried) < self._parts.settings.attempt_count

    def _hedge_delay_s(self, work: _Lookup) -> float:
        settings = self._parts.settings
        p95_ms = self._latencies.p95_ms(work.call.route.name)
        if p95_ms is None:
            # A short time limit must leave room for the hedge's answer.
            p95_ms = min(
                settings.hedge_initial_ms,
                work.call.route.call_timeout_ms / 4,
            )
        due_s = work.open[0].started_s + (
            max(settings.hedge_floor_ms, p95_ms) / 1000
        )
        return max(0.0, due_s - self._clock.monotonic_s())

    def _hedge(self, work: _Lookup) -> None:
        """Send the call to a second target as well, if the budget allows.

        Without budget or target the first attempt is waited for alone.
        """
        slow = work.open[0]
        self._parts.health.record_fault(slow.target.name)
        work.is_hedged = True
        if self._spend(work) and self._send(work):
            self._parts.metrics.count('lookup.hedges')

    def _retry(self, work: _Lookup) -> None:
        if self._may_retry(work):
            self._send(work)

    def _may_retry(self, work: _Lookup) -> bool:
        if len(work.tried) >= self._parts.settings.attempt_count:
            return False
        if self._clock.monotonic_s() >= work.end_s:
            return False
        if not self._spend(work):
            return False
        self._parts.metrics.count('lookup.retries')
        return True

    def _spend(self, work: _Lookup) -> bool:
        if self._parts.retry_budget.try_spend(work.call.organisation):
            return True
        self._parts.metrics.count('lookup.budget_refusals')
        return False

    def _receive(self, work: _Lookup, ready: ports.PendingCall) -> bool:
        """Read one answer; return whether it is good."""
        attempt = _of(work, ready)
        work.open.remove(attempt)
        left_s = max(0.001, work.end_s - self._clock.monotonic_s())
        try:
            answered = ready.receive(left_s)
        finally:
            self._parts.selector.release(attempt.target.name)
        if answered.is_error():
            self._note_fault(
                work, attempt.target, attempt.started_s, answered.error
            )
            return False
        work.last = Ok(answered.ok)
        duration_ms = (self._clock.monotonic_s() - attempt.started_s) * 1000
        if answered.ok.status >= _FAULT_STATUS:
            self._parts.health.record_fault(attempt.target.name)
            self._observe(
                work, attempt.target, state.OutcomeKind.ERROR, duration_ms
            )
            return False
        self._latencies.record(work.call.route.name, duration_ms)
        self._parts.health.record_success(attempt.target.name)
        self._observe(
            work, attempt.target, state.OutcomeKind.SUCCESS, duration_ms
        )
        return True

    def _note_fault(
        self,
        work: _Lookup,
        target: state.Target,
        started_s: float,
        fault: state.DispatchFault,
    ) -> None:
        self._parts.health.record_fault(target.name)
        kind = state.OutcomeKind.CONNECTION_LOST
        if fault.timed_out:
            kind = state.OutcomeKind.SILENT
        elif fault.run is state.RunState.NOT_RUN:
            kind = state.OutcomeKind.REFUSED
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self._observe(work, target, kind, duration_ms)
        run = fault.run
        if work.last.is_error() and len(work.tried) > 1:
            # An earlier attempt may have run.
            if work.last.error.run is not state.RunState.NOT_RUN:
                run = work.last.error.run
        if work.open:
            run = state.RunState.UNKNOWN
        if work.last.is_error():
            work.last = Error(_failed(fault.message, run))

    def _out_of_time(self, work: _Lookup) -> CallResult:
        for attempt in work.open:
            self._parts.health.record_fault(attempt.target.name)
            self._observe(
                work,
                attempt.target,
                state.OutcomeKind.SILENT,
                work.call.route.call_timeout_ms,
            )
        if work.last.is_ok():
            return work.last
        return Error(
            _failed('No target answered in time.', state.RunState.UNKNOWN)
        )

    def _observe(
        self,
        work: _Lookup,
        target: state.Target,
        kind: state.OutcomeKind,
        duration_ms: float,
    ) -> None:
        is_answer = kind in (
            state.OutcomeKind.SUCCESS,
            state.OutcomeKind.ERROR,
        )
        self._parts.outcomes.observe(
            state.TargetOutcome(
                target=target.name,
                route=work.call.route.name,
                version=self._parts.versions.version_for(
                    work.call.route, work.call.request_id
                ),
                organisation=work.call.organisation,
                kind=kind,
                first_token_ms=duration_ms if is_answer else None,
                inter_token_ms=None,
                duration_ms=duration_ms,
            )
        )


def _of(work: _Lookup, ready: ports.PendingCall) -> _Attempt:
    for attempt in work.open:
        if attempt.pending is ready:
            return attempt
    raise LookupError('the call is not open')


def _with_deadline(
    call: state.ServiceCall, left_s: float
) -> state.ServiceCall:
    header = (DEADLINE_HEADER, str(max(1, int(left_s * 1000))))
    return dataclasses.replace(call, headers=(*call.headers, header))


def _failed(message: str, run: state.RunState) -> state.Refusal:
    return state.Refusal(state.RefusalCode.TARGET_FAILED, message, run)


def _no_target() -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.NO_TARGET,
        'No live target serves the version.',
        state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )
