"""Judges a version over all requests, and on each route by itself.

Some versions are bad on one route only. In the sums of a whole service that
route stands out late, and a rare one not at all: routes differ more from each
other than a slow version from a good one.
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
    """Judge a version; it is bad if it is bad anywhere.

    :param rejection_probability: chance that any of the comparisons rejects
        a good version.
    :return: the counts are those of all routes together.
    """
    every_row = tuple(each.row for each in evidence)
    routes = _routes_told_apart(evidence)
    comparison_count = 1 + len(routes)
    judged = judge.judge(
        every_row, to_version, rejection_probability, comparison_count
    )
    if judged.bad:
        return judged
    is_suspect = judged.suspect
    for route in routes:
        rows = tuple(each.row for each in evidence if each.route == route)
        on_route = judge.judge(
            rows, to_version, rejection_probability, comparison_count
        )
        if on_route.bad:
            return dataclasses.replace(
                judged, bad=True, reason=f'On route {route}: {on_route.reason}'
            )
        is_suspect = is_suspect or on_route.suspect
    return dataclasses.replace(judged, suspect=is_suspect)


def _routes_told_apart(
    evidence: tuple[data.RouteEvidence, ...],
) -> tuple[str, ...]:
    """Return the routes to compare; one alone is the whole service."""
    routes = sorted({each.route for each in evidence})
    if len(routes) < 2:
        return ()
    return tuple(route for route in routes if route)
