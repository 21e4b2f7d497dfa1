"""Forwards calls, which have one complete response: retries and hedging."""

import dataclasses
import math

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _budget
from skylarktack.coordination.forwarding import _call_choice
from skylarktack.coordination.forwarding import _call_waits
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _refusals
from skylarktack.coordination.forwarding import _room_waits
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum wait for a connection to a target. Round trips take a few
#: milliseconds, but a lost SYN is only retransmitted after a second.
CONNECT_TIMEOUT_S = 0.06

#: Maximum number of targets to which one request is sent, whether or not they
#: execute it.
MAX_SEND_COUNT = 5

#: A retryable request is also sent to a second target if it has no response
#: after this fraction of the time that was left of its latency objective at
#: the first send.
HEDGE_OBJECTIVE_FRACTION = 0.45

#: Lowest status of a failure of the target itself; it executed the request.
FIRST_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass
class _Attempt:
    """One send of a call, and the part of the response received so far."""

    exchange: _ports.Exchange
    target: data.ListedTarget
    sent_at_s: float

    #: The demand with which the target was chosen, and what was expected.
    demand: _call_choice.CallDemand
    expectation: _call_choice.CallExpectation

    #: Monotonic time at which the call is overdue; infinite after it.
    overdue_at_s: float

    head: data.ResponseHead | None = None

    #: Grows in place; a list of parts would be held twice when joined.
    body: bytearray = dataclasses.field(default_factory=bytearray)


