"""How many requests a second the targets of a service can serve."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: The service time of a target is the least mean of this time and of the one
#: before. Means include waits at the target: if the capacity fell with the
#: queue, organisations within their shares would be refused.
PERIOD_S = 30.0

#: Age up to which a reported load tells whether a target has room.
LOAD_LIFETIME_S = 1.0

#: Requests that wait at targets are to be served within the objective of their
#: route, and count against the capacity for new ones so. The bounds keep a
#: short queue at one target, or a long objective, from deciding alone.
MIN_DRAIN_S = 0.25
MAX_DRAIN_S = 2.0

#: Part of that time for which requests may wait before they count at all.
#: Short queues come and go at a load of nine tenths of the capacity, where
#: every refusal would be needless.
TOLERATED_WAIT_PART = 0.25

#: Fraction of the capacity that remains for new requests, however many wait.
MIN_FREE_FRACTION = 0.5

#: Fraction of busy slots up to which targets have ample room.
IDLE_FRACTION = 0.5

#: Weight of the newest stream in the mean duration.
STREAM_WEIGHT = 0.1


class ServiceTargets(Protocol):
    """The targets of each service, and what instances have seen of them."""

    observations: _target_observations.TargetObservations

    def usable_targets(self, service: str) -> tuple[data.ListedTarget, ...]:
        """Return the targets to which requests of a service may go now."""
        ...


@dataclasses.dataclass(frozen=True)
class ServiceCapacity:
    """What the targets of a service can serve."""

    #: Requests a second that they can serve in the long run.
    per_s: float

    #: The same while the requests that wait for long are served as well.
    free_per_s: float

    #: Whether loads are known and no more requests wait than are tolerated.
    #: For streams: whether any engine has room for another run.
    has_room: bool

    #: Whether targets are known to have free slots and nothing waits. For
    #: streams the same as ``has_room``.
    has_free_slot: bool

    #: Whether that is certain to last: nothing waits, and at most half of the
    #: known slots are busy. For streams the same as ``has_room``.
    has_ample_room: bool

    target_count: int


class CapacityEstimates:
    """Estimates capacities; safe for many threads."""

    def __init__(self, clock: Clock, targets: ServiceTargets) -> None:
        self._clock = clock
        self._targets = targets
        self._lock = threading.Lock()
        self._period = 0
        self._least_s: dict[str, float] = {}
        self._previous_least_s: dict[str, float] = {}
        self._stream_s: dict[str, float] = {}

    def record_stream(self, service: str, duration_s: float) -> None:
        """Record how long a complete stream of a service took."""
        if not 0 < duration_s < math.inf:
            return
        with self._lock:
            mean_s = self._stream_s.get(service, duration_s)
            self._stream_s[service] = mean_s + STREAM_WEIGHT * (
                duration_s - mean_s
            )

    def of_calls(
        self, service: str, objective_s: float, is_cut_off: bool
    ) -> ServiceCapacity | None:
        """Return the capacity for calls; None if no samples are known.

        :param objective_s: latency objective of the calls.
        :param is_cut_off: whether no peer reports what it sees. Then few loads
            are known, and any request that waits counts.
        """
        targets = self._targets.usable_targets(service)
        known_s = {}
        for target in targets:
            service_time_s = self._service_time_s(target)
            if service_time_s is not None:
                known_s[target.name] = service_time_s
        if not known_s:
            return None
        mean_s = math.fsum(known_s.values()) / len(known_s)
        per_s = 0.0
        for target in targets:
            service_time_s = known_s.get(target.name, mean_s)
            per_s += max(1, target.slot_count) / service_time_s
        drain_s = min(MAX_DRAIN_S, max(MIN_DRAIN_S, objective_s))
        tolerated_count = 0.0
        if not is_cut_off:
            tolerated_count = TOLERATED_WAIT_PART * drain_s * per_s
        return self._with_loads(per_s, targets, drain_s, tolerated_count)

    def of_streams(
        self,
        service: str,
        demand: _placement.RunDemand,
        loads: Mapping[str, _placement.EngineLoad],
    ) -> ServiceCapacity | None:
        """Return the capacity for streams; None before one has completed.

        :param demand: what a run of the service needs of an engine.
        :param loads: load of each engine that has a run or a copy.
        """
        with self._lock:
            stream_s = self._stream_s.get(service)
        if stream_s is None:
            return None
        run_count = 0.0
        has_room = False
        targets = self._targets.usable_targets(service)
        for target in targets:
            # The run alone on an idle engine fills this part of it.
            part = _placement.fill_with_run(_placement.IDLE, target, demand)
            run_count += max(1.0, 1 / part) if part > 0 else 1.0
            load = loads.get(target.name, _placement.IDLE)
            if _placement.fill_with_run(load, target, demand) <= 1:
                has_room = True
        per_s = run_count / stream_s
        return ServiceCapacity(
            per_s=per_s,
            free_per_s=per_s,
            has_room=has_room,
            has_free_slot=has_room,
            has_ample_room=has_room,
            target_count=len(targets),
        )

    def _service_time_s(self, target: data.ListedTarget) -> float | None:
        unit_time = self._targets.observations.unit_time(target)
        if unit_time is None or unit_time.mean_s <= 0:
            return None
        period = math.floor(self._clock.monotonic_s() / PERIOD_S)
        with self._lock:
            if period != self._period:
                is_next = period == self._period + 1
                self._previous_least_s = self._least_s if is_next else {}
                self._least_s = {}
                self._period = period
            least_s = min(
                unit_time.mean_s, self._least_s.get(target.name, math.inf)
            )
            self._least_s[target.name] = least_s
            return min(
                least_s, self._previous_least_s.get(target.name, math.inf)
            )

    def _with_loads(
        self,
        per_s: float,
        targets: Sequence[data.ListedTarget],
        drain_s: float,
        tolerated_count: float,
    ) -> ServiceCapacity:
        slot_count = 0
        running_count = 0
        waiting_count = 0
        for target in targets:
            observed = self._targets.observations.load(target)
            if observed is None or observed.age_s >= LOAD_LIFETIME_S:
                continue
            slot_count += max(1, target.slot_count)
            running_count += observed.load.running_count
            waiting_count += observed.load.waiting_count
        excess_count = max(0.0, waiting_count - tolerated_count)
        is_calm = slot_count > 0 and waiting_count == 0
        return ServiceCapacity(
            per_s=per_s,
            free_per_s=max(
                MIN_FREE_FRACTION * per_s, per_s - excess_count / drain_s
            ),
            has_room=slot_count > 0 and excess_count == 0,
            has_free_slot=is_calm and running_count < slot_count,
            has_ample_room=(
                is_calm and running_count <= IDLE_FRACTION * slot_count
            ),
            target_count=len(targets),
        )
