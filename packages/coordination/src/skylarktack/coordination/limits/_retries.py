"""Retry budgets of each organisation and of all together."""

import collections
import threading

from skylarktack import state


class OrganisationRetryBudget:
    """Retries as a share of requests, in all and for each organisation.

    The state of an organisation is a token bucket that requests fill and
    retries empty. Least recently used buckets are dropped beyond the bound;
    a dropped one starts again with its burst, which the total still bounds.
    """

    def __init__(
        self,
        settings: state.RetrySettings,
        limits: state.LimitSettings | None = None,
    ) -> None:
        self._settings = settings
        self._limits = limits or state.LimitSettings()
        self._lock = threading.Lock()
        self._total = float(settings.budget_burst_count)
        self._tokens: collections.OrderedDict[
            state.OrganisationName, float
        ] = collections.OrderedDict()

    def record_request(self, organisation: state.OrganisationName) -> None:
        """Count a first attempt, which earns a share of a retry."""
        ratio = self._settings.budget_ratio
        burst = float(self._limits.organisation_retry_burst_count)
        with self._lock:
            self._total = min(
                float(self._settings.budget_burst_count), self._total + ratio
            )
            left = self._tokens.get(organisation)
            if left is None:
                return
            if left + ratio >= burst:
                # A full bucket needs no state.
                del self._tokens[organisation]
                return
            self._tokens[organisation] = left + ratio
            self._tokens.move_to_end(organisation)

    def try_spend(self, organisation: state.OrganisationName) -> bool:
        """Take one retry from the organisation's budget and the total."""
        burst = float(self._limits.organisation_retry_burst_count)
        with self._lock:
            left = self._tokens.get(organisation, burst)
            if self._total < 1 or left < 1:
                return False
            self._total -= 1
            self._tokens[organisation] = left - 1
            self._tokens.move_to_end(organisation)
            if len(self._tokens) > self._limits.idle_organisation_count:
                self._tokens.popitem(last=False)
            return True

    @property
    def tracked_count(self) -> int:
        """Return the organisations whose bucket is not full."""
        with self._lock:
            return len(self._tokens)
