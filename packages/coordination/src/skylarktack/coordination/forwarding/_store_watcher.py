"""Following of the store: a list, then watches, for each kind of object."""

import dataclasses
import enum
import threading
from typing import Generic
from typing import Protocol
from typing import TypeVar

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _shared_watch
from skylarktack.coordination.forwarding import _store_health
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

T = TypeVar('T')
C = TypeVar('C', contravariant=True)

#: Step in which a listening instance looks whether it still may listen.
LISTEN_STEP_S = 0.2

#: A listening instance that misses a change for this time asks the store.
BEHIND_LIMIT_S = 0.3

#: Wait of a watch that only fetches what is missing.
CATCH_UP_WAIT_S = 0.05

#: Step in which a task that waits for its turn to ask looks again.
TURN_STEP_S = 0.05


class StoreFaultKind(enum.Enum):
    """How a call to the store failed."""

    #: No answer, or an answer that says to come back.
    UNAVAILABLE = 'unavailable'

    #: The history after the revision is gone; list again.
    HISTORY_GONE = 'history_gone'


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """A call to the store failed."""

    #: How.
    kind: StoreFaultKind

    #: Cause, for logs.
    detail: str


@dataclasses.dataclass(frozen=True)
class Listing(Generic[T]):
    """All objects of one kind at one revision."""

    #: The objects.
    items: tuple[T, ...]

    #: Revision of the store.
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes(Generic[T]):
    """Changes of one kind after one revision; empty if there was none."""

    #: The changes in order.
    items: tuple[T, ...]

    #: Revision up to which they are complete.
    revision: int

    #: The answer as the store sent it, for other instances.
    content: bytes = b''


class WatchSource(Protocol[T]):
    """Reads objects of one kind from the store."""

    def list_all(self, may_be_stale: bool = False) -> Listing[T] | StoreFault:
        """Return all objects.

        :param may_be_stale: whether a list that is seconds old will do.
        """
        ...

    def watch(self, revision: int, wait_s: float) -> Changes[T] | StoreFault:
        """Return the changes after a revision as soon as there are any."""
        ...

    def decode_changes(self, content: bytes) -> Changes[T] | StoreFault:
        """Return the changes in an answer that another instance got."""
        ...


class WatchHandler(Protocol[C]):
    """Takes over what the store says of one kind."""

    def replace(self, items: tuple[C, ...], after_outage: bool) -> None:
        """Take over a whole list."""
        ...

    def apply(self, items: tuple[C, ...], after_outage: bool) -> None:
        """Take over changes.

        :param after_outage: whether entries may be gone only because they
            expired while the store was away.
        """
        ...

    def confirm(self) -> None:
        """Note that the store just answered."""
        ...

    def mark_stale(self) -> None:
        """Note that the store could not be asked."""
        ...


@dataclasses.dataclass(frozen=True)
class WatchSettings:
    """How one kind is followed."""

    #: Name of the kind, for logs.
    name: str

    #: Longest time that one watch waits for a change.
    watch_wait_s: float

    #: Pause between two watches, which gathers changes into one call.
    gather_s: float


