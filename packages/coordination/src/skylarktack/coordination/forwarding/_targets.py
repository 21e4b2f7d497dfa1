"""Known targets, the statistics of each, and the selection among them."""

import dataclasses
import math
import threading

from skylarktack import state
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _target_exclusions
from skylarktack.coordination.forwarding import _target_list
from skylarktack.coordination.forwarding import _target_stats
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Initial and maximum time for which a failed target is ejected.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0

#: Time for which a target that refuses connections is ejected. Its entry
#: expires after at most three heartbeat intervals, and the next process at its
#: address has another name.
REFUSED_EJECTION_S = 5.0

#: A suspicion that a peer reports is ignored if the target responded to
#: this instance more recently than this.
SUSPICION_OVERRIDE_S = 0.3


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
    ) -> None:
        self._errors = errors
        self._clock = clock
        self._log = log
        self._failure_domain = failure_domain
        self._fleet = fleet
        self._moves = moves
        fleet.set_failure_listener(self)
        self._lock = threading.Lock()
        self._list = _target_list.TargetList()
        self._stats: dict[str, _target_stats.TargetStats] = {}
        self._suspicions = _target_stats.DomainSuspicions()
        self.exclusions = _target_exclusions.TargetExclusions(
            clock, log, fleet
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
        now_s = self._clock.monotonic_s()
        with self._lock:
            listed = {target.name for target in targets}
            for target in targets:
                self._put(target)
            for name in list(self._list.by_name):
                if name not in listed:
                    self._remove(name, now_s)
        self.is_synced.set()

    def keep_expired(self) -> None:
        """Keep targets whose entries expired in an outage for a while.

        They are removed if they do not register again.
        """
        with self._lock:
            self._list.keep_expired(self._clock.monotonic_s())

    def apply(self, change: data.TargetChange) -> None:
        """Apply one change that the store reports."""
        with self._lock:
            if change.target is not None:
                self._put(change.target)
            elif change.name in self._list.by_name:
                self._remove(change.name, self._clock.monotonic_s())

    def find(self, name: str) -> data.ListedTarget | None:
        """Return a target by name."""
        return self._list.by_name.get(name)

    def begin_request(self, target: data.ListedTarget) -> None:
        """Record that a request is sent to the target."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            with self._lock:
                self._stats_of(target).in_flight_count += 1
            self._moves.record_send(target)

    def end_request(self, target: data.ListedTarget) -> None:
        """Record that a request at the target has ended."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING), self._lock:
            stats = self._stats.get(target.name)
            if stats is not None and stats.in_flight_count > 0:
                stats.in_flight_count -= 1

    def report_head(
        self, target: data.ListedTarget, head: data.ResponseHead
    ) -> None:
        """Record what the target says of itself in the head of a response."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if head.load is not None:
                with self._lock:
                    stats = self._stats_of(target)
                    stats.load = head.load
                    stats.load_at_s = self._clock.monotonic_s()
            self.exclusions.report_head(target, head)

    def report_probe(
        self, target: data.ListedTarget, report: data.TargetReport
    ) -> None:
        """Record what the target says of itself in answer to a probe."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self.exclusions.report_probe(target, report)

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
        now_s = self._clock.monotonic_s()
        end_s: float | None = None
        with self._lock:
            for target in self._list.by_name.values():
                if not self._may_use(target, service, rule):
                    continue
                pause_end_s = self.exclusions.pause_end_s(target)
                if pause_end_s <= now_s:
                    return None
                end_s = min(pause_end_s, end_s or pause_end_s)
        return end_s

    def report_response(
        self,
        target: data.ListedTarget,
        route: str,
        latency_ms: float,
        is_error: bool,
    ) -> None:
        """Record a response or a complete stream; end the ejection."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            now_s = self._clock.monotonic_s()
            with self._lock:
                stats = self._stats_of(target)
                stats.record_latency(latency_ms, now_s)
                stats.record_response(is_error)
                stats.last_seen_at_s = now_s
                stats.failure_count = 0
                stats.ejected_until_s = -math.inf
            kind = state.OutcomeKind.SUCCESS
            if is_error:
                kind = state.OutcomeKind.ERROR
            # The runs of an engine are counted at their first event.
            is_counted = is_error or not target.models
            self._moves.record_outcome(
                target,
                route,
                kind,
                latency_ms if is_counted else None,
                is_counted,
            )

    def report_first_event(
        self, target: data.ListedTarget, route: str, latency_ms: float
    ) -> None:
        """Record that an engine finished prefill and began to generate."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            if target.models:
                self._moves.record_outcome(
                    target, route, state.OutcomeKind.SUCCESS, latency_ms
                )

    def report_abandoned(
        self, target: data.ListedTarget, route: str, sent_at_s: float
    ) -> None:
        """Record that a request has ended before the target's response."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            waited_s = self._clock.monotonic_s() - sent_at_s
            self._moves.record_abandoned(target, route, 1000 * waited_s)

    def report_alive(self, target: data.ListedTarget) -> None:
        """Record that the target is alive."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING), self._lock:
            self._stats_of(target).last_seen_at_s = self._clock.monotonic_s()

    def report_failure(
        self, target: data.ListedTarget, route: str, cause: str, is_loss: bool
    ) -> None:
        """Record a failure and eject the target for a while.

        :param is_loss: whether the target seems to have stopped, which
            counts towards the suspicion of its failure domain.
        """
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            now_s = self._clock.monotonic_s()
            with self._lock:
                stats = self._stats_of(target)
                stats.failure_count += 1
                ejection_s = min(
                    MAX_EJECTION_S,
                    FIRST_EJECTION_S * 2 ** (stats.failure_count - 1),
                )
                stats.ejected_until_s = now_s + ejection_s
                if is_loss:
                    self._suspicions.record_loss(target, now_s)
            kind = state.OutcomeKind.ERROR
            if is_loss:
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
            with self._lock:
                stats = self._stats_of(target)
                is_hanging = stats.last_seen_at_s <= sent_at_s
                if not is_hanging:
                    stats.record_response(is_error=True)
            if not is_hanging:
                self._moves.record_outcome(
                    target, route, state.OutcomeKind.SILENT
                )
                return
            self.report_failure(
                target, route, 'no response before the deadline', is_loss=False
            )

    def report_suspicion(self, name: str) -> None:
        """Eject a target for a while because a peer found it failed."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            target = self._list.by_name.get(name)
            if target is None:
                return
            stats = self._stats_of(target)
            if now_s - stats.sampled_at_s < SUSPICION_OVERRIDE_S:
                return
            until_s = now_s + FIRST_EJECTION_S
            stats.ejected_until_s = max(stats.ejected_until_s, until_s)
            stats.suspected_at_s = now_s
            self._suspicions.record_loss(target, now_s)
        self._log.record(_events.TargetSuspected(name))

    def is_unavailable(self, target: data.ListedTarget) -> bool:
        """Return whether the target must get no new request now.

        It was removed, is leaving or paused, or is ejected.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            listed = self._list.by_name.get(target.name)
            if listed is None or listed.is_leaving:
                return True
            if self.exclusions.is_leaving(listed):
                return True
            if now_s < self.exclusions.pause_end_s(listed):
                return True
            return now_s < self._stats_of(target).ejected_until_s

    def suspected_at_s(self, target: data.ListedTarget) -> float:
        """Return the monotonic time of the last suspicion of a peer."""
        with self._lock:
            return self._stats_of(target).suspected_at_s

    def report_connection_refused(
        self, target: data.ListedTarget, route: str, cause: str
    ) -> None:
        """Record that the target's address refuses connections."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self.report_failure(target, route, cause, is_loss=True)
            with self._lock:
                self._eject(target.name, REFUSED_EJECTION_S)

    def report_replaced(self, name: str) -> None:
        """Eject a target for good because another one has its address."""
        with self._lock:
            # It cannot become available again under the same entry.
            self._eject(name, math.inf)

    def report_misdirected(self, target: data.ListedTarget) -> None:
        """Record that another target responded at the address."""
        with self._errors.contain(_supervision.TARGET_ACCOUNTING):
            self.report_replaced(target.name)
            self._fleet.record_replaced_target(target.name)
            self._log.record(_events.TargetMisdirected(target.name))

    def choose_for_call(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> data.ListedTarget | None:
        """Return the target with the minimum expected latency, or None."""
        with self._lock:
            candidates = self._usable(service, excluded, rule)
            if not candidates:
                return None
            return min(candidates, key=self._expected_latency_ms)

    def choose_engines(
        self,
        service: str,
        model: str | None,
        demand: _placement.RunDemand,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> _engine_selection.EnginePair | None:
        """Return the engine for a run and the one for its standby copy."""
        loads = self._fleet.loads()
        known = self._fleet.find_placement(demand.affinity_key)
        if known is not None:
            demand = dataclasses.replace(demand, known_engine=known.run.engine)
        with self._lock:
            serving = _engine_selection.filter_by_model(
                self._usable(service, excluded, rule), model
            )
            if not serving:
                return None
            primary = _placement.choose_primary(serving, loads, demand)
            return _engine_selection.EnginePair(
                primary,
                _placement.choose_standby(serving, primary, loads, demand),
            )

    def likely_engines(
        self,
        service: str,
        model: str | None,
        demand: _placement.RunDemand,
        count: int,
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> tuple[data.ListedTarget, ...]:
        """Return the engines that most likely have a prompt cached."""
        with self._lock:
            candidates = _engine_selection.filter_by_model(
                self._usable(service, frozenset(), rule), model
            )
        return _placement.likely_engines(candidates, demand, count)

    def choose_standby(
        self,
        service: str,
        primary: data.ListedTarget,
        model: str | None,
        demand: _placement.RunDemand,
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> data.ListedTarget | None:
        """Return an engine for the standby copy of a run at the primary."""
        loads = self._fleet.loads()
        with self._lock:
            candidates = _engine_selection.filter_by_model(
                self._usable(service, frozenset((primary.name,)), rule),
                model,
            )
            return _placement.choose_standby(
                candidates, primary, loads, demand
            )

    def _put(self, target: data.ListedTarget) -> None:
        previous = self._list.put(target)
        if previous == target:
            return
        if (
            previous is not None
            and previous.started_at_ms != target.started_at_ms
        ):
            # A new process uses the name; old statistics do not apply to it.
            self._stats.pop(target.name, None)
        if previous is None:
            self._moves.record_listed_version(
                target.service, target.version, not self.is_synced.is_set()
            )
            self._stats_of(target).listed_at_s = self._clock.monotonic_s()
            self._log.record(
                _events.TargetAdded(
                    target.name,
                    target.service,
                    str(target.endpoint),
                    target.version,
                )
            )
        elif target.is_leaving and not previous.is_leaving:
            self._log.record(_events.TargetDraining(target.name))

    def _remove(self, name: str, now_s: float) -> None:
        if self._list.remove(name, now_s):
            self._stats.pop(name, None)
            self._log.record(_events.TargetRemoved(name))

    def _eject(self, name: str, ejection_s: float) -> None:
        target = self._list.by_name.get(name)
        if target is None:
            return
        stats = self._stats_of(target)
        until_s = self._clock.monotonic_s() + ejection_s
        stats.ejected_until_s = max(stats.ejected_until_s, until_s)

    def _usable(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
    ) -> list[data.ListedTarget]:
        now_s = self._clock.monotonic_s()
        for name in self._list.take_expired(now_s):
            self._remove(name, now_s)
        healthy = []
        suspect = []
        ejected = []
        for target in self._list.by_name.values():
            if target.name in excluded:
                continue
            if not self._may_use(target, service, rule):
                continue
            if now_s < self.exclusions.pause_end_s(target):
                continue
            if now_s < self._stats_of(target).ejected_until_s:
                ejected.append(target)
                continue
            if self._suspicions.is_suspect(
                target, self._stats_of(target), now_s
            ):
                suspect.append(target)
                continue
            healthy.append(target)
        if rule.preferred is not None:
            preferred = []
            for target in healthy:
                if target.version == rule.preferred:
                    preferred.append(target)
            if preferred:
                return preferred
        return healthy or suspect or ejected

    def _may_use(
        self,
        target: data.ListedTarget,
        service: str,
        rule: _version_rules.VersionRule,
    ) -> bool:
        """Return whether requests for a service may ever go to a target."""
        if target.service != service or target.is_leaving:
            return False
        if target.version in rule.excluded:
            return False
        return not self.exclusions.is_leaving(target)

    def _stats_of(
        self, target: data.ListedTarget
    ) -> _target_stats.TargetStats:
        stats = self._stats.get(target.name)
        if stats is None:
            stats = _target_stats.TargetStats()
            self._stats[target.name] = stats
        return stats

    def _expected_latency_ms(self, target: data.ListedTarget) -> float:
        return _target_stats.expected_latency_ms(
            self._stats_of(target),
            target,
            self._failure_domain,
            self._clock.monotonic_s(),
        )
