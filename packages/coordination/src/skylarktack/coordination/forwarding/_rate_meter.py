"""Exponentially weighted rate of events over the last seconds."""

import math

#: Time constant of the exponential decay.
DECAY_TIME_S = 2.0


class RateMeter:
    """Measures the rate of events with exponential decay; not thread-safe."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at_s = -math.inf

    def count(self, now_s: float) -> None:
        """Count one event."""
        self._count = 1 + self._decayed_count(now_s)
        self._counted_at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the number of events per second."""
        return self._decayed_count(now_s) / DECAY_TIME_S

    def _decayed_count(self, now_s: float) -> float:
        return self._count * math.exp(
            (self._counted_at_s - now_s) / DECAY_TIME_S
        )
