"""Adaptive concurrency limit of each target on this instance."""

from collections.abc import Sequence
import dataclasses
import threading

from skylarktack import state

#: A target counts as overloaded if its time to first token exceeds this
#: multiple of the baseline.
OVERLOAD_FACTOR = 3.0

#: A time to first token below this never counts as overload.
OVERLOAD_FLOOR_MS = 300.0

#: Factor applied to the limit on overload (multiplicative decrease).
DECREASE_FACTOR = 0.9

#: Smoothing factor with which the baseline rises towards slower requests. It
#: drops to the time of a faster request at once, so that it stays close to
#: the time without load.
BASELINE_SMOOTHING = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Concurrency limit of one target."""

    #: Maximum in-flight requests of this instance on the target.
    limit: float

    #: Time to first token without load, None before the first measurement.
    baseline_ms: float | None = None


class AdaptiveLimits:
    """Concurrency limits by additive increase, multiplicative decrease."""

    def __init__(self, settings: state.RoutingSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._limits: dict[state.TargetName, AdaptiveLimit] = {}

    def limit(self, target: state.TargetName) -> float:
        """Return the maximum in-flight requests on a target."""
        current = self._limits.get(target)
        if current is None:
            return self._settings.concurrency_start_count
        return current.limit

    def forget(self, targets: Sequence[state.TargetName]) -> None:
        """Drop the limits of removed targets."""
        with self._lock:
            for name in targets:
                self._limits.pop(name, None)

    def observe(
        self, outcome: state.TargetOutcome, in_flight_count: int
    ) -> None:
        """Adjust the limit of a target after a finished attempt.

        :param in_flight_count: requests of this instance on the target.
        """
        with self._lock:
            current = self._limits.get(
                outcome.target,
                AdaptiveLimit(float(self._settings.concurrency_start_count)),
            )
            self._limits[outcome.target] = self._adjusted(
                current, outcome, in_flight_count
            )

    def _adjusted(
        self,
        current: AdaptiveLimit,
        outcome: state.TargetOutcome,
        in_flight_count: int,
    ) -> AdaptiveLimit:
        if outcome.kind is state.OutcomeKind.REFUSED:
            return self._decreased(current, in_flight_count)
        latency_ms = outcome.first_token_ms
        if latency_ms is None:
            return current
        baseline_ms = current.baseline_ms
        if baseline_ms is None or latency_ms < baseline_ms:
            baseline_ms = latency_ms
        else:
            baseline_ms += BASELINE_SMOOTHING * (latency_ms - baseline_ms)
        current = AdaptiveLimit(current.limit, baseline_ms)
        overload_ms = max(OVERLOAD_FLOOR_MS, OVERLOAD_FACTOR * baseline_ms)
        if latency_ms > overload_ms:
            return self._decreased(current, in_flight_count)
        if in_flight_count * 2 < current.limit:
            # A fast response says nothing about a limit of which less than
            # half is in use.
            return current
        ceiling = float(self._settings.concurrency_ceiling_count)
        increased = min(ceiling, current.limit + 1 / current.limit)
        return AdaptiveLimit(increased, current.baseline_ms)

    def _decreased(
        self, current: AdaptiveLimit, in_flight_count: int
    ) -> AdaptiveLimit:
        floor = float(self._settings.concurrency_floor_count)
        # Starts from twice the in-flight count at most: lowering a limit far
        # above the actual use would have no effect for a long time.
        start_limit = min(current.limit, float(max(in_flight_count, 1)) * 2)
        return AdaptiveLimit(
            max(floor, start_limit * DECREASE_FACTOR), current.baseline_ms
        )
