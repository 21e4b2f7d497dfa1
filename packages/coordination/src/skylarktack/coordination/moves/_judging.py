"""Statistical comparison of a new version with the old one.

Both versions serve requests at the same time.
"""

import dataclasses
import math
from typing import Protocol

from skylarktack import state

#: Ratios of failure rates over which the failure test is a mixture.
RATE_RATIOS = (2.0, 4.0, 16.0, 64.0)

#: Minimum number of values of the new version for a comparison of latencies;
#: with fewer, the variance is too uncertain.
MIN_LATENCY_COUNT = 12

#: Effective number of values at which the latency bound is tightest.
TIGHTEST_COUNT = 60.0

#: Number of tests in a comparison: failures within failure domains, failures
#: over all domains, and two latencies.
TEST_COUNT = 4

#: Lower bound on the variance of the logarithm of a latency, so that a few
#: equal values do not show a significant difference.
VARIANCE_FLOOR = 0.01

#: Minimum number of targets with lost connections for these to count as
#: failures of the version. Losses on a single target may be caused by a failed
#: machine, provided that the version works in another failure domain.
MIN_LOST_TARGET_COUNT = 2

#: Fraction of failed attempts of the old version above which a failure domain
#: is useless for a comparison: a version that always fails looks like the old
#: one there.
FAILING_FRACTION = 0.5

#: Minimum number of successful attempts for a version to count as working in
#: a failure domain.
MIN_SUCCESS_COUNT = 10


@dataclasses.dataclass(frozen=True)
class Judgement:
    """Result of evaluating the current evidence."""

    #: Whether the new version is significantly worse than the old one.
    bad: bool

    #: Human-readable reason if it is bad, else empty.
    reason: str

    #: Number of attempts on the version with fewer attempts.
    compared_count: int

    #: Whether the evidence is against the new version but not significant.
    #: The share of a suspect version does not rise.
    suspect: bool = False

    #: Successful attempts on the new version.
    success_count: int = 0


class Judge(Protocol):
    """Compares two versions; may be called after each new outcome."""

    def judge(
        self,
        rows: tuple[state.EvidenceRow, ...],
        to_version: state.VersionName,
        rejection_probability: float,
        comparison_count: int = 1,
    ) -> Judgement:
        """Judge the counts of one stage, combined from any instances.

        :param rejection_probability: probability that a good version is
            rejected by any of the comparisons.
        :param comparison_count: number of comparisons that share this
            probability and that of a wrong suspicion.
        """
        ...


@dataclasses.dataclass(frozen=True)
class _Pair:
    """Counts of both versions in one failure domain."""

    new: state.EvidenceRow

    old: state.EvidenceRow


@dataclasses.dataclass(frozen=True)
class _LatencyDifference:
    """Difference of the mean logarithms of a latency of two versions."""

    #: Name of the latency's field in the evidence rows.
    field: str

    #: Mean of the new version minus mean of the old version.
    mean: float

    #: Inverse variance of the difference; 0 with too few values.
    weight: float

    #: Effective number of values, in units of ``TIGHTEST_COUNT``.
    scaled_count: float

    @property
    def label(self) -> str:
        """Name of the latency, to start a sentence with."""
        if self.field == 'first_token':
            return 'Time to the first token'
        return 'Time between tokens'

    def lower_bound(self, probability: float) -> float:
        """Return a lower confidence bound of the difference.

        The probability that the true difference is ever below the bound, over
        all evaluations, is at most ``probability``.
        """
        if not self.weight:
            return -math.inf
        scaled = self.scaled_count
        radius = math.sqrt(
            2
            * (scaled + 1)
            / scaled
            / self.weight
            * math.log(math.sqrt(scaled + 1) / probability)
        )
        return self.mean - radius


