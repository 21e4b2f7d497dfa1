"""Port to the platform's object API."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches."""

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
