"""Counters and latency histograms, sent to statsd and kept for status."""

import threading

from hdrh import histogram
import statsd

from skylarktack import state

#: Most labels that get a histogram of their own. One histogram of two
#: digits takes about 15 KB, so this bounds the set to about 4 MB; all
#: further labels share the histogram ``other``.
LABEL_LIMIT_COUNT = 256

#: Largest recorded duration, in milliseconds.
DURATION_LIMIT_MS = 600_000

#: Label of the histogram that further labels share.
OTHER_LABEL = 'other'


class StatsdMetrics:
    """Metrics of one instance."""

    def __init__(self, address: state.Address | None) -> None:
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host, address.port, prefix='skylarktack'
            )
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Raise a counter."""
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def duration(self, name: str, label: str, value_ms: float) -> None:
        """Record a duration for one organisation or class."""
        with self._lock:
            key = (name, label)
            if key not in self._histograms:
                if len(self._histograms) >= LABEL_LIMIT_COUNT:
                    key = (name, OTHER_LABEL)
                if key not in self._histograms:
                    self._histograms[key] = histogram.HdrHistogram(
                        1, DURATION_LIMIT_MS, 2
                    )
            self._histograms[key].record_value(
                min(DURATION_LIMIT_MS, max(1, int(value_ms)))
            )
        if self._client is not None:
            self._client.timing(name, value_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a current value."""
        with self._lock:
            self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def snapshot(self) -> dict[str, float]:
        """Return all values by name, percentiles of histograms included."""
        with self._lock:
            found: dict[str, float] = dict(self._counts)
            found.update(self._gauges)
            for (name, label), recorded in self._histograms.items():
                for percentile in (50, 95, 99):
                    found[f'{name}.{label}.p{percentile}_ms'] = float(
                        recorded.get_value_at_percentile(percentile)
                    )
            return found