class StoreWatcher(Generic[T]):
    """Keeps one kind up to date; run it as a task of its own."""

    def __init__(
        self,
        clock: Clock,
        reader: WatchSource[T],
        belief: WatchHandler[T],
        log: _events.EventLog,
        settings: WatchSettings,
        health: _store_health.StoreHealth,
        sharing: _shared_watch.SharedWatch | None = None,
    ) -> None:
        self._clock = clock
        self._reader = reader
        self._belief = belief
        self._log = log
        self._settings = settings
        self._health = health
        self._sharing = sharing
        self._is_listening = False
        self._event_revision = 0
        self._behind_since_s: float | None = None
        self._stopped = threading.Event()
        self._failing_since_s: float | None = None
        self._has_listed = False
        self._must_catch_up = False

    def stop(self) -> None:
        """Let the task end after its current call."""
        self._stopped.set()

    def run(self) -> None:
        """Follow the kind until told to stop."""
        revision: int | None = None
        while not self._stopped.is_set():
            if revision is not None and not self._is_asking_itself():
                revision = self._listen(revision)
                continue
            if not self._health.claim_call(self._settings.name):
                revision = self._wait_for_turn(revision)
                continue
            if revision is None:
                revision = self._list()
                continue
            if self._sharing is not None:
                self._sharing.take_turn()
            if self._must_catch_up:
                revision = self._watch(revision, CATCH_UP_WAIT_S)
                continue
            revision = self._watch(revision, self._watch_wait_s())

    def _is_asking_itself(self) -> bool:
        """Return whether to ask the store rather than wait for others."""
        if self._sharing is None:
            return True
        role = self._sharing.role(self._settings.name)
        is_listening = role is _shared_watch.StoreRole.LISTEN
        if is_listening != self._is_listening:
            self._is_listening = is_listening
            self._log.record(
                _events.RoleChanged(self._settings.name, is_listening)
            )
        return role is _shared_watch.StoreRole.ASK

    def _watch_wait_s(self) -> float:
        if self._sharing is None:
            return self._settings.watch_wait_s
        return self._sharing.watch_wait_s(
            self._settings.name, self._settings.watch_wait_s
        )

    def _gather_s(self) -> float:
        if self._sharing is None:
            return self._settings.gather_s
        return self._sharing.gather_s(
            self._settings.name, self._settings.gather_s
        )

    def _listen(self, revision: int) -> int | None:
        """Take over what a watching instance passes on."""
        if self._sharing is None:
            raise AssertionError('only a shared kind is listened to')
        name = self._settings.name
        step_s = LISTEN_STEP_S if self._is_listening else TURN_STEP_S
        change = self._sharing.next_change(name, step_s)
        if change is not None:
            return self._take_passed_on(change, revision)
        heard = self._sharing.heard(name)
        if heard is None:
            return revision
        if heard.changed_revision <= revision:
            self._note_up_to_date()
            return revision
        now_s = self._clock.monotonic_s()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if now_s - self._behind_since_s < BEHIND_LIMIT_S:
            return revision
        if not self._health.claim_call(name):
            return revision
        self._behind_since_s = None
        return self._watch(revision, CATCH_UP_WAIT_S)

    def _wait_for_turn(self, revision: int | None) -> int | None:
        """Wait until this task may ask; take over what others pass on."""
        if self._sharing is None or revision is None:
            self._clock.wait(self._stopped, TURN_STEP_S)
            return revision
        change = self._sharing.next_change(self._settings.name, TURN_STEP_S)
        if change is None:
            return revision
        return self._take_passed_on(change, revision)

    def _take_passed_on(self, change: data.StoreChange, revision: int) -> int:
        """Take over a change that another instance passed on.

        :return: revision up to which everything is known here.
        """
        if not change.previous_revision <= revision < change.revision:
            return revision
        decoded = self._reader.decode_changes(change.content)
        if not isinstance(decoded, Changes):
            return revision
        self._belief.apply(decoded.items, change.follows_outage)
        self._event_revision = change.revision
        self._note_up_to_date()
        return change.revision

    def _note_up_to_date(self) -> None:
        """Note that others hear the store and nothing is missing here."""
        self._behind_since_s = None
        self._must_catch_up = False
        self._belief.confirm()
        self._note_regained()

    def _list(self) -> int | None:
        # While many instances start together, lists would wait for the
        # store's rate, which stale reads do not count against. The watch
        # that follows brings what the first list lacks.
        may_be_stale = not self._has_listed
        answer = self._reader.list_all(may_be_stale)
        if isinstance(answer, StoreFault):
            self._take_fault(answer)
            return None
        was_out = self._take_success()
        self._belief.replace(answer.items, was_out and self._has_listed)
        self._has_listed = True
        self._event_revision = answer.revision
        self._must_catch_up = may_be_stale
        if not may_be_stale:
            self._belief.confirm()
            self._note_answer()
        return answer.revision

    def _watch(self, revision: int, wait_s: float) -> int | None:
        answer = self._reader.watch(revision, wait_s)
        if isinstance(answer, StoreFault):
            if answer.kind is StoreFaultKind.HISTORY_GONE:
                self._health.note_answer()
                self._log.record(_events.HistoryLost(self._settings.name))
                return None
            self._take_fault(answer)
            self._must_catch_up = True
            return revision
        was_out = self._take_success()
        self._must_catch_up = False
        self._belief.apply(answer.items, was_out)
        self._belief.confirm()
        if answer.items:
            self._publish(answer, was_out)
            self._event_revision = answer.revision
        self._note_answer()
        gather_s = self._gather_s()
        if answer.items and gather_s > 0:
            self._clock.wait(self._stopped, gather_s)
        return answer.revision

    def _publish(self, answer: Changes[T], was_out: bool) -> None:
        if self._sharing is None:
            return
        self._sharing.publish(
            data.StoreChange(
                self._settings.name,
                self._event_revision,
                answer.revision,
                answer.content,
                follows_outage=was_out,
            )
        )

    def _note_answer(self) -> None:
        if self._sharing is not None:
            self._sharing.note_answer(
                data.ConfirmedKind(self._settings.name, self._event_revision)
            )

    def _take_fault(self, fault: StoreFault) -> None:
        self._belief.mark_stale()
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
            self._log.record(
                _events.StoreUnavailable(self._settings.name, fault.detail)
            )
        longest_s = _store_health.LONGEST_RETRY_S
        if not self._has_listed:
            longest_s = _store_health.LONGEST_FIRST_RETRY_S
        self._health.note_fault(self._settings.name, longest_s)

    def _take_success(self) -> bool:
        """Note an answer; return whether an outage ended with it."""
        failing_since_s = self._failing_since_s
        was_out = failing_since_s is not None and self._health.may_have_lapsed(
            failing_since_s
        )
        self._note_regained()
        self._health.note_answer()
        return was_out

    def _note_regained(self) -> None:
        if self._failing_since_s is None:
            return
        out_s = self._clock.monotonic_s() - self._failing_since_s
        self._failing_since_s = None
        self._log.record(
            _events.StoreRegained(self._settings.name, round(out_s * 1000))
        )
