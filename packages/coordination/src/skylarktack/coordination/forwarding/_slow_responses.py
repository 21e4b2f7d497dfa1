"""Tests whether a version responds slowly more often than the old one.

A version of which a part of the responses is slow has latencies with a large
variance, so that a comparison of means needs many of them. Counting the
responses that are slower than a given latency needs few.
"""

import dataclasses
import itertools
import math

from skylarktack.coordination.forwarding import _latency_classes
from skylarktack.state import forwarding as data

#: Ratio of the rates of slow responses up to which a version is still good.
TOLERATED_RATE_RATIO = 1.5

#: Higher ratios, over which the test is a mixture.
RATE_RATIOS = (3.0, 8.0, 32.0)


@dataclasses.dataclass(frozen=True)
class SlowResponses:
    """Evidence that a version responds slowly more often than the old one."""

    #: Natural logarithm of the e-value: if the version is good, this ever
    #: exceeds ``log(1 / p)`` with a probability of at most ``p``.
    log_evidence: float = 0.0

    #: Latency above which the difference is most significant, in milliseconds.
    bound_ms: float = 0.0

    #: Responses above this latency, and all whose latency is known to be
    #: above or below it, on the routes that show the difference.
    new_slow_count: int = 0
    new_count: int = 0
    old_slow_count: int = 0
    old_count: int = 0

    def __str__(self) -> str:
        """Return the counts as a sentence for operators."""
        return (
            f'{self.new_slow_count} of {self.new_count} responses took '
            f'{self.bound_ms:.0f} ms or more, with the old version '
            f'{self.old_slow_count} of {self.old_count}.'
        )


@dataclasses.dataclass(frozen=True)
class _Comparison:
    """Responses of both versions on one route that reach a latency."""

    new_slow_count: int
    new_count: int
    old_slow_count: int
    old_count: int

    def log_likelihood_ratios(self) -> tuple[float, ...]:
        """Return the log likelihood ratio for each of ``RATE_RATIOS``."""
        slow_count = self.new_slow_count + self.old_slow_count
        if not slow_count or not self.new_count or not self.old_count:
            return (0.0,) * len(RATE_RATIOS)
        odds = self.new_count / self.old_count
        tolerated = _fraction(TOLERATED_RATE_RATIO * odds)
        ratios = []
        for rate_ratio in RATE_RATIOS:
            fraction = _fraction(rate_ratio * odds)
            ratios.append(
                self.new_slow_count * math.log(fraction / tolerated)
                + self.old_slow_count
                * math.log((1 - fraction) / (1 - tolerated))
            )
        return tuple(ratios)


@dataclasses.dataclass(frozen=True)
class _RouteTable:
    """Comparisons of one route, for each latency class above the lowest."""

    comparisons: tuple[_Comparison, ...]

    #: Log likelihood ratios, by comparison and rate ratio.
    log_ratios_by_class: tuple[tuple[float, ...], ...]


def compare_slow_responses(
    latencies: tuple[data.LatencyHistogram, ...], to_version: str
) -> SlowResponses:
    """Return the evidence that a version is slow overall or on any route.

    If two versions are equally fast, a given response above some latency is
    one of the new version with a probability equal to its fraction of the
    attempts. Against a higher rate the likelihood ratio is a non-negative
    supermartingale, and so is a mixture over latencies, rate ratios and
    routes. Such an e-value remains valid however often it is evaluated.
    Source: Vovk and Wang, "E-values: Calibration, combination and
    applications", Annals of Statistics 49 (2021).

    An attempt without a response is known to be slower than the time waited
    for it, and is left out of the comparisons of longer latencies.
    """
    tables: dict[str, _RouteTable] = {}
    for route in sorted({each.route for each in latencies}):
        tables[route] = _table_of_route(
            [each for each in latencies if each.route == route], to_version
        )
    if not tables:
        return SlowResponses()
    # Routes beyond the limit of a report share the empty name, so there is no
    # one route to compare.
    groups = [(table,) for route, table in tables.items() if route]
    group_evidence = [_log_mean(_sum_over_routes(group)) for group in groups]
    all_routes = tuple(tables.values())
    evidence = _log_mean(_sum_over_routes(all_routes))
    strongest = all_routes
    if groups:
        index = group_evidence.index(max(group_evidence))
        # Without evidence for a difference on one route, the counts of all
        # routes are reported.
        if group_evidence[index] > max(0.0, evidence):
            strongest = groups[index]
        evidence = _log_mean([evidence, _log_mean(group_evidence)])
    return _summary(evidence, strongest)


def _summary(
    evidence: float, tables: tuple[_RouteTable, ...]
) -> SlowResponses:
    """Return the evidence with the counts of the most telling latency."""
    log_ratios = _sum_over_routes(tables)
    position = log_ratios.index(max(log_ratios)) // len(RATE_RATIOS)
    found = [table.comparisons[position] for table in tables]
    return SlowResponses(
        log_evidence=evidence,
        bound_ms=_latency_classes.lower_bound_ms(position + 1),
        new_slow_count=sum(each.new_slow_count for each in found),
        new_count=sum(each.new_count for each in found),
        old_slow_count=sum(each.old_slow_count for each in found),
        old_count=sum(each.old_count for each in found),
    )


def _table_of_route(
    latencies: list[data.LatencyHistogram], to_version: str
) -> _RouteTable:
    new = data.LatencyHistogram('', to_version)
    old = data.LatencyHistogram('', '')
    for each in latencies:
        if each.version == to_version:
            new = _latency_classes.add_histograms(new, each)
        else:
            old = _latency_classes.add_histograms(old, each)
    comparisons = []
    for (new_slow, new_count), (old_slow, old_count) in zip(
        _slow_counts(new), _slow_counts(old), strict=True
    ):
        comparisons.append(
            _Comparison(new_slow, new_count, old_slow, old_count)
        )
    return _RouteTable(
        tuple(comparisons),
        tuple(each.log_likelihood_ratios() for each in comparisons),
    )


def _slow_counts(
    histogram: data.LatencyHistogram,
) -> list[tuple[int, int]]:
    """Return the slow and all known attempts, by the class that is slow."""
    response_count = sum(histogram.response_counts)
    slow_responses = _counts_from_each_class(histogram.response_counts)
    slow_abandoned = _counts_from_each_class(histogram.abandoned_counts)
    counts = []
    for slow, abandoned in zip(slow_responses, slow_abandoned, strict=True):
        counts.append((slow + abandoned, response_count + abandoned))
    # Every attempt reaches the lowest class.
    return counts[1:]


def _counts_from_each_class(counts: tuple[int, ...]) -> list[int]:
    """Return, for each class, the attempts in it and in those above."""
    padding = (0,) * (_latency_classes.LAST_CLASS + 1 - len(counts))
    sums = list(itertools.accumulate((*padding, *reversed(counts))))
    return sums[::-1]


def _sum_over_routes(tables: tuple[_RouteTable, ...]) -> list[float]:
    """Return the sums over routes, for each latency and rate ratio."""
    sums = []
    for ratios_of_routes in zip(
        *(table.log_ratios_by_class for table in tables), strict=True
    ):
        for ratios in zip(*ratios_of_routes, strict=True):
            sums.append(sum(ratios))
    return sums


def _log_mean(logarithms: list[float]) -> float:
    """Return the logarithm of the mean of numbers given by logarithms."""
    largest = max(logarithms)
    total = sum(math.exp(value - largest) for value in logarithms)
    return largest + math.log(total / len(logarithms))


def _fraction(odds: float) -> float:
    return odds / (1 + odds)
