"""A process that is suspended only when a test says so."""

import math


class ScriptedSuspensions:
    """``Suspensions`` of a process that was never suspended, at first."""

    def __init__(self) -> None:
        self.resumed_at_s = -math.inf

    def running_since_s(self) -> float:
        """Return the monotonic time of the last resumption."""
        return self.resumed_at_s
