"""How well this instance keeps up, as far as it can tell itself."""

import threading


class LocalHealth:
    """Score that grows with signs of local trouble.

    An instance that is overloaded or was paused misses answers that
    arrived. It multiplies its own time limits by ``factor``, so that it
    accuses others later.
    """

    def __init__(self, limit_count: int) -> None:
        self._lock = threading.Lock()
        self._limit_count = limit_count
        self._score = 0

    @property
    def factor(self) -> int:
        """Multiplier of this instance's time limits, at least 1."""
        with self._lock:
            return 1 + self._score

    def worsen(self, amount: int = 1) -> None:
        """Note a sign of trouble."""
        with self._lock:
            self._score = min(self._limit_count, self._score + amount)

    def improve(self) -> None:
        """Note a probe that was answered in time."""
        with self._lock:
            self._score = max(0, self._score - 1)
