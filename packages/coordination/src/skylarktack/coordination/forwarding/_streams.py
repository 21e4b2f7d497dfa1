"""Forwards streams, with failover from one engine to the next."""

import dataclasses

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _engine_chooser
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _executed_targets
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.forwarding import _retry_claims
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.coordination.forwarding import _stream_sends
from skylarktack.coordination.forwarding import _stream_waits
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _warm_up_checks
from skylarktack.state import forwarding as data

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
        self._executed = _executed_targets.ExecutedTargets(
            dependencies.clock,
            dependencies.targets,
            dependencies.client,
            admitted.service,
            admitted.route.max_attempts,
        )
        self._part_ids = _quarantine_records.observed_parts(admitted.request)
        self._is_probe = False
        self._crashed_engine_count = 0
        self._has_executed = False
        self._checks = _warm_up_checks.WarmUpChecks(dependencies, admitted)
        self._claims = _retry_claims.RetryClaims(dependencies, admitted)
        self._waits = _stream_waits.StreamWaits(
            dependencies, admitted, self._progress
        )
        self._sender = _stream_sends.StreamSender(
            dependencies, admitted, self._progress
        )
        self._last_fault = 'no engine is available'

    def run(self) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        try:
            return self._run()
        finally:
            self._claims.refund_reserved()

    def _run(self) -> _outcomes.StreamOutcome:
        self._dependencies.budget.count_request(self._admitted.service)
        copy: data.RunCopy | None = None
        admission = self._dependencies.quarantine.admit(self._part_ids)
        if admission.refusal is not None:
            return self._outcome_of_quarantine(admission.refusal)
        self._is_probe = admission.is_probe
        with self._dependencies.errors.contain(_supervision.PROMPT_SEARCH):
            self._demand = self._checks.find_prompt(self._demand)
        while self._clock.monotonic_s() < self._admitted.deadline_s:
            if self._claims.has_used_all_sends() and not self._has_executed:
                break
            refusal = self._check_quarantine()
            if refusal is not None:
                return self._outcome_of_quarantine(refusal)
            if copy is not None and self._targets.is_unavailable(copy.engine):
                # Its engine may have begun to drain during a wait.
                copy = None
            forbidden = self._executed.forbidden()
            if copy is not None and copy.engine.name in forbidden:
                copy = None
            pair = self._choose(copy, forbidden)
            if pair is None:
                pause = _pause_waits.plan_for_request(
                    self._targets, self._admitted, self._clock.monotonic_s()
                )
                if pause is not None and not pause.is_in_time:
                    return self._outcome_without_stream(pause)
                if pause is not None:
                    self._tried_targets.clear()
                    if self._waits.wait_for_pause(pause):
                        return _outcomes.CallerDisconnected()
                    continue
                if self._waits.has_queue_time_expired(self._has_executed):
                    break
                # Engines that were tried before become eligible again.
                self._tried_targets.clear()
                if self._waits.wait_for_target():
                    return _outcomes.CallerDisconnected()
                continue
            if copy is None and not self._has_room(pair.primary):
                continue
            obstacle = self._claims.secure()
            if obstacle is not None:
                if not self._waits.may_wait_for_retry(self._has_executed):
                    self._record(obstacle.value)
                    break
                if self._waits.wait_for_retry(obstacle):
                    return _outcomes.CallerDisconnected()
                continue
            end = self._attempt(pair, copy)
            if isinstance(end, _stream_attempts.StreamFinished):
                return end.outcome
            self._last_fault = end.detail
            copy = None
            if isinstance(end, _stream_attempts.AttemptNotExecuted):
                if not end.has_arrived:
                    self._claims.refund_unreached_send()
                continue
            self._has_executed = True
            self._executed.record(pair.primary)
            if end.is_lost_before_output:
                self._record_crash(pair.primary)
            if not self._may_retry():
                break
            copy = end.copy
            if copy is None and self._waits.wait_for_jitter():
                return _outcomes.CallerDisconnected()
        return self._outcome_without_stream(None)

    def reserve(
        self, engine: data.ListedTarget, copy: data.RunCopy | None
    ) -> str | None:
        """Reserve a retry at an engine that is available now."""
        if self._claims.has_used_all_sends():
            return 'all sends are used'
        if not self._may_retry() or self._check_quarantine() is not None:
            return 'the run may not be sent again'
        forbidden = self._executed.forbidden(leaving=engine)
        if copy is not None and copy.engine.name in forbidden:
            copy = None
        pair = self._choose(copy, forbidden)
        if pair is None:
            # Engines that were left before may take the run again.
            self._tried_targets = {engine.name}
            pair = self._choose(copy, forbidden)
        if pair is None or self._targets.is_unavailable(pair.primary):
            return 'no other engine is available'
        if not self._claims.reserve():
            return 'the retry budget is spent'
        return None

    def reserve_move(self, engine: data.ListedTarget) -> str | None:
        """Reserve a send for a run that leaves an engine that works."""
        route = self._admitted.route
        if self._claims.send_count >= route.max_attempts:
            return 'the attempts of the route are used'
        return self.reserve(engine, None)

    def _may_have_copy(self) -> bool:
        """Return whether the engine is asked to copy the run from its start.

        After a loss of all instances the streams that come back and the
        copies of lost runs fill the engines, so these streams get a copy
        later, as do runs that met a full engine.
        """
        if (
            not self._admitted.has_standby_copies
            or self._checks.has_found_full
        ):
            return False
        fleet = self._dependencies.fleet
        return not (self._demand.is_resumed and fleet.is_warming_up())

    def _has_room(self, engine: data.ListedTarget) -> bool:
        """Return whether an engine has room as far as it is known."""
        check = self._checks.check_room(engine, self._demand)
        if check is _warm_up_checks.RoomCheck.PASSED_OVER:
            self._tried_targets.add(engine.name)
        return check is _warm_up_checks.RoomCheck.AVAILABLE

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
        self, copy: data.RunCopy | None, forbidden: frozenset[str]
    ) -> _engine_selection.EnginePair | None:
        """Return the engines to which the stream is sent next, or None.

        :param forbidden: engines to which the route allows no more sends.
        """
        service = self._admitted.service
        model = self._admitted.request.model
        excluded = forbidden.union(self._tried_targets)
        rule = self._admitted.version_rule
        demand = self._current_demand()
        if self._claims.send_count > 0:
            rule = rule.for_retry()
        if copy is not None:
            # Engines admit a run with a copy first, whatever they prefill.
            standby = self._targets.placement.choose_standby(
                service, copy.engine, model, demand, rule
            )
            return _engine_selection.EnginePair(copy.engine, standby)
        pair = self._targets.placement.choose_engines(
            service, model, demand, excluded, rule
        )
        self._targets.ramps.explain(self._admitted.trace)
        return pair

    def _current_demand(self) -> _placement.RunDemand:
        """Return what the run needs after what the caller has received."""
        return _placement.demand_after_progress(
            dataclasses.replace(
                self._demand, is_repeated=self._claims.send_count > 0
            ),
            self._admitted,
            self._progress.last_event_id,
            self._progress.last_sent_at_s,
        )

    def _attempt(
        self, pair: _engine_selection.EnginePair, copy: data.RunCopy | None
    ) -> _stream_attempts.AttemptEnd:
        self._claims.record_send()
        self._waits.end_retry_wait()
        if not self._may_have_copy():
            pair = dataclasses.replace(pair, standby=None)
        self._tried_targets.add(pair.primary.name)
        if pair.forecast is not None:
            with self._dependencies.errors.contain(
                _engine_chooser.ENGINE_FORECAST
            ):
                self._record_forecast(pair.forecast)
        return self._sender.send(pair, copy, self._current_demand(), self)

    def _record_forecast(
        self, forecast: _engine_selection.EngineForecast
    ) -> None:
        due_at_s = self._current_demand().due_at_s
        slack_s = due_at_s - self._clock.monotonic_s() - forecast.first_event_s
        self._record(
            'forecast',
            first_event_ms=round(1000 * forecast.first_event_s),
            slack_ms=round(1000 * slack_s),
            event_ms=(
                None
                if forecast.event_s is None
                else round(1000 * forecast.event_s, 1)
            ),
            pace=round(forecast.pace, 2),
        )

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
