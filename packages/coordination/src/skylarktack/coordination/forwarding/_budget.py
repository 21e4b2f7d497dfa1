"""Budget of sends beyond the first, for each service."""

import collections
import dataclasses
import threading

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Part of the budget that is spent. The counts of the peers are a moment
#: old, so several instances may spend the same remainder.
BUDGET_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """Sends beyond the first that all instances may make together."""

    #: Repeats for each request of a service.
    ratio: float

    #: Repeats in a window beyond the ratio.
    allowance_count: float

    #: Length of the window.
    window_s: float


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window.

    The counts of the peers arrive with their reports. While some peers are
    not heard, this instance spends only its part of the fixed allowance.
    """

    def __init__(
        self,
        clock: Clock,
        limits: RetryLimits,
        fleet: _fleet.FleetView,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._window_s = limits.window_s
        self._fleet = fleet
        self._lock = threading.Lock()
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}
        fleet.set_repeat_counter(self)

    def count_request(self, service: str) -> None:
        """Note the first send of a request."""
        with self._lock:
            self._fresh(self._requests, service).append(
                self._clock.monotonic_s()
            )

    def claim_retry(self, service: str) -> bool:
        """Return whether one more send is within the budget, and count it."""
        peers = self._fleet.peer_counts(service)
        heard_share = self._fleet.heard_share()
        with self._lock:
            request_count = peers.request_count + len(
                self._fresh(self._requests, service)
            )
            repeats = self._fresh(self._repeats, service)
            limit = self._limits.ratio * request_count
            limit += self._limits.allowance_count * heard_share
            spent_count = peers.retry_count + len(repeats)
            if spent_count + 1 > BUDGET_SHARE * limit:
                return False
            repeats.append(self._clock.monotonic_s())
            return True

    def counts(self) -> tuple[data.RetryCounts, ...]:
        """Return the counts of this instance, for its peers."""
        counts = []
        with self._lock:
            for service in self._requests.keys() | self._repeats.keys():
                request_count = len(self._fresh(self._requests, service))
                repeat_count = len(self._fresh(self._repeats, service))
                if not request_count and not repeat_count:
                    continue
                counts.append(
                    data.RetryCounts(service, request_count, repeat_count)
                )
        return tuple(counts)

    def refund_retry(self, service: str) -> None:
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
