"""The table of moves of services to other versions, and their traffic.

A move is a planned rollout of a service from one version to another. While
it is judged, the new version gets a small share of the requests, bounded
by the exposure allowed to all instances together. Each instance counts its
own outcomes and those that others report. It stops sending requests to a
version as soon as the evidence shows it to be bad, even if another instance
drives the move.
"""

from collections.abc import Callable
import math
import random
import threading

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _exposure
from skylarktack.coordination.forwarding import _latency_classes
from skylarktack.coordination.forwarding import _move_decisions
from skylarktack.coordination.forwarding import _move_events
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.forwarding import _version_trials
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Number of attempts on the new version, all successful, between two
#: judgements; a failed attempt is judged at once.
JUDGE_INTERVAL_COUNT = 8


class MoveTable:
    """Moves of all services, as known to this instance."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        limits: _exposure.ExposureLimits,
        judge: moves.Judge,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._log = log
        self._limits = limits
        self._decisions = _move_decisions.MoveDecisions(
            clock, log, limits, judge
        )
        self._draw = draw
        self._lock = threading.Lock()
        self._moves: dict[str, _move_decisions.Move] = {}
        #: Versions whose move has begun, to be kept beyond a restart.
        self.trials = _version_trials.VersionTrials(clock, log)
        self._versions = _version_rules.KnownVersions()
        self._topology = _move_evidence.AggregationTopology()
        # Sender and arrival time of the last aggregate for the fleet.
        self._fleet_aggregate_sender = ''
        self._fleet_aggregate_at_s = -math.inf
        #: Set once the orders have been read for the first time.
        self.is_synced = threading.Event()
        #: Set at each new order and at each stop or shift that was decided
        #: here; the driver clears it.
        self.has_updates = self._decisions.has_updates

    def replace(self, changes: tuple[data.MoveChange, ...]) -> None:
        """Replace all orders by a complete list."""
        with self._lock:
            listed = {change.service for change in changes}
            for service in list(self._moves):
                if service not in listed:
                    self._apply_change(data.MoveChange(service, None))
            for change in changes:
                self._apply_change(change)

    def apply(self, change: data.MoveChange) -> None:
        """Apply a change of one service's order."""
        with self._lock:
            self._apply_change(change)

    def record_listed_version(
        self, service: str, version: str, is_first_list: bool
    ) -> None:
        """Record that a target of a version was listed.

        :param is_first_list: whether it belongs to the first list of targets
            since the start; its versions may be older than this instance.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._versions.record_listed(
                service, version, is_first_list, now_s
            )

    def choose_versions(self, service: str) -> _version_rules.VersionRule:
        """Return the versions to which the next request may be sent.

        Counts the request, and chooses at random whether it is a canary.
        """
        with self._lock:
            move = self._moves.get(service)
            excluded = self._excluded(service)
            if move is None:
                return (
                    _version_rules.VersionRule(None, excluded)
                    if excluded
                    else _version_rules.ANY_VERSION
                )
            version = move.order.to_version
            move.evidence.count_request()
            if move.stop_reason:
                return _version_rules.VersionRule(None, excluded | {version})
            if move.order.phase is state.MovePhase.ROLLED_BACK:
                return _version_rules.VersionRule(None, excluded | {version})
            is_complete = move.order.phase is state.MovePhase.COMPLETED
            if is_complete or move.is_shifting:
                return _version_rules.VersionRule(
                    version, excluded - {version}
                )
            share = _exposure.canary_share(
                self._limits,
                move.evidence.exposure(),
                self._topology.instance_count,
                self._decisions.age_s(move),
                move.order.duration_s,
            )
            if self._draw() < share:
                return _version_rules.VersionRule(
                    version, excluded - {version}, True
                )
            return _version_rules.VersionRule(None, excluded | {version})

    def _excluded(self, service: str) -> frozenset[str]:
        """Return the versions that get no request, whatever its order."""
        move = self._moves.get(service)
        return self._versions.excluded(
            service,
            self.is_synced.is_set() and self.trials.is_read.is_set(),
            self._clock.monotonic_s(),
        ) | self.trials.excluded(
            service,
            self._versions.listed(service),
            None if move is None else move.order.to_version,
        )

    def has_versions_on_trial(self) -> bool:
        """Return whether a service may have a version that is not proven."""
        with self._lock:
            if self._versions.has_service_with_several():
                return True
            return any(
                not move.order.has_ended for move in self._moves.values()
            )

    def record_send(self, target: data.ListedTarget) -> None:
        """Count a request that is sent to a target of the new version."""
        with self._lock:
            move = self._moves.get(target.service)
            if move is not None and target.version == move.order.to_version:
                move.evidence.count_sent()

    def record_outcome(
        self,
        target: data.ListedTarget,
        route: str,
        kind: state.OutcomeKind,
        latency_ms: float | None = None,
        is_counted: bool = True,
    ) -> None:
        """Record the outcome of an attempt and judge the version if due.

        :param route: name of the request's route.
        :param is_counted: whether it counts as an attempt; the end of a
            stream does not, since its first event was counted.
        """
        with self._lock:
            move = self._moves.get(target.service)
            if move is None or move.order.has_ended or move.stop_reason:
                return
            row = _row_of(target, kind, latency_ms, is_counted)
            move.evidence.add(data.RouteEvidence(route, row))
            is_success = kind is state.OutcomeKind.SUCCESS
            if is_success and latency_ms is not None:
                move.evidence.add_latencies(
                    _latency_classes.histogram_of(
                        route, target.version, latency_ms, is_response=True
                    )
                )
            if target.version != move.order.to_version:
                return
            move.has_new_evidence = True
            move.unjudged_count += 1
            if is_success and move.unjudged_count < JUDGE_INTERVAL_COUNT:
                return
            self._decisions.judge(move)

    def record_abandoned(
        self, target: data.ListedTarget, route: str, waited_ms: float
    ) -> None:
        """Record that an attempt ended without waiting for its response.

        A retryable request that a slow version holds up is answered by
        another target, so that the slow responses themselves never arrive.
        """
        with self._lock:
            move = self._moves.get(target.service)
            if move is None or move.order.has_ended or move.stop_reason:
                return
            move.has_new_evidence = True
            move.evidence.add_latencies(
                _latency_classes.histogram_of(
                    route, target.version, waited_ms, is_response=False
                )
            )

    def apply_report(self, report: data.MoveReport) -> None:
        """Apply the counts and decisions that another instance reports."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            move = self._moves.get(report.service)
            if move is None or move.order.to_version != report.to_version:
                return
            move.evidence.merge(report)
            move.has_new_evidence = True
            if report.scope is data.MoveScope.FLEET:
                self._fleet_aggregate_sender = report.instance
                self._fleet_aggregate_at_s = now_s
            began_at_s = now_s - report.age_ms / 1000
            move.began_at_s = min(move.began_at_s, began_at_s)
            # The sender reports its decision to all instances itself.
            if report.stop_reason and not move.stop_reason:
                self._decisions.stop(
                    move, report.stop_reason, is_own_decision=False
                )
            if report.is_shifting and not move.stop_reason:
                self._decisions.shift(move, is_own_decision=False)

    def set_topology(
        self, topology: _move_evidence.AggregationTopology
    ) -> None:
        """Set which instances aggregate whose counts."""
        with self._lock:
            self._topology = topology
            for move in self._moves.values():
                move.evidence.set_topology(topology)

    def reports(
        self,
        instance: str,
        scope: data.MoveScope = data.MoveScope.INSTANCE,
    ) -> tuple[data.MoveReport, ...]:
        """Return a report on each move in progress.

        :param scope: whose counts to report.
        """
        found = []
        with self._lock:
            for service, move in self._moves.items():
                if move.order.has_ended:
                    continue
                found.append(
                    data.MoveReport(
                        instance=instance,
                        service=service,
                        to_version=move.order.to_version,
                        scope=scope,
                        counts=move.evidence.counts_of(scope),
                        age_ms=int(1000 * self._decisions.age_s(move)),
                        is_shifting=move.is_shifting,
                        stop_reason=move.stop_reason,
                    )
                )
        return tuple(found)

    def decide(self, service: str) -> state.MovePhase | None:
        """Return the phase that should be recorded, or None if none is due.

        Begins the shift of all traffic when it is due.
        """
        with self._lock:
            move = self._moves.get(service)
            if move is None or move.order.has_ended:
                return None
            phase: state.MovePhase | None = self._decisions.due_phase(move)
            if phase is move.order.phase:
                phase = None
            if phase is not move.due_phase:
                move.due_phase = phase
                move.due_since_s = self._clock.monotonic_s()
            return phase

    def due_for_s(self, service: str) -> float:
        """Return for how long the same phase has been due, or 0 if none is."""
        with self._lock:
            move = self._moves.get(service)
            if move is None or move.due_phase is None:
                return 0.0
            return self._clock.monotonic_s() - move.due_since_s

    def take_updates(self) -> frozenset[str]:
        """Return and clear the services with an unreported stop or shift."""
        with self._lock:
            return self._decisions.take_updates()

    def has_fleet_aggregate(
        self, senders: tuple[str, ...], since_s: float
    ) -> bool:
        """Return whether one of the senders sent the last fleet aggregate.

        :param since_s: earliest monotonic time at which it may have arrived.
        """
        with self._lock:
            is_from_sender = self._fleet_aggregate_sender in senders
            return is_from_sender and self._fleet_aggregate_at_s >= since_s

    def order_of(self, service: str) -> data.MoveOrder | None:
        """Return the newest order for a service, or None."""
        with self._lock:
            move = self._moves.get(service)
            return None if move is None else move.order

    def open_services(self) -> tuple[str, ...]:
        """Return the services with a move in progress."""
        found = []
        with self._lock:
            for service, move in self._moves.items():
                if not move.order.has_ended:
                    found.append(service)
        return tuple(found)

    def _apply_change(self, change: data.MoveChange) -> None:
        order = change.order
        current = self._moves.get(change.service)
        is_same = (
            current is not None
            and order is not None
            and current.order.to_version == order.to_version
        )
        if current is not None and not is_same:
            if current.order.phase is not state.MovePhase.COMPLETED:
                # A cancelled move has not shown that the version is good.
                self._versions.reject(change.service, current.order.to_version)
        if order is None:
            self._moves.pop(change.service, None)
            return
        if current is not None and is_same:
            if order.position < current.order.position:
                return
            is_restarted = current.order.has_ended and not order.has_ended
            if not is_restarted:
                if order.phase is not current.order.phase:
                    self._record_phase(order)
                current.order = order
                return
        self._moves[change.service] = _move_decisions.Move(
            order,
            _move_evidence.MoveEvidence(self._topology),
            self._clock.monotonic_s(),
        )
        if not order.has_ended:
            self._versions.restore(change.service, order.to_version)
            self.trials.record_begun(change.service, order.to_version)
            self.has_updates.set()
        self._record_phase(order)

    def _record_phase(self, order: data.MoveOrder) -> None:
        if order.phase is state.MovePhase.ROLLED_BACK:
            self._versions.reject(order.service, order.to_version)
        if order.phase is state.MovePhase.COMPLETED:
            self.trials.record_completed(order.service, order.to_version)
        self._log.record(
            _move_events.MoveRecorded(
                order.service, order.to_version, order.phase.value
            )
        )


def _row_of(
    target: data.ListedTarget,
    kind: state.OutcomeKind,
    latency_ms: float | None,
    is_counted: bool,
) -> state.EvidenceRow:
    is_lost = kind is state.OutcomeKind.CONNECTION_LOST
    is_error = not is_lost and kind is not state.OutcomeKind.SUCCESS
    return state.EvidenceRow(
        version=state.VersionName(target.version),
        failure_domain=state.FailureDomain(target.failure_domain),
        attempt_count=int(is_counted),
        error_count=int(is_error),
        lost_count=int(is_lost),
        lost_targets=(state.TargetName(target.name),) if is_lost else (),
        first_token=moves.latency_sums(latency_ms),
    )
