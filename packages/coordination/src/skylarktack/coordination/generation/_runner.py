"""Runs a generation to its end, over several attempts if needed."""

from collections.abc import Generator
from collections.abc import Iterator
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _attempt
from skylarktack.coordination.generation import _attempt_numbers
from skylarktack.coordination.generation import _cancels
from skylarktack.coordination.generation import _dependencies
from skylarktack.coordination.generation import _events
from skylarktack.coordination.generation import _failover
from skylarktack.coordination.generation import _outcome_recorder

#: Interval between selections while no target is available after a loss.
TARGET_RETRY_INTERVAL_S = 0.2

_EventGenerator = Generator[
    _events.GenerationEvent, None, _attempt.AttemptEnd | state.Refusal
]


class GenerationRunner:
    """Runs generations, each with one call of ``run`` or ``advance``."""

    def __init__(
        self,
        dependencies: _dependencies.GenerationDependencies,
        canceller: _cancels.AttemptCanceller | None = None,
    ) -> None:
        self._dependencies = dependencies
        self.canceller = canceller or _cancels.AttemptCanceller(dependencies)
        self._never_set = threading.Event()

    def run(
        self, request: state.GenerationRequest
    ) -> Iterator[_events.GenerationEvent]:
        """Yield the events of a new generation."""
        return self.advance(
            state.GenerationRecord(state.InitialGenerationState(request))
        )

    def advance(
        self, record: state.GenerationRecord
    ) -> Iterator[_events.GenerationEvent]:
        """Yield the events of a generation until it ends.

        The calling thread reads the engine's stream. Closing the iterator
        cancels the attempt on the engine.
        """
        dependencies = self._dependencies
        request = record.request
        dependencies.retry_budget.record_request(request.organisation)
        if record.version is None:
            record.version = dependencies.versions.version_for(
                request.route, request.request_id
            )
        failover = _failover.FailoverState(dependencies.settings)
        try:
            yield from self._advance(record, failover)
        finally:
            reserved = failover.take_reserved_target()
            if reserved is not None:
                dependencies.selector.release(reserved.name)

    def _advance(
        self,
        record: state.GenerationRecord,
        failover: _failover.FailoverState,
    ) -> Iterator[_events.GenerationEvent]:
        running = record.running
        record.running = None
        attempt_result: _attempt.AttemptEnd | state.Refusal = (
            _attempt.AttemptEnd.LOST
        )
        if running is not None:
            attempt_result = yield from self._join_attempt(
                record, running, failover
            )
        while True:
            if attempt_result is _attempt.AttemptEnd.DIVERGED:
                attempt_result = self._handle_divergence(record)
                if attempt_result is _attempt.AttemptEnd.LOST:
                    yield _events.Restarted()
            if isinstance(attempt_result, state.Refusal):
                record.fail(attempt_result)
                yield _events.Failed(attempt_result)
                return
            if attempt_result is _attempt.AttemptEnd.COMPLETED:
                assert record.end is not None
                yield _events.Completed(
                    record.end.token_count, record.end.reason
                )
                return
            if attempt_result is _attempt.AttemptEnd.HANDED_OVER:
                yield _events.HandedOver()
                return
            attempt_result = yield from self._next_attempt(
                record, failover, attempt_result
            )

    def cancel_latest(self, record: state.GenerationRecord) -> None:
        """Cancel the latest attempt on its engine, which ends its stream."""
        if not record.last_attempt:
            return
        attempt = record.attempt_at(record.position)
        target = self._dependencies.selector.target(attempt.target)
        if target is None:
            return
        self.canceller.abandon(
            target, record.request.request_id, attempt.number
        )

    def _handle_divergence(
        self, record: state.GenerationRecord
    ) -> _attempt.AttemptEnd | state.Refusal:
        self._dependencies.metrics.count('generation.diverged')
        if record.request.accepts_restart:
            record.restart()
            return _attempt.AttemptEnd.LOST
        return state.Refusal(
            code=state.RefusalCode.DIVERGED,
            message='The engine generated text that differs from what was'
            ' delivered.',
            run=state.RunState.RAN,
        )

    def _join_attempt(
        self,
        record: state.GenerationRecord,
        running: state.AttemptRecord,
        failover: _failover.FailoverState,
    ) -> _EventGenerator:
        """Attach to an attempt that another instance started."""
        dependencies = self._dependencies
        target = dependencies.selector.target(running.target)
        if target is None:
            return _attempt.AttemptEnd.LOST
        outcome_recorder = _outcome_recorder.OutcomeRecorder(
            dependencies.clock.monotonic_s()
        )
        opened = dependencies.engines.attach(
            target,
            record.request.request_id,
            running.number,
            record.position,
            dependencies.settings.connect_ms / 1000,
        )
        if opened.is_error():
            failover.record_loss(
                target, False, dependencies.clock.monotonic_s()
            )
            if opened.error.kind is not ports.StreamFaultKind.MISSING:
                self.canceller.abandon(
                    target, record.request.request_id, running.number
                )
            return _attempt.AttemptEnd.LOST
        dependencies.metrics.count('generation.joined')
        return (
            yield from self._read_attempt(
                record, failover, target, running, opened.ok, outcome_recorder
            )
        )

    def _next_attempt(
        self,
        record: state.GenerationRecord,
        failover: _failover.FailoverState,
        previous_end: _attempt.AttemptEnd,
    ) -> _EventGenerator:
        dependencies = self._dependencies
        if failover.reserved_target is None or record.cancel_requested:
            refusal = self._check_attempt_allowed(
                record, failover, previous_end
            )
            if refusal is not None:
                return refusal
        if failover.excluded_targets:
            dependencies.metrics.count('generation.failover')
        selected = failover.take_reserved_target() or self._select_target(
            record, failover
        )
        if isinstance(selected, state.Refusal):
            return selected
        try:
            attempt = state.AttemptRecord(
                _attempt_numbers.next_attempt_number(record.last_attempt),
                selected.name,
                record.version or state.VersionName(''),
                record.position,
            )
            return (
                yield from self._start_attempt(
                    record, failover, selected, attempt
                )
            )
        finally:
            dependencies.selector.release(selected.name)

    def _check_attempt_allowed(
        self,
        record: state.GenerationRecord,
        failover: _failover.FailoverState,
        previous_end: _attempt.AttemptEnd,
    ) -> state.Refusal | None:
        settings = self._dependencies.settings
        if (
            previous_end is _attempt.AttemptEnd.CANCELLED
            or record.cancel_requested
        ):
            return _refusal(
                state.RefusalCode.CANCELLED, 'The generation was cancelled.'
            )
        if not record.prompt_known:
            return _refusal(
                state.RefusalCode.UNKNOWN_REQUEST,
                'The engine lost the generation; send the prompt again with '
                'the last event id.',
            )
        if failover.attempt_count == 0 or failover.is_unreached:
            # Unreachable targets do not count as attempts; the selection
            # timeout limits the search for another one.
            failover.is_unreached = False
            if settings.protection:
                return None
        is_exhausted = failover.attempt_count >= settings.attempt_count
        is_unprotected = not settings.protection and bool(
            failover.excluded_targets
        )
        if is_exhausted or is_unprotected:
            return _refusal(
                state.RefusalCode.TARGET_FAILED,
                'No target completed the generation.',
            )
        if (
            previous_end is _attempt.AttemptEnd.LEAVING
            or not failover.excluded_targets
        ):
            return None
        if _failover.claim_failover(self._dependencies, record, failover):
            return None
        return _refusal(
            state.RefusalCode.RETRY_BUDGET, 'The retry budget is exhausted.'
        )

    def _select_target(
        self, record: state.GenerationRecord, failover: _failover.FailoverState
    ) -> state.Target | state.Refusal:
        dependencies = self._dependencies
        is_first = not failover.excluded_targets
        end_s = dependencies.settings.target_wait_ms / 1000 + (
            failover.first_loss_s or dependencies.clock.monotonic_s()
        )
        while True:
            selected = _failover.select_target(
                dependencies,
                record,
                failover.excluded_targets,
                failover.avoided_domain,
                is_first,
            )
            if selected.is_ok():
                return selected.ok
            if is_first and not record.position:
                return selected.error
            now_s = dependencies.clock.monotonic_s()
            if now_s >= end_s or record.cancel_requested:
                return dataclasses.replace(
                    selected.error, run=state.RunState.UNKNOWN
                )
            # A failed target may have recovered, for instance by a restart.
            failover.excluded_targets = ()
            dependencies.clock.wait(self._never_set, TARGET_RETRY_INTERVAL_S)

    def _start_attempt(
        self,
        record: state.GenerationRecord,
        failover: _failover.FailoverState,
        target: state.Target,
        attempt: state.AttemptRecord,
    ) -> _EventGenerator:
        dependencies = self._dependencies
        request = record.request
        prefix = [token.decode() for token in record.tokens_from(0)]
        attempt_request = state.AttemptRequest(
            request_id=request.request_id,
            attempt=attempt.number,
            version=attempt.version,
            route=request.route.name,
            prompt=request.prompt,
            prefix_tokens=tuple(prefix),
            max_tokens_count=request.max_tokens_count,
            priority=request.priority,
        )
        failover.attempt_count += 1
        outcome_recorder = _outcome_recorder.OutcomeRecorder(
            dependencies.clock.monotonic_s()
        )
        opened = dependencies.engines.start(
            target, attempt_request, dependencies.settings.start_ms / 1000
        )
        if opened.is_error():
            outcome_recorder.record_fault(opened.error.kind)
            failover.record_loss(
                target, False, dependencies.clock.monotonic_s()
            )
            self._observe(
                record, attempt, outcome_recorder, outcome_recorder.fault
            )
            failover.is_unreached = (
                opened.error.kind is ports.StreamFaultKind.UNREACHABLE
            )
            if failover.is_unreached:
                failover.attempt_count -= 1
            else:
                self.canceller.abandon(
                    target, request.request_id, attempt.number
                )
            return _attempt.AttemptEnd.LOST
        record.begin_attempt(attempt)
        return (
            yield from self._read_attempt(
                record, failover, target, attempt, opened.ok, outcome_recorder
            )
        )

    def _read_attempt(
        self,
        record: state.GenerationRecord,
        failover: _failover.FailoverState,
        target: state.Target,
        attempt: state.AttemptRecord,
        stream: ports.TokenStream,
        outcome_recorder: _outcome_recorder.OutcomeRecorder,
    ) -> _EventGenerator:
        # Remains set if the iterator is closed early.
        attempt_result = _attempt.AttemptEnd.CANCELLED
        reader = _attempt.AttemptReader(
            self._dependencies,
            record,
            target,
            attempt,
            stream,
            outcome_recorder,
            _failover.TargetReservation(
                self._dependencies, record, failover, target
            ),
        )
        try:
            attempt_result = yield from reader.run()
        finally:
            kind = _OUTCOMES.get(attempt_result, outcome_recorder.fault)
            self._observe(record, attempt, outcome_recorder, kind)
            keep_attempt = (
                attempt_result in _ENDS_KEEPING_ATTEMPT
                or attempt.number == record.shared_attempt
            )
            if not keep_attempt:
                self.canceller.abandon(
                    target, record.request.request_id, attempt.number
                )
        failover.record_loss(
            target,
            outcome_recorder.token_count > 0,
            self._dependencies.clock.monotonic_s(),
        )
        return attempt_result

    def _observe(
        self,
        record: state.GenerationRecord,
        attempt: state.AttemptRecord,
        outcome_recorder: _outcome_recorder.OutcomeRecorder,
        kind: state.OutcomeKind,
    ) -> None:
        self._dependencies.outcomes.observe(
            outcome_recorder.outcome(
                record.request,
                attempt,
                kind,
                self._dependencies.clock.monotonic_s(),
            )
        )


#: Outcomes of ends other than a lost attempt.
_OUTCOMES = {
    _attempt.AttemptEnd.COMPLETED: state.OutcomeKind.SUCCESS,
    _attempt.AttemptEnd.CANCELLED: state.OutcomeKind.CANCELLED,
    _attempt.AttemptEnd.HANDED_OVER: state.OutcomeKind.CANCELLED,
    _attempt.AttemptEnd.LEAVING: state.OutcomeKind.CANCELLED,
    _attempt.AttemptEnd.DIVERGED: state.OutcomeKind.ERROR,
}

#: Ends after which the attempt on the engine is not cancelled.
_ENDS_KEEPING_ATTEMPT = (
    _attempt.AttemptEnd.COMPLETED,
    _attempt.AttemptEnd.HANDED_OVER,
)


def _refusal(code: state.RefusalCode, message: str) -> state.Refusal:
    return state.Refusal(
        code=code, message=message, run=state.RunState.UNKNOWN
    )
