"""A clock on which waits advance the time instead of blocking."""

import threading


class SteppingClock:
    """Clock on which each wait advances the time by its timeout."""

    def __init__(self, wall_s: float = 1_800_000_000.0) -> None:
        self._lock = threading.Lock()
        self._elapsed_s = 0.0
        self._wall_s = wall_s

    def monotonic_s(self) -> float:
        """Return monotonic seconds, for measuring durations."""
        with self._lock:
            return 1000.0 + self._elapsed_s

    def wall_s(self) -> float:
        """Return seconds since the epoch."""
        with self._lock:
            return self._wall_s + self._elapsed_s

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Advance the time by the timeout unless the event is already set."""
        if event.is_set():
            return True
        self.advance(timeout_s)
        return False

    def advance(self, duration_s: float) -> None:
        """Move monotonic and wall time forward."""
        with self._lock:
            self._elapsed_s += duration_s
