"""Budget of sends beyond the first, for each service."""

import collections
from collections.abc import Callable
import dataclasses
import threading

from skylarktack.coordination.ports import Clock

#: Part of the allowed ratio that one instance spends. The budget is shared
#: by all instances, and each sees only its own requests.
LOCAL_RATIO_SHARE = 0.75

#: Part of the fleet's fixed allowance that all instances spend together.
ALLOWANCE_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class RepeatLimits:
    """Sends beyond the first that all instances may make together."""

    #: Repeats for each request of a service.
    ratio: float

    #: Repeats in a window beyond the ratio.
    allowance_count: float

    #: Length of the window.
    window_s: float


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window."""

    def __init__(
        self,
        clock: Clock,
        limits: RepeatLimits,
        instance_count: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._ratio = limits.ratio * LOCAL_RATIO_SHARE
        self._allowance_count = limits.allowance_count * ALLOWANCE_SHARE
        self._window_s = limits.window_s
        self._instance_count = instance_count
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
            allowance = self._allowance_count / self._instance_count()
            limit = self._ratio * len(requests) + max(1.0, allowance)
            if len(repeats) >= limit:
                return False
            repeats.append(self._clock.monotonic_s())
            return True

    def return_repeat(self, service: str) -> None:
        """Give back the last repeat, which did not reach a target."""
        with self._lock:
            repeats = self._fresh(self._repeats, service)
            if repeats:
                repeats.pop()

    def _fresh(
        self, table: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        moments = table.setdefault(service, collections.deque())
        oldest_s = self._clock.monotonic_s() - self._window_s
        while moments and moments[0] < oldest_s:
            moments.popleft()
        return moments
