"""What this instance and its peers have seen of each target.

Each of many instances sees few responses of a target. They tell each other
what they have seen since their last report, so that all know the pace of a
target, its newest load and whether it has answered since its start. A report
that is lost takes only its own samples with it.
"""

import dataclasses
import math
import threading

from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Observations in one report; a report goes to every other instance.
MAX_OBSERVATIONS = 8

#: Time without samples after which what is known of a target is dropped.
OBSERVATION_LIFETIME_S = 60.0

#: Number of samples that the mean unit time remembers: older ones lose their
#: weight at the rate at which new ones arrive.
MEMORY_SAMPLE_COUNT = 40.0

#: Maximum number of targets that are remembered.
MAX_TARGET_COUNT = 8192

MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True)
class UnitTime:
    """Mean unit time of a target: of a call, or between two events."""

    mean_s: float

    #: Number of samples behind the mean, at most ``MEMORY_SAMPLE_COUNT``.
    sample_count: float


@dataclasses.dataclass(frozen=True)
class ObservedLoad:
    """Newest load of a target that any instance has seen."""

    load: data.TargetLoad

    age_s: float


@dataclasses.dataclass(frozen=True)
class TargetProgress:
    """Responses of a target since its start, as far as they were seen."""

    answered_count: int = 0

    failed_count: int = 0

    #: Monotonic time of the newest response; -inf without any.
    last_answered_at_s: float = -math.inf

    #: Failures since then, and the time of the newest one.
    unanswered_count: int = 0
    last_failed_at_s: float = -math.inf


@dataclasses.dataclass
class _Pending:
    """What no report to the peers has named yet."""

    unit_time_sum_s: float = 0.0
    sample_count: int = 0
    answered_count: int = 0
    failed_count: int = 0
    is_load_new: bool = False

    def item_count(self) -> int:
        """Return how much there is to tell."""
        return (
            self.sample_count
            + self.answered_count
            + self.failed_count
            + self.is_load_new
        )


@dataclasses.dataclass
class _Seen:
    """What is known of one start of a target."""

    started_at_ms: int | None
    updated_at_s: float
    unit_time_s: float = 0.0
    sample_count: float = 0.0
    load: data.TargetLoad | None = None
    load_at_s: float = -math.inf
    progress: TargetProgress = TargetProgress()
    pending: _Pending = dataclasses.field(default_factory=_Pending)

    def add_samples(self, mean_s: float, count: float) -> None:
        """Add samples to the mean unit time."""
        weight = min(self.sample_count, MEMORY_SAMPLE_COUNT - 1)
        share = count / (count + weight)
        self.unit_time_s += share * (mean_s - self.unit_time_s)
        self.sample_count = min(self.sample_count + count, MEMORY_SAMPLE_COUNT)

    def add_progress(
        self,
        answered_count: int,
        failed_count: int,
        answered_at_s: float,
        failed_at_s: float,
    ) -> None:
        """Count responses and failures, of which the newest have a time."""
        known = self.progress
        unanswered_count = known.unanswered_count
        if answered_count and answered_at_s >= known.last_failed_at_s:
            unanswered_count = 0
        if not answered_count:
            answered_at_s = -math.inf
        if not failed_count:
            failed_at_s = -math.inf
        self.progress = TargetProgress(
            known.answered_count + answered_count,
            known.failed_count + failed_count,
            max(known.last_answered_at_s, answered_at_s),
            unanswered_count + failed_count,
            max(known.last_failed_at_s, failed_at_s),
        )


