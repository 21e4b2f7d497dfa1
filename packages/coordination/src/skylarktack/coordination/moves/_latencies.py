"""Sums over the logarithms of latencies, for the comparison of versions."""

import math

from skylarktack import state


def latency_sums(value_ms: float | None) -> state.LatencySums:
    """Return the sums for a single latency, empty for None."""
    if value_ms is None:
        return state.LatencySums()
    logarithm = math.log(max(0.01, value_ms))
    return state.LatencySums(1, logarithm, logarithm * logarithm)
