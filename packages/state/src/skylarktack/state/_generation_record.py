"""In-memory state of one generation on the instance that relays it."""

import dataclasses
import threading

from skylarktack.state._delivered import DeliveredCursor
from skylarktack.state._delivered import DeliveredText
from skylarktack.state._errors import Refusal
from skylarktack.state._generations import AttemptRecord
from skylarktack.state._generations import GenerationRequest
from skylarktack.state._generations import StreamEnd
from skylarktack.state._names import VersionName


@dataclasses.dataclass(frozen=True)
class ResumeCheck:
    """Check that regenerated text must pass before it is delivered."""

    #: Number of tokens that the caller has already received.
    position: int

    digest: str


@dataclasses.dataclass(frozen=True)
class InitialGenerationState:
    """State with which an instance starts or takes over a generation."""

    request: GenerationRequest

    #: Version that has served it so far; None if it is new.
    version: VersionName | None = None

    #: Tokens that the caller has already received.
    tokens: tuple[bytes, ...] = ()

    #: Check of the regenerated tokens; None if there is nothing to check.
    check: ResumeCheck | None = None

    #: Attempt that may still be running on its target, or None.
    running: AttemptRecord | None = None

    #: Whether another instance also reads the running attempt, which this
    #: one must then not cancel.
    is_shared: bool = False

    #: Whether the prompt is known. Without it, the generation can only be
    #: resumed from a running attempt.
    prompt_known: bool = True


class GenerationRecord:
    """Text, attempts and result of one generation; thread-safe."""

    def __init__(self, initial_state: InitialGenerationState) -> None:
        self.request = initial_state.request
        self.version = initial_state.version
        self.prompt_known = initial_state.prompt_known
        self.running = initial_state.running
        #: Attempt that another instance also reads; 0 for none.
        self.shared_attempt = 0
        if initial_state.is_shared and initial_state.running is not None:
            self.shared_attempt = initial_state.running.number
        #: Signals new text, the end, or a change of the driving thread.
        self.changed = threading.Condition()
        #: Set by other threads; checked by the thread that drives the
        #: generation.
        self.cancel_requested = False
        self.handover_requested = False
        #: Increased by each restart from the first token.
        self.epoch = 0
        self.end: StreamEnd | None = None
        self.refusal: Refusal | None = None
        self.diverged = False
        self.waiting_count = 0
        self._resume_check = initial_state.check
        self._delivered = DeliveredText()
        self._attempts: list[AttemptRecord] = []
        if initial_state.running is not None:
            self._attempts.append(
                dataclasses.replace(initial_state.running, from_position=0)
            )
        for token in initial_state.tokens:
            self._delivered.append(token)

    @property
    def position(self) -> int:
        """Number of stored tokens, verified or not."""
        return self._delivered.position

    @property
    def available(self) -> int:
        """Number of tokens that may be delivered."""
        return (
            0 if self._resume_check is not None else self._delivered.position
        )

    @property
    def is_ended(self) -> bool:
        """Whether the generation is complete or has failed."""
        return self.end is not None or self.refusal is not None

    @property
    def size_bytes(self) -> int:
        """Approximate memory usage of the generation."""
        return self._delivered.size_bytes + len(self.request.prompt) + 1024

    @property
    def last_attempt(self) -> int:
        """Number of the latest attempt; 0 before the first."""
        return self._attempts[-1].number if self._attempts else 0

    def text(self) -> str:
        """Return the complete text."""
        with self.changed:
            return self._delivered.text

    def tokens_from(self, position: int) -> list[bytes]:
        """Return the tokens from a position to the end."""
        with self.changed:
            return self._delivered.tokens_from(position)

    def attempt_at(self, position: int) -> AttemptRecord:
        """Return the attempt that generated the token at a position."""
        with self.changed:
            for attempt in reversed(self._attempts):
                if attempt.from_position <= position:
                    return attempt
            return self._attempts[0]

    def cursor(self, position: int) -> DeliveredCursor:
        """Return a cursor that starts at a position."""
        with self.changed:
            return self._delivered.cursor(position)

    def digest_at(self, position: int) -> str:
        """Return the digest of the first ``position`` tokens."""
        with self.changed:
            return self._delivered.digest_at(position)

    def begin_attempt(self, attempt: AttemptRecord) -> None:
        """Record the attempt that generates the tokens that follow."""
        with self.changed:
            self.version = attempt.version
            self._attempts.append(attempt)

    def append(self, tokens: list[bytes]) -> list[str]:
        """Append tokens and return the digest up to each of them.

        Sets ``diverged`` if the text differs from what the caller has
        received.
        """
        with self.changed:
            digests = [self._delivered.append(token) for token in tokens]
            check = self._resume_check
            if check is not None and self.position >= check.position:
                if self._delivered.digest_at(check.position) == check.digest:
                    self._resume_check = None
                else:
                    self.diverged = True
            if self.waiting_count:
                self.changed.notify_all()
            return digests

    def is_unverified(self) -> bool:
        """Return whether the text has not passed the resume check.

        At the end of the stream, this means that the text is shorter than
        what the caller has received.
        """
        return self._resume_check is not None

    def restart(self) -> None:
        """Discard all text and start again at the first token."""
        with self.changed:
            self._delivered = DeliveredText()
            self._resume_check = None
            self.diverged = False
            self.epoch += 1
            self.changed.notify_all()

    def finish(self, end: StreamEnd) -> None:
        """Record the complete end of the generation."""
        with self.changed:
            self.end = end
            self.changed.notify_all()

    def fail(self, refusal: Refusal) -> None:
        """Record that the generation cannot be completed."""
        with self.changed:
            self.refusal = refusal
            self.changed.notify_all()

    def reopen(self) -> None:
        """Allow a failed or handed over generation to continue."""
        with self.changed:
            self.refusal = None
            self.handover_requested = False

    def wait_for_tokens(self, position: int, timeout_s: float) -> None:
        """Wait for more than ``position`` deliverable tokens or the end."""
        with self.changed:
            if self.available > position or self.is_ended:
                return
            self.waiting_count += 1
            self.changed.wait(timeout_s)
            self.waiting_count -= 1
