"""Runs one generation to its end over as many attempts as it takes."""

from collections.abc import Generator
from collections.abc import Iterator
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _attempt
from skylarktack.coordination.generation import _cancels
from skylarktack.coordination.generation import _evidence
from skylarktack.coordination.generation import _numbers
from skylarktack.coordination.generation import _parts
from skylarktack.coordination.generation import _results

#: Time between two looks for a target when none is free after a loss.
TARGET_RETRY_S = 0.2

_Steps = Generator[
    _results.GenerationEvent, None, _attempt.AttemptEnd | state.Refusal
]


class _Course:
    """What the attempts of one run have brought so far."""

    def __init__(self, settings: state.GenerationSettings) -> None:
        self.free_count = settings.free_failover_count
        self.excluded: tuple[state.TargetName, ...] = ()
        self.avoided_domain: state.FailureDomain | None = None
        self.attempt_count = 0
        # Whether the latest attempt cannot have been run by its target.
        self.unreached = False
        # Monotonic time of the first loss since the latest token.
        self.loss_s: float | None = None

    def note_loss(
        self, target: state.Target, progressed: bool, now_s: float
    ) -> None:
        if progressed:
            # Earlier failures of other targets are old by now.
            self.excluded = ()
        if progressed or self.loss_s is None:
            self.loss_s = now_s
        self.excluded = (*self.excluded, target.name)
        self.avoided_domain = target.failure_domain


