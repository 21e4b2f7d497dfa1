"""A clock on which waits advance the time instead of blocking."""

from collections.abc import Callable
import threading


class SteppingClock:
    """Clock on which each wait advances the time by its timeout."""

    def __init__(self, wall_s: float = 1_800_000_000.0) -> None:
        self._lock = threading.Lock()
        self._elapsed_s = 0.0
        self._wall_s = wall_s
        self._actions: list[tuple[float, Callable[[], None]]] = []

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
            now_s = 1000.0 + self._elapsed_s
            due = [entry for entry in self._actions if entry[0] <= now_s]
            for entry in due:
                self._actions.remove(entry)
        for _, action in due:
            action()

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Call a function once the monotonic time is reached or passed."""
        with self._lock:
            self._actions.append((at_s, action))
