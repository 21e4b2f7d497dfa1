"""Whether the store answers this instance, shared by all that ask it.

While the store is away each failed call still has its price, so the tasks of
an instance take turns: one call is made at a time, after a growing delay, and
the first answer lets all of them go on.
"""

import math
import random
import threading

from skylarktack.coordination.ports import Clock

#: First and longest wait after a call to the store failed. A store that is
#: back has to be noticed well within the time that a change may take.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.6

#: Longest wait before the first list was read, while nothing can be served.
LONGEST_FIRST_RETRY_S = 0.25

#: Head start of the other kinds over the one whose call failed last, so that
#: a fault of one kind alone does not keep the others waiting.
OTHER_KIND_LEAD_S = 0.15

#: Entries of targets expire after three intervals of their heartbeat. A store
#: that answered this short a time ago cannot have let any expire.
LAPSE_SILENCE_S = 2.0

#: Time after which a call that was never reported no longer holds the turn.
CALL_LIMIT_S = 6.0


class StoreHealth:
    """Lets one task at a time ask a store that does not answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._answered_at_s = clock.monotonic_s()
        self._is_lost = False
        self._retry_s = FIRST_RETRY_S
        self._next_call_at_s = 0.0
        self._asking_kind: str | None = None
        self._asked_at_s = 0.0
        self._lapse_ended_at_s = -math.inf
        self._failed_kind: str | None = None

    def claim_call(self, kind: str) -> bool:
        """Return whether a call for the kind may be made now.

        A caller that gets the turn has to report how its call ended.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not self._is_lost:
                return True
            is_asking = now_s < self._asked_at_s + CALL_LIMIT_S
            if self._asking_kind is not None and is_asking:
                return False
            wait_s = OTHER_KIND_LEAD_S if kind == self._failed_kind else 0.0
            if now_s < self._next_call_at_s + wait_s:
                return False
            self._asking_kind = kind
            self._asked_at_s = now_s
            return True

    def note_fault(self, kind: str, longest_retry_s: float) -> None:
        """Note that a call for the kind failed.

        :param longest_retry_s: longest wait before the next call.
        """
        now_s = self._clock.monotonic_s()
        jitter = 0.5 + random.random() / 2
        with self._lock:
            if self._is_lost and self._asking_kind != kind:
                # A call that was on its way when the store was lost.
                return
            self._is_lost = True
            self._asking_kind = None
            self._failed_kind = kind
            self._next_call_at_s = now_s + self._retry_s * jitter
            self._retry_s = min(longest_retry_s, self._retry_s * 2)

    def note_answer(self) -> None:
        """Note that the store answered a call."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            silence_s = now_s - self._answered_at_s
            if self._is_lost and silence_s >= LAPSE_SILENCE_S:
                self._lapse_ended_at_s = now_s
            self._answered_at_s = now_s
            self._is_lost = False
            self._asking_kind = None
            self._retry_s = FIRST_RETRY_S

    def may_have_lapsed(self, since_s: float) -> bool:
        """Return whether entries may have expired for want of a store.

        :param since_s: monotonic time of the first failed call.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._lapse_ended_at_s >= since_s:
                return True
            silence_s = now_s - self._answered_at_s
            return self._is_lost and silence_s >= LAPSE_SILENCE_S
