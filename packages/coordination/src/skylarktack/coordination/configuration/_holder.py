"""Holder of the current configuration; its revision never decreases."""

import threading

from skylarktack import state
from skylarktack.coordination import ports


class ConfigurationHolder:
    """The current configuration of this instance, replaced atomically."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._current = state.ActiveConfiguration(
            revision=0,
            document=state.ConfigurationDocument(),
            since_s=clock.wall_s(),
        )

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration; its revision is 0 before the first."""
        return self._current

    def is_newer(self, revision: int) -> bool:
        """Return whether a revision is newer than the current one."""
        return revision > self._current.revision

    def replace_if_newer(
        self, revision: int, document: state.ConfigurationDocument
    ) -> bool:
        """Replace the document if the revision is newer.

        Returns whether it was replaced.
        """
        with self._lock:
            if not self.is_newer(revision):
                return False
            self._current = state.ActiveConfiguration(
                revision=revision,
                document=document,
                since_s=self._clock.wall_s(),
            )
            return True
