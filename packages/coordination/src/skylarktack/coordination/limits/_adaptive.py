"""Adaptive concurrency: how many requests one target may hold from here."""

from collections.abc import Sequence
import dataclasses
import threading

from skylarktack import state

#: Time to the first token, in multiples of its baseline, above which a
#: target counts as overloaded.
OVERLOAD_FACTOR = 3.0

#: Times to the first token below this are never an overload.
OVERLOAD_FLOOR_MS = 300.0

#: Part of the limit that is left after an overload.
DECREASE = 0.9

#: Share by which the baseline follows a slower request; a faster one is
#: followed at once, so that the baseline stays near the unloaded time.
BASELINE_RISE = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Limit of one target."""

    #: Requests of this instance that the target may hold.
    limit: float

    #: Time to the first token without load, or None if unknown.
    baseline_ms: float | None = None


class AdaptiveLimits:
    """Owner of the limits: additive increase, multiplicative decrease."""

    def __init__(self, settings: state.RoutingSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._limits: dict[state.TargetName, AdaptiveLimit] = {}

    def limit(self, target: state.TargetName) -> float:
        """Return the requests of this instance that a target may hold."""
        known = self._limits.get(target)
        if known is None:
            return self._settings.concurrency_start_count
        return known.limit

    def forget(self, targets: Sequence[state.TargetName]) -> None:
        """Drop the limits of targets that are gone."""
        with self._lock:
            for name in targets:
                self._limits.pop(name, None)

    def observe(
        self, outcome: state.TargetOutcome, in_flight_count: int
    ) -> None:
        """Move the limit by one finished attempt.

        :param in_flight_count: requests that the target held from here.
        """
        with self._lock:
            known = self._limits.get(
                outcome.target,
                AdaptiveLimit(float(self._settings.concurrency_start_count)),
            )
            self._limits[outcome.target] = self._moved(
                known, outcome, in_flight_count
            )

    def _moved(
        self,
        known: AdaptiveLimit,
        outcome: state.TargetOutcome,
        in_flight_count: int,
    ) -> AdaptiveLimit:
        if outcome.kind is state.OutcomeKind.REFUSED:
            return self._lowered(known, in_flight_count)
        time_ms = outcome.first_token_ms
        if time_ms is None:
            return known
        baseline_ms = known.baseline_ms
        if baseline_ms is None or time_ms < baseline_ms:
            baseline_ms = time_ms
        else:
            baseline_ms += BASELINE_RISE * (time_ms - baseline_ms)
        known = AdaptiveLimit(known.limit, baseline_ms)
        overload_ms = max(OVERLOAD_FLOOR_MS, OVERLOAD_FACTOR * baseline_ms)
        if time_ms > overload_ms:
            return self._lowered(known, in_flight_count)
        if in_flight_count * 2 < known.limit:
            # A limit that is not used proves nothing.
            return known
        ceiling = float(self._settings.concurrency_ceiling_count)
        raised = min(ceiling, known.limit + 1 / known.limit)
        return AdaptiveLimit(raised, known.baseline_ms)

    def _lowered(
        self, known: AdaptiveLimit, in_flight_count: int
    ) -> AdaptiveLimit:
        floor = float(self._settings.concurrency_floor_count)
        # Below a limit that is far from reached, a decrease would have no
        # effect for long.
        start = min(known.limit, float(max(in_flight_count, 1)) * 2)
        return AdaptiveLimit(max(floor, start * DECREASE), known.baseline_ms)
