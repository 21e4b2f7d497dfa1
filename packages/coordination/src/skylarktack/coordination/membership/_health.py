"""Local health of this instance, derived from its own probes."""

import threading


class LocalHealth:
    """Score that rises when this instance itself appears to be unhealthy.

    An overloaded or paused instance misses responses that arrived in time.
    It multiplies its probe and suspicion timeouts by ``factor``, so that it
    is slower to declare other instances dead.
    """

    def __init__(self, limit_count: int) -> None:
        self._lock = threading.Lock()
        self._limit_count = limit_count
        self._score = 0

    @property
    def factor(self) -> int:
        """Multiplier for this instance's timeouts, at least 1."""
        with self._lock:
            return 1 + self._score

    def worsen(self, amount: int = 1) -> None:
        """Raise the score, up to its limit."""
        with self._lock:
            self._score = min(self._limit_count, self._score + amount)

    def improve(self) -> None:
        """Lower the score after a probe that was answered in time."""
        with self._lock:
            self._score = max(0, self._score - 1)
