"""Times at which the process did not run, such as a paused virtual machine.

What an instance learned before such a time may be older than its age by the
clock suggests: nothing that happened meanwhile has reached it yet.
"""

from collections.abc import Callable
import threading
import time
from typing import Protocol

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.ports import Clock

#: Interval at which the monitor records that the process runs.
CHECK_INTERVAL_S = 0.1

#: A process that ran nothing for longer counts as suspended. Pauses of the
#: interpreter and of a busy machine are mostly shorter.
MAX_PAUSE_S = 0.3


class Suspensions(Protocol):
    """Tells when the process was last suspended."""

    def running_since_s(self) -> float:
        """Return the monotonic time of the last resumption, or of the start.

        No suspension lies between this time and the call.
        """
        ...


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionMonitor:
    """Notices suspensions of this process; runs as a task of its own."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        read_boottime_s: Callable[[], float] = _boottime_s,
    ) -> None:
        """Create a monitor of a process that runs now.

        :param read_boottime_s: clock that goes on while the machine is
            suspended, unlike the monotonic one (clock_gettime(2)).
        """
        self._clock = clock
        self._log = log
        self._read_boottime_s = read_boottime_s
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._running_since_s = clock.monotonic_s()
        self._last_run_s = read_boottime_s()
        self._has_begun = False

    def run(self) -> None:
        """Record that the process runs, until stopped."""
        self._begin()
        while not self._stopped.is_set():
            self.running_since_s()
            self._clock.wait(self._stopped, CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Make the task end."""
        self._stopped.set()

    def _begin(self) -> None:
        """Leave out the time until the task's first start."""
        with self._lock:
            if self._has_begun:
                return
            self._has_begun = True
            self._last_run_s = self._read_boottime_s()

    def running_since_s(self) -> float:
        """Return the monotonic time of the last resumption, or of the start.

        The first call after a suspension notices it, whichever thread makes
        it.
        """
        with self._lock:
            run_at_s = self._read_boottime_s()
            pause_s = run_at_s - self._last_run_s
            self._last_run_s = run_at_s
            if pause_s <= MAX_PAUSE_S:
                return self._running_since_s
            resumed_at_s = self._clock.monotonic_s()
            self._running_since_s = resumed_at_s
        self._log.record(_events.ProcessSuspended(round(1000 * pause_s)))
        return resumed_at_s
