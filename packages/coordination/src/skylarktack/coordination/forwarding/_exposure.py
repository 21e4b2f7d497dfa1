"""How many requests a version on trial may get.

The counts of the others are a moment old, so a trial uses a part of what is
allowed only.
"""

import dataclasses

from skylarktack.state import forwarding as data

#: Part of the allowed exposure that is used before the verdict. The counts of
#: the peers are a moment old, so several instances may use the same rest.
TRIAL_EXPOSURE_SHARE = 0.5

#: Part of a move's time within which the trial should gather its evidence.
TRIAL_TIME_SHARE = 0.5

#: Largest part of the requests that goes to a version on trial.
TRIAL_LARGEST_SHARE = 0.3

#: Part of the allowed exposure that a shift before the end may reach.
SHIFT_EXPOSURE_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class ExposureLimits:
    """Requests that a bad version may get while it is judged."""

    #: Part of all requests for the service.
    fraction: float

    #: Requests beyond that part.
    allowance_count: float


def canary_share(
    limits: ExposureLimits,
    known: data.MoveCounts,
    instance_count: int,
    age_s: float,
    duration_s: float,
) -> float:
    """Return the part of the requests that may try the new version now.

    :param known: counts of as many instances as possible.
    :param instance_count: instances of the fleet; 0 if that is not known.
    :param age_s: time since the order.
    :param duration_s: time of the move.
    """
    if instance_count == 0:
        return 0.0
    # What is not known of others is left to them.
    known_share = min(1.0, known.member_count / instance_count)
    allowance_count = TRIAL_EXPOSURE_SHARE * limits.allowance_count
    allowance_count *= known_share
    fraction = TRIAL_EXPOSURE_SHARE * limits.fraction
    allowed_count = fraction * known.request_count + allowance_count
    if known.sent_count + 1 > allowed_count:
        return 0.0
    # Before the first second has passed the rate is not known.
    rate_per_s = known.request_count / max(1.0, age_s)
    trial_s = TRIAL_TIME_SHARE * duration_s
    expected_count = max(1.0, rate_per_s * trial_s)
    share = fraction + allowance_count / expected_count
    return min(TRIAL_LARGEST_SHARE, share)


def may_shift(
    limits: ExposureLimits,
    known: data.MoveCounts,
    age_s: float,
    duration_s: float,
) -> bool:
    """Return whether a shift of all traffic keeps to the allowed exposure.

    :param known: counts of as many instances as possible.
    :param age_s: time since the order.
    :param duration_s: time of the move.
    """
    rate_per_s = known.request_count / max(1.0, age_s)
    exposure_count = known.sent_count + rate_per_s * (duration_s - age_s)
    limit_count = limits.fraction * rate_per_s * duration_s
    limit_count += limits.allowance_count
    return exposure_count <= SHIFT_EXPOSURE_SHARE * limit_count
