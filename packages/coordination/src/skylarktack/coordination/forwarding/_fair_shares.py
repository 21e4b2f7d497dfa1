"""Divides the capacity of a service among organisations and urgencies.

Max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): demands up to
a common level are served whole, and larger ones up to the level.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

#: No organisation and no kind of request is served less than this times as
#: often as all requests of the service.
MIN_RELATIVE_SERVICE = 0.25

#: Part of an organisation's share that is divided among all its requests,
#: whatever their urgency; the rest goes to the most urgent ones first.
COMMON_PART = 0.25


@dataclasses.dataclass(frozen=True)
class FairLevel:
    """Level up to which the demand of each organisation is served."""

    #: Requests a second; infinite if all demand is served.
    per_s: float

    #: Fraction of every demand that is served, however large it is.
    least_fraction: float

    def fraction_of(self, demand_per_s: float) -> float:
        """Return the fraction of an organisation's requests to serve."""
        if demand_per_s <= self.per_s:
            return 1.0
        return max(self.least_fraction, self.per_s / demand_per_s)


def fair_level(capacity_per_s: float, demands: Iterable[float]) -> FairLevel:
    """Return the level at which the shares add up to the capacity.

    :param demands: requests a second, one figure for each organisation.
    """
    capacity_per_s = max(0.0, capacity_per_s)
    wanted = [demand for demand in demands if demand > 0]
    total = math.fsum(wanted)
    if total <= capacity_per_s:
        return FairLevel(math.inf, 1.0)
    least_fraction = MIN_RELATIVE_SERVICE * capacity_per_s / total
    # A share rises with the level from the demand's least part to all of it.
    # ``served`` is the sum of the shares at the level reached so far.
    turns = []
    for demand in wanted:
        turns.append((least_fraction * demand, 1))
        turns.append((demand, -1))
    turns.sort()
    served = least_fraction * total
    level = 0.0
    rising_count = 0
    for turn, change in turns:
        next_served = served + rising_count * (turn - level)
        if next_served >= capacity_per_s and rising_count:
            level += (capacity_per_s - served) / rising_count
            break
        served = next_served
        level = turn
        rising_count += change
    return FairLevel(level, least_fraction)


def fractions_by_priority(
    fraction: float, least_fraction: float, counts: Mapping[int, float]
) -> dict[int, float]:
    """Divide the share of an organisation among its requests by urgency.

    :param fraction: fraction of all its requests that is served.
    :param least_fraction: fraction that is served of each priority, unless
        the organisation's own is less.
    :param counts: recent requests by priority, 0 for the most urgent.
    :return: fraction to serve of each priority, none above that of a more
        urgent one.
    """
    total = math.fsum(counts.values())
    common = min(fraction, max(COMMON_PART * fraction, least_fraction))
    left = (fraction - common) * total
    fractions = {}
    for priority in sorted(counts):
        count = counts[priority]
        extra = min(left, (1 - common) * count)
        left -= extra
        fractions[priority] = common + (extra / count if count > 0 else 0.0)
    return fractions
