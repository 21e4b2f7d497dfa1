"""Limits on the number of requests that a canary version may receive.

A move is a planned rollout of a service from one version to another. Until
the verdict on it the new version is a canary, which receives few requests.
"""

import dataclasses

from skylarktack.coordination.forwarding import _route_trials
from skylarktack.state import forwarding as data

#: Share of the allowed exposure that is used before the verdict. The counts of
#: the peers are slightly out of date, so several instances may use the same
#: remainder.
CANARY_EXPOSURE_SHARE = 0.5

#: Share of a move's duration in which the canary should receive enough
#: requests for a verdict.
CANARY_TIME_SHARE = 0.5

#: Maximum share of the requests that is sent to a canary version.
MAX_CANARY_SHARE = 0.3

#: Attempts that the canary should make on each route for a verdict, and the
#: share of the allowed exposure up to which requests are chosen for them.
ROUTE_TRIAL_COUNT = 3
TRIAL_EXPOSURE_SHARE = 0.75

#: Share of the allowed exposure that may be reached if all traffic is shifted
#: before the end of the move.
SHIFT_EXPOSURE_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class ExposureLimits:
    """Requests that a bad version may receive before it is rejected."""

    #: Share of all requests for the service.
    fraction: float

    #: Requests allowed in addition to that share.
    allowance_count: float


def canary_share(
    limits: ExposureLimits,
    counts: data.MoveCounts,
    instance_count: int,
    age_s: float,
    duration_s: float,
) -> float:
    """Return the share of the requests that may be sent to the canary now.

    :param counts: sums of the counts of all instances that reported.
    :param instance_count: instances of the fleet; 0 if that is not known.
    :param age_s: time since the move was ordered.
    :param duration_s: duration of the move.
    """
    if instance_count == 0:
        return 0.0
    allowance_count = CANARY_EXPOSURE_SHARE * _reported_allowance(
        limits, counts, instance_count
    )
    fraction = CANARY_EXPOSURE_SHARE * limits.fraction
    allowed_count = fraction * counts.request_count + allowance_count
    if counts.sent_count + 1 > allowed_count:
        return 0.0
    # A rate over less than a second is not meaningful.
    rate_per_s = counts.request_count / max(1.0, age_s)
    canary_s = CANARY_TIME_SHARE * duration_s
    expected_count = max(1.0, rate_per_s * canary_s)
    share = fraction + allowance_count / expected_count
    return min(MAX_CANARY_SHARE, share)


def trial_share(
    limits: ExposureLimits,
    counts: data.MoveCounts,
    instance_count: int,
    trial: _route_trials.RouteTrial,
    age_s: float,
    duration_s: float,
) -> float:
    """Return the share of a route's requests that the canary needs now.

    A rare route would get none or too few of the requests of
    ``canary_share`` for a verdict on it.

    :param trial: attempts on the route so far.
    """
    missing_count = ROUTE_TRIAL_COUNT - trial.new_attempt_count
    if missing_count <= 0 or not trial.old_attempt_count or not instance_count:
        return 0.0
    allowed_count = TRIAL_EXPOSURE_SHARE * (
        limits.fraction * counts.request_count
        + _reported_allowance(limits, counts, instance_count)
    )
    if counts.sent_count + missing_count > allowed_count:
        return 0.0
    attempt_count = trial.new_attempt_count + trial.old_attempt_count
    rate_per_s = attempt_count / max(1.0, age_s)
    left_s = max(0.0, CANARY_TIME_SHARE * duration_s - age_s)
    return min(1.0, missing_count / max(1.0, rate_per_s * left_s))


def may_shift(
    limits: ExposureLimits,
    counts: data.MoveCounts,
    age_s: float,
    duration_s: float,
) -> bool:
    """Return whether all traffic may be shifted within the exposure limit.

    :param counts: sums of the counts of all instances that reported.
    :param age_s: time since the move was ordered.
    :param duration_s: duration of the move.
    """
    rate_per_s = counts.request_count / max(1.0, age_s)
    exposure_count = counts.sent_count + rate_per_s * (duration_s - age_s)
    limit_count = limits.fraction * rate_per_s * duration_s
    limit_count += limits.allowance_count
    return exposure_count <= SHIFT_EXPOSURE_SHARE * limit_count


def _reported_allowance(
    limits: ExposureLimits, counts: data.MoveCounts, instance_count: int
) -> float:
    """Return the part of the allowance of the instances that reported.

    Instances whose counts are not known may use their own part.
    """
    reported_share = min(1.0, counts.member_count / instance_count)
    return limits.allowance_count * reported_share
