"""Holds the configuration in effect; its revision only rises."""

import threading

from skylarktack import state
from skylarktack.coordination import ports


class ConfigurationHolder:
    """The configuration of this instance, replaced as a whole."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._current = state.ActiveConfiguration(
            revision=0,
            document=state.ConfigurationDocument(),
            since_s=clock.wall_s(),
        )

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration; revision 0 if none is known yet."""
        return self._current

    def is_newer(self, revision: int) -> bool:
        """Return whether a revision may replace the one in effect."""
        return revision > self._current.revision

    def replace_if_newer(
        self, revision: int, document: state.ConfigurationDocument
    ) -> bool:
        """Take a document in if its revision is newer; return whether."""
        with self._lock:
            if not self.is_newer(revision):
                return False
            self._current = state.ActiveConfiguration(
                revision=revision,
                document=document,
                since_s=self._clock.wall_s(),
            )
            return True
