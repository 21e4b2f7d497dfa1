"""Retry budgets per organisation and in total."""

import collections
import threading

from skylarktack import state


class OrganisationRetryBudget:
    """Limits retries to a ratio of requests, in total and per organisation.

    Each organisation has a token bucket that requests fill and retries drain.
    Beyond ``idle_organisation_count`` the least recently used bucket is
    dropped. It starts again full, but the total budget still applies.
    """

    def __init__(
        self,
        settings: state.RetrySettings,
        limits: state.LimitSettings | None = None,
    ) -> None:
        self._settings = settings
        self._limits = limits or state.LimitSettings()
        self._lock = threading.Lock()
        self._total_tokens = float(settings.budget_burst_count)
        self._tokens: collections.OrderedDict[
            state.OrganisationName, float
        ] = collections.OrderedDict()

    def record_request(self, organisation: state.OrganisationName) -> None:
        """Add the tokens earned by the first attempt of a request."""
        ratio = self._settings.budget_ratio
        burst = float(self._limits.organisation_retry_burst_count)
        with self._lock:
            self._total_tokens = min(
                float(self._settings.budget_burst_count),
                self._total_tokens + ratio,
            )
            tokens = self._tokens.get(organisation)
            if tokens is None:
                return
            if tokens + ratio >= burst:
                # A full bucket is the default and needs no entry.
                del self._tokens[organisation]
                return
            self._tokens[organisation] = tokens + ratio
            self._tokens.move_to_end(organisation)

    def try_spend(self, organisation: state.OrganisationName) -> bool:
        """Take a token for one retry; return False if none is left."""
        burst = float(self._limits.organisation_retry_burst_count)
        with self._lock:
            tokens = self._tokens.get(organisation, burst)
            if self._total_tokens < 1 or tokens < 1:
                return False
            self._total_tokens -= 1
            self._tokens[organisation] = tokens - 1
            self._tokens.move_to_end(organisation)
            if len(self._tokens) > self._limits.idle_organisation_count:
                self._tokens.popitem(last=False)
            return True

    @property
    def tracked_count(self) -> int:
        """Number of organisations whose bucket is not full."""
        with self._lock:
            return len(self._tokens)
