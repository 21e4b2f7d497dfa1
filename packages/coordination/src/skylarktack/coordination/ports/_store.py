"""Port to the platform's object API."""

import threading
from typing import Protocol

from expression import Result

from skylarktack import state


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    The store may be restored from a copy that lacks its last writes, also
    acknowledged ones. It then gives versions out again, so that a version is
    unique only within one era.
    """

    @property
    def era(self) -> int:
        """Newest era reported by a response; 0 before the first.

        A response of an earlier era than this counts as lost, so a call whose
        caller reads the same era before and after it was answered in that era.
        """
        ...

    def add_era_listener(self, event: threading.Event) -> None:
        """Set the event each time a restore of the store is noticed."""
        ...

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object; ``MISSING`` if no object has the key."""
        ...

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one.

        ``None`` creates the object and requires that the key is unused. The
        result is ``CONFLICT`` if the condition does not hold and
        ``ANSWER_LOST`` if the write may have happened.
        """
        ...

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Delete one object if its version is the expected one."""
        ...

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        """Read all objects whose keys start with the prefix."""
        ...

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        """Wait for changes after a version; empty after ``wait_s``."""
        ...

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        """Read the platform's list of instances and targets; it lags."""
        ...
