"""Slow start of targets that are new or back.

A server that has just started is slow at first, and one that has recovered
may not be sound. All instances would send to it at once, because it has no
requests. Instead the fleet gives it a few requests at a time, and more with
each response in the usual time of its service.
"""

import dataclasses
import math
import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _response_judge
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _target_exclusions
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding import _target_ramp_events
from skylarktack.coordination.forwarding import _target_ramp_ranks
from skylarktack.coordination.forwarding import _target_ramp_steps
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.forwarding import _target_returns
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum number of targets that are ramped up at once; further ones get
#: requests like any other. It bounds the work for each request.
MAX_RAMP_COUNT = 64

#: Targets are not ramped up if they have more than this share of the slots:
#: the others could not do their work.
MAX_SLOT_SHARE = 0.5

#: Maximum number of services that are remembered.
MAX_SERVICE_COUNT = 1024

#: Maximum number of targets named in a step of a request's trace.
MAX_EXPLAINED_COUNT = 4

#: Step of a request's trace, and place of errors.
STEP = 'target_ramp'
PLACE = 'target ramp'

_FIRST_REFUSAL_STATUS = 400


@dataclasses.dataclass(frozen=True)
class RampCounts:
    """Counts for the metrics."""

    ramping_count: int
    started_count_by_cause: dict[str, int]
    held_back_count: int
    dropped_count: int


