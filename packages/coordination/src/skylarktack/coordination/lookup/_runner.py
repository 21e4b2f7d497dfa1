"""Runs a lookup with retries and hedged requests.

The caller's thread sends the call, waits on one or two connections and reads
the response, so a hedged request needs no additional thread.
"""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.lookup import _latencies

#: Header with the remaining time that the caller waits for the response.
DEADLINE_HEADER = 'Skylarktack-Deadline-Ms'

#: HTTP status from which a response counts as a fault of the target.
_FAULT_STATUS = 500

CallResult = Result[state.ServiceResponse, state.Refusal]


@dataclasses.dataclass(frozen=True)
class LookupParts:
    """Dependencies of the lookup runner."""

    #: Settings of retries, hedged requests and ejection.
    settings: state.LookupSettings

    #: Sends calls and waits for their responses.
    client: ports.LookupClient

    selector: ports.TargetSelector

    #: Selects the version that serves a request.
    versions: ports.VersionSelector

    #: Limits retries and hedged requests.
    retry_budget: ports.RetryBudget

    #: Tracks failing targets and ejects them.
    health: ports.TargetHealth

    #: Receives the outcome of each attempt.
    outcomes: ports.OutcomeObserver

    clock: ports.Clock

    metrics: ports.Metrics


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One attempt that waits for its response."""

    target: state.Target
    pending: ports.PendingCall
    started_s: float


class _LookupState:
    """A lookup and the state of its attempts."""

    def __init__(self, call: state.ServiceCall, end_s: float) -> None:
        self.call = call
        self.end_s = end_s
        self.tried_targets: tuple[state.TargetName, ...] = ()
        self.open_attempts: list[_Attempt] = []
        self.is_hedged = False
        self.last_result: CallResult = Error(_no_target())


class LookupRunner:
    """Sends lookups, with retries and hedges within the retry budget."""

    def __init__(self, dependencies: LookupParts) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._latencies = _latencies.RouteLatencies()

    def run(self, call: state.ServiceCall) -> CallResult:
        """Return the first successful response of the targets tried."""
        started_s = self._clock.monotonic_s()
        lookup = _LookupState(
            call, started_s + call.route.call_timeout_ms / 1000
        )
        self._dependencies.retry_budget.record_request(call.organisation)
        try:
            result = self._run(lookup)
        finally:
            for attempt in lookup.open_attempts:
                attempt.pending.close()
                self._dependencies.selector.release(attempt.target.name)
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self._dependencies.metrics.duration(
            'lookup.call', call.organisation, duration_ms
        )
        return result

    def _run(self, lookup: _LookupState) -> CallResult:
        if not self._send(lookup):
            return lookup.last_result
        while lookup.open_attempts:
            left_s = lookup.end_s - self._clock.monotonic_s()
            if left_s <= 0:
                return self._time_out(lookup)
            wait_s = left_s
            if self._may_hedge(lookup):
                wait_s = min(left_s, self._hedge_delay_s(lookup))
            ready = self._dependencies.client.first_ready(
                tuple(attempt.pending for attempt in lookup.open_attempts),
                wait_s,
            )
            if ready is None:
                if wait_s < left_s:
                    self._hedge(lookup)
                continue
            if self._receive(lookup, ready):
                return lookup.last_result
            if not lookup.open_attempts:
                self._retry(lookup)
        return lookup.last_result

    def _send(self, lookup: _LookupState) -> bool:
        """Send to an untried target; retry on another if sending fails."""
        while True:
            chosen = self._select(lookup)
            if chosen.is_error():
                if not lookup.tried_targets:
                    lookup.last_result = Error(chosen.error)
                return False
            target = chosen.ok
            lookup.tried_targets = (*lookup.tried_targets, target.name)
            now_s = self._clock.monotonic_s()
            left_s = max(0.001, lookup.end_s - now_s)
            sent = self._dependencies.client.send(
                target, _with_deadline(lookup.call, left_s), left_s
            )
            if sent.is_ok():
                lookup.open_attempts.append(_Attempt(target, sent.ok, now_s))
                return True
            self._dependencies.selector.release(target.name)
            self._record_fault(lookup, target, now_s, sent.error)
            if not self._may_retry(lookup):
                return False

    def _select(
        self, lookup: _LookupState
    ) -> Result[state.Target, state.Refusal]:
        call = lookup.call
        request = ports.SelectionRequest(
            request_id=call.request_id,
            route=call.route,
            organisation=call.organisation,
            version=self._dependencies.versions.version_for(
                call.route, call.request_id
            ),
            excluded=lookup.tried_targets,
        )
        ejected = self._dependencies.health.ejected()
        if ejected:
            chosen = self._dependencies.selector.assign(
                dataclasses.replace(
                    request, excluded=(*lookup.tried_targets, *ejected)
                )
            )
            if chosen.is_ok():
                return chosen
        return self._dependencies.selector.assign(request)

    def _may_hedge(self, lookup: _LookupState) -> bool:
        if not self._dependencies.settings.hedges or lookup.is_hedged:
            return False
        return (
            len(lookup.tried_targets)
            < self._dependencies.settings.attempt_count
        )

    def _hedge_delay_s(self, lookup: _LookupState) -> float:
        settings = self._dependencies.settings
        p95_ms = self._latencies.p95_ms(lookup.call.route.name)
        if p95_ms is None:
            # A short call timeout must leave time for the hedge's response.
            p95_ms = min(
                settings.hedge_initial_ms,
                lookup.call.route.call_timeout_ms / 4,
            )
        due_s = lookup.open_attempts[0].started_s + (
            max(settings.hedge_floor_ms, p95_ms) / 1000
        )
        return max(0.0, due_s - self._clock.monotonic_s())

    def _hedge(self, lookup: _LookupState) -> None:
        """Send a hedged request to a second target, if the budget allows.

        Without budget or another target, only the first attempt continues.
        """
        slow = lookup.open_attempts[0]
        self._dependencies.health.record_fault(slow.target.name)
        lookup.is_hedged = True
        if self._try_spend_budget(lookup) and self._send(lookup):
            self._dependencies.metrics.count('lookup.hedges')

    def _retry(self, lookup: _LookupState) -> None:
        if self._may_retry(lookup):
            self._send(lookup)

    def _may_retry(self, lookup: _LookupState) -> bool:
        if (
            len(lookup.tried_targets)
            >= self._dependencies.settings.attempt_count
        ):
            return False
        if self._clock.monotonic_s() >= lookup.end_s:
            return False
        if not self._try_spend_budget(lookup):
            return False
        self._dependencies.metrics.count('lookup.retries')
        return True

    def _try_spend_budget(self, lookup: _LookupState) -> bool:
        if self._dependencies.retry_budget.try_spend(lookup.call.organisation):
            return True
        self._dependencies.metrics.count('lookup.budget_refusals')
        return False

    def _receive(self, lookup: _LookupState, ready: ports.PendingCall) -> bool:
        """Read one response; return whether it is successful."""
        attempt = _attempt_of(lookup, ready)
        lookup.open_attempts.remove(attempt)
        left_s = max(0.001, lookup.end_s - self._clock.monotonic_s())
        try:
            result = ready.receive(left_s)
        finally:
            self._dependencies.selector.release(attempt.target.name)
        if result.is_error():
            self._record_fault(
                lookup, attempt.target, attempt.started_s, result.error
            )
            return False
        lookup.last_result = Ok(result.ok)
        duration_ms = (self._clock.monotonic_s() - attempt.started_s) * 1000
        if result.ok.status >= _FAULT_STATUS:
            self._dependencies.health.record_fault(attempt.target.name)
            self._observe(
                lookup, attempt.target, state.OutcomeKind.ERROR, duration_ms
            )
            return False
        self._latencies.record(lookup.call.route.name, duration_ms)
        self._dependencies.health.record_success(attempt.target.name)
        self._observe(
            lookup, attempt.target, state.OutcomeKind.SUCCESS, duration_ms
        )
        return True

    def _record_fault(
        self,
        lookup: _LookupState,
        target: state.Target,
        started_s: float,
        fault: state.DispatchFault,
    ) -> None:
        self._dependencies.health.record_fault(target.name)
        kind = state.OutcomeKind.CONNECTION_LOST
        if fault.timed_out:
            kind = state.OutcomeKind.UNRESPONSIVE
        elif fault.run is state.RunState.NOT_RUN:
            kind = state.OutcomeKind.REFUSED
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self._observe(lookup, target, kind, duration_ms)
        run = fault.run
        if lookup.last_result.is_error() and len(lookup.tried_targets) > 1:
            # An earlier attempt may have been executed.
            if lookup.last_result.error.run is not state.RunState.NOT_RUN:
                run = lookup.last_result.error.run
        if lookup.open_attempts:
            run = state.RunState.UNKNOWN
        if lookup.last_result.is_error():
            lookup.last_result = Error(_target_failed(fault.message, run))

    def _time_out(self, lookup: _LookupState) -> CallResult:
        for attempt in lookup.open_attempts:
            self._dependencies.health.record_fault(attempt.target.name)
            self._observe(
                lookup,
                attempt.target,
                state.OutcomeKind.UNRESPONSIVE,
                lookup.call.route.call_timeout_ms,
            )
        if lookup.last_result.is_ok():
            return lookup.last_result
        return Error(
            _target_failed(
                'No target responded within the call timeout.',
                state.RunState.UNKNOWN,
            )
        )

    def _observe(
        self,
        lookup: _LookupState,
        target: state.Target,
        kind: state.OutcomeKind,
        duration_ms: float,
    ) -> None:
        has_response = kind in (
            state.OutcomeKind.SUCCESS,
            state.OutcomeKind.ERROR,
        )
        self._dependencies.outcomes.observe(
            state.TargetOutcome(
                target=target.name,
                route=lookup.call.route.name,
                version=self._dependencies.versions.version_for(
                    lookup.call.route, lookup.call.request_id
                ),
                organisation=lookup.call.organisation,
                kind=kind,
                first_token_ms=duration_ms if has_response else None,
                inter_token_ms=None,
                duration_ms=duration_ms,
            )
        )


def _attempt_of(lookup: _LookupState, ready: ports.PendingCall) -> _Attempt:
    for attempt in lookup.open_attempts:
        if attempt.pending is ready:
            return attempt
    raise LookupError('the call is not among the open attempts')


def _with_deadline(
    call: state.ServiceCall, left_s: float
) -> state.ServiceCall:
    header = (DEADLINE_HEADER, str(max(1, int(left_s * 1000))))
    return dataclasses.replace(call, headers=(*call.headers, header))


def _target_failed(message: str, run: state.RunState) -> state.Refusal:
    return state.Refusal(state.RefusalCode.TARGET_FAILED, message, run)


def _no_target() -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.NO_TARGET,
        'No live target serves the version.',
        state.RunState.NOT_RUN,
        retry_after_ms=1000,
    )
