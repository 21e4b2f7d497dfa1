"""Recognition of entries in a restored store that are known to be outdated.

A store that comes back from a copy lists targets as they were seconds ago,
until they write their entries again. What this instance has learned of them
since must not be undone meanwhile.
"""

import math

from skylarktack.state import forwarding as data

#: Time after the first list of a restored store in which an entry may be that
#: of the copy. An entry expires after three heartbeat intervals unless its
#: target writes it again.
REWRITE_WINDOW_S = 5.0


class RestoredEntries:
    """Entries of the copy that are older than what is known of a target.

    The owner serialises the calls.
    """

    def __init__(self) -> None:
        self._window_end_s = -math.inf

    def record_restore(self) -> None:
        """Record that the next list is that of a restored store."""
        self._window_end_s = math.inf

    def record_list(self, now_s: float) -> None:
        """Record that a complete list was read."""
        self._window_end_s = min(self._window_end_s, now_s + REWRITE_WINDOW_S)

    def is_outdated(
        self,
        target: data.ListedTarget,
        known: data.ListedTarget,
        now_s: float,
    ) -> bool:
        """Return whether an entry is of the copy and older than another."""
        return now_s < self._window_end_s and _is_older(target, known)


def _is_older(target: data.ListedTarget, other: data.ListedTarget) -> bool:
    """Return whether an entry is known to be older than another.

    A target that is leaving does not become ready again in the same start.
    """
    if target.started_at_ms is None or other.started_at_ms is None:
        return False
    if target.sequence_number is None or other.sequence_number is None:
        return False
    order = (
        target.started_at_ms,
        target.sequence_number,
        target.is_leaving,
    )
    return order < (
        other.started_at_ms,
        other.sequence_number,
        other.is_leaving,
    )
