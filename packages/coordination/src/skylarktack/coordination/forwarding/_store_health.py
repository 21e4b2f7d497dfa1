"""State of the connection to the store, shared by all tasks that use it.

Failed calls are charged like others, so while the store is unavailable the
tasks of an instance make one call at a time, with exponential backoff, and the
first response lets all tasks continue.
"""

import random
import threading

from skylarktack.coordination.forwarding import _store_outage
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

#: Time after which the claim of a call without a reported result expires.
CLAIM_TIMEOUT_S = 6.0


class StoreHealth:
    """Allows one call at a time while the store is unavailable."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._outage = _store_outage.OutageTracker(clock.monotonic_s())
        self._is_unavailable = False
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._next_call_at_s = 0.0
        self._calling_kind: str | None = None
        self._called_at_s = 0.0
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

    def record_fault(
        self,
        kind: str,
        max_delay_s: float,
        failure: _store_outage.CallFailure | None = None,
    ) -> None:
        """Record that a call for the kind failed.

        :param max_delay_s: upper limit of the delay before the next call.
        :param failure: what it shows; None for a call that did not wait and
            failed at once.
        """
        now_s = self._clock.monotonic_s()
        if failure is None:
            failure = _store_outage.CallFailure(now_s, shows_outage=True)
        jitter = 0.5 + random.random() / 2
        with self._lock:
            self._outage.record_failure(failure)
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
            self._outage.record_response(now_s)
            self._is_unavailable = False
            self._calling_kind = None
            self._retry_delay_s = FIRST_RETRY_DELAY_S

    def record_peer_response(self) -> None:
        """Record that the store responds to a peer, so it has no outage.

        The delays after failed calls of this instance stay.
        """
        with self._lock:
            self._outage.discard()

    def has_responded_since(self, since_s: float) -> bool:
        """Return whether the store responded to a call after a time.

        :param since_s: monotonic time.
        """
        with self._lock:
            return self._outage.responded_at_s > since_s

    def may_have_expired(self, since_s: float) -> bool:
        """Return whether entries may have expired in an outage.

        :param since_s: monotonic time of the first failed call.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._outage.may_have_expired(since_s, now_s)
