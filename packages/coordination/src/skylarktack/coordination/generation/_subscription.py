"""Shares one generation among the callers that read it."""

from collections.abc import Iterator
import threading

from skylarktack import state
from skylarktack.coordination.generation import _events
from skylarktack.coordination.generation import _runner

#: Maximum tokens in one batch of already recorded text.
MAX_CATCH_UP_TOKENS = 2048

#: Maximum wait of a caller while another thread reads the engine.
ADVANCE_WAIT_S = 0.25


class SharedGeneration:
    """One generation, advanced by one of its callers' threads at a time.

    A caller's thread advances the generation when it needs more tokens and
    no other thread is advancing it. A thread blocked in a write to its own
    caller does not hold the lock, so a caller that reconnects is not delayed
    by its previous connection.
    """

    def __init__(
        self, runner: _runner.GenerationRunner, record: state.GenerationRecord
    ) -> None:
        self.record = record
        self._runner = runner
        self._advance_lock = threading.Lock()
        self._events_iterator: Iterator[_events.GenerationEvent] | None = None
        self._lock = threading.Lock()
        self._subscriber_count = 0
        self.is_detached = False
        self.handed_over = False

    @property
    def subscriber_count(self) -> int:
        """Number of callers that are reading it."""
        return self._subscriber_count

    @property
    def is_running(self) -> bool:
        """Whether an attempt is in progress."""
        return self._events_iterator is not None

    @property
    def is_idle(self) -> bool:
        """Whether no caller reads it and no thread advances it."""
        return not (
            self._subscriber_count or self.is_detached or self.is_running
        )

    @property
    def size_bytes(self) -> int:
        """Memory used by the recorded generation."""
        return self.record.size_bytes

    @property
    def retention_s(self) -> float:
        """How long it is retained once idle."""
        return self.record.request.route.retention_ms / 1000

    def add_subscribers(self, change: int) -> int:
        """Add ``change`` to the number of callers and return the result."""
        with self._lock:
            self._subscriber_count += change
            return self._subscriber_count

    def try_advance(self) -> _events.GenerationEvent | None:
        """Return the next event, or None if another thread is advancing."""
        if not self._advance_lock.acquire(blocking=False):
            return None
        try:
            if self.record.is_ended:
                return None
            if self._events_iterator is None:
                self._events_iterator = self._runner.advance(self.record)
            event = self._next_event(self._events_iterator)
            if isinstance(event, _events.HandedOver):
                self.handed_over = True
            if event is None or isinstance(event, _FINAL_EVENTS):
                self._events_iterator = None
            return event
        finally:
            self._advance_lock.release()

    def _next_event(
        self, events: Iterator[_events.GenerationEvent]
    ) -> _events.GenerationEvent | None:
        try:
            return next(events, None)
        except Exception:
            # The attempt is over; a generation that counted as running would
            # be kept for ever.
            self._events_iterator = None
            raise

    def reopen(self) -> None:
        """Let a failed, cancelled or handed over generation continue."""
        with self._lock:
            if self.handed_over and self.record.last_attempt:
                self.record.running = self.record.attempt_at(
                    self.record.position
                )
            self.handed_over = False
        self.record.reopen()

    def cancel_now(self) -> None:
        """Cancel at once, even if the engine sends nothing at present."""
        if not self.is_running:
            self.record.fail(
                state.Refusal(
                    state.RefusalCode.CANCELLED,
                    'The generation was cancelled.',
                    state.RunState.UNKNOWN,
                )
            )
            return
        self._runner.cancel_latest(self.record)

    def suspend(self) -> None:
        """Cancel the running attempt and keep the recorded text."""
        with self._advance_lock:
            events = self._events_iterator
            self._events_iterator = None
            if events is not None:
                events.close()  # type: ignore[attr-defined]


_FINAL_EVENTS = (_events.Completed, _events.Failed, _events.HandedOver)


class GenerationSubscription:
    """Iterates over a generation's events for one caller from a position."""

    def __init__(self, generation: SharedGeneration, position: int) -> None:
        self._generation = generation
        self._position = position
        self._epoch = generation.record.epoch
        self._cursor: state.DeliveredCursor | None = None
        self._ended = False

    @property
    def generation(self) -> SharedGeneration:
        """The generation that this subscription reads."""
        return self._generation

    def __iter__(self) -> Iterator[_events.GenerationEvent]:
        return self

    def __next__(self) -> _events.GenerationEvent:
        """Return the next event.

        The last one tells completion, failure or handover.

        :raises StopIteration: after the last event.
        """
        if self._ended:
            raise StopIteration
        event = self._next_event()
        self._ended = isinstance(event, _FINAL_EVENTS)
        return event

    def _next_event(self) -> _events.GenerationEvent:
        generation = self._generation
        record = generation.record
        while True:
            if self._epoch != record.epoch:
                self._epoch = record.epoch
                self._position = 0
                self._cursor = None
                return _events.Restarted()
            if record.available > self._position:
                return self._recorded_batch()
            if record.end is not None:
                return _events.Completed(
                    record.end.token_count, record.end.reason
                )
            if record.refusal is not None:
                return _events.Failed(record.refusal)
            if generation.handed_over:
                return self._handover_event()
            event = generation.try_advance()
            if event is None:
                record.wait_for_tokens(self._position, ADVANCE_WAIT_S)
                if record.available <= self._position:
                    if not record.is_ended:
                        return _events.Idle()
                continue
            if isinstance(event, _events.TokenBatch):
                if event.tokens[0].position != self._position:
                    continue
                self._position += len(event.tokens)
                self._cursor = None
                return event
            if isinstance(event, _events.Restarted):
                continue
            if isinstance(event, _events.HandedOver):
                return self._handover_event()
            return event

    def _handover_event(self) -> _events.HandedOver:
        record = self._generation.record
        if not record.last_attempt or record.is_unverified():
            return _events.HandedOver()
        attempt = record.attempt_at(record.position)
        return _events.HandedOver(
            state.ResumeToken(
                self._position,
                attempt.number,
                attempt.target,
                record.digest_at(self._position),
                attempt.version,
            )
        )

    def _recorded_batch(self) -> _events.GenerationEvent:
        record = self._generation.record
        cursor = self._cursor
        if cursor is None or cursor.position != self._position:
            cursor = record.cursor(self._position)
        self._cursor = cursor
        end = min(record.available, self._position + MAX_CATCH_UP_TOKENS)
        tokens: list[_events.DeliveredToken] = []
        while self._position < end:
            attempt = record.attempt_at(self._position)
            text, digest = cursor.read_next()
            tokens.append(
                _events.DeliveredToken(
                    self._position,
                    attempt.number,
                    attempt.target,
                    attempt.version,
                    digest,
                    text,
                )
            )
            self._position += 1
        return _events.TokenBatch(tuple(tokens))
