"""Reads the stream of one attempt and keeps it alive."""

from collections.abc import Generator
import enum
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _evidence
from skylarktack.coordination.generation import _parts
from skylarktack.coordination.generation import _results
from skylarktack.coordination.generation import _silence

#: Times that a stream is attached again without a token in between.
IDLE_REATTACH_COUNT = 2

#: Tokens of a stream after which its pace is known.
GATHER_MIN_COUNT = 8

#: Time between two looks at whether the target leaves.
LEAVING_INTERVAL_S = 0.5


class AttemptEnd(enum.Enum):
    """Why an attempt ended."""

    COMPLETED = 'completed'
    LOST = 'lost'
    LEAVING = 'leaving'
    DIVERGED = 'diverged'
    CANCELLED = 'cancelled'
    HANDED_OVER = 'handed_over'


class AttemptReader:
    """Reads one attempt; the thread that advances the generation owns it."""

    def __init__(
        self,
        parts: _parts.GenerationDependencies,
        record: state.GenerationRecord,
        target: state.Target,
        note: state.AttemptRecord,
        stream: ports.TokenStream,
        evidence: _evidence.AttemptEvidence,
    ) -> None:
        self._parts = parts
        self._record = record
        self._target = target
        self._note = note
        self._stream = stream
        self._evidence = evidence
        self._silence = _silence.SilenceBound(parts.settings)
        self._incarnation: str | None = None
        # Position of the next token on this connection; below the record's
        # position while the engine replays, None before the start event.
        self._next: int | None = None
        self._held: list[bytes] = []
        self._fresh: list[bytes] = []
        self._end: state.StreamEnd | None = None
        self._broken = False
        self._diverged = False
        self._idle_reattach_count = 0
        now_s = parts.clock.monotonic_s()
        self._progress_s = now_s
        self._arrival_s = now_s
        self._leaving_s = now_s
        self._opened_s = now_s
        self._never = threading.Event()
        self._gather_s = parts.settings.gather_ms / 1000

    def run(
        self,
    ) -> Generator[_results.GenerationEvent, None, AttemptEnd]:
        """Yield deliveries until the attempt ends."""
        try:
            while True:
                ordered = self._ordered()
                if ordered is not None:
                    return ordered
                self._gather()
                arrived = self._stream.read(self._silence.timeout_s)
                now_s = self._parts.clock.monotonic_s()
                if isinstance(arrived, ports.StreamFault):
                    self._evidence.note_fault(arrived.kind)
                    if not self._attach_again(arrived.kind, now_s):
                        return AttemptEnd.LOST
                    continue
                self._silence.record_gap(now_s - self._arrival_s)
                self._arrival_s = now_s
                self._take(arrived)
                step: _results.GenerationEvent | None = _results.Idle()
                if self._fresh:
                    step = self._deliver(now_s)
                if self._record.diverged or self._diverged:
                    return AttemptEnd.DIVERGED
                if step is not None:
                    yield step
                ended = self._assess(now_s)
                if ended is not None:
                    return ended
        finally:
            self._stream.close()

    def _gather(self) -> None:
        # Each wake of a thread costs as much as several tokens, so a fast
        # stream is read at most once in each gather time. A stream slower
        # than that is read at once and no token of it is held back.
        gather_s = self._gather_s
        if self._evidence.token_count < GATHER_MIN_COUNT:
            return
        elapsed_s = self._arrival_s - self._opened_s
        if elapsed_s >= gather_s * self._evidence.token_count:
            return
        self._parts.clock.wait(self._never, gather_s)

    def _ordered(self) -> AttemptEnd | None:
        if self._record.cancel_requested:
            return AttemptEnd.CANCELLED
        if self._record.handover_requested:
            return AttemptEnd.HANDED_OVER
        return None

    def _take(self, events: tuple[state.StreamEvent, ...]) -> None:
        number = self._note.number
        expected = self._next
        for event in events:
            if isinstance(event, state.TokenEvent):
                if event.attempt != number or expected is None:
                    self._parts.metrics.count('generation.stale_token')
                    continue
                if event.position != expected:
                    self._parts.metrics.count('generation.misplaced_token')
                    # A token is missing on this connection if a later one
                    # arrives.
                    if event.position > expected:
                        self._broken = True
                    continue
                expected += 1
                if self._held:
                    if self._held.pop() != event.text:
                        self._diverged = True
                        break
                    continue
                self._fresh.append(event.text)
                continue
            if isinstance(event, state.StreamStart):
                expected = self._begin(event)
                continue
            # Nothing counts before a start event that names this attempt.
            if expected is None:
                continue
            if isinstance(event, state.StreamEnd):
                self._end = event
                break
            if isinstance(event, state.StreamError):
                self._evidence.note_error()
                self._broken = True
                self._idle_reattach_count = IDLE_REATTACH_COUNT
                break
        self._next = expected

    def _begin(self, start: state.StreamStart) -> int | None:
        record = self._record
        wrong = (
            start.request_id != record.request.request_id
            or start.attempt != self._note.number
            or self._incarnation not in (None, start.incarnation)
            or start.from_position > record.position
        )
        if wrong:
            self._parts.metrics.count('generation.crossed_stream')
            self._broken = True
            return None
        self._incarnation = start.incarnation
        # What the engine sends again is compared with what is held. The
        # list is reversed so that its next token can be popped.
        self._held = record.tokens_from(start.from_position)[::-1]
        return start.from_position

    def _deliver(self, now_s: float) -> _results.GenerationEvent | None:
        record = self._record
        position = record.position
        texts = self._fresh
        self._fresh = []
        digests = record.append(texts)
        self._progress_s = now_s
        self._idle_reattach_count = 0
        self._evidence.note_tokens(now_s, len(texts))
        if record.available <= position:
            return None
        note = self._note
        tokens: list[_results.DeliveredToken] = []
        for text, digest in zip(texts, digests, strict=True):
            tokens.append(
                _results.DeliveredToken(
                    position,
                    note.number,
                    note.target,
                    note.version,
                    digest,
                    text,
                )
            )
            position += 1
        return _results.TokenBatch(tuple(tokens))

    def _assess(self, now_s: float) -> AttemptEnd | None:
        if self._end is not None:
            return self._assess_end(self._end, now_s)
        if self._broken:
            self._broken = False
            fault = ports.StreamFaultKind.MALFORMED
            if not self._attach_again(fault, now_s):
                return AttemptEnd.LOST
            return None
        if now_s - self._progress_s > self._progress_limit_s():
            self._evidence.note_fault(ports.StreamFaultKind.SILENT)
            return AttemptEnd.LOST
        if now_s - self._leaving_s < LEAVING_INTERVAL_S:
            return None
        self._leaving_s = now_s
        if self._target_leaves():
            return AttemptEnd.LEAVING
        return None

    def _assess_end(
        self, end: state.StreamEnd, now_s: float
    ) -> AttemptEnd | None:
        self._end = None
        # An end that follows the prefix at once has replayed all of it only
        # if nothing held is left.
        whole = end.token_count == self._record.position and not self._held
        if whole and not self._is_cut_short(end):
            if self._record.is_unverified():
                return AttemptEnd.DIVERGED
            self._record.finish(end)
            return AttemptEnd.COMPLETED
        if end.token_count < self._record.position:
            return AttemptEnd.DIVERGED
        self._evidence.note_truncated()
        if self._attach_again(ports.StreamFaultKind.MALFORMED, now_s):
            return None
        return AttemptEnd.LOST

    def _is_cut_short(self, end: state.StreamEnd) -> bool:
        """Return whether the engine claims a limit that is not reached."""
        limit_count = self._record.request.max_tokens_count
        return end.reason == 'length' and end.token_count < limit_count

    def _attach_again(
        self, fault: ports.StreamFaultKind, now_s: float
    ) -> bool:
        """Attach on a new connection; False if the attempt is lost."""
        parts = self._parts
        record = self._record
        if not parts.settings.protection:
            return False
        if now_s - self._progress_s > self._progress_limit_s():
            return False
        # An engine that is only slow before its first token is probed as
        # often as needed.
        waits = (
            fault is ports.StreamFaultKind.SILENT
            and not self._evidence.token_count
        )
        if not waits:
            if self._idle_reattach_count >= IDLE_REATTACH_COUNT:
                return False
            self._idle_reattach_count += 1
        self._stream.close()
        self._next = None
        self._fresh = []
        opened = parts.engines.attach(
            self._target,
            record.request.request_id,
            self._note.number,
            record.position,
            parts.settings.connect_ms / 1000,
        )
        if opened.is_error():
            return False
        self._stream = opened.ok
        self._arrival_s = parts.clock.monotonic_s()
        parts.metrics.count('generation.attached_again')
        return True

    def _progress_limit_s(self) -> float:
        return self._parts.settings.first_token_ms / 1000

    def _target_leaves(self) -> bool:
        known = self._parts.selector.target(self._target.name)
        if known is None or not known.leaving:
            return False
        if known.leave_deadline_s is None:
            return False
        left_s = known.leave_deadline_s - self._parts.clock.wall_s()
        return left_s < self._parts.settings.leave_margin_ms / 1000
