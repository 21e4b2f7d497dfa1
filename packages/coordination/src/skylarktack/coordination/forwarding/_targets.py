"""Known targets, the evidence about each, and the choice among them."""

import math
import threading

from skylarktack import state
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _target_stats
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: First and longest time for which a target that failed is passed over.
EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0

#: Time for which a target at whose address nothing listens is passed over.
#: Its entry goes after at most three intervals of its heartbeat, and the next
#: process at its address has another name.
DOWN_EJECTION_S = 5.0

#: An answer this young outweighs another instance's word that the target
#: is lost.
RUMOUR_DISPROOF_S = 0.3

#: How much more loaded than the least loaded engine the one may be that
#: kept the prompt of a run that goes on.
RETURN_LOAD_LIMIT = 6.0

#: After the store returns, entries that expired meanwhile come back within
#: this time if their target lives.
LAPSE_GRACE_S = 2.2


class TargetTable:
    """Targets of all services with the evidence of this instance."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        failure_domain: str,
        fleet: _fleet.FleetView,
        moves: _moves.MoveTable,
    ) -> None:
        self._clock = clock
        self._log = log
        self._failure_domain = failure_domain
        self._fleet = fleet
        self._moves = moves
        fleet.set_loss_listener(self)
        self._lock = threading.Lock()
        self._targets: dict[str, data.ListedTarget] = {}
        self._evidence: dict[str, _target_stats.TargetStats] = {}
        self._lapsed: dict[str, float] = {}
        self._lapse_grace_until_s = -math.inf
        self._doubts = _target_stats.DomainSuspicions()
        self.is_synced = threading.Event()

    def replace(
        self, targets: tuple[data.ListedTarget, ...], after_outage: bool
    ) -> None:
        """Take over a whole list.

        :param after_outage: whether entries may be missing only because
            they expired while the store was away.
        """
        if after_outage:
            self.await_lapsed()
        now_s = self._clock.monotonic_s()
        with self._lock:
            listed = {target.name for target in targets}
            for target in targets:
                self._put(target)
            for name in list(self._targets):
                if name not in listed:
                    self._remove(name, now_s)
        self.is_synced.set()

    def await_lapsed(self) -> None:
        """Keep targets whose entries expired while the store was away."""
        with self._lock:
            self._lapse_grace_until_s = (
                self._clock.monotonic_s() + LAPSE_GRACE_S
            )

    def apply(self, change: data.TargetChange) -> None:
        """Take over one change."""
        with self._lock:
            if change.target is not None:
                self._put(change.target)
            elif change.name in self._targets:
                self._remove(change.name, self._clock.monotonic_s())

    def find(self, name: str) -> data.ListedTarget | None:
        """Return a target by name."""
        return self._targets.get(name)

    def begin_request(self, target: data.ListedTarget) -> None:
        """Note that a request is sent to the target."""
        self._moves.record_send(target)
        with self._lock:
            self._of(target).in_flight_count += 1

    def end_request(self, target: data.ListedTarget) -> None:
        """Note that a request at the target has ended."""
        with self._lock:
            evidence = self._evidence.get(target.name)
            if evidence is not None and evidence.in_flight_count > 0:
                evidence.in_flight_count -= 1

    def report_load(
        self, target: data.ListedTarget, load: data.TargetLoad | None
    ) -> None:
        """Note the load that the target reported."""
        if load is None:
            return
        with self._lock:
            evidence = self._of(target)
            evidence.load = load
            evidence.load_at_s = self._clock.monotonic_s()

    def report_answer(
        self,
        target: data.ListedTarget,
        route: str,
        latency_ms: float,
        is_error: bool,
    ) -> None:
        """Note that the target answered, or completed a stream."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            evidence = self._of(target)
            evidence.record_latency(latency_ms, now_s)
            evidence.record_response(is_error)
            evidence.last_seen_at_s = now_s
            evidence.failure_count = 0
            evidence.ejected_until_s = -math.inf
        kind = state.OutcomeKind.SUCCESS
        if is_error:
            kind = state.OutcomeKind.ERROR
        # Engines' runs are counted at their first event.
        is_counted = is_error or not target.models
        self._moves.record_outcome(
            target, route, kind, latency_ms if is_counted else None, is_counted
        )

    def report_first_event(
        self, target: data.ListedTarget, route: str, latency_ms: float
    ) -> None:
        """Note that an engine read a prompt and began to generate."""
        if target.models:
            self._moves.record_outcome(
                target, route, state.OutcomeKind.SUCCESS, latency_ms
            )

    def report_alive(self, target: data.ListedTarget) -> None:
        """Note that the target is alive."""
        with self._lock:
            self._of(target).last_seen_at_s = self._clock.monotonic_s()

    def report_failure(
        self, target: data.ListedTarget, route: str, cause: str, is_loss: bool
    ) -> None:
        """Note that the target failed, and pass it over for a while.

        :param is_loss: whether the target seems to be gone, which puts its
            failure domain in doubt.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            evidence = self._of(target)
            evidence.failure_count += 1
            span_s = min(
                LONGEST_EJECTION_S,
                EJECTION_S * 2 ** (evidence.failure_count - 1),
            )
            evidence.ejected_until_s = now_s + span_s
            if is_loss:
                self._doubts.record_loss(target, now_s)
        kind = state.OutcomeKind.ERROR
        if is_loss:
            self._fleet.note_lost_target(target.name)
            kind = state.OutcomeKind.CONNECTION_LOST
        self._moves.record_outcome(target, route, kind)
        self._log.record(
            _events.TargetPassedOver(target.name, cause, round(span_s * 1000))
        )

    def report_timeout(
        self, target: data.ListedTarget, route: str, sent_at_s: float
    ) -> None:
        """Note that a request got no answer within its time.

        A target that answered other requests meanwhile is not passed over:
        the route may allow less time than its requests need.
        """
        with self._lock:
            evidence = self._of(target)
            is_hanging = evidence.last_seen_at_s <= sent_at_s
            if not is_hanging:
                evidence.record_response(is_error=True)
        if not is_hanging:
            self._moves.record_outcome(target, route, state.OutcomeKind.SILENT)
            return
        self.report_failure(target, route, 'no answer in time', is_loss=False)

    def report_suspicion(self, name: str) -> None:
        """Take over that another instance found a target lost."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            target = self._targets.get(name)
            if target is None:
                return
            evidence = self._of(target)
            if now_s - evidence.sampled_at_s < RUMOUR_DISPROOF_S:
                return
            until_s = now_s + EJECTION_S
            evidence.ejected_until_s = max(evidence.ejected_until_s, until_s)
            evidence.suspected_at_s = now_s
            self._doubts.record_loss(target, now_s)
        self._log.record(_events.TargetSuspected(name))

    def is_unavailable(self, target: data.ListedTarget) -> bool:
        """Return whether the target is gone or failed a moment ago."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if target.name not in self._targets:
                return True
            return now_s < self._of(target).ejected_until_s

    def suspected_at_s(self, target: data.ListedTarget) -> float:
        """Return when another instance last found the target lost."""
        with self._lock:
            return self._of(target).suspected_at_s

    def report_connection_refused(
        self, target: data.ListedTarget, route: str, cause: str
    ) -> None:
        """Note that nothing listens at the target's address."""
        self.report_failure(target, route, cause, is_loss=True)
        with self._lock:
            self._eject(target.name, DOWN_EJECTION_S)

    def report_gone(self, name: str) -> None:
        """Take over that another target has a target's address."""
        with self._lock:
            # It never comes back under the same entry.
            self._eject(name, math.inf)

    def report_misdirected(self, target: data.ListedTarget) -> None:
        """Note that another target has the address."""
        self.report_gone(target.name)
        self._fleet.note_gone_target(target.name)
        self._log.record(_events.TargetMisdirected(target.name))

    def choose_for_call(
        self,
        service: str,
        passed_over: frozenset[str],
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> data.ListedTarget | None:
        """Return the target with the shortest expected time, or None."""
        with self._lock:
            candidates = self._usable(service, passed_over, rule)
            if not candidates:
                return None
            return min(candidates, key=self._expected_ms)

    def choose_engines(
        self,
        service: str,
        request: data.FrontRequest,
        passed: frozenset[str],
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> _engine_selection.EnginePair | None:
        """Return the engine for a run and the one for its copy.

        A run that goes on for a caller that came back is sent where it was,
        since that engine still keeps the prompt.
        """
        subject = _engine_selection.affinity_key_of(request)
        loads = self._fleet.loads()
        place = None
        if request.last_event_id is not None:
            place = self._fleet.find_place(subject)
        with self._lock:
            serving = _engine_selection.filter_by_model(
                self._usable(service, passed, rule), request.model
            )
            if not serving:
                return None
            primary = _engine_selection.choose_least_loaded(serving, loads)
            for target in serving:
                if place is None or target.name != place.notice.engine:
                    continue
                lead = loads.get(target.name, 0.0)
                if lead - loads.get(primary.name, 0.0) < RETURN_LOAD_LIMIT:
                    primary = target
            return _engine_selection.EnginePair(
                primary,
                _engine_selection.choose_standby(serving, primary, loads),
            )

    def choose_standby(
        self,
        service: str,
        primary: data.ListedTarget,
        model: str | None,
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> data.ListedTarget | None:
        """Return an engine for the copy of a run at the primary."""
        loads = self._fleet.loads()
        with self._lock:
            candidates = _engine_selection.filter_by_model(
                self._usable(service, frozenset((primary.name,)), rule),
                model,
            )
            return _engine_selection.choose_standby(candidates, primary, loads)

    def _put(self, target: data.ListedTarget) -> None:
        held = self._targets.get(target.name)
        self._lapsed.pop(target.name, None)
        self._targets[target.name] = target
        if held == target:
            return
        if held is not None and held.started_at_ms != target.started_at_ms:
            # A new process under the name; nothing is known about it.
            self._evidence.pop(target.name, None)
        if held is None:
            self._moves.record_listed_version(
                target.service, target.version, not self.is_synced.is_set()
            )
            self._of(target).listed_at_s = self._clock.monotonic_s()
            self._log.record(
                _events.TargetKnown(
                    target.name,
                    target.service,
                    str(target.endpoint),
                    target.version,
                )
            )
        elif target.is_leaving and not held.is_leaving:
            self._log.record(_events.TargetLeaving(target.name))

    def _remove(self, name: str, now_s: float) -> None:
        if now_s < self._lapse_grace_until_s:
            self._lapsed.setdefault(name, self._lapse_grace_until_s)
            return
        del self._targets[name]
        self._evidence.pop(name, None)
        self._lapsed.pop(name, None)
        self._log.record(_events.TargetRemoved(name))

    def _drop_lapsed(self) -> None:
        now_s = self._clock.monotonic_s()
        for name, until_s in list(self._lapsed.items()):
            if now_s >= until_s:
                self._remove(name, now_s)

    def _eject(self, name: str, span_s: float) -> None:
        target = self._targets.get(name)
        if target is None:
            return
        evidence = self._of(target)
        until_s = self._clock.monotonic_s() + span_s
        evidence.ejected_until_s = max(evidence.ejected_until_s, until_s)

    def _usable(
        self,
        service: str,
        passed_over: frozenset[str],
        rule: _version_rules.VersionRule,
    ) -> list[data.ListedTarget]:
        if self._lapsed:
            self._drop_lapsed()
        now_s = self._clock.monotonic_s()
        sound = []
        doubtful = []
        ejected = []
        for target in self._targets.values():
            if target.service != service or target.is_leaving:
                continue
            if target.name in passed_over or target.version in rule.excluded:
                continue
            if now_s < self._of(target).ejected_until_s:
                ejected.append(target)
                continue
            if self._doubts.is_suspect(target, self._of(target), now_s):
                doubtful.append(target)
                continue
            sound.append(target)
        if rule.preferred is not None:
            preferred = []
            for target in sound:
                if target.version == rule.preferred:
                    preferred.append(target)
            if preferred:
                return preferred
        return sound or doubtful or ejected

    def _of(self, target: data.ListedTarget) -> _target_stats.TargetStats:
        evidence = self._evidence.get(target.name)
        if evidence is None:
            evidence = _target_stats.TargetStats()
            self._evidence[target.name] = evidence
        return evidence

    def _expected_ms(self, target: data.ListedTarget) -> float:
        return _target_stats.expected_latency_ms(
            self._of(target),
            target,
            self._failure_domain,
            self._clock.monotonic_s(),
        )
