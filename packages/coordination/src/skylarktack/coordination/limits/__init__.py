"""Limits, queues and retry budgets."""

from skylarktack.coordination.limits._adaptive import AdaptiveLimit
from skylarktack.coordination.limits._adaptive import AdaptiveLimits
from skylarktack.coordination.limits._admission import UnlimitedAdmission
from skylarktack.coordination.limits._admission import UnlimitedPermit
from skylarktack.coordination.limits._retry_budget import (
    OrganisationRetryBudget,
)

__all__ = [
    'AdaptiveLimit',
    'AdaptiveLimits',
    'OrganisationRetryBudget',
    'UnlimitedAdmission',
    'UnlimitedPermit',
]
