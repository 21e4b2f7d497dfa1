"""A token bucket that requests fill and retries empty."""

import threading

from skylarktack import state


class TokenRetryBudget:
    """Retries as a share of requests, over all organisations."""

    def __init__(self, settings: state.RetrySettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._tokens = float(settings.budget_burst_count)

    def record_request(self, organisation: state.OrganisationName) -> None:
        """Count a first attempt, which earns a share of a retry."""
        with self._lock:
            self._tokens = min(
                float(self._settings.budget_burst_count),
                self._tokens + self._settings.budget_ratio,
            )

    def try_spend(self, organisation: state.OrganisationName) -> bool:
        """Take one retry from the budget."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
