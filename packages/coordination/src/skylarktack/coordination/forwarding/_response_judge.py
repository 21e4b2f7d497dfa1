"""Judges responses of a ramping target by those of its service."""

from collections.abc import Iterable
import statistics

from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding import _target_ramp_steps
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.forwarding import _target_stats
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: A response is slow if it takes more than this times the usual time. Sound
#: targets of one service differ by less: up to 1.6 times the usual time.
SLOW_FACTOR = 2.0

#: Weight of the newest response of this instance in its own average.
SAMPLE_WEIGHT = 0.1

#: Time for which the usual unit time of a service is used.
REFRESH_INTERVAL_S = 1.0

#: Maximum number of services whose times are kept.
MAX_SERVICE_COUNT = 1024

#: More responses or samples in one observation cannot be: reports come at
#: least every 60 s, and a target gives less than 160 responses a second.
MAX_OBSERVED_COUNT = 10_000


class ResponseJudge:
    """Keeps the usual times of services; the owner serialises the calls."""

    def __init__(
        self,
        clock: Clock,
        observations: _target_observations.TargetObservations,
    ) -> None:
        self._clock = clock
        self._observations = observations
        # Time to the response of a call, or to the first event of a run, as
        # this instance saw it.
        self._own_s: dict[str, float] = {}
        # Unit time over all instances, and when to compute it anew.
        self._unit_s: dict[str, float] = {}
        self._refresh_at_s: dict[str, float] = {}

    def record_usual(self, service: str, time_s: float) -> None:
        """Add a response of a target that is not ramped up."""
        known_s = self._own_s.setdefault(service, time_s)
        self._own_s[service] = known_s + SAMPLE_WEIGHT * (time_s - known_s)
        if len(self._own_s) > MAX_SERVICE_COUNT:
            del self._own_s[next(iter(self._own_s))]

    def refresh(
        self, service: str, settled: Iterable[data.ListedTarget]
    ) -> None:
        """Compute the usual unit time from targets that are not ramped up."""
        now_s = self._clock.monotonic_s()
        if now_s < self._refresh_at_s.get(service, now_s):
            return
        if len(self._refresh_at_s) >= MAX_SERVICE_COUNT:
            self._refresh_at_s.clear()
            self._unit_s.clear()
        self._refresh_at_s[service] = now_s + REFRESH_INTERVAL_S
        means = []
        for target in settled:
            unit_time = self._observations.unit_time(target)
            if unit_time is not None:
                means.append(unit_time.mean_s)
        if means:
            self._unit_s[service] = statistics.median(means)

    def usual_s(self, target: data.ListedTarget) -> float:
        """Return the usual time until a response, or 0 if it is unknown.

        Of an engine it is the time to the first event of a run.
        """
        own_s = self._own_s.get(target.service, 0.0)
        if target.models:
            return own_s
        return self._unit_s.get(target.service, own_s)

    def is_sound(
        self, target: data.ListedTarget, time_s: float | None
    ) -> bool:
        """Return whether a response came in time and with nothing waiting.

        :param time_s: None if it is not known.
        """
        if time_s is not None and _is_slow(time_s, self.usual_s(target)):
            return False
        observed = self._observations.load(target)
        if observed is None:
            return True
        if observed.age_s >= _target_ramp_steps.GROWTH_PERIOD_S:
            return True
        return observed.load.waiting_count <= 0

    def after_report(
        self,
        ramp: _target_ramp_steps.Ramp,
        observed: data.TargetObservation,
    ) -> _target_ramp_steps.Ramp:
        """Return the ramp after what a peer saw since its last report.

        One report counts as one setback, or as its sound responses.
        """
        now_s = self._clock.monotonic_s()
        target = ramp.target
        if observed.failed_count:
            return ramp.with_setback(now_s, is_failure=True)
        if observed.load_age_ms is not None and observed.waiting_count:
            return ramp.with_setback(now_s)
        has_samples = observed.sample_count > 0 and observed.unit_time_us > 0
        usual_s = self._unit_s.get(target.service, 0.0)
        if not target.models:
            usual_s = self.usual_s(target)
        unit_s = observed.unit_time_us / _target_observations.MICROSECONDS
        if has_samples and _is_slow(unit_s, usual_s):
            return ramp.with_setback(now_s)
        sound_count = observed.answered_count
        if target.models and has_samples:
            # It has sent events, though no run may be complete yet.
            sound_count = max(1, sound_count)
        return ramp.with_sound(sound_count, now_s) if sound_count else ramp

    def is_any_free(
        self,
        targets: Iterable[data.ListedTarget],
        records: _target_records.TargetRecords,
    ) -> bool:
        """Return whether a target has a free slot, as far as it is known."""
        for target in targets:
            if self._is_free(target, records.stats_of(target).in_flight_count):
                return True
        return False

    def _is_free(
        self, target: data.ListedTarget, in_flight_count: int
    ) -> bool:
        request_count = in_flight_count
        observed = self._observations.load(target)
        if (
            observed is not None
            and observed.age_s < _target_stats.LOAD_LIFETIME_S
        ):
            load = observed.load
            request_count = max(
                request_count, load.running_count + load.waiting_count
            )
        return request_count < _target_ramp_steps.slot_count(target)


def is_possible(observed: data.TargetObservation) -> bool:
    """Return whether the figures of an observation can be true."""
    counts = (
        observed.answered_count,
        observed.failed_count,
        observed.sample_count,
        observed.waiting_count,
    )
    if min(counts) < 0 or observed.unit_time_us < 0:
        return False
    return max(counts) <= MAX_OBSERVED_COUNT


def _is_slow(time_s: float, usual_s: float) -> bool:
    """Return whether a time is too long; never if the usual is unknown."""
    return 0 < SLOW_FACTOR * usual_s < time_s
