"""Where calls go: the choice of a target, its bound, and its trials."""

import dataclasses
import random
import threading

from skylarktack.coordination.forwarding import _call_choice
from skylarktack.coordination.forwarding import _call_connections
from skylarktack.coordination.forwarding import _call_events
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _room_waits
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _suspensions
from skylarktack.coordination.forwarding import _target_candidates
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.forwarding import _unresponsive_targets
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Share of the known instances that must be live for the others to count as
#: stopped.
MIN_LIVE_SHARE = 0.5

#: Targets that are looked at for one call, a random part of more. The cost of
#: a choice then does not grow with the service.
MAX_CANDIDATE_COUNT = 32

#: Time after which a service whose targets report no slowdown any more is
#: served as before.
SLOWDOWN_MEMORY_S = 60.0

#: Minimum time between two log lines about the load headers of a target.
LOG_INTERVAL_S = 10.0

#: A call is overdue after this times its expected time, or after the time at
#: which a retryable one is hedged, whichever is longer. A target's machine
#: may be slowed by a factor of 2.5 meanwhile.
OVERDUE_FACTOR = 4.0

#: A call is not overdue before this times the latency of an overdue one that
#: was answered after all, for a time: the service has long calls.
LATE_ANSWER_FACTOR = 1.5
LATE_ANSWER_MEMORY_S = 60.0


@dataclasses.dataclass(frozen=True)
class _Candidate:
    """A target with its estimate and the bound of its connections."""

    target: data.ListedTarget
    estimate: _call_choice.CallEstimate
    bound: int


@dataclasses.dataclass(frozen=True)
class SelectionDependencies:
    """The parts that the selection uses."""

    clock: Clock
    log: _events.EventLog

    #: Serialises the calls to the records and to the candidates.
    lock: threading.Lock

    records: _target_records.TargetRecords
    candidates: _target_candidates.TargetCandidates
    observations: _target_observations.TargetObservations
    fleet: _fleet.FleetView
    errors: _supervision.ErrorRecorder
    suspensions: _suspensions.Suspensions

    #: Failure domain of this instance.
    failure_domain: str


