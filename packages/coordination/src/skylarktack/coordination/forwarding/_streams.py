"""Streams over engines that fail: the sequence of engines of one stream."""

import random

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _relay
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.state import forwarding as data

#: Most engines that are asked for one stream, whether or not they run it.
SEND_LIMIT_COUNT = 12

#: Part of the latency objective for which a request without a target waits
#: for one before it is refused.
HOLD_OBJECTIVE_SHARE = 0.12

#: Wait before the targets are looked through again.
HOLD_STEP_S = 0.1

#: Longest wait before a run without a copy starts again. Runs that are lost
#: together would all go to the engine with the least load; with the wait each
#: instance hears of the choices before its own, which takes milliseconds.
LONGEST_STAGGER_S = 0.04

#: When a caller may come back after no target took its request.
RETRY_AFTER_S = 0.3


class StreamForwarder:
    """Forwards streams to engines."""

    def __init__(self, parts: _stream_attempts.StreamDependencies) -> None:
        self._parts = parts

    def run(
        self, work: _admitted_request.AdmittedRequest
    ) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        return _Stream(self._parts, work).run()


class _Stream:
    """One stream while it is forwarded."""

    def __init__(
        self,
        parts: _stream_attempts.StreamDependencies,
        work: _admitted_request.AdmittedRequest,
    ) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._targets = parts.targets
        self._work = work
        self._subject = _engine_selection.affinity_key_of(work.request)
        self._progress = _stream_attempts.StreamProgress(
            work.request.last_event_id
        )
        self._passed_over: set[str] = set()
        self._send_count = 0
        self._has_run = False
        self._last_fault = 'no target is known'

    def run(self) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        budget = self._parts.budget
        budget.count_request(self._work.service)
        copy_at: data.ListedTarget | None = None
        while self._clock.monotonic_s() < self._work.deadline_s:
            if self._send_count >= SEND_LIMIT_COUNT:
                break
            pair = self._choose(copy_at)
            if pair is None:
                if self._is_held_out():
                    break
                if self._wait_for_target():
                    return _outcomes.CallerDisconnected()
                continue
            if self._send_count > 0:
                if not budget.claim_retry(self._work.service):
                    self._note('budget_spent')
                    break
            self._send_count += 1
            end = self._attempt(pair, from_copy=copy_at is not None)
            if isinstance(end, _stream_attempts.StreamFinished):
                return end.outcome
            self._last_fault = end.detail
            copy_at = None
            if isinstance(end, _stream_attempts.AttemptNotExecuted):
                if not end.has_arrived and self._send_count > 1:
                    budget.refund_retry(self._work.service)
                continue
            self._has_run = True
            if not self._may_run_again():
                break
            if end.has_copy:
                copy_at = self._standby_in_use(pair)
            if copy_at is None and self._stagger():
                return _outcomes.CallerDisconnected()
        return self._give_up()

    def _may_run_again(self) -> bool:
        route = self._work.route
        return route.is_retryable and (
            self._progress.failure_count < route.max_attempts
        )

    def _standby_in_use(
        self, pair: _engine_selection.EnginePair
    ) -> data.ListedTarget | None:
        """Return the engine with the copy unless it seems to be lost."""
        if not self._work.has_standby_copies or pair.standby is None:
            return None
        if self._targets.is_unavailable(pair.standby):
            return None
        return pair.standby

    def _choose(
        self, copy_at: data.ListedTarget | None
    ) -> _engine_selection.EnginePair | None:
        rule = self._work.version_rule
        if self._send_count > 0:
            rule = rule.for_repeat()
        if copy_at is not None:
            standby = self._targets.choose_standby(
                self._work.service, copy_at, self._work.request.model, rule
            )
            return _engine_selection.EnginePair(copy_at, standby)
        return self._targets.choose_engines(
            self._work.service,
            self._work.request,
            frozenset(self._passed_over),
            rule,
        )

    def _is_held_out(self) -> bool:
        if self._progress.has_started:
            return False
        objective_s = self._work.route.latency_objective_ms / 1000
        held_until_s = (
            self._work.started_at_s + HOLD_OBJECTIVE_SHARE * objective_s
        )
        return self._clock.monotonic_s() >= held_until_s

    def _wait_for_target(self) -> bool:
        """Wait a little; return whether the caller has left."""
        self._passed_over.clear()
        left_s = self._work.deadline_s - self._clock.monotonic_s()
        ready = self._parts.client.wait(
            (), self._work.caller, max(0.0, min(HOLD_STEP_S, left_s))
        )
        return ready.has_caller_disconnected

    def _stagger(self) -> bool:
        """Wait for a random moment; return whether the caller has left."""
        left_s = self._work.deadline_s - self._clock.monotonic_s()
        wait_s = min(LONGEST_STAGGER_S * random.random(), max(0.0, left_s))
        return self._parts.client.wait(
            (), self._work.caller, wait_s
        ).has_caller_disconnected

    def _attempt(
        self, pair: _engine_selection.EnginePair, from_copy: bool
    ) -> _stream_attempts.AttemptEnd:
        target = pair.primary
        standby = None
        if self._work.has_standby_copies and pair.standby is not None:
            standby = pair.standby.endpoint
        now_s = self._clock.monotonic_s()
        delivery = data.DispatchContext(
            target=target,
            organisation=self._work.organisation,
            time_left_ms=(self._work.deadline_s - now_s) * 1000,
            last_event_id=self._progress.last_event_id,
            standby=standby,
            from_copy=from_copy,
        )
        self._passed_over.add(target.name)
        self._note(
            'send',
            target=target.name,
            standby=pair.standby.name if pair.standby else None,
            from_copy=from_copy,
            after_event=self._progress.last_event_id,
        )
        notice = data.RunStatus(
            attempt_id=self._work.request.attempt_id,
            affinity_key=self._subject,
            engine=target.name,
            standby=pair.standby.name if pair.standby else None,
            is_prefilling=not from_copy,
        )
        relay = _relay.Relay(self._parts, self._work, self._progress, target)
        self._targets.begin_request(target)
        self._parts.fleet.note_run(notice)
        try:
            sent = self._parts.client.send(
                self._work.request, delivery, _calls.CONNECT_TIMEOUT_S
            )
            if isinstance(sent, _ports.ExchangeFault):
                return relay.take_fault(sent)
            try:
                return relay.run(sent, notice)
            finally:
                sent.close()
        finally:
            self._targets.end_request(target)
            self._parts.fleet.note_run_end(notice)

    def _give_up(self) -> _outcomes.StreamOutcome:
        if self._progress.has_started:
            return _outcomes.StreamInterrupted(self._last_fault)
        if self._progress.failure is not None:
            return self._progress.failure
        is_time_up = self._clock.monotonic_s() >= self._work.deadline_s
        if not self._has_run:
            reason = data.RefusalReason.NO_TARGET
            if is_time_up:
                reason = data.RefusalReason.TIME_UP_NOT_RUN
            return data.Refusal(reason, RETRY_AFTER_S, self._last_fault)
        if is_time_up:
            return data.Refusal(
                data.RefusalReason.TIME_UP, detail=self._last_fault
            )
        return data.Refusal(
            data.RefusalReason.TARGET_FAILED, detail=self._last_fault
        )

    def _note(self, step: str, **inputs: object) -> None:
        self._work.trace.record(self._clock.monotonic_s(), step, **inputs)
