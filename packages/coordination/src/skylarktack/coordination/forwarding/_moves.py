"""Planned moves of a service to another version: share, evidence, verdict.

While a move is judged, the new version gets a small share of the requests,
bounded by the exposure that all instances together may cause. Each instance
counts its own outcomes and those that the others report, and stops sending
to a version as soon as the evidence condemns it, whoever drives the move.
"""

from collections.abc import Callable
import dataclasses
import math
import random
import threading

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _exposure
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _route_judging
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Parts of a move's time: before the first no shift begins, from the second
#: on it begins whatever the exposure, at the third the move ends. Runs at
#: the old version end with the move, so a shift should begin early.
SHIFT_EARLIEST_SHARE = 0.6
SHIFT_LATEST_SHARE = 0.88
END_SHARE = 0.92

#: Least time between the end of a move and its limit, for the last write.
END_MARGIN_S = 1.0

#: Successful attempts on the new version without which a move is not
#: completed.
JUDGED_COUNT = 8

#: Attempts on the new version between two judgements without a failure.
JUDGE_EVERY_COUNT = 8

#: Chance that the evidence rejects a good version.
REJECTION_PROBABILITY = 1e-4


@dataclasses.dataclass
class _Move:
    """A move under way; changes with each request."""

    order: data.MoveOrder
    evidence: _move_evidence.MoveEvidence
    #: Time at which the first instance saw the order.
    began_at_s: float
    unjudged_count: int = 0
    is_shifting: bool = False
    stop_reason: str = ''
    due_phase: state.MovePhase | None = None
    due_since_s: float = 0.0