class CallForwarder:
    """Forwards calls to targets; holds no state of a single call."""

    def __init__(
        self,
        clock: Clock,
        targets: _targets.TargetTable,
        client: _ports.TargetClient,
        budget: _budget.RetryBudget,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._client = client
        self._budget = budget

    def run(
        self, admitted: _admitted_request.AdmittedRequest
    ) -> _outcomes.CallOutcome:
        """Forward the call and return how it ended."""
        call = _CallAttempts(
            self._clock, self._targets, self._client, self._budget, admitted
        )
        return call.run()


class _CallAttempts:
    """State of one call while it is forwarded."""

    def __init__(
        self,
        clock: Clock,
        targets: _targets.TargetTable,
        client: _ports.TargetClient,
        budget: _budget.RetryBudget,
        admitted: _admitted_request.AdmittedRequest,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._client = client
        self._budget = budget
        self._admitted = admitted
        self._tried_targets: set[str] = set()
        self._open_attempts: list[_Attempt] = []
        self._send_count = 0
        self._executed_count = 0
        self._failure_response: data.FrontResponse | None = None
        self._last_fault = 'no target is available'
        self._waits = _call_waits.CallWaits(clock, targets, admitted)
        #: Whether the last choice found no target, or none with room.
        self._was_choice_empty = False

    def run(self) -> _outcomes.CallOutcome:
        """Forward the call and return how it ended."""
        self._budget.count_request(self._admitted.service)
        try:
            return self._run()
        finally:
            for attempt in self._open_attempts:
                attempt.exchange.close()
                self._targets.end_request(attempt.target)
                self._targets.calls.release(
                    attempt.target, attempt.demand.at_s
                )
                self._targets.report_abandoned(
                    attempt.target,
                    self._admitted.route.name,
                    attempt.sent_at_s,
                )

    def _run(self) -> _outcomes.CallOutcome:
        hedge_time_s = self._hedge_time_s()
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= self._admitted.deadline_s:
                return self._outcome_at_deadline()
            if not self._open_attempts and not self._send_next():
                if self._clock.monotonic_s() >= self._admitted.deadline_s:
                    return self._outcome_at_deadline()
                wait = self._plan_wait()
                if wait is None or not wait.is_in_time:
                    return self._outcome_without_response(wait)
                if self._wait_for(wait):
                    return _outcomes.CallerDisconnected()
                hedge_time_s = self._hedge_time_s()
                continue
            if now_s >= hedge_time_s and len(self._open_attempts) == 1:
                hedge_time_s = self._admitted.deadline_s
                self._hedge()
            self._report_overdue(now_s)
            wait_until_s = min(
                hedge_time_s,
                self._admitted.deadline_s,
                *(attempt.overdue_at_s for attempt in self._open_attempts),
            )
            wait_result = self._client.wait(
                tuple(attempt.exchange for attempt in self._open_attempts),
                self._admitted.caller,
                max(0.0, wait_until_s - self._clock.monotonic_s()),
            )
            if wait_result.has_caller_disconnected:
                self._record('caller_left')
                return _outcomes.CallerDisconnected()
            for attempt in list(self._open_attempts):
                if attempt.exchange not in wait_result.exchanges:
                    continue
                response = self._receive(attempt)
                if response is not None:
                    return response

    def _plan_wait(self) -> _call_waits.CallWait | None:
        """Return the wait for a target; None where none helps."""
        if not self._may_send():
            return None
        excluded = None
        if self._was_choice_empty:
            excluded = frozenset(self._tried_targets)
        return self._waits.plan(excluded)

    def _wait_for(self, wait: _call_waits.CallWait) -> bool:
        """Wait; return whether the caller disconnected.

        Targets that refused the request become eligible again after a pause.
        """
        wait_ms = round(1000 * wait.wait_s)
        if isinstance(wait, _pause_waits.PauseWait):
            self._record('wait_for_pause', wait_ms=wait_ms)
            self._tried_targets.clear()
        else:
            self._record('wait_for_room', wait_ms=wait_ms)
        return self._client.wait(
            (), self._admitted.caller, wait.wait_s
        ).has_caller_disconnected

    def _hedge_time_s(self) -> float:
        route = self._admitted.route
        if not route.is_retryable or route.max_attempts < 2:
            return self._admitted.deadline_s
        # A request that was queued before its first send has less time left.
        now_s = self._clock.monotonic_s()
        return now_s + HEDGE_OBJECTIVE_FRACTION * (
            self._waits.service_end_s() - now_s
        )

    def _report_overdue(self, now_s: float) -> None:
        """Report targets that have not answered for much too long."""
        for attempt in self._open_attempts:
            if now_s < attempt.overdue_at_s:
                continue
            attempt.overdue_at_s = math.inf
            if attempt.head is None and self._targets.calls.report_overdue(
                attempt.target, attempt.sent_at_s
            ):
                self._record('unresponsive', target=attempt.target.name)

    def _hedge(self) -> None:
        if self._executed_count + 1 >= self._admitted.route.max_attempts:
            return
        self._record('hedge')
        self._send_next()

    def _send_next(self) -> bool:
        """Send to another target; return whether one received the request."""
        while self._may_send():
            rule = self._admitted.version_rule
            if self._send_count > 0:
                rule = rule.for_retry()
            demand = self._waits.demand()
            target = self._targets.choose_for_call(
                self._admitted.service,
                frozenset(self._tried_targets),
                rule,
                demand,
            )
            self._was_choice_empty = target is None
            self._targets.ramps.explain(self._admitted.trace)
            if target is None:
                return False
            if self._send_count > 0:
                if not self._budget.claim_retry(self._admitted.service):
                    self._targets.calls.release(target, demand.at_s)
                    self._record('budget_spent')
                    return False
            self._send_count += 1
            self._tried_targets.add(target.name)
            if self._send_to(target, demand):
                return True
        return False

    def _may_send(self) -> bool:
        if self._send_count >= MAX_SEND_COUNT:
            return False
        if self._executed_count > 0 and not self._admitted.route.is_retryable:
            return False
        if self._executed_count + len(self._open_attempts) >= max(
            1, self._admitted.route.max_attempts
        ):
            return False
        return self._clock.monotonic_s() < self._admitted.deadline_s

    def _send_to(
        self, target: data.ListedTarget, demand: _call_choice.CallDemand
    ) -> bool:
        now_s = self._clock.monotonic_s()
        context = data.DispatchContext(
            target=target,
            organisation=self._admitted.organisation,
            time_left_ms=(self._admitted.deadline_s - now_s) * 1000,
            last_event_id=self._admitted.request.last_event_id,
        )
        expectation = self._targets.calls.expect(target, demand)
        self._targets.begin_request(target)
        self._record_send(now_s, target, expectation)
        result = self._client.send(
            self._admitted.request, context, CONNECT_TIMEOUT_S
        )
        if isinstance(result, _ports.ExchangeFault):
            self._targets.end_request(target)
            self._targets.calls.release(target, demand.at_s)
            self._handle_fault(target, result)
            return False
        objective_s = self._admitted.route.latency_objective_ms / 1000
        overdue_after_s = max(
            HEDGE_OBJECTIVE_FRACTION * objective_s, expectation.overdue_after_s
        )
        self._open_attempts.append(
            _Attempt(
                result,
                target,
                now_s,
                demand,
                expectation,
                now_s + overdue_after_s,
            )
        )
        return True

    def _record_send(
        self,
        now_s: float,
        target: data.ListedTarget,
        expectation: _call_choice.CallExpectation,
    ) -> None:
        trace = self._admitted.trace
        if expectation.expected_s is None:
            trace.record_send(now_s, target=target.name)
            return
        trace.record_send(
            now_s,
            target=target.name,
            expected_ms=round(1000 * expectation.expected_s),
            is_trial=expectation.is_trial,
        )

    def _receive(self, attempt: _Attempt) -> data.FrontResponse | None:
        for event in attempt.exchange.receive():
            if isinstance(event, _ports.ExchangeFault):
                self._close_attempt(attempt)
                self._handle_fault(attempt.target, event)
                return None
            if isinstance(event, data.ResponseHead):
                attempt.head = event
                self._targets.report_head(attempt.target, event)
                continue
            if isinstance(event, _ports.BodyChunk):
                attempt.body += event.data
                continue
            response = self._handle_response(attempt)
            if response is not None:
                # Counted before the exchange releases its memory.
                self._admitted.caller.hold_response(len(response.body))
            self._close_attempt(attempt)
            return response
        return None

    def _handle_response(self, attempt: _Attempt) -> data.FrontResponse | None:
        head = attempt.head
        if head is None:
            raise AssertionError('the response ended before its head')
        target = attempt.target
        latency_ms = (self._clock.monotonic_s() - attempt.sent_at_s) * 1000
        self._record('answer', target=target.name, status=head.status)
        is_trial = attempt.expectation.is_trial
        if _refusals.is_refusal(head, self._admitted.request):
            if is_trial:
                self._targets.report_alive(target)
            self._last_fault = f'the target refused with {head.status}'
            if head.status == _refusals.MISDIRECTED_STATUS:
                self._last_fault = 'another target answers at this address'
                self._targets.report_misdirected(target)
            return None
        self._executed_count += 1
        is_error = head.status >= FIRST_SERVER_ERROR_STATUS
        self._targets.report_response(
            target, self._admitted.route.name, latency_ms, is_error
        )
        if is_trial:
            self._targets.calls.report_recovery(target)
        if head.is_success:
            self._targets.calls.record_response(
                target, head, attempt.sent_at_s, attempt.expectation
            )
        response = data.FrontResponse(
            head.status, head.headers, bytes(attempt.body)
        )
        may_reach_caller = _refusals.may_reach_caller(head)
        if not is_error and may_reach_caller:
            if not head.is_signed or head.is_encoded:
                self._last_fault = (
                    'the response is not signed or is content-encoded'
                )
                return None
            return response
        self._last_fault = f'the target failed with status {head.status}'
        if head.is_signed and may_reach_caller:
            self._failure_response = response
        return None

    def _handle_fault(
        self, target: data.ListedTarget, fault: _ports.ExchangeFault
    ) -> None:
        self._record(
            'fault',
            target=target.name,
            kind=fault.kind.value,
            detail=fault.detail,
        )
        self._last_fault = fault.detail
        if fault.may_have_arrived:
            self._executed_count += 1
        elif self._send_count > 1:
            self._budget.refund_retry(self._admitted.service)
        if fault.kind is _ports.FaultKind.CONNECTION_REFUSED:
            self._targets.report_connection_refused(
                target, self._admitted.route.name, fault.detail
            )
            return
        self._targets.report_failure(
            target,
            self._admitted.route.name,
            fault.detail,
            is_loss=fault.kind is _ports.FaultKind.NOT_CONNECTED,
        )

    def _close_attempt(self, attempt: _Attempt) -> None:
        attempt.exchange.close()
        self._targets.end_request(attempt.target)
        self._targets.calls.release(attempt.target, attempt.demand.at_s)
        self._open_attempts.remove(attempt)

    def _outcome_at_deadline(self) -> data.FrontResponse | data.Refusal:
        if self._failure_response is not None and not self._open_attempts:
            return self._failure_response
        for attempt in self._open_attempts:
            self._targets.report_timeout(
                attempt.target, self._admitted.route.name, attempt.sent_at_s
            )
        if self._open_attempts or self._executed_count:
            return data.Refusal(data.RefusalReason.TIME_UP)
        return data.Refusal(
            data.RefusalReason.TIME_UP_NOT_RUN, self._waits.retry_after_s()
        )

    def _outcome_without_response(
        self, wait: _call_waits.CallWait | None
    ) -> data.FrontResponse | data.Refusal:
        if self._failure_response is not None:
            return self._failure_response
        if self._executed_count:
            return data.Refusal(
                data.RefusalReason.TARGET_FAILED, detail=self._last_fault
            )
        if wait is not None:
            refusal = wait.refusal()
            if isinstance(wait, _room_waits.RoomWait):
                self._record(
                    'no_room', retry_after_ms=round(1000 * wait.wait_s)
                )
            return refusal
        return data.Refusal(
            data.RefusalReason.NO_TARGET,
            self._waits.retry_after_s(),
            self._last_fault,
        )

    def _record(self, step: str, **inputs: object) -> None:
        self._admitted.trace.record(self._clock.monotonic_s(), step, **inputs)
