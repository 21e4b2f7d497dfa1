"""Pause between two restores of the store that a task handles."""

import math
import threading

from skylarktack.coordination.ports import Clock

#: Minimum time between two reads that follow a restore. A store may name
#: another era in each of its responses, the one to such a read included.
MIN_RESTORE_INTERVAL_S = 1.0


class RestorePause:
    """Limits how often one task reads again; only that task may use it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_at_s = -math.inf

    def wait(self, stopped: threading.Event) -> None:
        """Wait until the interval since the last restore has passed.

        :param stopped: ends the wait when it is set.
        """
        now_s = self._clock.monotonic_s()
        remaining_s = self._ended_at_s + MIN_RESTORE_INTERVAL_S - now_s
        if remaining_s > 0:
            self._clock.wait(stopped, remaining_s)
        self._ended_at_s = self._clock.monotonic_s()
