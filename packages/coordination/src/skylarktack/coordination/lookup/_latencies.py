"""Recent latencies of each route."""

import collections
import threading

from skylarktack import state

#: Samples from which the percentile is computed.
SAMPLE_COUNT = 256

#: New samples after which the percentile is recomputed.
_RECOMPUTE_COUNT = 32


class _Samples:
    """Recent latencies of one route."""

    def __init__(self) -> None:
        self.values_ms: collections.deque[float] = collections.deque(
            maxlen=SAMPLE_COUNT
        )
        self.new_count = 0
        self.p95_ms: float | None = None


class RouteLatencies:
    """Tracks the p95 latency of the responses of each route."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._routes: dict[state.RouteName, _Samples] = {}

    def record(self, route: state.RouteName, duration_ms: float) -> None:
        """Record the duration of one successful attempt."""
        with self._lock:
            samples = self._routes.setdefault(route, _Samples())
            samples.values_ms.append(duration_ms)
            samples.new_count += 1
            if samples.new_count < _RECOMPUTE_COUNT:
                return
            samples.new_count = 0
            ordered = sorted(samples.values_ms)
            samples.p95_ms = ordered[int(0.95 * len(ordered))]

    def p95_ms(self, route: state.RouteName) -> float | None:
        """Return the p95 latency, or None while there are too few samples."""
        samples = self._routes.get(route)
        return None if samples is None else samples.p95_ms
