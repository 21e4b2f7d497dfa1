"""Judges a new version against the old one serving at the same time."""

import dataclasses
import math
from typing import Protocol

from skylarktack import state

#: Rate ratios over which the test of failures is a mixture.
RATE_RATIOS = (2.0, 4.0, 16.0, 64.0)

#: Fewest values of each version for a comparison of latencies; below it
#: the variance is too uncertain.
LATENCY_COUNT = 12

#: Effective number of values for which the latency bound is tightest.
TIGHTEST_COUNT = 60.0

#: Tests in a comparison: failures within and over failure domains, and two
#: latencies.
TEST_COUNT = 4

#: Smallest variance of the logarithm of a latency; keeps a handful of
#: equal values from proving a difference.
VARIANCE_FLOOR = 0.01

#: Targets on which connections must be lost before losses are held
#: against the version: a single one may be a failed machine, as long as
#: the version works in another failure domain.
LOST_TARGET_COUNT = 2

#: Part of the old version's attempts in a failure domain whose failure makes
#: the domain useless as a comparison: a version that always fails looks
#: like the old one there.
TROUBLED_SHARE = 0.5

#: Successful attempts that show that a version works in a failure domain.
WORKING_COUNT = 10


@dataclasses.dataclass(frozen=True)
class Judgement:
    """What evidence says at this moment."""

    #: Whether the new version is worse than the old one.
    bad: bool

    #: One sentence if it is bad.
    reason: str

    #: Attempts on the version that has fewer.
    compared_count: int

    #: Whether the evidence leans against the new version without proof;
    #: its share does not rise then.
    suspect: bool = False

    #: Attempts on the new version that did not fail.
    success_count: int = 0


class Judge(Protocol):
    """Compares two versions; may be asked any number of times."""

    def judge(
        self,
        rows: tuple[state.EvidenceRow, ...],
        to_version: state.VersionName,
        rejection_probability: float,
        comparison_count: int = 1,
    ) -> Judgement:
        """Judge the counts of one stage, combined from any instances.

        :param rejection_probability: chance that a good version is rejected
            by any of the comparisons.
        :param comparison_count: comparisons that share that chance, and the
            one of a wrong suspicion.
        """
        ...


@dataclasses.dataclass(frozen=True)
class _Pair:
    """Both versions in one failure domain."""

    #: Counts of the new version.
    new: state.EvidenceRow

    #: Counts of the old version.
    old: state.EvidenceRow


@dataclasses.dataclass(frozen=True)
class _LatencyDifference:
    """Difference of the mean logarithms of one latency."""

    #: Field of the rows that it compares.
    field: str

    #: New version's mean less the old version's.
    mean: float

    #: Inverse variance of the mean; 0 with too few values.
    weight: float

    #: Effective number of values, in units of ``TIGHTEST_COUNT``.
    scaled_count: float

    @property
    def words(self) -> str:
        """Name of the latency in a sentence."""
        if self.field == 'first_token':
            return 'Time to the first token'
        return 'Time between tokens'

    def lower_bound(self, probability: float) -> float:
        """Return a bound that the true difference passes with at most this
        probability at any time.
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
    """Tests that stay valid however often they are evaluated.

    Failures: given a failure, it belongs to the new version with the
    probability of its part of the attempts if both fail equally often. The
    likelihood ratio of a mixture of higher rates is a non-negative
    martingale under that hypothesis, so it passes ``1 / probability`` with
    at most the given probability at any time (Ville). Latencies: an
    asymptotic confidence sequence of the difference of mean logarithms
    (normal mixture of Robbins). Both compare within failure domains, so a
    fault common to both versions cancels out. While the old version fails
    in a domain, the failures of both are compared over all domains too.
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
        count_lost = _lost_counts(pairs)
        failures = failure_log_ratio(pairs, count_lost)
        if any(_is_troubled(pair.old) for pair in pairs):
            overall = (_overall(rows, to_version),)
            failures = max(failures, failure_log_ratio(overall, count_lost))
        differences = (
            _latency_difference(pairs, 'first_token'),
            _latency_difference(pairs, 'inter_token'),
        )
        # The tests share the probability of a wrong rejection.
        test_count = TEST_COUNT * comparison_count
        each = rejection_probability / test_count
        if failures >= math.log(1 / each):
            failed = sum(_failed(pair.new, True) for pair in pairs)
            return Judgement(
                True, f'{failed} of {attempts} attempts failed.', compared
            )
        tolerance = math.log(self._settings.tolerated_slowdown)
        for difference in differences:
            lower = difference.lower_bound(each)
            if lower > tolerance:
                return Judgement(
                    True,
                    f'{difference.words} is above {math.exp(lower):.2f} '
                    'times that of the old version.',
                    compared,
                )
        each = self._settings.suspicion_probability / test_count
        suspect = bool(each) and (
            failures >= math.log(1 / each)
            or differences[0].lower_bound(each) > tolerance
            or differences[1].lower_bound(each) > tolerance
        )
        failed = sum(_failed(pair.new, True) for pair in pairs)
        return Judgement(
            False, '', compared, suspect, max(0, attempts - failed)
        )