class SequentialJudge:
    """Sequential tests, valid however often they are evaluated.

    Failures: if both versions fail equally often, a given failure is one of
    the new version with a probability equal to its fraction of the attempts.
    Under this hypothesis, the likelihood ratio of a mixture of higher rates is
    a non-negative martingale, so the probability that it ever exceeds
    ``1 / probability`` is at most ``probability`` (Ville's inequality).

    Latencies: an asymptotic confidence sequence for the difference of mean
    logarithms (normal mixture of Robbins).

    Both tests compare within failure domains, so that a failure common to both
    versions cancels out. While the old version fails in a domain, the failures
    of both versions are also compared over all domains.
    """

    def __init__(self, settings: state.MoveSettings) -> None:
        self._settings = settings

    def judge(
        self,
        rows: tuple[state.EvidenceRow, ...],
        to_version: state.VersionName,
        rejection_probability: float,
        comparison_count: int = 1,
    ) -> Judgement:
        """Judge the counts of one stage, combined from any instances."""
        pairs = _pairs(rows, to_version)
        attempts = sum(pair.new.attempt_count for pair in pairs)
        compared = min(attempts, sum(pair.old.attempt_count for pair in pairs))
        count_lost = _should_count_lost(pairs)
        failures = failure_log_ratio(pairs, count_lost)
        if any(_is_failing(pair.old) for pair in pairs):
            overall = (_overall(rows, to_version),)
            failures = max(failures, failure_log_ratio(overall, count_lost))
        differences = (
            _latency_difference(pairs, 'first_token'),
            _latency_difference(pairs, 'inter_token'),
        )
        # The probability of a false rejection is split between the tests.
        test_count = TEST_COUNT * comparison_count
        test_probability = rejection_probability / test_count
        if failures >= math.log(1 / test_probability):
            failed = sum(_failed(pair.new, True) for pair in pairs)
            return Judgement(
                True, f'{failed} of {attempts} attempts failed.', compared
            )
        tolerance = math.log(self._settings.tolerated_slowdown)
        for difference in differences:
            lower = difference.lower_bound(test_probability)
            if lower > tolerance:
                return Judgement(
                    True,
                    f'{difference.label} is above {math.exp(lower):.2f} '
                    'times that of the old version.',
                    compared,
                )
        test_probability = self._settings.suspicion_probability / test_count
        suspect = bool(test_probability) and (
            failures >= math.log(1 / test_probability)
            or differences[0].lower_bound(test_probability) > tolerance
            or differences[1].lower_bound(test_probability) > tolerance
        )
        failed = sum(_failed(pair.new, True) for pair in pairs)
        return Judgement(
            False, '', compared, suspect, max(0, attempts - failed)
        )


class ThresholdJudge:
    """Judge with fixed thresholds; the baseline in the benchmark."""

    def __init__(
        self, failure_ratio: float = 0.05, slowdown: float = 1.3
    ) -> None:
        self._failure_ratio = failure_ratio
        self._slowdown = slowdown

    def judge(
        self,
        rows: tuple[state.EvidenceRow, ...],
        to_version: state.VersionName,
        rejection_probability: float,
        comparison_count: int = 1,
    ) -> Judgement:
        """Judge the counts of one stage, combined from any instances."""
        pairs = _pairs(rows, to_version)
        attempts = sum(pair.new.attempt_count for pair in pairs)
        compared = min(attempts, sum(pair.old.attempt_count for pair in pairs))
        failed = sum(_failed(pair.new, True) for pair in pairs)
        if attempts >= 10 and failed > self._failure_ratio * attempts:
            return Judgement(True, 'Too many failures.', compared)
        for field in ('first_token', 'inter_token'):
            new = _total([getattr(pair.new, field) for pair in pairs])
            old = _total([getattr(pair.old, field) for pair in pairs])
            if new.count < 10 or old.count < 10:
                continue
            difference = new.log_sum / new.count - old.log_sum / old.count
            if difference > math.log(self._slowdown):
                return Judgement(True, 'Too slow.', compared)
        return Judgement(False, '', compared)


def failure_log_ratio(
    pairs: tuple[_Pair, ...], count_lost: bool = True
) -> float:
    """Return the log likelihood ratio of failures for the rate mixture.

    :param count_lost: whether lost connections count as failures.
    """
    logs = [0.0] * len(RATE_RATIOS)
    for pair in pairs:
        new = _failed(pair.new, count_lost)
        old = _failed(pair.old, count_lost)
        if not new and not old:
            continue
        attempts = pair.new.attempt_count + pair.old.attempt_count
        fraction = pair.new.attempt_count / attempts if attempts else 0.0
        if not 0.0 < fraction < 1.0:
            continue
        for index, ratio in enumerate(RATE_RATIOS):
            theta = ratio * fraction / (ratio * fraction + 1 - fraction)
            logs[index] += new * math.log(theta / fraction)
            logs[index] += old * math.log((1 - theta) / (1 - fraction))
    largest = max(logs)
    total = sum(math.exp(value - largest) for value in logs)
    return largest + math.log(total / len(logs))


