"""The table of moves of services to other versions, and their traffic.

A move is a planned rollout of a service from one version to another. While
it is judged, the new version gets a small share of the requests, bounded
by the exposure allowed to all instances together. Each instance counts its
own outcomes and those that others report. It stops sending requests to a
version as soon as the evidence shows it to be bad, even if another instance
drives the move.
"""

from collections.abc import Callable
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
from skylarktack.coordination.forwarding import _restored_orders
from skylarktack.coordination.forwarding import _version_choice
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
        self._decisions = _move_decisions.MoveDecisions(
            clock, log, limits, judge
        )
        self._choice = _version_choice.VersionChoice(clock, limits, draw)
        self._lock = threading.Lock()
        self._moves: dict[str, _move_decisions.Move] = {}
        #: Versions whose move has begun, to be kept beyond a restart.
        self.trials = _version_trials.VersionTrials(clock, log)
        self._versions = _version_rules.KnownVersions()
        self._held = _restored_orders.HeldChanges(clock, self._versions)
        # Whether the next list is the first one after a restore.
        self._follows_restore = False
        self._topology = _move_evidence.AggregationTopology()
        self._fleet_aggregate = _move_evidence.FleetAggregate()
        #: Set once the orders have been read for the first time.
        self.is_synced = threading.Event()
        #: Set at each new order and at each stop or shift that was decided
        #: here; the driver clears it.
        self.has_updates = self._decisions.has_updates

    def replace(self, changes: tuple[data.MoveChange, ...]) -> None:
        """Replace all orders by a complete list."""
        with self._lock:
            follows_restore = self._follows_restore
            self._follows_restore = False
            missing = dict(self._moves)
            for change in changes:
                if change.order is not None:
                    missing.pop(change.service, None)
                    self._apply_change(change, is_from_list=True)
            for service, move in missing.items():
                change = data.MoveChange(service, None)
                if follows_restore or self._held.has(service):
                    self._hold(move, change)
                    continue
                self._apply_change(change, is_from_list=True)

    def apply(self, change: data.MoveChange) -> None:
        """Apply a change of one service's order."""
        with self._lock:
            self._apply_change(change)

    def record_restore(self) -> None:
        """Record that the next list is that of a restored store.

        It may lack the newest order of a service until the operator has
        written it again.
        """
        with self._lock:
            self._follows_restore = True
            self._held.clear()

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

    def choose_versions(
        self, service: str, route: str = ''
    ) -> _version_rules.VersionRule:
        """Return the versions to which the next request may be sent.

        Counts the request, and chooses at random whether it is a canary.

        :param route: name of its route, so that each route is tried.
        """
        with self._lock:
            self._apply_due_changes()
            move = self._moves.get(service)
            rule = self._rule_beside_move(service)
            if move is None:
                return rule
            move.evidence.count_request()
            return self._choice.rule(move, rule, self._topology, route)

    def _rule_beside_move(self, service: str) -> _version_rules.VersionRule:
        """Return the rule for versions other than that of the move."""
        move = self._moves.get(service)
        ordered = None if move is None else move.order.to_version
        excluded = self._versions.excluded(
            service,
            self.is_synced.is_set() and self.trials.is_read.is_set(),
            self._clock.monotonic_s(),
        )
        called_off = self.trials.last_resort(service, ordered)
        return _version_rules.VersionRule(
            excluded=excluded,
            last_resort=called_off | self._versions.last_resort(service),
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
            row = _move_evidence.row_of(target, kind, latency_ms, is_counted)
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
            if move is None:
                self._versions.record_reported(report, now_s)
                return
            if move.order.to_version != report.to_version:
                return
            move.evidence.merge(report)
            move.has_new_evidence = True
            if report.scope is data.MoveScope.FLEET:
                self._fleet_aggregate = _move_evidence.FleetAggregate(
                    report.instance, now_s
                )
            began_at_s = now_s - report.age_ms / 1000
            move.began_at_s = min(move.began_at_s, began_at_s)
            if move.order.has_ended:
                return
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

    def hold_canaries(self, until_s: float) -> None:
        """Try no version before a monotonic time; see ``VersionChoice``."""
        with self._lock:
            self._choice.hold_canaries(until_s)

    def reports(
        self,
        instance: str,
        scope: data.MoveScope = data.MoveScope.INSTANCE,
    ) -> tuple[data.MoveReport, ...]:
        """Return a report on each open move; see ``Move.is_open``.

        :param scope: whose counts to report.
        """
        found = []
        with self._lock:
            for move in self._moves.values():
                if move.is_open:
                    found.append(self._decisions.report(move, instance, scope))
        return tuple(found)

    def decide(self, service: str) -> state.MovePhase | None:
        """Return the phase that should be recorded, or None if none is due.

        Begins the shift of all traffic when it is due.
        """
        with self._lock:
            move = self._moves.get(service)
            if move is None or not move.is_open:
                return None
            phase: state.MovePhase | None = move.order.phase
            if not move.order.has_ended:
                phase = self._decisions.due_phase(move)
            if phase is move.stored_phase or self._held.has(service):
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
            last = self._fleet_aggregate
            return last.sender in senders and last.arrived_at_s >= since_s

    def order_of(self, service: str) -> data.MoveOrder | None:
        """Return the newest order for a service, or None."""
        with self._lock:
            move = self._moves.get(service)
            return None if move is None else move.order

    def open_services(self) -> tuple[str, ...]:
        """Return the services with an open move; see ``Move.is_open``."""
        found = []
        with self._lock:
            self._apply_due_changes()
            for service, move in self._moves.items():
                if move.is_open:
                    found.append(service)
        return tuple(found)

    def _apply_due_changes(self) -> None:
        """Apply changes that were held after a restore for long enough."""
        for change in self._held.take_due():
            self._apply_change(change, has_waited=True)

    def _apply_change(
        self,
        change: data.MoveChange,
        has_waited: bool = False,
        is_from_list: bool = False,
    ) -> None:
        """Apply a change of one service's order.

        :param has_waited: whether it was held for its time, so that also an
            order that the copy may have brought back is applied.
        :param is_from_list: whether changes before it may not have been seen.
        """
        order = change.order
        current = self._moves.get(change.service)
        if current is not None and order is not None:
            if order.position < current.order.position:
                return
            if order.to_version == current.order.to_version:
                self._update(current, order)
                return
            if not has_waited and self._held.is_from_copy(
                order, current.order
            ):
                self._hold(current, change)
                return
        self._held.discard(change.service)
        if current is not None:
            self._versions.record_order_gone(
                current.order, is_from_list and not current.is_called_off
            )
        if order is None:
            self._moves.pop(change.service, None)
            return
        self._begin(order)

    def _begin(self, order: data.MoveOrder) -> None:
        self._moves[order.service] = _move_decisions.Move(
            order,
            _move_evidence.MoveEvidence(self._topology),
            self._clock.monotonic_s(),
            stored_phase=order.phase,
        )
        self._versions.record_order(order)
        if not order.has_ended:
            self.trials.record_begun(order.service, order.to_version)
            self.has_updates.set()
        self._record_phase(order)

    def _update(
        self, current: _move_decisions.Move, order: data.MoveOrder
    ) -> None:
        """Apply an order for the version of the current one.

        Within one era, an order without an end that follows an ended one
        begins a new move. After a restore the known phase is kept, since the
        store may have lost it.
        """
        known = current.order
        is_first_of_era = order.position.era > known.position.era
        was_lost = current.is_phase_lost
        if is_first_of_era:
            self._held.discard(order.service)
        elif not was_lost and known.has_ended and not order.has_ended:
            self._begin(order)
            return
        current.update(order)
        phase = current.order.phase
        names = (order.service, order.to_version, phase.value)
        if phase is not known.phase:
            self._record_phase(current.order)
        elif was_lost and not current.is_phase_lost:
            self._log.record(_move_events.MoveRecordedAgain(*names))
        if is_first_of_era and current.is_phase_lost:
            self._log.record(
                _move_events.MovePhaseLost(*names, order.phase.value)
            )
            self.has_updates.set()

    def _hold(
        self, current: _move_decisions.Move, change: data.MoveChange
    ) -> None:
        """Keep the known order although the restored store lacks it."""
        current.stored_phase = state.MovePhase.PLANNED
        if self._held.hold(change):
            self._log.record(
                _move_events.MoveOrderKept(
                    change.service, current.order.to_version
                )
            )
            self.has_updates.set()

    def _record_phase(self, order: data.MoveOrder) -> None:
        if order.phase is state.MovePhase.ROLLED_BACK:
            self._versions.reject(order.service, order.to_version)
        if order.phase is state.MovePhase.COMPLETED:
            self._versions.admit(order.service, order.to_version)
            self.trials.record_completed(order.service, order.to_version)
        self._log.record(
            _move_events.MoveRecorded(
                order.service, order.to_version, order.phase.value
            )
        )
