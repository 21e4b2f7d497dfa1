"""Calls with one whole answer: attempts, hedges, truthful refusals."""

import dataclasses

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _budget
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Longest wait for a connection to a target. Round trips take a few
#: milliseconds; a lost opening packet is only sent again after a second.
CONNECT_TIMEOUT_S = 0.06

#: Most targets that are tried for one request, whether or not they run it.
SEND_LIMIT_COUNT = 5

#: A repeatable request without an answer after this part of what was left of
#: its latency objective at the first send is also sent to a second target.
HEDGE_OBJECTIVE_SHARE = 0.45

#: When a caller may come back after no target took its request.
RETRY_AFTER_S = 0.1

#: Largest answer that is kept in memory before it is passed on.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024

#: Status of a target's own failure; it has run.
FIRST_FAILURE_STATUS = 500

#: Statuses that promise that a request has not run.
PROMISE_STATUSES = frozenset((408, 421, 429, 503))

MISDIRECTED_STATUS = 421


@dataclasses.dataclass
class _Attempt:
    """One send of a call and what has arrived of its answer."""

    exchange: _ports.Exchange
    target: data.ListedTarget
    sent_at_s: float
    head: data.ResponseHead | None = None
    size_bytes: int = 0
    parts: list[bytes] = dataclasses.field(default_factory=list)


class CallForwarder:
    """Forwards calls to targets."""

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
        self, work: _admitted_request.AdmittedRequest
    ) -> _outcomes.CallOutcome:
        """Forward the call and return how it ended."""
        call = _Call(
            self._clock, self._targets, self._client, self._budget, work
        )
        return call.run()