class ThresholdJudge:
    """Fixed thresholds; kept for the comparison in the benchmark."""

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
    """Return the logarithm of the mixture likelihood ratio of failures."""
    logs = [0.0] * len(RATE_RATIOS)
    for pair in pairs:
        new = _failed(pair.new, count_lost)
        old = _failed(pair.old, count_lost)
        if not new and not old:
            continue
        attempts = pair.new.attempt_count + pair.old.attempt_count
        part = pair.new.attempt_count / attempts if attempts else 0.0
        if not 0.0 < part < 1.0:
            continue
        for index, ratio in enumerate(RATE_RATIOS):
            theta = ratio * part / (ratio * part + 1 - part)
            logs[index] += new * math.log(theta / part)
            logs[index] += old * math.log((1 - theta) / (1 - part))
    largest = max(logs)
    total = sum(math.exp(value - largest) for value in logs)
    return largest + math.log(total / len(logs))


def _latency_difference(
    pairs: tuple[_Pair, ...], field: str
) -> _LatencyDifference:
    weight_sum = 0.0
    difference_sum = 0.0
    new_count = 0
    spread_sum = 0.0
    for pair in pairs:
        new: state.LatencySums = getattr(pair.new, field)
        old: state.LatencySums = getattr(pair.old, field)
        if new.count < 2 or old.count < 2:
            continue
        spread = max(VARIANCE_FLOOR, _variance(new), _variance(old))
        variance = spread / new.count + spread / old.count
        difference = new.log_sum / new.count - old.log_sum / old.count
        weight_sum += 1 / variance
        difference_sum += difference / variance
        spread_sum += spread * new.count
        new_count += new.count
    if new_count < LATENCY_COUNT:
        return _LatencyDifference(field, 0.0, 0.0, 0.0)
    return _LatencyDifference(
        field,
        difference_sum / weight_sum,
        weight_sum,
        spread_sum / new_count * weight_sum / TIGHTEST_COUNT,
    )


def add_rows(
    one: state.EvidenceRow, other: state.EvidenceRow
) -> state.EvidenceRow:
    """Return the sum of two rows, with the key of the first."""
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
        lost_targets=targets[:LOST_TARGET_COUNT],
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
        known = side.get(row.failure_domain)
        side[row.failure_domain] = add_rows(known, row) if known else row
    everywhere = _overall(rows, to_version).old
    found: list[_Pair] = []
    for domain, row in new.items():
        # Without the old version in the domain, all of its targets serve
        # as the comparison.
        found.append(_Pair(row, old.get(domain, everywhere)))
    return tuple(found)


def _is_troubled(old: state.EvidenceRow) -> bool:
    """Return whether the old version itself fails in a domain."""
    return _failed(old, True) > TROUBLED_SHARE * old.attempt_count


def _overall(
    rows: tuple[state.EvidenceRow, ...], to_version: state.VersionName
) -> _Pair:
    """Return both versions over all failure domains."""
    new = state.EvidenceRow(to_version, state.FailureDomain(''))
    old = new
    for row in rows:
        if row.version == to_version:
            new = add_rows(new, row)
        else:
            old = add_rows(old, row)
    return _Pair(new, old)


def _lost_counts(pairs: tuple[_Pair, ...]) -> bool:
    targets: set[state.TargetName] = set()
    works = False
    for pair in pairs:
        targets.update(pair.new.lost_targets)
        succeeded = pair.new.attempt_count - _failed(pair.new, True)
        if not pair.new.lost_count and succeeded >= WORKING_COUNT:
            works = True
    return not works or len(targets) >= LOST_TARGET_COUNT


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


def _total(several: list[state.LatencySums]) -> state.LatencySums:
    total = state.LatencySums()
    for sums in several:
        total = _add_sums(total, sums)
    return total
