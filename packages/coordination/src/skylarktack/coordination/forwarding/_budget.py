"""Budget of sends beyond the first, for each service."""

import collections
import threading

from skylarktack.coordination.ports import Clock

#: Part of the allowed ratio that one instance spends. The budget is shared
#: by all instances, and each sees only its own requests.
LOCAL_RATIO_SHARE = 0.75

#: Sends beyond the first that each instance may make in a window without
#: requests that pay for them.
LOCAL_ALLOWANCE_COUNT = 4


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window."""

    def __init__(self, clock: Clock, ratio: float, window_s: float) -> None:
        self._clock = clock
        self._ratio = ratio * LOCAL_RATIO_SHARE
        self._window_s = window_s
        self._lock = threading.Lock()
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str) -> None:
        """Note the first send of a request."""
        with self._lock:
            self._fresh(self._requests, service).append(
                self._clock.monotonic_s()
            )

    def claim_repeat(self, service: str) -> bool:
        """Return whether one more send is within the budget, and count it."""
        with self._lock:
            requests = self._fresh(self._requests, service)
            repeats = self._fresh(self._repeats, service)
            limit = self._ratio * len(requests) + LOCAL_ALLOWANCE_COUNT
            if len(repeats) >= limit:
                return False
            repeats.append(self._clock.monotonic_s())
            return True

    def _fresh(
        self, table: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        moments = table.setdefault(service, collections.deque())
        oldest_s = self._clock.monotonic_s() - self._window_s
        while moments and moments[0] < oldest_s:
            moments.popleft()
        return moments
