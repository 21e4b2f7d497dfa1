"""State of the connection to the store, shared by all tasks that use it.

Failed calls are charged like others, so while the store is unavailable the
tasks of an instance make one call at a time, with exponential backoff, and the
first response lets all tasks continue.
"""

import math
import random
import threading

from skylarktack.coordination.ports import Clock

#: Initial and maximum delay after a failed call. The end of an outage has to
#: be noticed well within the time in which a change must take effect.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.6

#: Maximum delay until the first list is read: no request can be served before.
MAX_FIRST_RETRY_DELAY_S = 0.25

#: Additional delay for the kind whose call failed last, so that a fault of
#: one kind alone does not block the others.
FAILED_KIND_DELAY_S = 0.15

#: Entries of targets expire after three heartbeat intervals. No entry can
#: have expired in an outage that is shorter than this.
MIN_EXPIRY_OUTAGE_S = 2.0

#: Time after which the claim of a call without a reported result expires.
CLAIM_TIMEOUT_S = 6.0


class StoreHealth:
    """Allows one call at a time while the store is unavailable."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._responded_at_s = clock.monotonic_s()
        self._is_unavailable = False
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._next_call_at_s = 0.0
        self._calling_kind: str | None = None
        self._called_at_s = 0.0
        self._expiry_outage_ended_at_s = -math.inf
        self._failed_kind: str | None = None

    def claim_call(self, kind: str) -> bool:
        """Return whether a call for the kind may be made now.

        The caller must report the result with record_response or record_fault.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not self._is_unavailable:
                return True
            is_calling = now_s < self._called_at_s + CLAIM_TIMEOUT_S
            if self._calling_kind is not None and is_calling:
                return False
            extra_delay_s = (
                FAILED_KIND_DELAY_S if kind == self._failed_kind else 0.0
            )
            if now_s < self._next_call_at_s + extra_delay_s:
                return False
            self._calling_kind = kind
            self._called_at_s = now_s
            return True

    def record_fault(self, kind: str, max_delay_s: float) -> None:
        """Record that a call for the kind failed.

        :param max_delay_s: upper limit of the delay before the next call.
        """
        now_s = self._clock.monotonic_s()
        jitter = 0.5 + random.random() / 2
        with self._lock:
            if self._is_unavailable and self._calling_kind != kind:
                # The call started before the store became unavailable.
                return
            self._is_unavailable = True
            self._calling_kind = None
            self._failed_kind = kind
            self._next_call_at_s = now_s + self._retry_delay_s * jitter
            self._retry_delay_s = min(max_delay_s, self._retry_delay_s * 2)

    def record_response(self) -> None:
        """Record that the store responded to a call."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            outage_s = now_s - self._responded_at_s
            if self._is_unavailable and outage_s >= MIN_EXPIRY_OUTAGE_S:
                self._expiry_outage_ended_at_s = now_s
            self._responded_at_s = now_s
            self._is_unavailable = False
            self._calling_kind = None
            self._retry_delay_s = FIRST_RETRY_DELAY_S

    def has_responded_since(self, since_s: float) -> bool:
        """Return whether the store responded to a call after a time.

        :param since_s: monotonic time.
        """
        with self._lock:
            return self._responded_at_s > since_s

    def may_have_expired(self, since_s: float) -> bool:
        """Return whether entries may have expired in an outage.

        :param since_s: monotonic time of the first failed call.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._expiry_outage_ended_at_s >= since_s:
                return True
            outage_s = now_s - self._responded_at_s
            return self._is_unavailable and outage_s >= MIN_EXPIRY_OUTAGE_S
