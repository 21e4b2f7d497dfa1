"""Retry budget of each service, which all instances share."""

import collections
import dataclasses
import threading

from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Share of the budget that is used. The counts of the peers are slightly out
#: of date, so several instances may spend the same remainder.
BUDGET_SHARE = 0.75

#: Share of the fixed allowance that is used while all instances are younger
#: than the window. Those before them may have used theirs in the same window,
#: and their counts are lost. What requests add to the budget needs no such
#: room, since only those that arrived since the start are known.
NEW_FLEET_ALLOWANCE_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """Retries that all instances together may make for a service."""

    #: Allowed retries for each request of the service.
    ratio: float

    #: Retries in a window that are allowed in addition.
    allowance_count: float

    #: Length of the sliding window.
    window_s: float


class RetryBudget:
    """Counts requests and retries of each service in a sliding window.

    The counts of the peers arrive with their reports. While some peers are
    not live, this instance uses only a proportional part of the fixed
    allowance. Instances that have just started leave room for the retries of
    those before them.
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
        self._retries: dict[str, collections.deque[float]] = {}
        fleet.set_retry_counter(self)

    def count_request(self, service: str) -> None:
        """Record the first attempt of a request."""
        with self._lock:
            self._recent(self._requests, service).append(
                self._clock.monotonic_s()
            )

    def claim_retry(self, service: str) -> bool:
        """Count one more retry if the budget allows it.

        :return: whether the retry may be sent.
        """
        peers = self._fleet.peer_counts(service)
        live_share = self._fleet.live_share()
        allowance_share = self._allowance_share()
        with self._lock:
            request_count = peers.request_count + len(
                self._recent(self._requests, service)
            )
            retries = self._recent(self._retries, service)
            limit = BUDGET_SHARE * self._limits.ratio * request_count
            allowance = self._limits.allowance_count * live_share
            limit += allowance_share * allowance
            spent_count = peers.retry_count + len(retries)
            if spent_count + 1 > limit:
                return False
            retries.append(self._clock.monotonic_s())
            return True

    def counts(self) -> tuple[data.RetryCounts, ...]:
        """Return the counts to report to the peers."""
        counts = []
        with self._lock:
            for service in self._requests.keys() | self._retries.keys():
                request_count = len(self._recent(self._requests, service))
                retry_count = len(self._recent(self._retries, service))
                if not request_count and not retry_count:
                    continue
                counts.append(
                    data.RetryCounts(service, request_count, retry_count)
                )
        return tuple(counts)

    def refund_retry(self, service: str) -> None:
        """Uncount the last retry, which did not reach a target."""
        with self._lock:
            retries = self._recent(self._retries, service)
            if retries:
                retries.pop()

    def _allowance_share(self) -> float:
        established_share = self._fleet.established_share(self._window_s)
        return NEW_FLEET_ALLOWANCE_SHARE + established_share * (
            BUDGET_SHARE - NEW_FLEET_ALLOWANCE_SHARE
        )

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
    ) -> collections.deque[float]:
        times_s = times_by_service.setdefault(service, collections.deque())
        expired_before_s = self._clock.monotonic_s() - self._window_s
        while times_s and times_s[0] < expired_before_s:
            times_s.popleft()
        return times_s
