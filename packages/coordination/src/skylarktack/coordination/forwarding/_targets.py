"""The table of targets: its updates, the reports on them, the choice."""

import math
import threading

from skylarktack import state
from skylarktack.coordination.forwarding import _call_choice
from skylarktack.coordination.forwarding import _call_selection
from skylarktack.coordination.forwarding import _engine_chooser
from skylarktack.coordination.forwarding import _engine_placement
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _suspensions
from skylarktack.coordination.forwarding import _target_candidates
from skylarktack.coordination.forwarding import _target_exclusions
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding import _target_ramp
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time for which a target that refuses connections is ejected. Its entry
#: expires after at most three heartbeat intervals, and the next process at its
#: address has another name.
REFUSED_EJECTION_S = 5.0


class TargetTable:
    """Targets of all services with the statistics of this instance."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        failure_domain: str,
        fleet: _fleet.FleetView,
        moves: _moves.MoveTable,
        errors: _supervision.ErrorRecorder,
        suspensions: _suspensions.Suspensions,
        ramp_mode: data.RampMode = data.RampMode.AUTO,
    ) -> None:
        self._errors = errors
        self._suspensions = suspensions
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._moves = moves
        fleet.set_failure_listener(self)
        #: What all instances have seen of the targets.
        self.observations = _target_observations.TargetObservations(clock)
        #: Chooses among the engines that a run may be sent to.
        self.engines = _engine_chooser.EngineChooser(
            clock, log, self.observations, errors, suspensions
        )
        self._lock = threading.Lock()
        self._records = _target_records.TargetRecords(clock, log)
        self.exclusions = _target_exclusions.TargetExclusions(
            clock, log, fleet
        )
        #: Slow start of targets that are new or back.
        self.ramps = _target_ramp.TargetRamps(
            clock,
            log,
            fleet,
            self.observations,
            self.exclusions,
            errors,
            ramp_mode,
        )
        fleet.set_observations(self.ramps)
        self._candidates = _target_candidates.TargetCandidates(
            clock, self._records, self.exclusions, self.ramps
        )
        #: Choice and bounds of the targets of calls.
        self.calls = _call_selection.CallSelection(
            _call_selection.SelectionDependencies(
                clock,
                log,
                self._lock,
                self._records,
                self._candidates,
                self.observations,
                fleet,
                errors,
                suspensions,
                failure_domain,
            )
        )
        #: Choice of the engines of runs and of their copies.
        self.placement = _engine_placement.EnginePlacement(
            fleet, self._lock, self._candidates, self.engines
        )
        self.is_synced = threading.Event()

    def replace(
        self, targets: tuple[data.ListedTarget, ...], after_outage: bool
    ) -> None:
        """Replace the known targets by a complete list.

        :param after_outage: whether entries may be missing only because
            they expired while the store was unavailable.
        """
        if after_outage:
            self.keep_expired()
        with self._lock:
            listed = frozenset(target.name for target in targets)
            for target in targets:
                if self._records.hold(target):
                    continue
                self._put(target)
            for name in list(self._records.by_name):
                if name not in listed:
                    self._records.remove(name)
            self._records.record_list(listed)
        self.is_synced.set()

    def record_restore(self) -> None:
        """Record that the store was restored from a copy.

        Its entries may be older than the known ones until the targets have
        written them again.
        """
        with self._lock:
            self._records.record_restore()

    def keep_expired(self) -> None:
        """Keep targets whose entries expired in an outage for a while.

        They are removed if they do not register again.
        """
        with self._lock:
            self._records.keep_expired()

    def apply(self, change: data.TargetChange) -> None:
        """Apply one change that the store reports."""
        with self._lock:
            if change.target is not None:
                self._put(change.target)
            else:
                self._records.remove(change.name)

    def confirm(self) -> None:
        """Record that all changes of the store so far were applied."""
        with self._lock:
            for target in self._records.take_rewritten():
                self._put(target)

    def find(self, name: str) -> data.ListedTarget | None:
        """Return a target by name."""
        return self._records.by_name.get(name)

    def listed_names(self, service: str) -> frozenset[str]:
        """Return the names of all listed targets of a service."""
        with self._lock:
            return frozenset(
                target.name
                for target in self._records.by_name.values()
                if target.service == service
            )

    def begin_request(self, target: data.ListedTarget) -> None:
        """Record that a request is sent to the target."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            with self._lock:
                self._records.stats_of(target).in_flight_count += 1
            self._moves.record_send(target)

    def end_request(self, target: data.ListedTarget) -> None:
        """Record that a request at the target has ended."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING), self._lock:
            self._records.record_request_end(target)

    def report_head(
        self, target: data.ListedTarget, head: data.ResponseHead
    ) -> None:
        """Record what the target says of itself in the head of a response."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if head.load is not None:
                self.observations.record_load(target, head.load)
                self.engines.switch.record_load(target, head.load)
                with self._lock:
                    self._records.record_load(target, head.load)
            self.calls.report_head(target, head)
            self.exclusions.report_head(target, head)
            self.ramps.record_head(target, head)

    def report_probe(
        self, target: data.ListedTarget, report: data.TargetReport
    ) -> None:
        """Record what the target says of itself in answer to a probe."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self.exclusions.report_probe(target, report)
            self.ramps.record_pause(target)

    def report_leaving(self, leaving: data.LeavingTarget) -> None:
        """Exclude a target because a peer heard that it is leaving."""
        self.exclusions.report_leaving(leaving)

    def next_pause_end_s(
        self,
        service: str,
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> float | None:
        """Return when the first paused target of a service may be used.

        None if there is a target that is not paused, or no target at all.
        """
        with self._lock:
            return self._candidates.next_pause_end_s(service, rule)

    def report_response(
        self,
        target: data.ListedTarget,
        route: str,
        latency_ms: float,
        is_error: bool,
    ) -> None:
        """Record a response or a complete stream; end the ejection."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            measured_ms = self._measured_ms(latency_ms)
            self.observations.record_answer(target, is_error)
            self.ramps.record_answer(target, measured_ms, is_error)
            with self._lock:
                self._records.record_response(target, measured_ms, is_error)
            kind = state.OutcomeKind.SUCCESS
            if is_error:
                kind = state.OutcomeKind.ERROR
            # The runs of an engine are counted at their first event.
            is_counted = is_error or not target.models
            self._moves.record_outcome(
                target,
                route,
                kind,
                measured_ms if is_counted else None,
                is_counted,
            )

    def report_first_event(
        self, target: data.ListedTarget, route: str, latency_ms: float
    ) -> None:
        """Record that an engine finished prefill and began to generate."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if target.models:
                measured_ms = self._measured_ms(latency_ms)
                self.ramps.record_first_event(target, measured_ms)
                self._moves.record_outcome(
                    target, route, state.OutcomeKind.SUCCESS, measured_ms
                )

    def report_abandoned(
        self, target: data.ListedTarget, route: str, sent_at_s: float
    ) -> None:
        """Record that a request has ended before the target's response."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if self._was_suspended_since(sent_at_s):
                return
            waited_s = self._clock.monotonic_s() - sent_at_s
            self._moves.record_abandoned(target, route, 1000 * waited_s)

    def report_alive(self, target: data.ListedTarget) -> None:
        """Record that the target is alive."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING), self._lock:
            stats = self._records.stats_of(target)
            stats.last_seen_at_s = self._clock.monotonic_s()

    def report_failure(
        self, target: data.ListedTarget, route: str, cause: str, is_loss: bool
    ) -> None:
        """Record a failure and eject the target for a while.

        :param is_loss: whether the target seems to have stopped, which
            counts towards the suspicion of its failure domain.
        """
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            with self._lock:
                ejection_s = self._records.record_failure(target, is_loss)
            self.observations.record_answer(target, is_failure=True)
            self.ramps.record_ejection(target, ejection_s)
            kind = state.OutcomeKind.ERROR
            if is_loss:
                self.engines.record_loss(target)
                self._fleet.record_failed_target(target.name)
                kind = state.OutcomeKind.CONNECTION_LOST
            self._moves.record_outcome(target, route, kind)
            self._log.record(
                _events.TargetEjected(
                    target.name, cause, round(ejection_s * 1000)
                )
            )

    def report_timeout(
        self, target: data.ListedTarget, route: str, sent_at_s: float
    ) -> None:
        """Record that a request got no response before its deadline.

        A target that responded to other requests meanwhile is not ejected:
        the timeout of the route may be too short for its requests.
        """
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if self._was_suspended_since(sent_at_s):
                return
            with self._lock:
                stats = self._records.stats_of(target)
                is_hanging = stats.last_seen_at_s <= sent_at_s
                if not is_hanging:
                    stats.record_response(is_error=True)
            if not is_hanging:
                self._moves.record_outcome(
                    target, route, state.OutcomeKind.UNRESPONSIVE
                )
                return
            self.report_failure(
                target, route, 'no response before the deadline', is_loss=False
            )

    def report_suspicion(self, name: str) -> None:
        """Eject a target for a while because a peer found it failed."""
        with self._lock:
            is_ejected = self._records.record_suspicion(name)
        if is_ejected:
            self.engines.record_loss(self.find(name))
            self.ramps.record_ejection(
                self.find(name), _target_records.FIRST_EJECTION_S
            )
            self._log.record(_events.TargetSuspected(name))

    def report_output(self, name: str) -> None:
        """Record that a peer received events from a target just now."""
        target = self.find(name)
        if target is not None:
            self.report_alive(target)

    def is_unavailable(self, target: data.ListedTarget) -> bool:
        """Return whether the target must get no new request now.

        It was removed, is leaving or paused, or is ejected.
        """
        with self._lock:
            return self._candidates.is_unavailable(target)

    def suspected_at_s(self, target: data.ListedTarget) -> float:
        """Return when the target, or its domain, was last suspected.

        In monotonic time; -inf if it never was.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            domain_since_s = self._records.suspect_since_s(target, now_s)
            reported_at_s = self._records.stats_of(target).suspected_at_s
        if domain_since_s is None:
            return reported_at_s
        return max(reported_at_s, domain_since_s)

    def report_connection_refused(
        self, target: data.ListedTarget, route: str, cause: str
    ) -> None:
        """Record that the target's address refuses connections."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self.report_failure(target, route, cause, is_loss=True)
            with self._lock:
                self._records.eject(target.name, REFUSED_EJECTION_S)
            self.ramps.record_ejection(target, REFUSED_EJECTION_S)

    def report_replaced(self, name: str) -> None:
        """Eject a target for good because another one has its address."""
        with self._lock:
            # It cannot become available again under the same entry.
            self._records.eject(name, math.inf)

    def report_misdirected(self, target: data.ListedTarget) -> None:
        """Record that another target responded at the address."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self.report_replaced(target.name)
            self._fleet.record_replaced_target(target.name)
            self._log.record(_events.TargetMisdirected(target.name))

    def usable_targets(self, service: str) -> tuple[data.ListedTarget, ...]:
        """Return the targets to which requests of a service may go now."""
        rule = _version_rules.ANY_VERSION
        with self._lock:
            return tuple(self._candidates.usable(service, frozenset(), rule))

    def choose_for_call(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
        demand: _call_choice.CallDemand | None = None,
    ) -> data.ListedTarget | None:
        """Return the target of a call, or None; see ``CallSelection``."""
        return self.calls.choose(service, excluded, rule, demand)

    def _measured_ms(self, latency_ms: float) -> float | None:
        """Return a latency; None if a suspension of this process is in it."""
        sent_at_s = self._clock.monotonic_s() - latency_ms / 1000
        return None if self._was_suspended_since(sent_at_s) else latency_ms

    def _was_suspended_since(self, sent_at_s: float) -> bool:
        """Return whether a response may have waited for this process."""
        return sent_at_s < self._suspensions.running_since_s()

    def _put(self, target: data.ListedTarget) -> None:
        is_first_list = not self.is_synced.is_set()
        known = self.find(target.name)
        self.ramps.record_listed(target, known, is_first_list)
        if self._records.put(target):
            self._moves.record_listed_version(
                target.service, target.version, is_first_list
            )
