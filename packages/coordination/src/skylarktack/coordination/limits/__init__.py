"""Limits, queues and retry budgets."""

from skylarktack.coordination.limits._admission import UnlimitedAdmission
from skylarktack.coordination.limits._admission import UnlimitedPermit
from skylarktack.coordination.limits._retry_budget import TokenRetryBudget

__all__ = [
    'TokenRetryBudget',
    'UnlimitedAdmission',
    'UnlimitedPermit',
]
