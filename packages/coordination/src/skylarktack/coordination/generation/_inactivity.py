"""Inactivity timeout after which a stream counts as lost."""

from skylarktack import state

#: Weight of the latest gap in the moving average.
GAP_WEIGHT = 0.2


class InactivityTimeout:
    """Derives the timeout of a stream from its inter-arrival times.

    Tokens and keepalives both count as arrivals, so the timeout also suits a
    stream on which the engine only sends keepalives.
    """

    def __init__(self, settings: state.GenerationSettings) -> None:
        self._floor_s = settings.silence_floor_ms / 1000
        self._ceiling_s = settings.silence_ceiling_ms / 1000
        self._factor = settings.silence_pace_factor
        self._mean_gap_s: float | None = None
        #: Maximum time without an arrival before the stream counts as lost.
        self.timeout_s = self._ceiling_s

    def record_gap(self, gap_s: float) -> None:
        """Update the timeout with the time between two arrivals."""
        mean_gap_s = self._mean_gap_s
        if mean_gap_s is None:
            mean_gap_s = gap_s
        else:
            mean_gap_s += GAP_WEIGHT * (gap_s - mean_gap_s)
        self._mean_gap_s = mean_gap_s
        timeout_s = min(
            self._ceiling_s, max(self._floor_s, self._factor * mean_gap_s)
        )
        # Small changes are ignored, because each one costs a system call
        # that sets the timeout of the connection.
        if not 0.8 < timeout_s / self.timeout_s < 1.25:
            self.timeout_s = timeout_s
