"""Decisions on a move: its judgement, stop, shift of traffic and end."""

import dataclasses
import math
import threading

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _exposure
from skylarktack.coordination.forwarding import _move_events
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _restored_orders
from skylarktack.coordination.forwarding import _route_judging
from skylarktack.coordination.forwarding import _route_trials
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Fractions of a move's duration: no traffic shift begins before the first,
#: a shift begins at any exposure from the second on, and the move ends at the
#: third. Runs at the old version end with the move, so a shift should begin
#: early.
SHIFT_EARLIEST_FRACTION = 0.6
SHIFT_LATEST_FRACTION = 0.88
END_FRACTION = 0.92

#: Minimum time between the end of a move and its time limit, for recording
#: the last phase.
END_MARGIN_S = 1.0

#: Minimum number of successful attempts on the new version for a move to
#: be completed.
MIN_SUCCESS_COUNT = 8

#: Accepted probabilities of a wrong judgement of a good version. A version
#: that is only suspected is not completed.
JUDGE_LIMITS = _route_judging.JudgeLimits(
    rejection_probability=1e-4, suspicion_probability=0.05
)


@dataclasses.dataclass
class Move:
    """State of one move; updated with each request."""

    order: data.MoveOrder
    evidence: _move_evidence.MoveEvidence
    #: Monotonic time at which the first instance received the order.
    began_at_s: float
    unjudged_count: int = 0
    #: Whether the evidence has changed since the last judgement.
    has_new_evidence: bool = False
    #: Last judgement of this instance; None before the first.
    judgement: _route_judging.VersionJudgement | None = None
    is_shifting: bool = False
    stop_reason: str = ''
    due_phase: state.MovePhase | None = None
    due_since_s: float = 0.0
    #: Phase in the store. After a restore it may precede the phase of
    #: ``order``, which is the latest known one.
    stored_phase: state.MovePhase = state.MovePhase.PLANNED
    #: Attempts by route, and the monotonic time at which they were counted.
    route_trials: dict[str, _route_trials.RouteTrial] = dataclasses.field(
        default_factory=dict
    )
    route_trials_at_s: float = -math.inf

    @property
    def is_phase_lost(self) -> bool:
        """Return whether the store lacks the known phase."""
        return self.stored_phase is not self.order.phase

    def update(self, order: data.MoveOrder) -> None:
        """Replace the order by a newer one for the same version.

        Keeps the known phase if a restored store lacks it.
        """
        phase = order.phase
        is_first_of_era = order.position.era > self.order.position.era
        if is_first_of_era:
            # The delays by rank start again.
            self.due_phase = None
        if is_first_of_era or self.is_phase_lost:
            phase = _restored_orders.later_phase(self.order.phase, phase)
        self.order = dataclasses.replace(order, phase=phase)
        self.stored_phase = order.phase
        if phase is state.MovePhase.COMPLETED:
            # The targets of the old version stop, so an own stop ends here.
            self.stop_reason = ''

    @property
    def is_called_off(self) -> bool:
        """Return whether the new version was found bad."""
        if self.stop_reason:
            return True
        return self.order.phase is state.MovePhase.ROLLED_BACK

    @property
    def is_open(self) -> bool:
        """Return whether it is in progress or its end is not recorded."""
        return not self.order.has_ended or self.is_phase_lost


