"""Judges a version over all requests of a service and on each route.

Some versions are bad on one route only. In the sums over a service a fault of
one route shows late, and a fault of a rarely requested route does not show at
all: routes differ more from each other than a slow version from a good one.
"""

import dataclasses

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.state import forwarding as data


def judge_routes(
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
