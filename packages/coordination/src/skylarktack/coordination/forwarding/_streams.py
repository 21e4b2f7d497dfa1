"""Forwards streams, with failover from one engine to the next."""

import dataclasses
import math
import random

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.forwarding import _relay
from skylarktack.coordination.forwarding import _retry_waits
from skylarktack.coordination.forwarding import _standby_copies
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.coordination.forwarding import _supervision
from skylarktack.state import forwarding as data

#: Maximum number of engines to which one stream is sent at once, whether or
#: not they execute it. A run that has begun is sent again at an interval.
MAX_SEND_COUNT = 12

#: Fraction of the latency objective for which a request waits for a target to
#: become available before it is refused.
QUEUE_OBJECTIVE_FRACTION = 0.12

#: Maximum number of engines that one stream asks for room.
MAX_CHECK_COUNT = 3

#: Maximum number of engines that are asked for the prompt of one stream.
MAX_PROMPT_SEARCH_COUNT = 4

#: Interval between two checks for an available target.
QUEUE_CHECK_INTERVAL_S = 0.1

#: Maximum random delay before a run without a standby copy is restarted. Runs
#: that are lost together would otherwise all go to the engine with the least
#: load; during the delay each instance learns of the choices made before its
#: own, which takes milliseconds.
MAX_RESTART_JITTER_S = 0.04

#: Retry-After of a request that no engine accepted.
RETRY_AFTER_S = 0.3


class StreamForwarder:
    """Forwards streams to engines; holds no state of a single stream."""

    def __init__(
        self, dependencies: _stream_attempts.StreamDependencies
    ) -> None:
        self._dependencies = dependencies

    def run(
        self, admitted: _admitted_request.AdmittedRequest
    ) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        return _StreamAttempts(self._dependencies, admitted).run()