class CallSelection:
    """Chooses the targets of calls; shares the lock of the records."""

    def __init__(self, dependencies: SelectionDependencies) -> None:
        self._clock = dependencies.clock
        self._log = dependencies.log
        self._lock = dependencies.lock
        self._records = dependencies.records
        self._candidates = dependencies.candidates
        self._observations = dependencies.observations
        self._fleet = dependencies.fleet
        self._errors = dependencies.errors
        self._suspensions = dependencies.suspensions
        self._connections = _call_connections.CallConnections()
        self._latency = _call_choice.LatencyPolicy(
            self._clock, self._records, dependencies.failure_domain
        )
        self._expected_time = _call_choice.ExpectedTimePolicy(
            self._clock,
            self._records,
            self._observations,
            self._connections,
            dependencies.failure_domain,
        )
        self._unresponsive = _unresponsive_targets.UnresponsiveTargets(
            self._clock, self._records, self._observations
        )
        #: When a target of a service last reported a slowdown.
        self._slowdown_at_s: dict[str, float] = {}
        #: Latency of the last overdue call that was answered, and its time.
        self._late_answers: dict[str, tuple[float, float]] = {}
        self._logged_at_s: dict[str, float] = {}
        self._counts = dict.fromkeys(_call_events.CALL_DECISIONS, 0)

    def is_on(self, service: str) -> bool:
        """Return whether calls of the service go by expected time.

        That is where its targets report slowdowns.
        """
        slowdown_at_s = self._slowdown_at_s.get(service)
        if slowdown_at_s is None:
            return False
        return self._clock.monotonic_s() < slowdown_at_s + SLOWDOWN_MEMORY_S

    def choose(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
        demand: _call_choice.CallDemand | None = None,
    ) -> data.ListedTarget | None:
        """Return a target, or None if there is none or none has room.

        :param demand: the call whose connection is counted until it is
            released; without it, nothing is counted or bounded.
        """
        if demand is not None:
            with self._errors.contain(_supervision.CALL_CHOICE):
                if self.is_on(service):
                    return self._choose_with_room(
                        service, excluded, rule, demand
                    )
        with self._lock:
            usable = self._candidates.usable(service, excluded, rule)
            if not usable:
                return None
            target = self._latency.choose(usable)
            if demand is not None:
                self._connections.open(target.name, demand.at_s)
            return target

    def release(self, target: data.ListedTarget, at_s: float) -> None:
        """Count the end of the connection of a call.

        :param at_s: time of the demand with which it was chosen.
        """
        with self._lock:
            self._connections.close(target.name, at_s)

    def expect(
        self, target: data.ListedTarget, demand: _call_choice.CallDemand
    ) -> _call_choice.CallExpectation:
        """Return what is expected of a call that is sent to a target now."""
        with self._errors.contain(_supervision.CALL_CHOICE):
            if not self.is_on(target.service):
                return _call_choice.CallExpectation()
            with self._lock:
                estimate = self._expected_time.estimate(
                    target, demand.connection_limit
                )
                is_trial = self._unresponsive.is_distrusted(target)
            return _call_choice.CallExpectation(
                estimate.expected_s,
                max(
                    OVERDUE_FACTOR * estimate.expected_s,
                    self._late_answer_s(target.service),
                ),
                estimate.waiting_count,
                is_trial,
            )
        return _call_choice.CallExpectation()

    def plan_room_wait(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
        demand: _call_choice.CallDemand,
        has_been_declined: bool = False,
    ) -> _room_waits.RoomWait | None:
        """Return the time until a target is expected to have room.

        None without a target, or where calls do not go by expected time.

        :param has_been_declined: whether the targets did not take the call,
            so that it waits for the end of an ejection and of one call.
        """
        with self._errors.contain(_supervision.CALL_CHOICE):
            if not self.is_on(service):
                return None
            instance_count = self._instance_count()
            waits_s = []
            with self._lock:
                for target in self._trusted(
                    service, excluded, rule, demand, instance_count
                ):
                    candidate = self._candidate(target, demand, instance_count)
                    wait_s = self._room_wait_of(candidate, demand)
                    if has_been_declined:
                        stats = self._records.stats_of(target)
                        wait_s = max(
                            wait_s,
                            stats.ejected_until_s - demand.at_s,
                            candidate.estimate.service_s,
                        )
                    waits_s.append((wait_s, candidate.estimate.service_s))
            if waits_s:
                wait_s, service_s = min(waits_s)
                return _room_waits.plan(
                    wait_s, service_s, demand.end_s - demand.at_s
                )
        return None

    def report_overdue(
        self, target: data.ListedTarget, sent_at_s: float
    ) -> bool:
        """Record that a call has had no answer for much longer than usual.

        :return: whether no instance has seen an answer since the send.
        """
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if sent_at_s < self._suspensions.running_since_s():
                return False
            with self._lock:
                if self._unresponsive.has_answered_since(target, sent_at_s):
                    return False
            self._observations.record_answer(target, is_failure=True)
            with self._lock:
                is_certain = self._unresponsive.record_overdue(target)
                self._counts[_call_events.UNRESPONSIVE] += 1
            if is_certain:
                self._fleet.record_failed_target(target.name)
            else:
                self._fleet.report_observations()
            waited_s = self._clock.monotonic_s() - sent_at_s
            self._log.record(
                _call_events.TargetUnresponsive(
                    target.name, round(1000 * waited_s), is_certain
                )
            )
            return True
        return False

    def record_response(
        self,
        target: data.ListedTarget,
        head: data.ResponseHead,
        sent_at_s: float,
        expectation: _call_choice.CallExpectation,
    ) -> None:
        """Record the service time of a call that was executed.

        The wait in the target's queue is taken out: the latency is divided
        by the length of the queue that the target reported, at the send or
        with the response, against its slots. A target without load reports
        has all of its latency counted.

        :param expectation: what was expected at the send.
        """
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            running_since_s = self._suspensions.running_since_s()
            if target.models or sent_at_s < running_since_s:
                return
            waiting_count = expectation.waiting_count
            if head.load is not None:
                waiting_count = max(waiting_count, head.load.waiting_count)
            now_s = self._clock.monotonic_s()
            latency_s = now_s - sent_at_s
            if latency_s > expectation.overdue_after_s:
                self._late_answers[target.service] = (latency_s, now_s)
            slot_count = max(1, target.slot_count)
            self._observations.record_unit_time(
                target, latency_s / (1 + waiting_count / slot_count)
            )

    def report_head(
        self, target: data.ListedTarget, head: data.ResponseHead
    ) -> None:
        """Record whether a target reports slowdowns, and usable figures."""
        now_s = self._clock.monotonic_s()
        if head.load is not None and head.load.slowdown is not None:
            self._slowdown_at_s[target.service] = now_s
        if head.load_defect is None:
            return
        with self._lock:
            self._counts[_call_events.LOAD_UNUSABLE] += 1
            count = self._counts[_call_events.LOAD_UNUSABLE]
            for name, logged_at_s in list(self._logged_at_s.items()):
                if now_s >= logged_at_s + LOG_INTERVAL_S:
                    del self._logged_at_s[name]
            if target.name in self._logged_at_s:
                return
            self._logged_at_s[target.name] = now_s
        self._log.record(
            _call_events.TargetLoadUnusable(
                target.name, head.load_defect, count
            )
        )

    def report_recovery(self, target: data.ListedTarget) -> None:
        """Tell the peers at once that a distrusted target has answered."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self._fleet.report_observations()
            self._log.record(_call_events.TargetResponsive(target.name))

    def counts(self) -> dict[str, int]:
        """Return the number of decisions since the start, by name."""
        with self._lock:
            return dict(self._counts)

    def _late_answer_s(self, service: str) -> float:
        """Return how long calls are known to take, with a margin."""
        latency_s, at_s = self._late_answers.get(service, (0.0, 0.0))
        if self._clock.monotonic_s() >= at_s + LATE_ANSWER_MEMORY_S:
            return 0.0
        return LATE_ANSWER_FACTOR * latency_s

    def _instance_count(self) -> int:
        """Return the number of instances that share the targets.

        An instance that hears of few others is probably cut off from them;
        they still send to the targets.
        """
        if self._fleet.live_share() < MIN_LIVE_SHARE:
            return max(1, self._fleet.expected_count())
        return self._fleet.instance_count()

    def _choose_with_room(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
        demand: _call_choice.CallDemand,
    ) -> data.ListedTarget | None:
        instance_count = self._instance_count()
        with self._lock:
            usable = self._trusted(
                service, excluded, rule, demand, instance_count
            )
            with_room = []
            for target in usable:
                candidate = self._candidate(target, demand, instance_count)
                if self._room_wait_of(candidate, demand) <= 0:
                    with_room.append(target)
            if not with_room:
                self._counts[_call_events.NO_ROOM] += bool(usable)
                return None
            target = self._expected_time.choose(
                with_room, demand.connection_limit
            )
            if self._unresponsive.is_distrusted(target):
                self._unresponsive.record_trial(target, instance_count)
                self._counts[_call_events.TRIAL] += 1
            self._connections.open(target.name, demand.at_s)
            return target

    def _trusted(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
        demand: _call_choice.CallDemand,
        instance_count: int,
    ) -> list[data.ListedTarget]:
        """Return the usable targets without those that only get trials.

        All are returned if there is no other.
        """
        usable = self._candidates.usable(service, excluded, rule)
        if len(usable) > MAX_CANDIDATE_COUNT:
            usable = random.sample(usable, MAX_CANDIDATE_COUNT)
        withheld = set()
        trusted = []
        for target in usable:
            if self._unresponsive.is_withheld(
                target, instance_count, demand.is_retryable
            ):
                withheld.add(target.name)
            else:
                trusted.append(target)
        if trusted or not withheld:
            return trusted
        others = self._candidates.usable(service, excluded | withheld, rule)
        now_s = self._clock.monotonic_s()
        return [
            target
            for target in others
            if not self._records.is_ejected(target, now_s)
        ] or usable

    def _candidate(
        self,
        target: data.ListedTarget,
        demand: _call_choice.CallDemand,
        instance_count: int,
    ) -> _Candidate:
        estimate = self._expected_time.estimate(
            target, demand.connection_limit
        )
        room = _call_connections.TargetRoom(
            estimate.slot_count,
            demand.connection_limit,
            instance_count,
            estimate.ahead_count,
            estimate.waiting_count,
            estimate.is_load_fresh,
            self._unresponsive.is_distrusted(target),
        )
        return _Candidate(target, estimate, room.bound())

    def _room_wait_of(
        self, candidate: _Candidate, demand: _call_choice.CallDemand
    ) -> float:
        """Return the time until a target has room for a call; 0 if it has.

        It has none at its bound, nor if its queue makes the call late.
        """
        estimate = candidate.estimate
        wait_s = 0.0
        if estimate.waiting_count:
            left_s = max(demand.end_s - demand.at_s, 2 * estimate.service_s)
            wait_s = estimate.queue_s + estimate.service_s - left_s
        name = candidate.target.name
        if self._connections.count(name) < candidate.bound:
            return max(0.0, wait_s)
        slot_s = estimate.service_s / estimate.slot_count
        oldest_at_s = self._connections.oldest_at_s(name)
        if oldest_at_s is None:
            return max(wait_s, slot_s)
        # A call that takes longer than expected is looked at again after a
        # part of the time that it has taken.
        age_s = demand.at_s - oldest_at_s
        left_s = max(estimate.expected_s - age_s, age_s / 4)
        return max(wait_s, slot_s, left_s)
