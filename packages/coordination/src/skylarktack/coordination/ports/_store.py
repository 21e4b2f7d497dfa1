"""The platform's object API, as decisions see it."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches."""

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object."""
        ...

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one.

        ``None`` expects that no object has the key. Fails with ``CONFLICT``
        otherwise, and with ``ANSWER_LOST`` if the write may have happened.
        """
        ...

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Remove one object if its version is the expected one."""
        ...

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        """Read all objects whose key starts with the prefix."""
        ...

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        """Wait for changes after a version; empty when the wait ends."""
        ...

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        """Read the lagging list of live and leaving instances."""
        ...
