"""Rate of events over the last seconds."""

import math

#: Time over which events count.
SPAN_S = 2.0


class RateMeter:
    """Counts events, older ones ever less; not safe for threads."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at_s = -math.inf

    def count(self, now_s: float) -> None:
        """Count one event."""
        self._count = 1 + self._left(now_s)
        self._counted_at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the events in a second."""
        return self._left(now_s) / SPAN_S

    def _left(self, now_s: float) -> float:
        return self._count * math.exp((self._counted_at_s - now_s) / SPAN_S)
