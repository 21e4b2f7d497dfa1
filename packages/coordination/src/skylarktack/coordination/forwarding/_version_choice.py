"""Choice of the versions to which a request may be sent during a move."""

from collections.abc import Callable
import math

from skylarktack import state
from skylarktack.coordination.forwarding import _exposure
from skylarktack.coordination.forwarding import _move_decisions
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _route_trials
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock

#: Interval at which the attempts on each route are counted for the choice.
TRIAL_COUNT_INTERVAL_S = 0.1


class VersionChoice:
    """Chooses by the state of the move; the owner serialises the calls."""

    def __init__(
        self,
        clock: Clock,
        limits: _exposure.ExposureLimits,
        draw: Callable[[], float],
    ) -> None:
        """Create a choice.

        :param draw: returns a random number from 0 to 1 for each request.
        """
        self._clock = clock
        self._limits = limits
        self._draw = draw
        self._canaries_from_s = -math.inf

    def hold_canaries(self, until_s: float) -> None:
        """Send canary requests to other versions until a monotonic time.

        Without eligible targets of these they are sent as before.
        """
        self._canaries_from_s = until_s

    def rule(
        self,
        move: _move_decisions.Move,
        others: _version_rules.VersionRule,
        topology: _move_evidence.AggregationTopology,
        route: str,
    ) -> _version_rules.VersionRule:
        """Return the rule of the next request.

        :param others: rule for versions other than that of the move.
        :param route: name of the request's route, or '' if it is not known.
        """
        version = move.order.to_version
        if move.is_called_off:
            return others.without(version)
        if move.order.phase is state.MovePhase.COMPLETED:
            return others.with_proven(version)
        if move.is_shifting:
            return others.preferring(version)
        if self._draw() < self._canary_share(move, topology, route):
            if self._clock.monotonic_s() < self._canaries_from_s:
                return others.avoiding(version)
            return others.preferring(version, is_canary=True)
        return others.without(version)

    def _canary_share(
        self,
        move: _move_decisions.Move,
        topology: _move_evidence.AggregationTopology,
        route: str,
    ) -> float:
        age_s = self._clock.monotonic_s() - move.began_at_s
        counts = move.evidence.exposure()
        share = _exposure.canary_share(
            self._limits,
            counts,
            topology.instance_count,
            age_s,
            move.order.duration_s,
        )
        trial = self._route_trials(move).get(route)
        if trial is None:
            return share
        return max(
            share,
            _exposure.trial_share(
                self._limits,
                counts,
                topology.instance_count,
                trial,
                age_s,
                move.order.duration_s,
            ),
        )

    def _route_trials(
        self, move: _move_decisions.Move
    ) -> dict[str, _route_trials.RouteTrial]:
        """Return the attempts by route, counted again at an interval."""
        now_s = self._clock.monotonic_s()
        if now_s >= move.route_trials_at_s + TRIAL_COUNT_INTERVAL_S:
            move.route_trials_at_s = now_s
            move.route_trials = _route_trials.route_trials(
                move.evidence.known_counts().rows, move.order.to_version
            )
        return move.route_trials
