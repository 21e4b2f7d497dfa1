"""Time, as decisions see it."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time and of waits; tests control it."""

    def monotonic_s(self) -> float:
        """Return seconds that never go back, for durations."""
        ...

    def wall_s(self) -> float:
        """Return seconds since the epoch; may jump."""
        ...

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the event is set; return whether it is."""
        ...


class SystemClock:
    """The clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return seconds that never go back, for durations."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the epoch; may jump."""
        return time.time()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the event is set; return whether it is."""
        return event.wait(timeout_s)
