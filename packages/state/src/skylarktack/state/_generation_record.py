"""State of one generation on the instance that relays it."""

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
    """What replayed text must amount to before any of it is delivered."""

    #: Number of tokens that the caller holds.
    position: int

    #: Digest of these tokens.
    digest: str


@dataclasses.dataclass(frozen=True)
class InitialGenerationState:
    """What is known of a generation when an instance takes it up."""

    #: The caller's request.
    request: GenerationRequest

    #: Version that served it so far, or None if it is new.
    version: VersionName | None = None

    #: Tokens that the caller already holds.
    tokens: tuple[bytes, ...] = ()

    #: Digest that replayed tokens must have, or None.
    check: ResumeCheck | None = None

    #: Attempt that may still run on its target, or None.
    running: AttemptRecord | None = None

    #: Whether another instance still reads the running attempt, which must
    #: then not be cancelled from here.
    is_shared: bool = False

    #: Whether the prompt is known; without it only a running attempt helps.
    prompt_known: bool = True


class GenerationRecord:
    """Text, attempts and end of one generation; safe for several threads."""

    def __init__(self, start: InitialGenerationState) -> None:
        self.request = start.request
        self.version = start.version
        self.prompt_known = start.prompt_known
        self.running = start.running
        #: Attempt that another instance reads too, 0 for none.
        self.shared_attempt = 0
        if start.is_shared and start.running is not None:
            self.shared_attempt = start.running.number
        #: Signals new text, the end, or a change of who advances.
        self.changed = threading.Condition()
        #: Orders from other threads; the advancing thread reads them.
        self.cancel_requested = False
        self.handover_requested = False
        #: Raised by each restart from the first token.
        self.epoch = 0
        self.end: StreamEnd | None = None
        self.refusal: Refusal | None = None
        self.diverged = False
        self.waiting_count = 0
        self._check = start.check
        self._delivered = DeliveredText()
        self._notes: list[AttemptRecord] = []
        if start.running is not None:
            self._notes.append(
                dataclasses.replace(start.running, from_position=0)
            )
        for token in start.tokens:
            self._delivered.append(token)

    @property
    def position(self) -> int:
        """Number of tokens held, checked or not."""
        return self._delivered.position

    @property
    def available(self) -> int:
        """Number of tokens that may be delivered."""
        return 0 if self._check is not None else self._delivered.position

    @property
    def is_ended(self) -> bool:
        """Whether the answer is whole or has failed."""
        return self.end is not None or self.refusal is not None

    @property
    def size_bytes(self) -> int:
        """Memory that the generation takes."""
        return self._delivered.size_bytes + len(self.request.prompt) + 1024

    @property
    def last_attempt(self) -> int:
        """Number of the latest attempt, 0 before the first."""
        return self._notes[-1].number if self._notes else 0

    def text(self) -> str:
        """Return the whole text."""
        with self.changed:
            return self._delivered.text

    def tokens_from(self, position: int) -> list[bytes]:
        """Return the tokens from a position to the end."""
        with self.changed:
            return self._delivered.tokens_from(position)

    def attempt_at(self, position: int) -> AttemptRecord:
        """Return the attempt that generated the token at a position."""
        with self.changed:
            for note in reversed(self._notes):
                if note.from_position <= position:
                    return note
            return self._notes[0]

    def cursor(self, position: int) -> DeliveredCursor:
        """Return a reader of the tokens from a position on."""
        with self.changed:
            return self._delivered.cursor(position)

    def digest_at(self, position: int) -> str:
        """Return the digest of the first tokens."""
        with self.changed:
            return self._delivered.digest_at(position)

    def begin_attempt(self, note: AttemptRecord) -> None:
        """Note which attempt generates the tokens that follow."""
        with self.changed:
            self.version = note.version
            self._notes.append(note)

    def append(self, tokens: list[bytes]) -> list[str]:
        """Add tokens and return the digest up to each of them.

        ``diverged`` is set if the text is not what the caller holds.
        """
        with self.changed:
            digests = [self._delivered.append(token) for token in tokens]
            check = self._check
            if check is not None and self.position >= check.position:
                if self._delivered.digest_at(check.position) == check.digest:
                    self._check = None
                else:
                    self.diverged = True
            if self.waiting_count:
                self.changed.notify_all()
            return digests

    def is_unverified(self) -> bool:
        """Return whether the text ended before the caller's position."""
        return self._check is not None

    def restart(self) -> None:
        """Drop all text; the answer starts again at its first token."""
        with self.changed:
            self._delivered = DeliveredText()
            self._check = None
            self.diverged = False
            self.epoch += 1
            self.changed.notify_all()

    def finish(self, end: StreamEnd) -> None:
        """Note that the answer is whole."""
        with self.changed:
            self.end = end
            self.changed.notify_all()

    def fail(self, refusal: Refusal) -> None:
        """Note that the answer cannot be completed."""
        with self.changed:
            self.refusal = refusal
            self.changed.notify_all()

    def reopen(self) -> None:
        """Let a failed or handed over generation go on."""
        with self.changed:
            self.refusal = None
            self.handover_requested = False

    def wait_for_tokens(self, position: int, timeout_s: float) -> None:
        """Wait until more tokens than ``position`` are there, or the end."""
        with self.changed:
            if self.available > position or self.is_ended:
                return
            self.waiting_count += 1
            self.changed.wait(timeout_s)
            self.waiting_count -= 1
