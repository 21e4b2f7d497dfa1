"""Latency classes, in which the latencies of two versions are compared."""

import math

from skylarktack.state import forwarding as data

#: Latency classes per doubling of the latency.
CLASSES_PER_OCTAVE = 2

#: Index of the last class, which has no upper bound; it begins at 65 seconds.
LAST_CLASS = 33


def class_of(latency_ms: float) -> int:
    """Return the class of a latency; class 0 holds those under 1 ms."""
    if latency_ms < 1:
        return 0
    octaves = math.log2(min(latency_ms, lower_bound_ms(LAST_CLASS)))
    return math.floor(CLASSES_PER_OCTAVE * octaves) + 1


def lower_bound_ms(latency_class: int) -> float:
    """Return the lowest latency of a class above 0."""
    octaves: float = (latency_class - 1) / CLASSES_PER_OCTAVE
    return float(2**octaves)


def histogram_of(
    route: str, version: str, latency_ms: float, is_response: bool
) -> data.LatencyHistogram:
    """Return the histogram of one attempt.

    :param latency_ms: time until the response, or until it was abandoned.
    """
    counts = (*[0] * class_of(latency_ms), 1)
    if is_response:
        return data.LatencyHistogram(route, version, response_counts=counts)
    return data.LatencyHistogram(route, version, abandoned_counts=counts)


def add_histograms(
    one: data.LatencyHistogram, other: data.LatencyHistogram
) -> data.LatencyHistogram:
    """Return the sum with the route and version of the first."""
    return data.LatencyHistogram(
        one.route,
        one.version,
        _add(one.response_counts, other.response_counts),
        _add(one.abandoned_counts, other.abandoned_counts),
    )


def _add(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    if len(one) < len(other):
        one, other = other, one
    total = list(one)
    for index, count in enumerate(other):
        total[index] += count
    # A peer may send more classes than there are.
    return tuple(total[: LAST_CLASS + 1])
