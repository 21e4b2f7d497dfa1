"""Feeds the callers of one generation, whoever reads the engine."""

from collections.abc import Iterator
import threading

from skylarktack import state
from skylarktack.coordination.generation import _results
from skylarktack.coordination.generation import _runner

#: Most tokens of one delivery of text that is already held.
CATCH_UP_COUNT = 2048

#: Longest wait of a caller while another thread reads the engine.
WAIT_S = 0.25


class GenerationPump:
    """One generation and the right to advance it.

    Each caller's thread advances the generation when it needs more and no
    other thread does. A thread that is stuck in a write to its own caller
    does not hold the right, so a caller who reconnects is not held up by
    its former connection.
    """

    def __init__(
        self, runner: _runner.GenerationRunner, record: state.GenerationRecord
    ) -> None:
        self.record = record
        self._runner = runner
        self._turn = threading.Lock()
        self._steps: Iterator[_results.GenerationEvent] | None = None
        self._lock = threading.Lock()
        self._feed_count = 0
        self.is_detached = False
        self.handed_over = False

    @property
    def feed_count(self) -> int:
        """Number of callers that read it at present."""
        return self._feed_count

    @property
    def is_running(self) -> bool:
        """Whether an attempt is under way."""
        return self._steps is not None

    @property
    def is_idle(self) -> bool:
        """Whether nobody reads it and nothing advances it."""
        return not (self._feed_count or self.is_detached or self.is_running)

    @property
    def size_bytes(self) -> int:
        """Memory that it takes."""
        return self.record.size_bytes

    @property
    def retention_s(self) -> float:
        """How long it is kept once idle."""
        return self.record.request.route.retention_ms / 1000

    def count_feeds(self, change: int) -> int:
        """Add or remove a caller; return how many are left."""
        with self._lock:
            self._feed_count += change
            return self._feed_count

    def try_advance(self) -> _results.GenerationEvent | None:
        """Return the next step, or None if another thread advances."""
        if not self._turn.acquire(blocking=False):
            return None
        try:
            if self.record.is_ended:
                return None
            if self._steps is None:
                self._steps = self._runner.advance(self.record)
            step = next(self._steps, None)
            if isinstance(step, _results.HandedOver):
                self.handed_over = True
            if step is None or isinstance(step, _ENDS):
                self._steps = None
            return step
        finally:
            self._turn.release()

    def reopen(self) -> None:
        """Let a failed, cancelled or handed over generation go on."""
        with self._lock:
            if self.handed_over and self.record.last_attempt:
                self.record.running = self.record.attempt_at(
                    self.record.position
                )
            self.handed_over = False
        self.record.reopen()

    def wake(self) -> None:
        """Let an order act at once, though the engine may be silent."""
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
        """Cancel the running attempt and keep the text."""
        with self._turn:
            steps = self._steps
            self._steps = None
            if steps is not None:
                steps.close()  # type: ignore[attr-defined]


_ENDS = (_results.Completed, _results.Failed, _results.HandedOver)


class GenerationSubscription:
    """The steps of a generation for one caller, from a position on."""

    def __init__(self, pump: GenerationPump, position: int) -> None:
        self._pump = pump
        self._position = position
        self._epoch = pump.record.epoch
        self._cursor: state.DeliveredCursor | None = None
        self._ended = False

    @property
    def pump(self) -> GenerationPump:
        """The generation that is read."""
        return self._pump

    def __iter__(self) -> Iterator[_results.GenerationEvent]:
        return self

    def __next__(self) -> _results.GenerationEvent:
        """Return the next step; the last one completes or fails.

        :raises StopIteration: after the last step.
        """
        if self._ended:
            raise StopIteration
        step = self._step()
        self._ended = isinstance(step, _ENDS)
        return step

    def _step(self) -> _results.GenerationEvent:
        pump = self._pump
        record = pump.record
        while True:
            if self._epoch != record.epoch:
                self._epoch = record.epoch
                self._position = 0
                self._cursor = None
                return _results.Restarted()
            if record.available > self._position:
                return self._held()
            if record.end is not None:
                return _results.Completed(
                    record.end.token_count, record.end.reason
                )
            if record.refusal is not None:
                return _results.Failed(record.refusal)
            if pump.handed_over:
                return self._handed_over()
            step = pump.try_advance()
            if step is None:
                record.wait_for_tokens(self._position, WAIT_S)
                if record.available <= self._position:
                    if not record.is_ended:
                        return _results.Idle()
                continue
            if isinstance(step, _results.TokenBatch):
                if step.tokens[0].position != self._position:
                    continue
                self._position += len(step.tokens)
                self._cursor = None
                return step
            if isinstance(step, _results.Restarted):
                continue
            if isinstance(step, _results.HandedOver):
                return self._handed_over()
            return step

    def _handed_over(self) -> _results.HandedOver:
        record = self._pump.record
        if not record.last_attempt or record.is_unverified():
            return _results.HandedOver()
        note = record.attempt_at(record.position)
        return _results.HandedOver(
            state.ResumeToken(
                self._position,
                note.number,
                note.target,
                record.digest_at(self._position),
                note.version,
            )
        )

    def _held(self) -> _results.GenerationEvent:
        record = self._pump.record
        cursor = self._cursor
        if cursor is None or cursor.position != self._position:
            cursor = record.cursor(self._position)
        self._cursor = cursor
        end = min(record.available, self._position + CATCH_UP_COUNT)
        tokens: list[_results.DeliveredToken] = []
        while self._position < end:
            note = record.attempt_at(self._position)
            text, digest = cursor.read_next()
            tokens.append(
                _results.DeliveredToken(
                    self._position,
                    note.number,
                    note.target,
                    note.version,
                    digest,
                    text,
                )
            )
            self._position += 1
        return _results.TokenBatch(tuple(tokens))
