"""How long a stream may be silent before it counts as lost."""

from skylarktack import state

#: Weight of the latest gap in the mean.
GAP_WEIGHT = 0.2


class SilenceBound:
    """Derives the bound of one stream from its own pace.

    Tokens and keepalives both count as arrivals, so that a stream whose
    engine only sends keepalives is given as much time as they need.
    """

    def __init__(self, settings: state.GenerationSettings) -> None:
        self._floor_s = settings.silence_floor_ms / 1000
        self._ceiling_s = settings.silence_ceiling_ms / 1000
        self._factor = settings.silence_pace_factor
        self._mean_s: float | None = None
        #: Longest silence that is not a loss.
        self.timeout_s = self._ceiling_s

    def record_gap(self, gap_s: float) -> None:
        """Take in the time between two arrivals."""
        mean_s = self._mean_s
        if mean_s is None:
            mean_s = gap_s
        else:
            mean_s += GAP_WEIGHT * (gap_s - mean_s)
        self._mean_s = mean_s
        bound_s = min(
            self._ceiling_s, max(self._floor_s, self._factor * mean_s)
        )
        # Small changes are left out, because each one costs a system call
        # that sets the timeout of the connection.
        if not 0.8 < bound_s / self.timeout_s < 1.25:
            self.timeout_s = bound_s
