"""Tells an outage of the store from watches that merely ended early.

The store may cut off a watch that waits, or leave it without a response,
while it serves all other calls. Such a watch shows no outage; the failure of
a call that does not wait does.
"""

import dataclasses
import math

#: Entries of targets expire after three heartbeat intervals. No entry can
#: have expired in an outage that is shorter than this.
MIN_EXPIRY_OUTAGE_S = 2.0


@dataclasses.dataclass(frozen=True)
class CallFailure:
    """What a failed call shows of the store."""

    #: Monotonic time since which the store may not have responded.
    since_s: float

    #: Whether a store that is available would have responded to the call.
    shows_outage: bool


class OutageTracker:
    """Measures outages by failed calls; the owner serialises the calls.

    An outage begins with the first of the failures in succession, and only
    counts if one of them shows it.
    """

    def __init__(self, now_s: float) -> None:
        self._responded_at_s = now_s
        self._began_at_s: float | None = None
        self._is_shown = False
        self._expiry_outage_ended_at_s = -math.inf

    @property
    def responded_at_s(self) -> float:
        """Return the monotonic time of the last response."""
        return self._responded_at_s

    def record_failure(self, failure: CallFailure) -> None:
        """Record that a call failed."""
        since_s = max(failure.since_s, self._responded_at_s)
        if self._began_at_s is None or since_s < self._began_at_s:
            self._began_at_s = since_s
        self._is_shown = self._is_shown or failure.shows_outage

    def record_response(self, now_s: float) -> None:
        """Record that the store responded to a call of this instance."""
        if self._may_have_expired_by(now_s):
            self._expiry_outage_ended_at_s = now_s
        self._responded_at_s = now_s
        self.discard()

    def discard(self) -> None:
        """Forget the failures since the last response."""
        self._began_at_s = None
        self._is_shown = False

    def may_have_expired(self, since_s: float, now_s: float) -> bool:
        """Return whether entries may have expired in an outage.

        :param since_s: monotonic time of the first failed call.
        """
        if self._expiry_outage_ended_at_s >= since_s:
            return True
        return self._may_have_expired_by(now_s)

    def _may_have_expired_by(self, now_s: float) -> bool:
        if self._began_at_s is None or not self._is_shown:
            return False
        return now_s - self._began_at_s >= MIN_EXPIRY_OUTAGE_S