class TargetRamps:
    """Ramps of all targets; safe for many threads.

    It passes the observations of peers on, and takes the locks of the fleet
    and of the observations; neither may be held by a caller.
    """

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        instances: _target_ramp_ranks.Instances,
        observations: _target_observations.TargetObservations,
        exclusions: _target_exclusions.TargetExclusions,
        errors: _supervision.ErrorRecorder,
        mode: data.RampMode,
    ) -> None:
        self._clock = clock
        self._log = log
        self._instances = instances
        self._observations = observations
        self._exclusions = exclusions
        self._errors = errors
        self._mode = mode
        self._lock = threading.Lock()
        self._ranks = _target_ramp_ranks.InstanceRanks(clock, instances)
        self._judge = _response_judge.ResponseJudge(clock, observations)
        self._ramps: dict[str, _target_ramp_steps.Ramp] = {}
        self._returns = _target_returns.TargetReturns(clock)
        # Services whose targets report a slowdown.
        self._reporting: set[str] = set()
        self._started_counts: dict[str, int] = {}
        self._held_back_count = 0
        self._dropped_count = 0
        # Targets that the last choice of a thread passed over.
        self._last_choice = threading.local()

    def counts(self) -> RampCounts:
        """Return the counts since the start, and the current ramps."""
        with self._lock:
            return RampCounts(
                len(self._ramps),
                dict(self._started_counts),
                self._held_back_count,
                self._dropped_count,
            )

    def record_listed(
        self,
        target: data.ListedTarget,
        known: data.ListedTarget | None,
        is_first_list: bool,
    ) -> None:
        """Begin the ramp of a target that is new, or has started anew.

        :param known: entry of the same name until now, or None.
        :param is_first_list: whether this instance has just started, so that
            only the time of the target's start tells whether it is new.
        """
        if target.is_leaving:
            return
        if known is not None and not _target_exclusions.is_later_start(
            target.started_at_ms, known.started_at_ms
        ):
            return
        with self._errors.contain(PLACE), self._lock:
            if not self._is_on(target.service):
                return
            now_s = self._clock.monotonic_s()
            age_s = self._age_s(target)
            is_young = 0 <= age_s < _target_ramp_steps.MAX_AGE_S
            if is_first_list and not is_young:
                return
            cause = _target_ramp_steps.RampCause.LISTED
            if known is None and age_s >= _target_ramp_steps.MAX_AGE_S:
                if age_s < math.inf:
                    cause = _target_ramp_steps.RampCause.RELISTED
            self._returns.take(target.name)
            began_at_s = now_s - age_s if is_first_list else now_s
            self._begin(target, cause, began_at_s, began_at_s)

    def record_ejection(
        self, target: data.ListedTarget | None, ejection_s: float
    ) -> None:
        """Record that a target is ejected for a time."""
        if target is not None:
            self._record_exclusion(
                target,
                self._clock.monotonic_s() + ejection_s,
                _target_ramp_steps.RampCause.EJECTION,
            )

    def record_pause(self, target: data.ListedTarget) -> None:
        """Record the pause of a target, if it has asked for one."""
        if self._exclusions.is_paused(target):
            self._record_exclusion(
                target,
                self._exclusions.pause_end_s(target),
                _target_ramp_steps.RampCause.PAUSE,
            )

    def record_head(
        self, target: data.ListedTarget, head: data.ResponseHead
    ) -> None:
        """Read the head of a response of a target."""
        if self._mode is data.RampMode.OFF:
            return
        with self._errors.contain(PLACE), self._lock:
            if head.load is not None and head.load.slowdown is not None:
                if len(self._reporting) < MAX_SERVICE_COUNT:
                    self._reporting.add(target.service)
            if head.is_not_executed and head.status >= _FIRST_REFUSAL_STATUS:
                self._set_back(target)
        self.record_pause(target)

    def record_answer(
        self,
        target: data.ListedTarget,
        latency_ms: float | None,
        is_error: bool,
    ) -> None:
        """Record a complete response to a request of this instance.

        :param latency_ms: None if it is not known.
        """
        # The time of a whole run tells its length, not the engine's pace.
        if target.models:
            latency_ms = None
        self._record_time(target, latency_ms, is_error)

    def record_first_event(
        self, target: data.ListedTarget, latency_ms: float | None
    ) -> None:
        """Record that an engine began to generate a run of this instance."""
        self._record_time(target, latency_ms, is_error=False)

    def take(self) -> tuple[data.TargetObservation, ...]:
        """Return the observations for the next report.

        Those of ramping targets come first: they are few, and peers wait
        for them.
        """
        with self._lock:
            ramping = frozenset(self._ramps)
        return self._observations.take(ramping)

    def receive(
        self, observations: tuple[data.TargetObservation, ...]
    ) -> None:
        """Pass on what a peer has seen of targets, and read it."""
        self._observations.receive(observations)
        with self._errors.contain(PLACE), self._lock:
            now_s = self._clock.monotonic_s()
            for observed in observations:
                ramp = self._ramps.get(observed.target)
                if ramp is None or now_s < ramp.peers_count_from_s:
                    continue
                if observed.started_at_ms != ramp.target.started_at_ms:
                    continue
                if not _response_judge.is_possible(observed):
                    self._drop(observed)
                    continue
                self._update(self._judge.after_report(ramp, observed))

    def admit(
        self,
        candidates: list[data.ListedTarget],
        records: _target_records.TargetRecords,
    ) -> list[data.ListedTarget]:
        """Return the candidates at which this instance may send now.

        All are returned if no other is free. The owner of the records
        serialises the calls.
        """
        self._last_choice.held_back = ()
        if self._mode is data.RampMode.OFF:
            return candidates
        with self._errors.contain(PLACE), self._lock:
            return self._admit(candidates, records)
        return candidates

    def explain(self, trace: _outcomes.RequestTrace) -> None:
        """Record which targets this thread's last choice passed over."""
        with self._errors.contain(PLACE):
            held_back = getattr(self._last_choice, 'held_back', ())
            self._last_choice.held_back = ()
            if not held_back or (trace.steps and trace.steps[-1].step == STEP):
                return
            with self._lock:
                allowances = {}
                for name in held_back[:MAX_EXPLAINED_COUNT]:
                    ramp = self._ramps.get(name)
                    if ramp is not None:
                        allowances[name] = ramp.allowance
            trace.record(
                self._clock.monotonic_s(),
                STEP,
                passed_over=len(held_back),
                allowances=allowances,
            )

    def _record_exclusion(
        self,
        target: data.ListedTarget,
        until_s: float,
        cause: _target_ramp_steps.RampCause,
    ) -> None:
        """Record that a target gets no requests until a time.

        Its ramp begins with the first choice after that.
        """
        with self._errors.contain(PLACE), self._lock:
            if not self._is_on(target.service):
                return
            now_s = self._clock.monotonic_s()
            self._end(target.name, _target_ramp_steps.RampEnd.EXCLUDED, now_s)
            self._returns.record(target.name, until_s, cause)

    def _admit(
        self,
        candidates: list[data.ListedTarget],
        records: _target_records.TargetRecords,
    ) -> list[data.ListedTarget]:
        if not self._ramps and self._returns.is_empty():
            return candidates
        now_s = self._clock.monotonic_s()
        self._end_old(records, now_s)
        for target in candidates:
            self._begin_readmitted(target, now_s)
        ramping = [one for one in candidates if one.name in self._ramps]
        if not ramping:
            return candidates
        settled = [one for one in candidates if one.name not in self._ramps]
        self._judge.refresh(ramping[0].service, settled)
        slot_limit = MAX_SLOT_SHARE * _slot_sum(candidates)
        if _slot_sum(ramping) > slot_limit:
            return candidates
        held_back = []
        for target in ramping:
            usual_s = self._judge.usual_s(target)
            limit = self._ramps[target.name].own_limit(now_s, usual_s)
            if records.stats_of(target).in_flight_count >= limit:
                held_back.append(target.name)
        rest = [one for one in candidates if one.name not in held_back]
        if not held_back or not self._judge.is_any_free(rest, records):
            return candidates
        self._held_back_count += 1
        self._last_choice.held_back = tuple(held_back)
        return rest

    def _begin_readmitted(
        self, target: data.ListedTarget, now_s: float
    ) -> None:
        """Begin the ramp of a target whose exclusion has ended."""
        exclusion = self._returns.take(target.name)
        if exclusion is None:
            return
        # A response may have ended an ejection before its time.
        began_at_s = min(now_s, exclusion.until_s)
        # Until then peers may report what they saw before the exclusion.
        peers_count_from_s = (
            exclusion.since_s + self._instances.report_interval_s()
        )
        self._begin(target, exclusion.cause, began_at_s, peers_count_from_s)

    def _begin(
        self,
        target: data.ListedTarget,
        cause: _target_ramp_steps.RampCause,
        began_at_s: float,
        peers_count_from_s: float,
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._end(target.name, _target_ramp_steps.RampEnd.REMOVED, now_s)
        if now_s - began_at_s >= _target_ramp_steps.MAX_AGE_S:
            return
        if len(self._ramps) >= MAX_RAMP_COUNT:
            return
        ramp = _target_ramp_steps.Ramp(
            target,
            cause,
            self._ranks.rank(target.name),
            began_at_s,
            peers_count_from_s,
            _target_ramp_steps.first_allowance(target),
            heard_at_s=began_at_s,
        )
        self._ramps[target.name] = ramp
        count = self._started_counts.get(cause.value, 0)
        self._started_counts[cause.value] = count + 1
        self._log.record(
            _target_ramp_events.TargetRampStarted(
                target.name,
                target.service,
                cause.value,
                ramp.allowance,
                ramp.rank.position,
                ramp.rank.instance_count,
            )
        )

    def _end_old(
        self, records: _target_records.TargetRecords, now_s: float
    ) -> None:
        for name, ramp in list(self._ramps.items()):
            end = ramp.end(now_s)
            if name not in records.by_name:
                end = _target_ramp_steps.RampEnd.REMOVED
            if end is not None:
                self._end(name, end, now_s)

    def _end(
        self, name: str, end: _target_ramp_steps.RampEnd, now_s: float
    ) -> None:
        ramp = self._ramps.pop(name, None)
        if ramp is None:
            return
        self._log.record(
            _target_ramp_events.TargetRampEnded(
                name,
                ramp.target.service,
                end.value,
                round(1000 * (now_s - ramp.began_at_s)),
                ramp.allowance,
                ramp.sound_count,
            )
        )

    def _update(self, ramp: _target_ramp_steps.Ramp) -> None:
        now_s = self._clock.monotonic_s()
        self._ramps[ramp.target.name] = ramp
        end = ramp.end(now_s)
        if end is not None:
            self._end(ramp.target.name, end, now_s)

    def _record_time(
        self,
        target: data.ListedTarget,
        latency_ms: float | None,
        is_error: bool,
    ) -> None:
        if self._mode is data.RampMode.OFF:
            return
        with self._errors.contain(PLACE), self._lock:
            time_s = None if latency_ms is None else latency_ms / 1000
            ramp = self._ramps.get(target.name)
            if ramp is None:
                if time_s is not None and not is_error:
                    self._judge.record_usual(target.service, time_s)
            elif is_error or not self._judge.is_sound(target, time_s):
                self._set_back(target)
            else:
                self._update(ramp.with_sound(1, self._clock.monotonic_s()))

    def _set_back(self, target: data.ListedTarget) -> None:
        ramp = self._ramps.get(target.name)
        if ramp is not None:
            self._update(ramp.with_setback(self._clock.monotonic_s()))

    def _drop(self, observed: data.TargetObservation) -> None:
        self._dropped_count += 1
        if self._dropped_count == 1:
            self._log.record(
                _target_ramp_events.RampObservationDropped(
                    observed.target, str(observed)
                )
            )

    def _is_on(self, service: str) -> bool:
        """Return whether targets of a service are ramped up."""
        if self._mode is data.RampMode.AUTO:
            return service in self._reporting
        return self._mode is data.RampMode.ON

    def _age_s(self, target: data.ListedTarget) -> float:
        """Return the time since the start of a target; inf if unknown."""
        if target.started_at_ms is None:
            return math.inf
        return self._clock.wall_s() - target.started_at_ms / 1000


def _slot_sum(targets: list[data.ListedTarget]) -> int:
    return sum(_target_ramp_steps.slot_count(target) for target in targets)