class GenerationRunner:
    """Runs generations; one call of ``run`` for each of them."""

    def __init__(
        self,
        parts: _parts.GenerationDependencies,
        canceller: _cancels.AttemptCanceller | None = None,
    ) -> None:
        self._parts = parts
        self.canceller = canceller or _cancels.AttemptCanceller(parts)
        self._never = threading.Event()

    def run(
        self, request: state.GenerationRequest
    ) -> Iterator[_results.GenerationEvent]:
        """Yield the steps of a new generation."""
        return self.advance(
            state.GenerationRecord(state.InitialGenerationState(request))
        )

    def advance(
        self, record: state.GenerationRecord
    ) -> Iterator[_results.GenerationEvent]:
        """Yield the steps of a generation until it completes or fails.

        The calling thread reads the engine's stream. Closing the iterator
        cancels the attempt on the engine.
        """
        parts = self._parts
        request = record.request
        parts.retry_budget.record_request(request.organisation)
        if record.version is None:
            record.version = parts.versions.version_for(
                request.route, request.request_id
            )
        course = _Course(parts.settings)
        running = record.running
        record.running = None
        ended: _attempt.AttemptEnd | state.Refusal = _attempt.AttemptEnd.LOST
        if running is not None:
            ended = yield from self._join(record, running, course)
        while True:
            if ended is _attempt.AttemptEnd.DIVERGED:
                ended = self._assess_divergence(record)
                if ended is _attempt.AttemptEnd.LOST:
                    yield _results.Restarted()
            if isinstance(ended, state.Refusal):
                record.fail(ended)
                yield _results.Failed(ended)
                return
            if ended is _attempt.AttemptEnd.COMPLETED:
                assert record.end is not None
                yield _results.Completed(
                    record.end.token_count, record.end.reason
                )
                return
            if ended is _attempt.AttemptEnd.HANDED_OVER:
                yield _results.HandedOver()
                return
            ended = yield from self._next_attempt(record, course, ended)

    def cancel_latest(self, record: state.GenerationRecord) -> None:
        """Cancel the latest attempt, which also ends its stream."""
        if not record.last_attempt:
            return
        note = record.attempt_at(record.position)
        target = self._parts.selector.target(note.target)
        if target is None:
            return
        self.canceller.abandon(target, record.request.request_id, note.number)

    def _assess_divergence(
        self, record: state.GenerationRecord
    ) -> _attempt.AttemptEnd | state.Refusal:
        self._parts.metrics.count('generation.diverged')
        if record.request.accepts_restart:
            record.restart()
            return _attempt.AttemptEnd.LOST
        return state.Refusal(
            code=state.RefusalCode.DIVERGED,
            message='The engine continued with another text than delivered.',
            run=state.RunState.RAN,
        )

    def _join(
        self,
        record: state.GenerationRecord,
        running: state.AttemptRecord,
        course: _Course,
    ) -> _Steps:
        """Attach to an attempt that another instance began."""
        parts = self._parts
        target = parts.selector.target(running.target)
        if target is None:
            return _attempt.AttemptEnd.LOST
        evidence = _evidence.AttemptEvidence(parts.clock.monotonic_s())
        opened = parts.engines.attach(
            target,
            record.request.request_id,
            running.number,
            record.position,
            parts.settings.connect_ms / 1000,
        )
        if opened.is_error():
            course.note_loss(target, False, parts.clock.monotonic_s())
            if opened.error.kind is not ports.StreamFaultKind.MISSING:
                self.canceller.abandon(
                    target, record.request.request_id, running.number
                )
            return _attempt.AttemptEnd.LOST
        parts.metrics.count('generation.joined')
        ended = yield from self._read(
            record, target, running, opened.ok, evidence
        )
        course.note_loss(
            target, evidence.token_count > 0, parts.clock.monotonic_s()
        )
        return ended

    def _next_attempt(
        self,
        record: state.GenerationRecord,
        course: _Course,
        before: _attempt.AttemptEnd,
    ) -> _Steps:
        parts = self._parts
        refusal = self._refuse_attempt(record, course, before)
        if refusal is not None:
            return refusal
        if course.excluded:
            parts.metrics.count('generation.failover')
        chosen = self._choose(record, course)
        if isinstance(chosen, state.Refusal):
            return chosen
        try:
            note = state.AttemptRecord(
                _numbers.next_attempt(record.last_attempt),
                chosen.name,
                record.version or state.VersionName(''),
                record.position,
            )
            return (yield from self._start(record, course, chosen, note))
        finally:
            parts.selector.release(chosen.name)

    def _refuse_attempt(
        self,
        record: state.GenerationRecord,
        course: _Course,
        before: _attempt.AttemptEnd,
    ) -> state.Refusal | None:
        settings = self._parts.settings
        if before is _attempt.AttemptEnd.CANCELLED or record.cancel_requested:
            return _refusal(
                state.RefusalCode.CANCELLED, 'The generation was cancelled.'
            )
        if not record.prompt_known:
            return _refusal(
                state.RefusalCode.UNKNOWN_REQUEST,
                'The engine lost the generation; post the prompt again with '
                'the last event id.',
            )
        if course.attempt_count == 0 or course.unreached:
            # Targets that cannot be reached cost nothing; the time limit
            # of the choice ends the search for another one.
            course.unreached = False
            if settings.protection:
                return None
        exhausted = course.attempt_count >= settings.attempt_count
        unprotected = not settings.protection and bool(course.excluded)
        if exhausted or unprotected:
            return _refusal(
                state.RefusalCode.TARGET_FAILED,
                'No target completed the generation.',
            )
        if before is _attempt.AttemptEnd.LEAVING or not course.excluded:
            return None
        if course.free_count > 0 and record.position > 0:
            course.free_count -= 1
            return None
        if self._parts.retry_budget.try_spend(record.request.organisation):
            return None
        return _refusal(
            state.RefusalCode.RETRY_BUDGET, 'The retry budget is exhausted.'
        )

    def _choose(
        self, record: state.GenerationRecord, course: _Course
    ) -> state.Target | state.Refusal:
        parts = self._parts
        request = record.request
        is_first = not course.excluded
        end_s = parts.settings.target_wait_ms / 1000 + (
            course.loss_s or parts.clock.monotonic_s()
        )
        while True:
            if request.route.failover_across_versions and not is_first:
                record.version = parts.versions.version_for(
                    request.route, request.request_id
                )
            chosen = parts.selector.assign(
                ports.SelectionRequest(
                    request_id=request.request_id,
                    route=request.route,
                    organisation=request.organisation,
                    version=record.version or state.VersionName(''),
                    prompt=request.prompt,
                    excluded=course.excluded,
                    avoided_domain=course.avoided_domain,
                    continues=record.position > 0
                    or request.resume is not None,
                )
            )
            if chosen.is_ok():
                return chosen.ok
            if is_first and not record.position:
                return chosen.error
            now_s = parts.clock.monotonic_s()
            if now_s >= end_s or record.cancel_requested:
                return dataclasses.replace(
                    chosen.error, run=state.RunState.UNKNOWN
                )
            # A target that failed may be back, for instance restarted.
            course.excluded = ()
            parts.clock.wait(self._never, TARGET_RETRY_S)

    def _start(
        self,
        record: state.GenerationRecord,
        course: _Course,
        target: state.Target,
        note: state.AttemptRecord,
    ) -> _Steps:
        parts = self._parts
        request = record.request
        prefix = [token.decode() for token in record.tokens_from(0)]
        order = state.AttemptRequest(
            request_id=request.request_id,
            attempt=note.number,
            version=note.version,
            route=request.route.name,
            prompt=request.prompt,
            prefix_tokens=tuple(prefix),
            max_tokens_count=request.max_tokens_count,
            priority=request.priority,
        )
        course.attempt_count += 1
        evidence = _evidence.AttemptEvidence(parts.clock.monotonic_s())
        opened = parts.engines.start(
            target, order, parts.settings.start_ms / 1000
        )
        if opened.is_error():
            evidence.note_fault(opened.error.kind)
            course.note_loss(target, False, parts.clock.monotonic_s())
            self._observe(record, note, evidence, evidence.fault)
            course.unreached = (
                opened.error.kind is ports.StreamFaultKind.UNREACHABLE
            )
            if course.unreached:
                course.attempt_count -= 1
            else:
                self.canceller.abandon(target, request.request_id, note.number)
            return _attempt.AttemptEnd.LOST
        record.begin_attempt(note)
        ended = yield from self._read(
            record, target, note, opened.ok, evidence
        )
        course.note_loss(
            target, evidence.token_count > 0, parts.clock.monotonic_s()
        )
        return ended

    def _read(
        self,
        record: state.GenerationRecord,
        target: state.Target,
        note: state.AttemptRecord,
        stream: ports.TokenStream,
        evidence: _evidence.AttemptEvidence,
    ) -> _Steps:
        # A closed iterator leaves this value.
        ended = _attempt.AttemptEnd.CANCELLED
        reader = _attempt.AttemptReader(
            self._parts, record, target, note, stream, evidence
        )
        try:
            ended = yield from reader.run()
        finally:
            kind = _OUTCOMES.get(ended, evidence.fault)
            self._observe(record, note, evidence, kind)
            kept = ended in _KEPT or note.number == record.shared_attempt
            if not kept:
                self.canceller.abandon(
                    target, record.request.request_id, note.number
                )
        return ended

    def _observe(
        self,
        record: state.GenerationRecord,
        note: state.AttemptRecord,
        evidence: _evidence.AttemptEvidence,
        kind: state.OutcomeKind,
    ) -> None:
        self._parts.outcomes.observe(
            evidence.outcome(
                record.request, note, kind, self._parts.clock.monotonic_s()
            )
        )


#: Evidence of ends that are not the target's fault.
_OUTCOMES = {
    _attempt.AttemptEnd.COMPLETED: state.OutcomeKind.SUCCESS,
    _attempt.AttemptEnd.CANCELLED: state.OutcomeKind.CANCELLED,
    _attempt.AttemptEnd.HANDED_OVER: state.OutcomeKind.CANCELLED,
    _attempt.AttemptEnd.LEAVING: state.OutcomeKind.CANCELLED,
    _attempt.AttemptEnd.DIVERGED: state.OutcomeKind.ERROR,
}

#: Ends after which the engine's attempt is not cancelled.
_KEPT = (_attempt.AttemptEnd.COMPLETED, _attempt.AttemptEnd.HANDED_OVER)


def _refusal(code: state.RefusalCode, message: str) -> state.Refusal:
    return state.Refusal(
        code=code, message=message, run=state.RunState.UNKNOWN
    )