class MoveDecisions:
    """Decides on moves by their evidence; the owner serialises the calls."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        limits: _exposure.ExposureLimits,
        judge: moves.Judge,
    ) -> None:
        self._clock = clock
        self._log = log
        self._limits = limits
        self._judge = judge
        # Services whose stop or shift was decided here but not yet reported.
        self._unreported_services: set[str] = set()
        #: Set at each stop or shift that was decided here; the table sets it
        #: at a new order, and the driver clears it.
        self.has_updates = threading.Event()

    def take_updates(self) -> frozenset[str]:
        """Return and clear the services with an unreported stop or shift."""
        services = frozenset(self._unreported_services)
        self._unreported_services.clear()
        return services

    def age_s(self, move: Move) -> float:
        """Return the time since the first instance received the order.

        A restarted instance learns it from the reports of the others.
        """
        return self._clock.monotonic_s() - move.began_at_s

    def judge(self, move: Move) -> moves.Judgement:
        """Judge the new version by all known evidence; stop a bad one."""
        move.unjudged_count = 0
        move.has_new_evidence = False
        judgement = _route_judging.judge_version(
            self._judge,
            move.evidence.known_counts(),
            state.VersionName(move.order.to_version),
            JUDGE_LIMITS,
        )
        move.judgement = judgement
        if judgement.overall.bad and not move.stop_reason:
            self.stop(move, judgement.overall.reason)
        return judgement.overall

    def due_phase(self, move: Move) -> state.MovePhase:
        """Return the phase that the move should have now.

        Begins the shift of all traffic when it is due.
        """
        if move.stop_reason:
            return state.MovePhase.ROLLED_BACK
        age_s = self.age_s(move)
        duration_s = move.order.duration_s
        end_s = min(END_FRACTION * duration_s, duration_s - END_MARGIN_S)
        if age_s < SHIFT_EARLIEST_FRACTION * duration_s:
            if move.has_new_evidence and self.judge(move).bad:
                return state.MovePhase.ROLLED_BACK
            return state.MovePhase.SHIFTING
        judgement = self.judge(move)
        if judgement.bad:
            return state.MovePhase.ROLLED_BACK
        is_proven = not judgement.suspect and (
            judgement.success_count >= MIN_SUCCESS_COUNT
        )
        is_late = age_s >= SHIFT_LATEST_FRACTION * duration_s
        if is_proven and (
            is_late
            or _exposure.may_shift(
                self._limits, move.evidence.exposure(), age_s, duration_s
            )
        ):
            self.shift(move)
        if age_s < end_s:
            return state.MovePhase.SHIFTING
        if is_proven:
            if move.due_phase is not state.MovePhase.COMPLETED:
                self._log_judgement(move, state.MovePhase.COMPLETED)
            return state.MovePhase.COMPLETED
        self.stop(move, _reason_not_proven(move))
        return state.MovePhase.ROLLED_BACK

    def stop(
        self, move: Move, reason: str, is_own_decision: bool = True
    ) -> None:
        """Stop sending requests to the new version.

        :param is_own_decision: whether the peers have to learn of it.
        """
        move.stop_reason = reason
        move.is_shifting = False
        if is_own_decision:
            self._log_judgement(move, state.MovePhase.ROLLED_BACK)
        self._log.record(
            _move_events.MoveStopped(
                move.order.service, move.order.to_version, reason
            )
        )
        if is_own_decision:
            self._announce(move)

    def shift(self, move: Move, is_own_decision: bool = True) -> None:
        """Send all requests to the new version.

        :param is_own_decision: whether the peers have to learn of it.
        """
        if move.is_shifting:
            return
        move.is_shifting = True
        if is_own_decision:
            self._log_judgement(move, state.MovePhase.SHIFTING)
        self._log.record(
            _move_events.MoveShifting(
                move.order.service, move.order.to_version
            )
        )
        if is_own_decision:
            self._announce(move)

    def report(
        self, move: Move, instance: str, scope: data.MoveScope
    ) -> data.MoveReport:
        """Return the report of an instance on a move.

        The end of a move that a restored store lacks is reported too, for
        instances that have started since.

        :param scope: whose counts to report.
        """
        is_shifting = move.is_shifting
        stop_reason = move.stop_reason
        if move.order.phase is state.MovePhase.COMPLETED:
            is_shifting = True
            stop_reason = ''
        if move.order.phase is state.MovePhase.ROLLED_BACK:
            is_shifting = False
            stop_reason = stop_reason or 'The move was rolled back.'
        return data.MoveReport(
            instance=instance,
            service=move.order.service,
            to_version=move.order.to_version,
            scope=scope,
            counts=move.evidence.counts_of(scope),
            age_ms=int(1000 * self.age_s(move)),
            is_shifting=is_shifting,
            stop_reason=stop_reason,
        )

    def _announce(self, move: Move) -> None:
        self._unreported_services.add(move.order.service)
        self.has_updates.set()

    def _log_judgement(self, move: Move, phase: state.MovePhase) -> None:
        """Log the evidence on which a decision of this instance rests."""
        judgement = move.judgement
        if judgement is None:
            return
        counts = move.evidence.exposure()
        slow = judgement.slow_responses
        self._log.record(
            _move_events.MoveJudged(
                service=move.order.service,
                to_version=move.order.to_version,
                phase=phase.value,
                age_s=round(self.age_s(move), 2),
                instances=counts.member_count,
                requests=counts.request_count,
                sent=counts.sent_count,
                succeeded=judgement.overall.success_count,
                is_suspect=judgement.overall.suspect,
                slow_evidence=round(slow.log_evidence, 2),
                slow_responses=str(slow),
            )
        )


def _reason_not_proven(move: Move) -> str:
    judgement = move.judgement
    if judgement is not None and judgement.failing_route:
        return f'On route {judgement.failing_route}: no attempt succeeded.'
    return 'The evidence does not suffice.'