class TargetObservations:
    """Merges the observations of all instances; safe for many threads."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._seen: dict[str, _Seen] = {}

    def record_unit_time(
        self, target: data.ListedTarget, unit_time_s: float
    ) -> None:
        """Add one sample of this instance."""
        if not 0 < unit_time_s < math.inf:
            return
        with self._lock:
            seen = self._of(target.name, target.started_at_ms)
            seen.add_samples(unit_time_s, 1)
            seen.pending.unit_time_sum_s += unit_time_s
            seen.pending.sample_count += 1

    def record_load(
        self, target: data.ListedTarget, load: data.TargetLoad
    ) -> None:
        """Record the load that a target just reported to this instance."""
        with self._lock:
            seen = self._of(target.name, target.started_at_ms)
            seen.load = load
            seen.load_at_s = self._clock.monotonic_s()
            seen.pending.is_load_new = True

    def record_answer(
        self, target: data.ListedTarget, is_failure: bool
    ) -> None:
        """Count a response, or a failure, that this instance has seen."""
        answered_count = int(not is_failure)
        now_s = self._clock.monotonic_s()
        with self._lock:
            seen = self._of(target.name, target.started_at_ms)
            seen.add_progress(answered_count, int(is_failure), now_s, now_s)
            seen.pending.answered_count += answered_count
            seen.pending.failed_count += int(is_failure)

    def unit_time(self, target: data.ListedTarget) -> UnitTime | None:
        """Return the mean unit time of a target, or None without samples."""
        with self._lock:
            seen = self._find(target)
            if seen is None or not seen.sample_count:
                return None
            return UnitTime(seen.unit_time_s, seen.sample_count)

    def load(self, target: data.ListedTarget) -> ObservedLoad | None:
        """Return the newest known load of a target, or None."""
        with self._lock:
            seen = self._find(target)
            if seen is None or seen.load is None:
                return None
            age_s = self._clock.monotonic_s() - seen.load_at_s
            return ObservedLoad(seen.load, age_s)

    def progress(self, target: data.ListedTarget) -> TargetProgress:
        """Return what was seen of a target since its start."""
        with self._lock:
            seen = self._find(target)
            return TargetProgress() if seen is None else seen.progress

    def take(
        self, first: frozenset[str] = frozenset()
    ) -> tuple[data.TargetObservation, ...]:
        """Return what the next report tells, and clear it.

        Targets of which most was seen come first; the others wait for the
        report after it.

        :param first: names of targets that come before all others.
        """
        with self._lock:
            self._remove_expired()
            waiting = []
            for name, seen in self._seen.items():
                item_count = seen.pending.item_count()
                if item_count:
                    waiting.append((name in first, item_count, name))
            waiting.sort(reverse=True)
            names = [name for _, _, name in waiting[:MAX_OBSERVATIONS]]
            return tuple(self._take_pending(name) for name in names)

    def receive(
        self, observations: tuple[data.TargetObservation, ...]
    ) -> None:
        """Merge what another instance has seen."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for observed in observations:
                seen = self._of(observed.target, observed.started_at_ms)
                if seen.started_at_ms != observed.started_at_ms:
                    # The figures of an earlier start.
                    continue
                if observed.sample_count and observed.unit_time_us:
                    seen.add_samples(
                        observed.unit_time_us / MICROSECONDS,
                        observed.sample_count,
                    )
                if observed.answered_count or observed.failed_count:
                    # Responses are no newer than the load in the newest one;
                    # a report may wait for seconds.
                    seen.add_progress(
                        observed.answered_count,
                        observed.failed_count,
                        now_s - (observed.load_age_ms or 0) / 1000,
                        now_s,
                    )
                _merge_load(seen, observed, now_s)

    def _of(self, name: str, started_at_ms: int | None) -> _Seen:
        """Return the entry of a target, a new one for a later start."""
        now_s = self._clock.monotonic_s()
        seen = self._seen.pop(name, None)
        if seen is None or _is_newer(started_at_ms, seen.started_at_ms):
            seen = _Seen(started_at_ms, now_s)
        seen.updated_at_s = now_s
        # The least recently updated entry is the first.
        self._seen[name] = seen
        while len(self._seen) > MAX_TARGET_COUNT:
            del self._seen[next(iter(self._seen))]
        return seen

    def _find(self, target: data.ListedTarget) -> _Seen | None:
        seen = self._seen.get(target.name)
        if seen is None or seen.started_at_ms != target.started_at_ms:
            return None
        return seen

    def _remove_expired(self) -> None:
        expired_before_s = self._clock.monotonic_s() - OBSERVATION_LIFETIME_S
        for name, seen in list(self._seen.items()):
            if seen.updated_at_s >= expired_before_s:
                return
            del self._seen[name]

    def _take_pending(self, name: str) -> data.TargetObservation:
        seen = self._seen[name]
        pending = seen.pending
        seen.pending = _Pending()
        mean_s = pending.unit_time_sum_s / max(1, pending.sample_count)
        load_age_ms = None
        if seen.load is not None and pending.is_load_new:
            age_s = self._clock.monotonic_s() - seen.load_at_s
            load_age_ms = round(1000 * age_s)
        return data.TargetObservation(
            target=name,
            started_at_ms=seen.started_at_ms,
            unit_time_us=round(MICROSECONDS * mean_s),
            sample_count=pending.sample_count,
            running_count=seen.load.running_count if seen.load else 0,
            waiting_count=seen.load.waiting_count if seen.load else 0,
            load_age_ms=load_age_ms,
            answered_count=pending.answered_count,
            failed_count=pending.failed_count,
        )


def _merge_load(
    seen: _Seen, observed: data.TargetObservation, now_s: float
) -> None:
    if observed.load_age_ms is None:
        return
    load_at_s = now_s - observed.load_age_ms / 1000
    if load_at_s <= seen.load_at_s:
        return
    slot_count = 0 if seen.load is None else seen.load.slot_count
    seen.load = data.TargetLoad(
        observed.running_count, observed.waiting_count, slot_count
    )
    seen.load_at_s = load_at_s


def _is_newer(start_ms: int | None, known_ms: int | None) -> bool:
    if start_ms is None or known_ms is None:
        return start_ms != known_ms
    return start_ms > known_ms
