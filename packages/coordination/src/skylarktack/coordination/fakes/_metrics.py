"""In-memory metrics for assertions in tests."""

import collections


class MemoryMetrics:
    """Keeps counters, durations and gauges in memory."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.durations_ms: dict[tuple[str, str], list[float]] = {}
        self.gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] += amount

    def duration(self, name: str, label: str, value_ms: float) -> None:
        """Record a duration for one organisation or class."""
        self.durations_ms.setdefault((name, label), []).append(value_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self.gauges[name] = value
