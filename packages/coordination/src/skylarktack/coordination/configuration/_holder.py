"""Holder of the active configuration; its position never decreases."""

import threading

from skylarktack import state
from skylarktack.coordination import ports


class ConfigurationHolder:
    """The active configuration of this instance, replaced atomically."""

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

    def is_newer(self, position: state.ConfigurationPosition) -> bool:
        """Return whether a position is newer than the current one."""
        return position > self._current.position

    def replace_if_newer(
        self,
        position: state.ConfigurationPosition,
        document: state.ConfigurationDocument,
    ) -> bool:
        """Replace the document if the position is newer.

        Returns whether it was replaced.
        """
        with self._lock:
            if not self.is_newer(position):
                return False
            self._current = state.ActiveConfiguration(
                revision=position.revision,
                document=document,
                since_s=self._clock.wall_s(),
                era=position.era,
            )
            return True
