"""Choice of the versions to which a request may be sent during a move."""

from collections.abc import Callable
import math

from skylarktack import state
from skylarktack.coordination.forwarding import _exposure
from skylarktack.coordination.forwarding import _move_decisions
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock


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
    ) -> _version_rules.VersionRule:
        """Return the rule of the next request.

        :param others: rule for versions other than that of the move.
        """
        version = move.order.to_version
        if move.is_called_off:
            return others.without(version)
        if move.order.phase is state.MovePhase.COMPLETED:
            return others.with_proven(version)
        if move.is_shifting:
            return others.preferring(version)
        if self._draw() < self._canary_share(move, topology):
            if self._clock.monotonic_s() < self._canaries_from_s:
                return others.avoiding(version)
            return others.preferring(version, is_canary=True)
        return others.without(version)

    def _canary_share(
        self,
        move: _move_decisions.Move,
        topology: _move_evidence.AggregationTopology,
    ) -> float:
        return _exposure.canary_share(
            self._limits,
            move.evidence.exposure(),
            topology.instance_count,
            self._clock.monotonic_s() - move.began_at_s,
            move.order.duration_s,
        )
