"""Reads the token stream of one attempt and reattaches it after faults."""

from collections.abc import Generator
import enum
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _dependencies
from skylarktack.coordination.generation import _events
from skylarktack.coordination.generation import _failover
from skylarktack.coordination.generation import _inactivity
from skylarktack.coordination.generation import _outcome_recorder

#: Maximum consecutive reattachments of a stream that delivers no token.
MAX_IDLE_REATTACHES = 2

#: Tokens after which the token rate of a stream is known.
BATCHING_MIN_TOKENS = 8

#: Interval between checks whether the target is leaving, that is, draining.
DRAIN_CHECK_INTERVAL_S = 0.5

#: Interval between checks whether a generation can leave an unresponsive
#: engine.
RESERVATION_INTERVAL_S = 0.2

#: Time without a token, in multiples of the maximum wait for the first one,
#: after which an attempt is lost even if the generation cannot go on
#: elsewhere.
KEPT_LIMIT_COUNT = 2


class AttemptEnd(enum.Enum):
    """Why an attempt ended."""

    COMPLETED = 'completed'
    LOST = 'lost'
    LEAVING = 'leaving'
    DIVERGED = 'diverged'
    CANCELLED = 'cancelled'
    HANDED_OVER = 'handed_over'


class AttemptReader:
    """Reads one attempt; used only by the thread advancing the generation."""

    def __init__(
        self,
        dependencies: _dependencies.GenerationDependencies,
        record: state.GenerationRecord,
        target: state.Target,
        attempt: state.AttemptRecord,
        stream: ports.TokenStream,
        outcome_recorder: _outcome_recorder.OutcomeRecorder,
        failover: _failover.FailoverReservation,
    ) -> None:
        """Create a reader.

        :param failover: asked before an unresponsive engine is left.
        """
        self._dependencies = dependencies
        self._record = record
        self._target = target
        self._attempt = attempt
        self._stream = stream
        self._outcome_recorder = outcome_recorder
        self._failover = failover
        self._inactivity = _inactivity.InactivityTimeout(dependencies.settings)
        self._incarnation: str | None = None
        # Position of the next token expected on this connection. It is below
        # the record's position while the engine replays tokens, and None
        # before the start event.
        self._next_position: int | None = None
        self._replay_tokens: list[bytes] = []
        self._new_tokens: list[bytes] = []
        self._end_event: state.StreamEnd | None = None
        self._is_broken = False
        self._has_diverged = False
        self._idle_reattach_count = 0
        # Whether there is no connection to an unresponsive engine.
        self._is_detached = False
        # Whether the attempt was kept since its latest token.
        self._is_kept = False
        now_s = dependencies.clock.monotonic_s()
        self._progress_s = now_s
        self._arrival_s = now_s
        self._drain_checked_s = now_s
        self._opened_s = now_s
        # When the next attempt may be reserved.
        self._reservation_s = now_s
        self._never_set = threading.Event()
        self._batch_interval_s = dependencies.settings.gather_ms / 1000

    def run(
        self,
    ) -> Generator[_events.GenerationEvent, None, AttemptEnd]:
        """Yield events until the attempt ends; return why it ended."""
        try:
            while True:
                requested_end = self._requested_end()
                if requested_end is not None:
                    return requested_end
                self._wait_for_batch()
                received = self._read()
                now_s = self._dependencies.clock.monotonic_s()
                if isinstance(received, ports.StreamFault):
                    self._outcome_recorder.record_fault(received.kind)
                    if not self._reattach(received.kind, now_s):
                        return AttemptEnd.LOST
                    if self._is_detached:
                        # Lets a caller leave that waits for the engine.
                        yield _events.Idle()
                    continue
                self._inactivity.record_gap(now_s - self._arrival_s)
                self._arrival_s = now_s
                self._process_events(received)
                event_to_yield: _events.GenerationEvent | None = _events.Idle()
                if self._new_tokens:
                    event_to_yield = self._deliver(now_s)
                if self._record.diverged or self._has_diverged:
                    return AttemptEnd.DIVERGED
                if event_to_yield is not None:
                    yield event_to_yield
                attempt_end = self._check_end(now_s)
                if attempt_end is not None:
                    return attempt_end
        finally:
            self._stream.close()

    def _read(self) -> ports.StreamRead:
        if not self._is_detached:
            return self._stream.read(self._inactivity.timeout_s)
        self._dependencies.clock.wait(self._never_set, RESERVATION_INTERVAL_S)
        return ports.StreamFault(
            ports.StreamFaultKind.UNRESPONSIVE, 'The engine is unresponsive.'
        )

    def _wait_for_batch(self) -> None:
        # Waking a thread costs as much as processing several tokens, so a
        # fast stream is read at most once per batch interval. A slower
        # stream is read at once, so that none of its tokens is delayed.
        batch_interval_s = self._batch_interval_s
        if self._outcome_recorder.token_count < BATCHING_MIN_TOKENS:
            return
        elapsed_s = self._arrival_s - self._opened_s
        if elapsed_s >= batch_interval_s * self._outcome_recorder.token_count:
            return
        self._dependencies.clock.wait(self._never_set, batch_interval_s)

    def _requested_end(self) -> AttemptEnd | None:
        if self._record.cancel_requested:
            return AttemptEnd.CANCELLED
        if self._record.handover_requested:
            return AttemptEnd.HANDED_OVER
        return None

    def _process_events(self, events: tuple[state.StreamEvent, ...]) -> None:
        number = self._attempt.number
        expected = self._next_position
        for event in events:
            if isinstance(event, state.TokenEvent):
                if event.attempt != number or expected is None:
                    self._dependencies.metrics.count('generation.stale_token')
                    continue
                if event.position != expected:
                    self._dependencies.metrics.count(
                        'generation.misplaced_token'
                    )
                    # A later position means that this connection lost a token.
                    if event.position > expected:
                        self._is_broken = True
                    continue
                expected += 1
                if self._replay_tokens:
                    if self._replay_tokens.pop() != event.text:
                        self._has_diverged = True
                        break
                    continue
                self._new_tokens.append(event.text)
                continue
            if isinstance(event, state.StreamStart):
                expected = self._process_start(event)
                continue
            # Events before a start event of this attempt are ignored.
            if expected is None:
                continue
            if isinstance(event, state.StreamEnd):
                self._end_event = event
                break
            if isinstance(event, state.StreamError):
                self._outcome_recorder.record_error_event()
                self._is_broken = True
                self._idle_reattach_count = MAX_IDLE_REATTACHES
                break
        self._next_position = expected

    def _process_start(self, start: state.StreamStart) -> int | None:
        record = self._record
        is_mismatch = (
            start.request_id != record.request.request_id
            or start.attempt != self._attempt.number
            or self._incarnation not in (None, start.incarnation)
            or start.from_position > record.position
        )
        if is_mismatch:
            self._dependencies.metrics.count('generation.crossed_stream')
            self._is_broken = True
            return None
        self._incarnation = start.incarnation
        # Tokens that the engine replays are compared with the recorded ones.
        # The list is reversed so that the next token can be popped.
        self._replay_tokens = record.tokens_from(start.from_position)[::-1]
        return start.from_position

    def _deliver(self, now_s: float) -> _events.GenerationEvent | None:
        record = self._record
        position = record.position
        new_tokens = self._new_tokens
        self._new_tokens = []
        digests = record.append(new_tokens)
        self._progress_s = now_s
        self._idle_reattach_count = 0
        self._is_kept = False
        self._outcome_recorder.record_tokens(now_s, len(new_tokens))
        if record.available <= position:
            return None
        attempt = self._attempt
        tokens: list[_events.DeliveredToken] = []
        for text, digest in zip(new_tokens, digests, strict=True):
            tokens.append(
                _events.DeliveredToken(
                    position,
                    attempt.number,
                    attempt.target,
                    attempt.version,
                    digest,
                    text,
                )
            )
            position += 1
        return _events.TokenBatch(tuple(tokens))

    def _check_end(self, now_s: float) -> AttemptEnd | None:
        if self._end_event is not None:
            return self._process_end(self._end_event, now_s)
        if self._is_broken:
            self._is_broken = False
            fault = ports.StreamFaultKind.MALFORMED
            if not self._reattach(fault, now_s):
                return AttemptEnd.LOST
            return None
        if self._is_overdue(now_s) and self._may_leave():
            self._outcome_recorder.record_fault(
                ports.StreamFaultKind.UNRESPONSIVE
            )
            return AttemptEnd.LOST
        if now_s - self._drain_checked_s < DRAIN_CHECK_INTERVAL_S:
            return None
        self._drain_checked_s = now_s
        if self._is_target_draining():
            return AttemptEnd.LEAVING
        return None

    def _process_end(
        self, end: state.StreamEnd, now_s: float
    ) -> AttemptEnd | None:
        self._end_event = None
        # The end may arrive before all recorded tokens were replayed and
        # compared; the response is complete only if none is left.
        is_complete = (
            end.token_count == self._record.position
            and not self._replay_tokens
        )
        if is_complete and not self._is_cut_short(end):
            if self._record.is_unverified():
                return AttemptEnd.DIVERGED
            self._record.finish(end)
            return AttemptEnd.COMPLETED
        if end.token_count < self._record.position:
            return AttemptEnd.DIVERGED
        self._outcome_recorder.record_early_end()
        if self._reattach(ports.StreamFaultKind.MALFORMED, now_s):
            return None
        return AttemptEnd.LOST

    def _is_cut_short(self, end: state.StreamEnd) -> bool:
        """Return whether the engine reports a limit that was not reached."""
        limit_count = self._record.request.max_tokens_count
        return end.reason == 'length' and end.token_count < limit_count

    def _reattach(self, fault: ports.StreamFaultKind, now_s: float) -> bool:
        """Attach on a new connection; return False if the attempt is lost.

        An attempt at an unresponsive engine, which may be healthy, is kept
        without a connection while the generation cannot go on at another one.
        """
        if not self._dependencies.settings.protection:
            return False
        has_timed_out = fault is ports.StreamFaultKind.UNRESPONSIVE
        if self._has_used_reattaches(has_timed_out, now_s):
            if not has_timed_out or self._may_leave():
                return False
            self._idle_reattach_count = 0
        error = self._attach()
        if error is None:
            return True
        if error is not ports.StreamFaultKind.UNRESPONSIVE:
            return False
        return not self._may_leave()

    def _has_used_reattaches(self, has_timed_out: bool, now_s: float) -> bool:
        """Count a reattachment; return whether there are too many."""
        if self._is_overdue(now_s):
            return True
        # An engine that is merely slow to send its first token is
        # reattached any number of times.
        if has_timed_out and not self._outcome_recorder.token_count:
            return False
        if self._idle_reattach_count >= MAX_IDLE_REATTACHES:
            return True
        self._idle_reattach_count += 1
        return False

    def _attach(self) -> ports.StreamFaultKind | None:
        """Attach on a new connection; return why it failed, or None."""
        dependencies = self._dependencies
        record = self._record
        self._stream.close()
        self._is_detached = True
        self._next_position = None
        self._new_tokens = []
        opened = dependencies.engines.attach(
            self._target,
            record.request.request_id,
            self._attempt.number,
            record.position,
            dependencies.settings.connect_ms / 1000,
        )
        if opened.is_error():
            return opened.error.kind
        self._stream = opened.ok
        self._is_detached = False
        self._arrival_s = dependencies.clock.monotonic_s()
        dependencies.metrics.count('generation.attached_again')
        return None

    def _may_leave(self) -> bool:
        """Return whether an unresponsive engine may be left.

        The engine may be healthy, so the next attempt is reserved first.
        """
        now_s = self._dependencies.clock.monotonic_s()
        kept_limit_s = KEPT_LIMIT_COUNT * self._progress_limit_s()
        if now_s - self._progress_s > kept_limit_s:
            return True
        if now_s < self._reservation_s:
            return False
        self._reservation_s = now_s + RESERVATION_INTERVAL_S
        if self._failover.reserve(self._outcome_recorder.token_count > 0):
            return True
        if not self._is_kept:
            self._is_kept = True
            self._dependencies.metrics.count(
                'generation.kept_at_silent_engine'
            )
        return False

    def _is_overdue(self, now_s: float) -> bool:
        """Return whether the next token is later than allowed."""
        return now_s - self._progress_s > self._progress_limit_s()

    def _progress_limit_s(self) -> float:
        return self._dependencies.settings.first_token_ms / 1000

    def _is_target_draining(self) -> bool:
        target = self._dependencies.selector.target(self._target.name)
        if target is None or not target.leaving:
            return False
        if target.leave_deadline_s is None:
            return False
        left_s = target.leave_deadline_s - self._dependencies.clock.wall_s()
        return left_s < self._dependencies.settings.leave_margin_ms / 1000
