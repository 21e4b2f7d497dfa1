"""A clock that waits move instead of block."""

import threading


class SteppingClock:
    """Time that passes by waiting for it."""

    def __init__(self, wall_s: float = 1_800_000_000.0) -> None:
        self._lock = threading.Lock()
        self._elapsed_s = 0.0
        self._wall_s = wall_s

    def monotonic_s(self) -> float:
        """Return seconds that never go back, for durations."""
        with self._lock:
            return 1000.0 + self._elapsed_s

    def wall_s(self) -> float:
        """Return seconds since the epoch."""
        with self._lock:
            return self._wall_s + self._elapsed_s

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Move the time past the wait unless the event is set."""
        if event.is_set():
            return True
        self.advance(timeout_s)
        return False

    def advance(self, duration_s: float) -> None:
        """Move the time forward."""
        with self._lock:
            self._elapsed_s += duration_s
