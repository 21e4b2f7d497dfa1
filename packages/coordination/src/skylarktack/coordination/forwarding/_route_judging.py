"""Judges a version over all requests of a service and on each route.

Some versions are bad on one route only. In the sums over a service a fault of
one route shows late, and a fault of a rarely requested route does not show at
all: routes differ more from each other than a slow version from a good one.
"""

import dataclasses
import math

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _route_trials
from skylarktack.coordination.forwarding import _slow_responses
from skylarktack.state import forwarding as data

#: Share of the probability of rejecting a good version that is left to the
#: comparison of slow responses; the rest is for failures and mean latencies.
SLOW_RESPONSES_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class JudgeLimits:
    """Accepted probabilities of a wrong judgement of a good version."""

    #: Probability that any of the comparisons ever rejects it.
    rejection_probability: float

    #: Probability that the comparison of slow responses ever suspects it.
    suspicion_probability: float


@dataclasses.dataclass(frozen=True)
class VersionJudgement:
    """Judgement of a version over all comparisons."""

    #: Judgement with the counts of all routes together.
    overall: moves.Judgement

    slow_responses: _slow_responses.SlowResponses

    #: Route on which the new version has only failed, while the old one
    #: serves it; empty if there is none. Such a version is suspect.
    failing_route: str = ''


def judge_version(
    judge: moves.Judge,
    counts: data.MoveCounts,
    to_version: state.VersionName,
    limits: JudgeLimits,
) -> VersionJudgement:
    """Judge a version by its failures and latencies, overall and by route."""
    probability = limits.rejection_probability
    slow = _slow_responses.compare_slow_responses(counts.latencies, to_version)
    judgement = _judge_routes(
        judge,
        counts.rows,
        to_version,
        (1 - SLOW_RESPONSES_SHARE) * probability,
    )
    slow_probability = SLOW_RESPONSES_SHARE * probability
    if not judgement.bad and slow.log_evidence >= -math.log(slow_probability):
        judgement = dataclasses.replace(judgement, bad=True, reason=str(slow))
    if slow.log_evidence >= -math.log(limits.suspicion_probability):
        judgement = dataclasses.replace(judgement, suspect=True)
    failing_route = _route_trials.failing_route(
        _route_trials.route_trials(counts.rows, to_version)
    )
    if failing_route:
        judgement = dataclasses.replace(judgement, suspect=True)
    return VersionJudgement(judgement, slow, failing_route)


def _judge_routes(
    judge: moves.Judge,
    evidence: tuple[data.RouteEvidence, ...],
    to_version: state.VersionName,
    rejection_probability: float,
) -> moves.Judgement:
    """Judge a version; it is bad if it is bad overall or on any route.

    :param rejection_probability: probability that any of the comparisons
        rejects a good version.
    :return: judgement with the counts of all routes together.
    """
    all_rows = tuple(each.row for each in evidence)
    routes = _routes_to_compare(evidence)
    comparison_count = 1 + len(routes)
    judgement = judge.judge(
        all_rows, to_version, rejection_probability, comparison_count
    )
    if judgement.bad:
        return judgement
    is_suspect = judgement.suspect
    for route in routes:
        rows = tuple(each.row for each in evidence if each.route == route)
        route_judgement = judge.judge(
            rows, to_version, rejection_probability, comparison_count
        )
        if route_judgement.bad:
            return dataclasses.replace(
                judgement,
                bad=True,
                reason=f'On route {route}: {route_judgement.reason}',
            )
        is_suspect = is_suspect or route_judgement.suspect
    return dataclasses.replace(judgement, suspect=is_suspect)


def _routes_to_compare(
    evidence: tuple[data.RouteEvidence, ...],
) -> tuple[str, ...]:
    """Return the routes to compare.

    None are compared if there is only one, since it is the whole service. The
    empty name stands for the routes beyond the limit.
    """
    routes = sorted({each.route for each in evidence})
    if len(routes) < 2:
        return ()
    return tuple(route for route in routes if route)
