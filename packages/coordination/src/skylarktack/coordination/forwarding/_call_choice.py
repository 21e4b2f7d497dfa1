"""Chooses the target of a call: by latency, or by expected time.

The present policy knows what this instance has seen of a target. The other
one uses what the whole fleet has seen, for services in front of which so many
instances stand that each one sees little.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Protocol

from skylarktack.coordination.forwarding import _call_connections
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.forwarding import _target_stats
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Age from which a reported slowdown is no longer used; neighbours on a
#: machine slow a target for about that long.
SLOWDOWN_LIFETIME_S = 0.5

#: Age from which a reported load no longer limits what is sent.
FRESH_LOAD_S = 0.5

#: Targets whose expected time is at most this times the best one count as
#: equal: reports are some milliseconds old, and three requests that others
#: have sent meanwhile to a target of six slots change its time that much.
CLOSE_FACTOR = 1.5

#: Reported requests beyond this number for each slot are taken for a bad
#: figure where the connection limit is unknown.
MAX_REQUESTS_PER_SLOT = 100

#: Time for which the mean service time of a service is kept.
MEAN_LIFETIME_S = 1.0


@dataclasses.dataclass(frozen=True)
class CallDemand:
    """What the choice of a target for a call depends on."""

    #: Monotonic time of the choice; also names the connection of the call.
    at_s: float

    #: Time by which the call should be served.
    end_s: float

    #: Whether the call may be executed more than once.
    is_retryable: bool

    #: Connections that a target accepts from all instances, or None.
    connection_limit: int | None


@dataclasses.dataclass(frozen=True)
class CallExpectation:
    """What is expected of a call when it is sent."""

    #: None where calls do not go by expected time.
    expected_s: float | None = None

    #: Time without an answer after which the call is overdue.
    overdue_after_s: float = math.inf

    #: Requests in the target's queue, by a fresh report.
    waiting_count: int = 0

    #: Whether the target has stopped answering, so that the call tries it.
    is_trial: bool = False


class CallPolicy(Protocol):
    """Chooses among the usable targets of a service."""

    def choose(
        self,
        candidates: Sequence[data.ListedTarget],
        connection_limit: int | None,
    ) -> data.ListedTarget:
        """Return one of the candidates, of which there is at least one.

        :param connection_limit: connections that a target accepts, or None.
        """
        ...


class LatencyPolicy:
    """Chooses the target with the minimum expected latency."""

    def __init__(
        self,
        clock: Clock,
        records: _target_records.TargetRecords,
        failure_domain: str,
    ) -> None:
        self._clock = clock
        self._records = records
        self._failure_domain = failure_domain

    def choose(
        self,
        candidates: Sequence[data.ListedTarget],
        connection_limit: int | None = None,
    ) -> data.ListedTarget:
        """Return the candidate with the minimum expected latency."""
        return min(candidates, key=self._expected_latency_ms)

    def _expected_latency_ms(self, target: data.ListedTarget) -> float:
        return _target_stats.expected_latency_ms(
            self._records.stats_of(target),
            target,
            self._failure_domain,
            self._clock.monotonic_s(),
        )


@dataclasses.dataclass(frozen=True)
class CallEstimate:
    """Expected time of a call at a target, and what it was computed from."""

    #: Time of a call without a queue, slowed as the target's machine is now.
    service_s: float

    #: Requests known to be at the target.
    ahead_count: int

    slot_count: int

    #: Whether the reported load is new enough to limit what is sent.
    is_load_fresh: bool

    #: Requests that the target said to hold in its queue, if that is fresh.
    waiting_count: int

    #: Expected time with queue, errors and distance.
    expected_s: float

    @property
    def queue_s(self) -> float:
        """Time until a slot is free, if one more request is sent now."""
        over_count = max(0, self.ahead_count + 1 - self.slot_count)
        return self.service_s * over_count / self.slot_count


class ExpectedTimePolicy:
    """Chooses by expected time, one of two random ones of the best.

    The owner of the records serialises the calls.
    """

    def __init__(
        self,
        clock: Clock,
        records: _target_records.TargetRecords,
        observations: _target_observations.TargetObservations,
        connections: _call_connections.CallConnections,
        failure_domain: str,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Create a policy.

        :param draw: returns random numbers from 0 to 1, without 1.
        """
        self._clock = clock
        self._records = records
        self._observations = observations
        self._connections = connections
        self._failure_domain = failure_domain
        self._draw = draw
        #: Mean service time by service, and when it was computed.
        self._means: dict[str, tuple[float, float]] = {}

    def choose(
        self,
        candidates: Sequence[data.ListedTarget],
        connection_limit: int | None = None,
    ) -> data.ListedTarget:
        """Return the better of two random ones of the best candidates.

        Many instances choose at the same moment by reports of some age: if
        all took the best one, it would be the worst at once.
        """
        expected = [
            (self.estimate(target, connection_limit).expected_s, index)
            for index, target in enumerate(candidates)
        ]
        best_s = min(expected)[0]
        close = [one for one in expected if one[0] <= CLOSE_FACTOR * best_s]
        drawn = close.pop(int(self._draw() * len(close)))
        if close:
            other = close[int(self._draw() * len(close))]
            if other[0] < drawn[0]:
                drawn = other
        return candidates[drawn[1]]

    def estimate(
        self,
        target: data.ListedTarget,
        connection_limit: int | None = None,
    ) -> CallEstimate:
        """Return the expected time of a call that is sent now.

        :param connection_limit: maximum number of requests that a target
            can hold, if it is known; a larger load is a bad figure.
        """
        now_s = self._clock.monotonic_s()
        stats = self._records.stats_of(target)
        service_s = self.service_time_s(target)
        if stats.load is not None and stats.load.slowdown is not None:
            if now_s - stats.load_at_s < SLOWDOWN_LIFETIME_S:
                service_s *= max(1.0, stats.load.slowdown)
        slot_count = max(1, target.slot_count)
        ahead_count = stats.in_flight_count
        waiting_count = 0
        observed = self._observations.load(target)
        is_fresh = False
        if observed is not None and _is_usable(
            observed, slot_count, connection_limit
        ):
            is_fresh = observed.age_s < FRESH_LOAD_S
            waiting_count = observed.load.waiting_count if is_fresh else 0
            sent_count = self._connections.count_since(
                target.name, now_s - observed.age_s
            )
            ahead_count = max(
                ahead_count,
                observed.load.running_count
                + observed.load.waiting_count
                + sent_count,
            )
        expected_s = service_s * (1 + ahead_count / slot_count)
        if now_s - stats.sampled_at_s < _target_stats.SAMPLE_LIFETIME_S:
            expected_s *= 1 + _target_stats.ERROR_PENALTY * stats.error_share
        if target.failure_domain != self._failure_domain:
            expected_s += _target_stats.REMOTE_PENALTY_MS / 1000
        return CallEstimate(
            service_s,
            ahead_count,
            slot_count,
            is_fresh,
            waiting_count,
            expected_s,
        )

    def service_time_s(self, target: data.ListedTarget) -> float:
        """Return the usual time of a call at a target without a queue."""
        unit_time = self._observations.unit_time(target)
        if unit_time is not None:
            return unit_time.mean_s
        return self._mean_service_time_s(target.service)

    def _mean_service_time_s(self, service: str) -> float:
        """Return the mean of the service's targets, or the default."""
        now_s = self._clock.monotonic_s()
        known = self._means.get(service)
        if known is not None and now_s < known[1] + MEAN_LIFETIME_S:
            return known[0]
        times_s = []
        for target in self._records.by_name.values():
            if target.service == service:
                unit_time = self._observations.unit_time(target)
                if unit_time is not None:
                    times_s.append(unit_time.mean_s)
        mean_s = _target_stats.DEFAULT_LATENCY_MS / 1000
        if times_s:
            mean_s = sum(times_s) / len(times_s)
        self._means[service] = (mean_s, now_s)
        return mean_s


def _is_usable(
    observed: _target_observations.ObservedLoad,
    slot_count: int,
    connection_limit: int | None,
) -> bool:
    """Return whether a load is recent, and one that a target can have."""
    if observed.age_s >= _target_stats.LOAD_LIFETIME_S:
        return False
    load = observed.load
    limit_count = connection_limit or MAX_REQUESTS_PER_SLOT * slot_count
    return load.running_count + load.waiting_count <= limit_count