def _latency_difference(
    pairs: tuple[_Pair, ...], field: str
) -> _LatencyDifference:
    weight_sum = 0.0
    difference_sum = 0.0
    new_count = 0
    variance_sum = 0.0
    for pair in pairs:
        new: state.LatencySums = getattr(pair.new, field)
        old: state.LatencySums = getattr(pair.old, field)
        if new.count < 2 or old.count < 2:
            continue
        variance = max(VARIANCE_FLOOR, _variance(new), _variance(old))
        difference_variance = variance / new.count + variance / old.count
        difference = new.log_sum / new.count - old.log_sum / old.count
        weight_sum += 1 / difference_variance
        difference_sum += difference / difference_variance
        variance_sum += variance * new.count
        new_count += new.count
    if new_count < MIN_LATENCY_COUNT:
        return _LatencyDifference(field, 0.0, 0.0, 0.0)
    return _LatencyDifference(
        field,
        difference_sum / weight_sum,
        weight_sum,
        variance_sum / new_count * weight_sum / TIGHTEST_COUNT,
    )


def add_rows(
    one: state.EvidenceRow, other: state.EvidenceRow
) -> state.EvidenceRow:
    """Return the sum of two rows with the version and domain of the first."""
    targets = one.lost_targets
    for name in other.lost_targets:
        if name not in targets:
            targets = (*targets, name)
    return state.EvidenceRow(
        version=one.version,
        failure_domain=one.failure_domain,
        attempt_count=one.attempt_count + other.attempt_count,
        error_count=one.error_count + other.error_count,
        truncated_count=one.truncated_count + other.truncated_count,
        lost_count=one.lost_count + other.lost_count,
        lost_targets=targets[:MIN_LOST_TARGET_COUNT],
        first_token=_add_sums(one.first_token, other.first_token),
        inter_token=_add_sums(one.inter_token, other.inter_token),
    )


def _pairs(
    rows: tuple[state.EvidenceRow, ...], to_version: state.VersionName
) -> tuple[_Pair, ...]:
    new: dict[state.FailureDomain, state.EvidenceRow] = {}
    old: dict[state.FailureDomain, state.EvidenceRow] = {}
    for row in rows:
        side = new if row.version == to_version else old
        existing = side.get(row.failure_domain)
        side[row.failure_domain] = add_rows(existing, row) if existing else row
    all_domains = _overall(rows, to_version).old
    found: list[_Pair] = []
    for domain, row in new.items():
        # If the old version has no attempts in the domain, its attempts in
        # all domains serve as the comparison.
        found.append(_Pair(row, old.get(domain, all_domains)))
    return tuple(found)


def _is_failing(old: state.EvidenceRow) -> bool:
    """Return whether the old version itself mostly fails in a domain."""
    return _failed(old, True) > FAILING_FRACTION * old.attempt_count


def _overall(
    rows: tuple[state.EvidenceRow, ...], to_version: state.VersionName
) -> _Pair:
    """Return the counts of both versions over all failure domains."""
    new = state.EvidenceRow(to_version, state.FailureDomain(''))
    old = new
    for row in rows:
        if row.version == to_version:
            new = add_rows(new, row)
        else:
            old = add_rows(old, row)
    return _Pair(new, old)


def _should_count_lost(pairs: tuple[_Pair, ...]) -> bool:
    targets: set[state.TargetName] = set()
    works = False
    for pair in pairs:
        targets.update(pair.new.lost_targets)
        succeeded = pair.new.attempt_count - _failed(pair.new, True)
        if not pair.new.lost_count and succeeded >= MIN_SUCCESS_COUNT:
            works = True
    return not works or len(targets) >= MIN_LOST_TARGET_COUNT


def _failed(row: state.EvidenceRow, count_lost: bool) -> int:
    failed = row.error_count + row.truncated_count
    return failed + row.lost_count if count_lost else failed


def _variance(sums: state.LatencySums) -> float:
    mean = sums.log_sum / sums.count
    return (sums.log_square_sum / sums.count - mean * mean) * (
        sums.count / (sums.count - 1)
    )


def _add_sums(
    one: state.LatencySums, other: state.LatencySums
) -> state.LatencySums:
    return state.LatencySums(
        one.count + other.count,
        one.log_sum + other.log_sum,
        one.log_square_sum + other.log_square_sum,
    )


def _total(all_sums: list[state.LatencySums]) -> state.LatencySums:
    total = state.LatencySums()
    for sums in all_sums:
        total = _add_sums(total, sums)
    return total