class _Call:
    """One call while it is forwarded."""

    def __init__(
        self,
        clock: Clock,
        targets: _targets.TargetTable,
        client: _ports.TargetClient,
        budget: _budget.RetryBudget,
        work: _admitted_request.AdmittedRequest,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._client = client
        self._budget = budget
        self._work = work
        self._passed_over: set[str] = set()
        self._open: list[_Attempt] = []
        self._send_count = 0
        self._run_count = 0
        self._failure: data.FrontResponse | None = None
        self._is_exhausted = False
        self._last_fault = 'no target is known'

    def run(self) -> _outcomes.CallOutcome:
        """Forward the call and return how it ended."""
        self._budget.count_request(self._work.service)
        try:
            return self._run()
        finally:
            for attempt in self._open:
                attempt.exchange.close()
                self._targets.end_request(attempt.target)

    def _run(self) -> _outcomes.CallOutcome:
        hedge_at_s = self._hedge_moment_s()
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= self._work.deadline_s:
                return self._time_up()
            if not self._open and not self._send_next():
                if self._clock.monotonic_s() >= self._work.deadline_s:
                    return self._time_up()
                return self._give_up()
            if now_s >= hedge_at_s and len(self._open) == 1:
                hedge_at_s = self._work.deadline_s
                self._hedge()
            wait_until_s = min(hedge_at_s, self._work.deadline_s)
            ready = self._client.wait(
                tuple(attempt.exchange for attempt in self._open),
                self._work.caller,
                max(0.0, wait_until_s - self._clock.monotonic_s()),
            )
            if ready.has_caller_disconnected:
                self._note('caller_left')
                return _outcomes.CallerDisconnected()
            for attempt in list(self._open):
                if attempt.exchange not in ready.exchanges:
                    continue
                answer = self._receive(attempt)
                if answer is not None:
                    return answer

    def _hedge_moment_s(self) -> float:
        route = self._work.route
        if not route.is_retryable or route.max_attempts < 2:
            return self._work.deadline_s
        # A request that was held before its first send has less time left.
        now_s = self._clock.monotonic_s()
        end_s = self._work.started_at_s + route.latency_objective_ms / 1000
        if end_s <= now_s:
            end_s = self._work.deadline_s
        return now_s + HEDGE_OBJECTIVE_SHARE * (end_s - now_s)

    def _hedge(self) -> None:
        if self._run_count + 1 >= self._work.route.max_attempts:
            return
        self._note('hedge')
        self._send_next()

    def _send_next(self) -> bool:
        """Send to one more target; return whether one took the request."""
        while self._may_send():
            rule = self._work.version_rule
            if self._send_count > 0:
                rule = rule.for_repeat()
            target = self._targets.choose_for_call(
                self._work.service, frozenset(self._passed_over), rule
            )
            if target is None:
                self._is_exhausted = True
                return False
            if self._send_count > 0:
                if not self._budget.claim_retry(self._work.service):
                    self._note('budget_spent')
                    return False
            self._send_count += 1
            self._passed_over.add(target.name)
            if self._send_to(target):
                return True
        return False

    def _may_send(self) -> bool:
        if self._send_count >= SEND_LIMIT_COUNT:
            return False
        if self._run_count > 0 and not self._work.route.is_retryable:
            return False
        if self._run_count + len(self._open) >= max(
            1, self._work.route.max_attempts
        ):
            return False
        return self._clock.monotonic_s() < self._work.deadline_s

    def _send_to(self, target: data.ListedTarget) -> bool:
        now_s = self._clock.monotonic_s()
        delivery = data.DispatchContext(
            target=target,
            organisation=self._work.organisation,
            time_left_ms=(self._work.deadline_s - now_s) * 1000,
            last_event_id=self._work.request.last_event_id,
        )
        self._targets.begin_request(target)
        self._note('send', target=target.name)
        sent = self._client.send(
            self._work.request, delivery, CONNECT_TIMEOUT_S
        )
        if isinstance(sent, _ports.ExchangeFault):
            self._targets.end_request(target)
            self._take_fault(target, sent)
            return False
        self._open.append(_Attempt(sent, target, now_s))
        return True

    def _receive(self, attempt: _Attempt) -> data.FrontResponse | None:
        for event in attempt.exchange.receive():
            if isinstance(event, _ports.ExchangeFault):
                self._finish(attempt)
                self._take_fault(attempt.target, event)
                return None
            if isinstance(event, data.ResponseHead):
                attempt.head = event
                self._targets.report_load(attempt.target, event.load)
                continue
            if isinstance(event, _ports.BodyChunk):
                attempt.parts.append(event.data)
                attempt.size_bytes += len(event.data)
                if attempt.size_bytes <= ANSWER_LIMIT_BYTES:
                    continue
                self._finish(attempt)
                self._run_count += 1
                self._last_fault = 'the answer is too large'
                return None
            self._finish(attempt)
            return self._take_answer(attempt)
        return None

    def _take_answer(self, attempt: _Attempt) -> data.FrontResponse | None:
        head = attempt.head
        if head is None:
            raise AssertionError('an answer ended before its head')
        target = attempt.target
        latency_ms = (self._clock.monotonic_s() - attempt.sent_at_s) * 1000
        self._note('answer', target=target.name, status=head.status)
        if head.status == MISDIRECTED_STATUS:
            self._last_fault = 'another target has the address'
            self._targets.report_misdirected(target)
            return None
        if head.is_not_executed:
            self._last_fault = f'the target refused with {head.status}'
            return None
        self._run_count += 1
        is_error = head.status >= FIRST_FAILURE_STATUS
        self._targets.report_answer(
            target, self._work.route.name, latency_ms, is_error
        )
        answer = data.FrontResponse(
            head.status, head.headers, b''.join(attempt.parts)
        )
        if not is_error and head.status not in PROMISE_STATUSES:
            if not head.is_signed or head.is_encoded:
                self._last_fault = 'the answer is not signed or is encoded'
                return None
            return answer
        self._last_fault = f'the target failed with {head.status}'
        if head.is_signed and head.status not in PROMISE_STATUSES:
            self._failure = answer
        return None

    def _take_fault(
        self, target: data.ListedTarget, fault: _ports.ExchangeFault
    ) -> None:
        self._note(
            'fault',
            target=target.name,
            kind=fault.kind.value,
            detail=fault.detail,
        )
        self._last_fault = fault.detail
        if fault.may_have_arrived:
            self._run_count += 1
        elif self._send_count > 1:
            self._budget.refund_retry(self._work.service)
        if fault.kind is _ports.FaultKind.DOWN:
            self._targets.report_connection_refused(
                target, self._work.route.name, fault.detail
            )
            return
        self._targets.report_failure(
            target,
            self._work.route.name,
            fault.detail,
            is_loss=not fault.may_have_arrived,
        )

    def _finish(self, attempt: _Attempt) -> None:
        attempt.exchange.close()
        self._targets.end_request(attempt.target)
        self._open.remove(attempt)

    def _time_up(self) -> data.FrontResponse | data.Refusal:
        if self._failure is not None and not self._open:
            return self._failure
        for attempt in self._open:
            self._targets.report_timeout(
                attempt.target, self._work.route.name, attempt.sent_at_s
            )
        if self._open or self._run_count:
            return data.Refusal(data.RefusalReason.TIME_UP)
        return data.Refusal(data.RefusalReason.TIME_UP_NOT_RUN, RETRY_AFTER_S)

    def _give_up(self) -> data.FrontResponse | data.Refusal:
        if self._failure is not None:
            return self._failure
        if self._run_count:
            return data.Refusal(
                data.RefusalReason.TARGET_FAILED, detail=self._last_fault
            )
        return data.Refusal(
            data.RefusalReason.NO_TARGET, RETRY_AFTER_S, self._last_fault
        )

    def _note(self, step: str, **inputs: object) -> None:
        self._work.trace.record(self._clock.monotonic_s(), step, **inputs)
