"""Interfaces of the tasks that follow one kind of store objects."""

import dataclasses
import enum
from typing import Generic
from typing import Protocol
from typing import TypeVar

from skylarktack.state import forwarding as data

T = TypeVar('T')
C = TypeVar('C', contravariant=True)


class StoreFaultKind(enum.Enum):
    """How a call to the store failed."""

    #: The call failed, or the response asks to retry later.
    UNAVAILABLE = 'unavailable'

    #: No byte of a response arrived in time.
    TIMED_OUT = 'timed_out'

    #: The store compacted the changes after the revision; list again.
    REVISION_COMPACTED = 'revision_compacted'

    #: A response that is too long, incomplete or malformed. The same call may
    #: get it again and again; list instead.
    UNREADABLE = 'unreadable'


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """A call to the store failed."""

    kind: StoreFaultKind

    #: Cause, for the log.
    detail: str


@dataclasses.dataclass(frozen=True)
class Listing(Generic[T]):
    """All objects of one kind at one revision."""

    items: tuple[T, ...]

    #: Revision of the store at which the list was read.
    revision: int

    #: Era of the store to which the revision belongs.
    era: int = 0

    @property
    def position(self) -> data.StorePosition:
        """Return the position from which a watch has to start."""
        return data.StorePosition(self.era, self.revision)


@dataclasses.dataclass(frozen=True)
class Changes(Generic[T]):
    """Changes of one kind after a revision; empty if there were none."""

    #: In the order in which the store made them.
    items: tuple[T, ...]

    #: Revision up to which the changes are complete.
    revision: int

    #: Body of the store's response, to be forwarded to other instances.
    content: bytes = b''

    #: Era of the store to which the revision belongs.
    era: int = 0

    @property
    def position(self) -> data.StorePosition:
        """Return the position up to which the changes are complete."""
        return data.StorePosition(self.era, self.revision)


class WatchSource(Protocol[T]):
    """Lists and watches objects of one kind in the store."""

    def list_all(self, may_be_stale: bool = False) -> Listing[T] | StoreFault:
        """Return all objects.

        :param may_be_stale: whether a list that is seconds old is enough.
        """
        ...

    def watch(self, revision: int, wait_s: float) -> Changes[T] | StoreFault:
        """Return the changes after a revision as soon as there are any.

        :param wait_s: time after which no changes are returned.
        """
        ...

    def check(self) -> StoreFault | None:
        """Make a short call that does not wait; return how it failed."""
        ...

    def decode_changes(
        self, content: bytes, era: int = 0
    ) -> Changes[T] | StoreFault:
        """Return the changes in a response that a peer forwarded.

        :param era: era of the store in which it responded.
        """
        ...


class WatchHandler(Protocol[C]):
    """Applies lists and changes of one kind to the local cache."""

    def replace(self, items: tuple[C, ...], after_outage: bool) -> None:
        """Replace the cached objects by a complete list.

        :param after_outage: whether entries may be missing only because
            they expired while the store was unavailable.
        """
        ...

    def apply(self, items: tuple[C, ...], after_outage: bool) -> None:
        """Apply changes to the cached objects.

        :param after_outage: whether entries may be missing only because
            they expired while the store was unavailable.
        """
        ...

    def record_restore(self) -> None:
        """Record that the store was restored from a copy.

        The entries that it lists may be missing or older than the cached
        ones until their writers have written them again.
        """
        ...

    def confirm(self, asked_at_s: float) -> bool:
        """Record that the cached objects are up to date.

        :param asked_at_s: monotonic time from which on the confirmation was
            awaited.
        :return: whether it counts; otherwise the store has to be asked again.
        """
        ...

    def mark_stale(self) -> None:
        """Record that the cached objects may be out of date."""
        ...


@dataclasses.dataclass(frozen=True)
class WatchSettings:
    """How one kind is watched."""

    #: Name of the kind, in logs and in messages to peers.
    name: str

    #: Maximum time that one watch waits for a change.
    watch_wait_s: float

    #: Pause after a watch that returned changes, so that one call fetches
    #: several.
    watch_pause_s: float

    #: Whether a list is usually shorter than the changes of several seconds,
    #: because the kind has few objects, which are long and often replaced.
    is_list_shorter: bool = False
