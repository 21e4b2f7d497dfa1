"""Port to the clock."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time and of waits; simulated in tests."""

    def monotonic_s(self) -> float:
        """Return seconds of a monotonic clock, for durations."""
        ...

    def wall_s(self) -> float:
        """Return seconds since the epoch; may jump forwards or back."""
        ...

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait for the event; return whether it was set in time."""
        ...


class SystemClock:
    """``Clock`` of the operating system."""

    def monotonic_s(self) -> float:
        """Return seconds of a monotonic clock, for durations."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the epoch; may jump forwards or back."""
        return time.time()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait for the event; return whether it was set in time."""
        return event.wait(timeout_s)
