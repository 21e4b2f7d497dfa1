"""Shared limits, admission queues, adaptive limits and retry budgets."""

from skylarktack.coordination.limits._adaptive import AdaptiveLimit
from skylarktack.coordination.limits._adaptive import AdaptiveLimits
from skylarktack.coordination.limits._admission import SharedAdmission
from skylarktack.coordination.limits._admission import SharedPermit
from skylarktack.coordination.limits._admission import UnlimitedAdmission
from skylarktack.coordination.limits._admission import UnlimitedPermit
from skylarktack.coordination.limits._allocator import ShareAllocator
from skylarktack.coordination.limits._loans import LoanTopic
from skylarktack.coordination.limits._retries import OrganisationRetryBudget
from skylarktack.coordination.limits._scopes import LimitIndex
from skylarktack.coordination.limits._scopes import LoanCodec
from skylarktack.coordination.limits._scopes import LoanEntry
from skylarktack.coordination.limits._scopes import LoanEntryKind
from skylarktack.coordination.limits._scopes import Resource
from skylarktack.coordination.limits._scopes import Scope
from skylarktack.coordination.limits._scopes import ScopeKind

__all__ = [
    'AdaptiveLimit',
    'AdaptiveLimits',
    'LoanEntryKind',
    'LimitIndex',
    'LoanCodec',
    'LoanEntry',
    'LoanTopic',
    'OrganisationRetryBudget',
    'Resource',
    'Scope',
    'ScopeKind',
    'ShareAllocator',
    'SharedAdmission',
    'SharedPermit',
    'UnlimitedAdmission',
    'UnlimitedPermit',
]
