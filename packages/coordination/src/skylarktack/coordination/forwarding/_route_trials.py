"""Attempts of a new version on each route of its service.

A version may be bad on one route only. A rarely requested route gets few of
the requests that a move sends to the new version, or none.
"""

import dataclasses

from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class RouteTrial:
    """Attempts of both versions on one route during a move."""

    new_attempt_count: int = 0
    new_error_count: int = 0
    new_success_count: int = 0
    old_attempt_count: int = 0
    old_success_count: int = 0

    @property
    def is_failing(self) -> bool:
        """Return whether only the new version fails.

        It has never succeeded on the route, which the old one serves.
        """
        if not self.new_error_count or self.new_success_count:
            return False
        return 2 * self.old_success_count > self.old_attempt_count


def route_trials(
    evidence: tuple[data.RouteEvidence, ...], to_version: str
) -> dict[str, RouteTrial]:
    """Return the attempts by route, without routes beyond the counted ones."""
    trials: dict[str, RouteTrial] = {}
    for each in evidence:
        if not each.route:
            continue
        row = each.row
        trial = trials.get(each.route, RouteTrial())
        success_count = max(
            0, row.attempt_count - row.error_count - row.lost_count
        )
        if row.version == to_version:
            trial = dataclasses.replace(
                trial,
                new_attempt_count=trial.new_attempt_count + row.attempt_count,
                new_error_count=trial.new_error_count + row.error_count,
                new_success_count=trial.new_success_count + success_count,
            )
        else:
            trial = dataclasses.replace(
                trial,
                old_attempt_count=trial.old_attempt_count + row.attempt_count,
                old_success_count=trial.old_success_count + success_count,
            )
        trials[each.route] = trial
    return trials


def failing_route(trials: dict[str, RouteTrial]) -> str:
    """Return a route on which only the new version fails, or ''."""
    for route, trial in sorted(trials.items()):
        if trial.is_failing:
            return route
    return ''
