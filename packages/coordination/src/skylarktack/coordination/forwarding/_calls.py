"""Forwards calls, which have one complete response: retries and hedging."""

import dataclasses

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _budget
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _refusals
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

#: Retry-After of a request that no target accepted.
RETRY_AFTER_S = 0.1

#: Lowest status of a failure of the target itself; it executed the request.
FIRST_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass
class _Attempt:
    """One send of a call, and the part of the response received so far."""

    exchange: _ports.Exchange
    target: data.ListedTarget
    sent_at_s: float
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

    def run(self) -> _outcomes.CallOutcome:
        """Forward the call and return how it ended."""
        self._budget.count_request(self._admitted.service)
        try:
            return self._run()
        finally:
            for attempt in self._open_attempts:
                attempt.exchange.close()
                self._targets.end_request(attempt.target)
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
                pause = self._plan_pause_wait()
                if pause is None or not pause.is_in_time:
                    return self._outcome_without_response(pause)
                if self._wait_for_pause(pause):
                    return _outcomes.CallerDisconnected()
                hedge_time_s = self._hedge_time_s()
                continue
            if now_s >= hedge_time_s and len(self._open_attempts) == 1:
                hedge_time_s = self._admitted.deadline_s
                self._hedge()
            wait_until_s = min(hedge_time_s, self._admitted.deadline_s)
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

    def _plan_pause_wait(self) -> _pause_waits.PauseWait | None:
        if not self._may_send():
            return None
        return _pause_waits.plan_for_request(
            self._targets, self._admitted, self._clock.monotonic_s()
        )

    def _wait_for_pause(self, pause: _pause_waits.PauseWait) -> bool:
        """Wait; return whether the caller disconnected.

        Targets that refused the request become eligible again.
        """
        self._record('wait_for_pause', wait_ms=round(1000 * pause.wait_s))
        self._tried_targets.clear()
        return self._client.wait(
            (), self._admitted.caller, pause.wait_s
        ).has_caller_disconnected

    def _hedge_time_s(self) -> float:
        route = self._admitted.route
        if not route.is_retryable or route.max_attempts < 2:
            return self._admitted.deadline_s
        # A request that was queued before its first send has less time left.
        now_s = self._clock.monotonic_s()
        end_s = self._admitted.started_at_s + route.latency_objective_ms / 1000
        if end_s <= now_s:
            end_s = self._admitted.deadline_s
        return now_s + HEDGE_OBJECTIVE_FRACTION * (end_s - now_s)

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
            target = self._targets.choose_for_call(
                self._admitted.service, frozenset(self._tried_targets), rule
            )
            self._targets.ramps.explain(self._admitted.trace)
            if target is None:
                return False
            if self._send_count > 0:
                if not self._budget.claim_retry(self._admitted.service):
                    self._record('budget_spent')
                    return False
            self._send_count += 1
            self._tried_targets.add(target.name)
            if self._send_to(target):
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

    def _send_to(self, target: data.ListedTarget) -> bool:
        now_s = self._clock.monotonic_s()
        context = data.DispatchContext(
            target=target,
            organisation=self._admitted.organisation,
            time_left_ms=(self._admitted.deadline_s - now_s) * 1000,
            last_event_id=self._admitted.request.last_event_id,
        )
        self._targets.begin_request(target)
        self._admitted.trace.record_send(now_s, target=target.name)
        result = self._client.send(
            self._admitted.request, context, CONNECT_TIMEOUT_S
        )
        if isinstance(result, _ports.ExchangeFault):
            self._targets.end_request(target)
            self._handle_fault(target, result)
            return False
        self._open_attempts.append(_Attempt(result, target, now_s))
        return True

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
        if _refusals.is_refusal(head, self._admitted.request):
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
            is_loss=not fault.may_have_arrived,
        )

    def _close_attempt(self, attempt: _Attempt) -> None:
        attempt.exchange.close()
        self._targets.end_request(attempt.target)
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
        return data.Refusal(data.RefusalReason.TIME_UP_NOT_RUN, RETRY_AFTER_S)

    def _outcome_without_response(
        self, pause: _pause_waits.PauseWait | None
    ) -> data.FrontResponse | data.Refusal:
        if self._failure_response is not None:
            return self._failure_response
        if self._executed_count:
            return data.Refusal(
                data.RefusalReason.TARGET_FAILED, detail=self._last_fault
            )
        if pause is not None:
            return pause.refusal()
        return data.Refusal(
            data.RefusalReason.NO_TARGET, RETRY_AFTER_S, self._last_fault
        )

    def _record(self, step: str, **inputs: object) -> None:
        self._admitted.trace.record(self._clock.monotonic_s(), step, **inputs)
