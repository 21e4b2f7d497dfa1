"""A clock that tests move by hand."""

import threading


class ManualClock:
    """Time that moves only by ``advance``; waits end when it has passed."""

    def __init__(self, wall_s: float = 1_800_000_000.0) -> None:
        self._changed = threading.Condition()
        self._monotonic_s = 1000.0
        self._wall_s = wall_s

    def monotonic_s(self) -> float:
        """Return seconds that never go back, for durations."""
        with self._changed:
            return self._monotonic_s

    def wall_s(self) -> float:
        """Return seconds since the epoch; may jump."""
        with self._changed:
            return self._wall_s

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the event is set or the clock passed the time."""
        with self._changed:
            end_s = self._monotonic_s + timeout_s
            while self._monotonic_s < end_s and not event.is_set():
                # The short real wait notices an event set without advance.
                self._changed.wait(0.01)
            return event.is_set()

    def advance(self, duration_s: float) -> None:
        """Move both times forward."""
        with self._changed:
            self._monotonic_s += duration_s
            self._wall_s += duration_s
            self._changed.notify_all()

    def jump_wall(self, duration_s: float) -> None:
        """Move the wall time alone, forward or back."""
        with self._changed:
            self._wall_s += duration_s