class MoveTable:
    """Moves of all services as this instance knows them."""

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
        self._judge = judge
        self._draw = draw
        self._lock = threading.Lock()
        self._moves: dict[str, _Move] = {}
        self._versions = _version_rules.KnownVersions()
        self._layout = _move_evidence.AggregationTopology()
        # Who last sent a sum for the fleet, and when.
        self._fleet_sum_sender = ''
        self._fleet_sum_at_s = -math.inf
        #: Set once the orders were read for the first time.
        self.is_synced = threading.Event()
        # Services with a stop or a shift that was decided here.
        self._news: set[str] = set()
        #: Set at each new order, stop and shift; the driver clears it.
        self.has_updates = threading.Event()

    def replace(self, changes: tuple[data.MoveChange, ...]) -> None:
        """Take over all orders."""
        with self._lock:
            listed = {change.service for change in changes}
            for service in list(self._moves):
                if service not in listed:
                    self._take(data.MoveChange(service, None))
            for change in changes:
                self._take(change)

    def apply(self, change: data.MoveChange) -> None:
        """Take over one change."""
        with self._lock:
            self._take(change)

    def record_listed_version(
        self, service: str, version: str, is_first_list: bool
    ) -> None:
        """Note that a target of a version was listed."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._versions.note(service, version, is_first_list, now_s)

    def choose_versions(self, service: str) -> _version_rules.VersionRule:
        """Return which versions the next request may be sent to."""
        with self._lock:
            move = self._moves.get(service)
            excluded = self._versions.excluded(
                service, self.is_synced.is_set(), self._clock.monotonic_s()
            )
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
                self._layout.instance_count,
                self._age_s(move),
                move.order.duration_s,
            )
            if self._draw() < share:
                return _version_rules.VersionRule(
                    version, excluded - {version}, True
                )
            return _version_rules.VersionRule(None, excluded | {version})

    def record_send(self, target: data.ListedTarget) -> None:
        """Note that a request is sent to a target."""
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
        """Take in how an attempt went.

        :param route: name of the request's route.
        :param is_counted: whether it counts as an attempt; the end of a
            stream does not, since its first event did.
        """
        with self._lock:
            move = self._moves.get(target.service)
            if move is None or move.order.has_ended or move.stop_reason:
                return
            row = _row_of(target, kind, latency_ms, is_counted)
            move.evidence.add(data.RouteEvidence(route, row))
            if target.version != move.order.to_version:
                return
            move.unjudged_count += 1
            is_success = kind is state.OutcomeKind.SUCCESS
            if is_success and move.unjudged_count < JUDGE_EVERY_COUNT:
                return
            self._judge_move(move)

    def apply_report(self, report: data.MoveReport) -> None:
        """Take over what another instance has seen."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            move = self._moves.get(report.service)
            if move is None or move.order.to_version != report.to_version:
                return
            move.evidence.take(report)
            if report.scope is data.MoveScope.FLEET:
                self._fleet_sum_sender = report.instance
                self._fleet_sum_at_s = now_s
            began_at_s = now_s - report.age_ms / 1000
            move.began_at_s = min(move.began_at_s, began_at_s)
            # The sender tells it to all, so it is no news from here.
            if report.stop_reason and not move.stop_reason:
                self._stop(move, report.stop_reason, is_news=False)
            if report.is_shifting and not move.stop_reason:
                self._shift(move, is_news=False)

    def set_layout(self, layout: _move_evidence.AggregationTopology) -> None:
        """Take over who sums whose counts."""
        with self._lock:
            self._layout = layout
            for move in self._moves.values():
                move.evidence.set_layout(layout)

    def reports(
        self,
        instance: str,
        scope: data.MoveScope = data.MoveScope.INSTANCE,
    ) -> tuple[data.MoveReport, ...]:
        """Return what is known here of each move under way.

        :param scope: whose counts to tell.
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
                        age_ms=int(1000 * self._age_s(move)),
                        is_shifting=move.is_shifting,
                        stop_reason=move.stop_reason,
                    )
                )
        return tuple(found)

    def decide(self, service: str) -> state.MovePhase | None:
        """Return the phase that should be recorded, or None if none is due.

        Begins the shift of all traffic when its time has come.
        """
        with self._lock:
            move = self._moves.get(service)
            if move is None or move.order.has_ended:
                return None
            phase: state.MovePhase | None = self._due_phase(move)
            if phase is move.order.phase:
                phase = None
            if phase is not move.due_phase:
                move.due_phase = phase
                move.due_since_s = self._clock.monotonic_s()
            return phase

    def due_for_s(self, service: str) -> float:
        """Return for how long the same phase has been due."""
        with self._lock:
            move = self._moves.get(service)
            if move is None or move.due_phase is None:
                return 0.0
            return self._clock.monotonic_s() - move.due_since_s

    def take_news(self) -> frozenset[str]:
        """Return the services with a stop or shift that nobody was told."""
        with self._lock:
            news = frozenset(self._news)
            self._news.clear()
            return news

    def has_fleet_sum(self, senders: tuple[str, ...], since_s: float) -> bool:
        """Return whether one of the senders sent the last fleet's sum.

        :param since_s: monotonic time before which it no longer counts.
        """
        with self._lock:
            is_of_sender = self._fleet_sum_sender in senders
            return is_of_sender and self._fleet_sum_at_s >= since_s

    def order_of(self, service: str) -> data.MoveOrder | None:
        """Return the newest order for a service."""
        with self._lock:
            move = self._moves.get(service)
            return None if move is None else move.order

    def open_services(self) -> tuple[str, ...]:
        """Return the services with a move under way."""
        found = []
        with self._lock:
            for service, move in self._moves.items():
                if not move.order.has_ended:
                    found.append(service)
        return tuple(found)

    def _take(self, change: data.MoveChange) -> None:
        order = change.order
        held = self._moves.get(change.service)
        is_same = (
            held is not None
            and order is not None
            and held.order.to_version == order.to_version
        )
        if held is not None and not is_same:
            if held.order.phase is not state.MovePhase.COMPLETED:
                # A move that was called off has proven nothing.
                self._versions.reject(change.service, held.order.to_version)
        if order is None:
            self._moves.pop(change.service, None)
            return
        if held is not None and is_same:
            if order.revision < held.order.revision:
                return
            is_again = held.order.has_ended and not order.has_ended
            if not is_again:
                if order.phase is not held.order.phase:
                    self._note_phase(order)
                held.order = order
                return
        self._moves[change.service] = _Move(
            order,
            _move_evidence.MoveEvidence(self._layout),
            self._clock.monotonic_s(),
        )
        if not order.has_ended:
            self._versions.restore(change.service, order.to_version)
            self.has_updates.set()
        self._note_phase(order)

    def _note_phase(self, order: data.MoveOrder) -> None:
        if order.phase is state.MovePhase.ROLLED_BACK:
            self._versions.reject(order.service, order.to_version)
        self._log.record(
            _events.MoveRecorded(
                order.service, order.to_version, order.phase.value
            )
        )

    def _age_s(self, move: _Move) -> float:
        """Return the time since any instance saw the order.

        An instance that restarts learns it from the others.
        """
        return self._clock.monotonic_s() - move.began_at_s

    def _judge_move(self, move: _Move) -> moves.Judgement:
        move.unjudged_count = 0
        judged = _route_judging.judge_routes(
            self._judge,
            move.evidence.rows(),
            state.VersionName(move.order.to_version),
            REJECTION_PROBABILITY,
        )
        if judged.bad and not move.stop_reason:
            self._stop(move, judged.reason)
        return judged

    def _stop(self, move: _Move, reason: str, is_news: bool = True) -> None:
        move.stop_reason = reason
        move.is_shifting = False
        self._log.record(
            _events.MoveStopped(
                move.order.service, move.order.to_version, reason
            )
        )
        if is_news:
            self._news.add(move.order.service)
            self.has_updates.set()

    def _shift(self, move: _Move, is_news: bool = True) -> None:
        if move.is_shifting:
            return
        move.is_shifting = True
        self._log.record(
            _events.MoveShifting(move.order.service, move.order.to_version)
        )
        if is_news:
            self._news.add(move.order.service)
            self.has_updates.set()

    def _due_phase(self, move: _Move) -> state.MovePhase:
        if move.stop_reason:
            return state.MovePhase.ROLLED_BACK
        age_s = self._age_s(move)
        duration_s = move.order.duration_s
        end_s = min(END_SHARE * duration_s, duration_s - END_MARGIN_S)
        if age_s < SHIFT_EARLIEST_SHARE * duration_s:
            return state.MovePhase.SHIFTING
        judged = self._judge_move(move)
        if judged.bad:
            return state.MovePhase.ROLLED_BACK
        is_proven = not judged.suspect and (
            judged.success_count >= JUDGED_COUNT
        )
        is_late = age_s >= SHIFT_LATEST_SHARE * duration_s
        if is_proven and (
            is_late
            or _exposure.may_shift(
                self._limits, move.evidence.exposure(), age_s, duration_s
            )
        ):
            self._shift(move)
        if age_s < end_s:
            return state.MovePhase.SHIFTING
        if is_proven:
            return state.MovePhase.COMPLETED
        self._stop(move, 'The evidence does not suffice.')
        return state.MovePhase.ROLLED_BACK


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
