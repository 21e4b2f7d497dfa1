"""A clock that tests advance explicitly."""

import threading


class ManualClock:
    """Clock that only ``advance`` moves; waits end after their timeout."""

    def __init__(self, wall_s: float = 1_800_000_000.0) -> None:
        self._changed = threading.Condition()
        self._monotonic_s = 1000.0
        self._wall_s = wall_s

    def monotonic_s(self) -> float:
        """Return monotonic seconds, for measuring durations."""
        with self._changed:
            return self._monotonic_s

    def wall_s(self) -> float:
        """Return seconds since the epoch; may jump (see ``jump_wall``)."""
        with self._changed:
            return self._wall_s

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the event is set or the clock has passed the timeout."""
        with self._changed:
            end_s = self._monotonic_s + timeout_s
            while self._monotonic_s < end_s and not event.is_set():
                # The short real timeout notices an event that is set while the
                # clock does not advance.
                self._changed.wait(0.01)
            return event.is_set()

    def advance(self, duration_s: float) -> None:
        """Move monotonic and wall time forward and wake waiting threads."""
        with self._changed:
            self._monotonic_s += duration_s
            self._wall_s += duration_s
            self._changed.notify_all()

    def jump_wall(self, duration_s: float) -> None:
        """Move only the wall time, forward or backward."""
        with self._changed:
            self._wall_s += duration_s