class _StreamAttempts:
    """State of one stream while it is forwarded."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._targets = dependencies.targets
        self._admitted = admitted
        self._demand = _placement.demand_of(admitted)
        self._progress = _stream_attempts.StreamProgress(
            admitted.request.last_event_id
        )
        self._tried_targets: set[str] = set()
        self._part_ids = _quarantine_records.observed_parts(admitted.request)
        self._is_probe = False
        self._crashed_engine_count = 0
        self._send_count = 0
        self._check_count = 0
        self._has_found_full = False
        self._has_executed = False
        self._has_reserved_retry = False
        self._last_send_at_s = -math.inf
        self._is_waiting_for_retry = False
        self._last_fault = 'no engine is available'

    def run(self) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        try:
            return self._run()
        finally:
            if self._has_reserved_retry:
                self._dependencies.budget.refund_retry(self._admitted.service)

    def _run(self) -> _outcomes.StreamOutcome:
        budget = self._dependencies.budget
        budget.count_request(self._admitted.service)
        copy: data.RunCopy | None = None
        admission = self._dependencies.quarantine.admit(self._part_ids)
        if admission.refusal is not None:
            return self._outcome_of_quarantine(admission.refusal)
        self._is_probe = admission.is_probe
        with self._dependencies.errors.contain(_supervision.PROMPT_SEARCH):
            self._find_prompt()
        while self._clock.monotonic_s() < self._admitted.deadline_s:
            if self._send_count >= MAX_SEND_COUNT and not self._has_executed:
                break
            refusal = self._check_quarantine()
            if refusal is not None:
                return self._outcome_of_quarantine(refusal)
            pair = self._choose(copy)
            if pair is None:
                pause = _pause_waits.plan_for_request(
                    self._targets, self._admitted, self._clock.monotonic_s()
                )
                if pause is not None and not pause.is_in_time:
                    return self._outcome_without_stream(pause)
                if pause is not None:
                    if self._wait_for_pause(pause):
                        return _outcomes.CallerDisconnected()
                    continue
                if self._has_queue_time_expired():
                    break
                if self._wait_for_target():
                    return _outcomes.CallerDisconnected()
                continue
            if copy is None and self._is_full(pair.primary):
                continue
            obstacle = self._secure_retry()
            if obstacle is not None:
                if not self._may_wait_for_retry():
                    self._record(obstacle.value)
                    break
                if self._wait_for_retry(obstacle):
                    return _outcomes.CallerDisconnected()
                continue
            end = self._attempt(pair, copy)
            if isinstance(end, _stream_attempts.StreamFinished):
                return end.outcome
            self._last_fault = end.detail
            copy = None
            if isinstance(end, _stream_attempts.AttemptNotExecuted):
                if not end.has_arrived and self._send_count > 1:
                    budget.refund_retry(self._admitted.service)
                continue
            self._has_executed = True
            if end.is_lost_before_output:
                self._record_crash(pair.primary)
            if not self._may_retry():
                break
            copy = end.copy
            if copy is None and self._wait_for_jitter():
                return _outcomes.CallerDisconnected()
        return self._outcome_without_stream(None)

    def reserve(
        self, engine: data.ListedTarget, copy: data.RunCopy | None
    ) -> str | None:
        """Reserve a retry at an engine that is available now."""
        if self._send_count >= MAX_SEND_COUNT:
            return 'all sends are used'
        if not self._may_retry() or self._check_quarantine() is not None:
            return 'the run may not be sent again'
        pair = self._choose(copy)
        if pair is None:
            # Engines that were left before may take the run again.
            self._tried_targets = {engine.name}
            pair = self._choose(copy)
        if pair is None or self._targets.is_unavailable(pair.primary):
            return 'no other engine is available'
        if not self._claim_retry():
            return 'the retry budget is spent'
        self._has_reserved_retry = True
        return None

    def _secure_retry(self) -> _retry_waits.RetryObstacle | None:
        """Claim what the next send needs, or return what is missing."""
        if self._send_count == 0:
            return None
        if self._send_count >= MAX_SEND_COUNT:
            next_send_at_s = (
                self._last_send_at_s + _retry_waits.PACED_SEND_INTERVAL_S
            )
            if self._clock.monotonic_s() < next_send_at_s:
                return _retry_waits.RetryObstacle.SENDS_USED
        if not self._claim_retry():
            return _retry_waits.RetryObstacle.BUDGET_SPENT
        return None

    def _may_wait_for_retry(self) -> bool:
        """Return whether the caller gains by a wait for a retry.

        A request that has not run is refused instead: it may come back at
        once, as a new request.
        """
        if not self._has_executed:
            return False
        wait_end_s = _retry_waits.retry_wait_end_s(
            self._admitted, self._progress
        )
        return self._clock.monotonic_s() < wait_end_s

    def _wait_for_retry(self, obstacle: _retry_waits.RetryObstacle) -> bool:
        """Wait; return whether the caller disconnected."""
        if not self._is_waiting_for_retry:
            self._is_waiting_for_retry = True
            self._record('wait_for_retry', cause=obstacle.value)
        return self._dependencies.client.wait(
            (), self._admitted.caller, _retry_waits.RETRY_CHECK_INTERVAL_S
        ).has_caller_disconnected

    def _claim_retry(self) -> bool:
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            return True
        return self._dependencies.budget.claim_retry(self._admitted.service)

    def _may_have_copy(self) -> bool:
        """Return whether the engine is asked to copy the run from its start.

        After a loss of all instances the streams that come back and the
        copies of lost runs fill the engines, so these streams get a copy
        later, as do runs that met a full engine.
        """
        if not self._admitted.has_standby_copies or self._has_found_full:
            return False
        fleet = self._dependencies.fleet
        return not (self._demand.is_resumed and fleet.is_warming_up())

    def _find_prompt(self) -> None:
        """Ask engines for the prompt of a stream that comes back.

        After a loss of all instances none of them remembers which engine has
        read it, and all callers return at once. Reading their prompts again
        would delay every stream.
        """
        fleet = self._dependencies.fleet
        if not self._demand.is_resumed or not fleet.is_warming_up():
            return
        if fleet.find_placement(self._demand.affinity_key) is not None:
            return
        likely_engines = self._targets.likely_engines(
            self._admitted.service,
            self._admitted.request.model,
            self._demand,
            MAX_PROMPT_SEARCH_COUNT,
            self._admitted.version_rule,
        )
        for engine in likely_engines:
            part_ids = self._dependencies.client.cached_parts(
                engine, _engine_watch.PROBE_TIMEOUT_S
            )
            if self._demand.affinity_key not in part_ids:
                continue
            self._record('prompt_found', target=engine.name)
            self._demand = dataclasses.replace(
                self._demand, known_engine=engine.name
            )
            return

    def _is_full(self, engine: data.ListedTarget) -> bool:
        """Ask an engine for room while its load may not be known.

        An engine without room, or without an answer, is not tried for now.
        """
        if self._check_count >= MAX_CHECK_COUNT:
            return False
        if engine.name == self._demand.known_engine:
            return False
        if not self._dependencies.fleet.is_warming_up():
            return False
        self._check_count += 1
        report = self._dependencies.client.probe(
            engine, _engine_watch.PROBE_TIMEOUT_S
        )
        if report is None:
            self._targets.report_failure(
                engine,
                self._admitted.route.name,
                'the engine did not answer a probe',
                is_loss=True,
            )
            self._tried_targets.add(engine.name)
            return True
        self._targets.report_probe(engine, report)
        if not _placement.is_report_of_full_engine(report, self._demand):
            return self._targets.is_unavailable(engine)
        self._record(
            'engine_full',
            target=engine.name,
            queued=report.queued_count,
            used_tokens=report.used_tokens,
        )
        self._tried_targets.add(engine.name)
        self._has_found_full = True
        return True

    def _may_retry(self) -> bool:
        route = self._admitted.route
        # So many crashes under one run quarantine its prompt part.
        limits = self._dependencies.quarantine.settings.limits
        if self._crashed_engine_count >= limits.min_moment_count:
            return False
        return route.is_retryable and (
            self._progress.failure_count < route.max_attempts
        )

    def _choose(
        self, copy: data.RunCopy | None
    ) -> _engine_selection.EnginePair | None:
        rule = self._admitted.version_rule
        if self._send_count > 0:
            rule = rule.for_retry()
        if copy is not None:
            standby = self._targets.choose_standby(
                self._admitted.service,
                copy.engine,
                self._admitted.request.model,
                self._demand,
                rule,
            )
            return _engine_selection.EnginePair(copy.engine, standby)
        return self._targets.choose_engines(
            self._admitted.service,
            self._admitted.request.model,
            self._demand,
            frozenset(self._tried_targets),
            rule,
        )

    def _has_queue_time_expired(self) -> bool:
        if self._progress.has_started:
            return False
        if self._has_executed:
            return not self._may_wait_for_retry()
        objective_s = self._admitted.route.latency_objective_ms / 1000
        queue_end_s = (
            self._admitted.started_at_s
            + QUEUE_OBJECTIVE_FRACTION * objective_s
        )
        return self._clock.monotonic_s() >= queue_end_s

    def _wait_for_pause(self, pause: _pause_waits.PauseWait) -> bool:
        """Wait; return whether the caller disconnected."""
        self._record('wait_for_pause', wait_ms=round(1000 * pause.wait_s))
        self._tried_targets.clear()
        return self._dependencies.client.wait(
            (), self._admitted.caller, pause.wait_s
        ).has_caller_disconnected

    def _wait_for_target(self) -> bool:
        """Wait for a target; return whether the caller disconnected.

        Targets that were already tried become eligible again.
        """
        self._tried_targets.clear()
        remaining_s = self._admitted.deadline_s - self._clock.monotonic_s()
        wait_result = self._dependencies.client.wait(
            (),
            self._admitted.caller,
            max(0.0, min(QUEUE_CHECK_INTERVAL_S, remaining_s)),
        )
        return wait_result.has_caller_disconnected

    def _wait_for_jitter(self) -> bool:
        """Wait for a random time; return whether the caller disconnected."""
        remaining_s = self._admitted.deadline_s - self._clock.monotonic_s()
        wait_s = min(
            MAX_RESTART_JITTER_S * random.random(), max(0.0, remaining_s)
        )
        return self._dependencies.client.wait(
            (), self._admitted.caller, wait_s
        ).has_caller_disconnected

    def _attempt(
        self, pair: _engine_selection.EnginePair, copy: data.RunCopy | None
    ) -> _stream_attempts.AttemptEnd:
        target = pair.primary
        standby = pair.standby
        self._send_count += 1
        self._last_send_at_s = self._clock.monotonic_s()
        self._is_waiting_for_retry = False
        if not self._may_have_copy():
            standby = None
        now_s = self._clock.monotonic_s()
        context = data.DispatchContext(
            target=target,
            organisation=self._admitted.organisation,
            time_left_ms=(self._admitted.deadline_s - now_s) * 1000,
            last_event_id=self._progress.last_event_id,
            standby=None if standby is None else standby.endpoint,
            copy=copy,
            is_stream=True,
        )
        self._tried_targets.add(target.name)
        self._record(
            'send',
            target=target.name,
            standby=None if standby is None else standby.name,
            from_copy=copy is not None,
            after_event=self._progress.last_event_id,
        )
        run_status = data.RunStatus(
            attempt_id=self._admitted.request.attempt_id,
            affinity_key=self._demand.affinity_key,
            engine=target.name,
            standby=None if standby is None else standby.name,
            is_prefilling=copy is None,
            token_count=self._demand.token_count,
        )
        copies = _standby_copies.StandbyCopies(
            self._dependencies, self._admitted, run_status, target, standby
        )
        relay = _relay.Relay(
            self._dependencies,
            self._admitted,
            self._progress,
            target,
            copies,
            self,
        )
        self._targets.begin_request(target)
        with self._dependencies.errors.contain(_supervision.RUN_REPORT):
            self._dependencies.fleet.record_run(run_status)
        try:
            result = self._dependencies.client.send(
                self._admitted.request, context, _calls.CONNECT_TIMEOUT_S
            )
            if isinstance(result, _ports.ExchangeFault):
                return relay.handle_fault(result)
            try:
                return relay.run(result, run_status)
            finally:
                result.close()
                copies.close()
        finally:
            self._targets.end_request(target)
            with self._dependencies.errors.contain(_supervision.RUN_REPORT):
                self._dependencies.fleet.record_run_end(run_status)

    def _record_crash(self, engine: data.ListedTarget) -> None:
        """Record a crashed engine.

        An engine whose address accepts connections has not crashed.
        """
        with self._dependencies.errors.contain(_supervision.PROMPT_EVIDENCE):
            if not self._dependencies.client.refuses_connections(
                engine, _engine_watch.PROBE_TIMEOUT_S
            ):
                return
            self._crashed_engine_count += 1
            self._record('engine_crashed', target=engine.name)
            self._dependencies.quarantine.record_loss(
                engine.name, self._part_ids
            )

    def _check_quarantine(
        self,
    ) -> _quarantine_records.QuarantineRefusal | None:
        """Return why the run must not be sent now, or None."""
        if self._is_probe and not self._has_executed:
            return None
        return self._dependencies.quarantine.check_send(self._part_ids)

    def _outcome_of_quarantine(
        self, refusal: _quarantine_records.QuarantineRefusal
    ) -> _outcomes.StreamOutcome:
        detail = f'engines crash under the prompt part {refusal.part_id}'
        self._record('prompt_quarantined', prompt_part=refusal.part_id)
        if self._has_executed:
            self._last_fault = detail
            return self._outcome_without_stream(None)
        return data.Refusal(
            data.RefusalReason.PROMPT_QUARANTINED,
            refusal.retry_after_s,
            detail,
        )

    def _outcome_without_stream(
        self, pause: _pause_waits.PauseWait | None
    ) -> _outcomes.StreamOutcome:
        if self._progress.has_started:
            return _outcomes.StreamInterrupted(self._last_fault)
        if self._progress.failure is not None:
            return self._progress.failure
        is_time_up = self._clock.monotonic_s() >= self._admitted.deadline_s
        if not self._has_executed and pause is not None:
            return pause.refusal()
        if not self._has_executed:
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

    def _record(self, step: str, **inputs: object) -> None:
        self._admitted.trace.record(self._clock.monotonic_s(), step, **inputs)
