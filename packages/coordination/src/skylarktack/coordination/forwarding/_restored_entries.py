"""Recognition of entries in a restored store that are known to be outdated.

A store that comes back from a copy lists targets as they were seconds ago,
until they write their entries again. What this instance has learned of them
since must not be undone meanwhile.
"""

import math

from skylarktack.state import forwarding as data

#: Time after the first list of a restored store in which an entry may be that
#: of the copy. An entry expires after three heartbeat intervals, 3.6 s by
#: default, unless its target writes it again.
REWRITE_WINDOW_S = 5.0


class RestoredEntries:
    """Whether entries may be those of the copy.

    The owner serialises the calls.
    """

    def __init__(self) -> None:
        #: Monotonic time at which the last restore was noticed.
        self.restored_at_s = -math.inf
        self._window_end_s = -math.inf

    def record_restore(self, now_s: float) -> None:
        """Record that the next list is that of a restored store."""
        self.restored_at_s = now_s
        self._window_end_s = math.inf

    def record_list(self, now_s: float) -> None:
        """Record that a complete list was read."""
        self._window_end_s = min(self._window_end_s, now_s + REWRITE_WINDOW_S)

    def is_being_rewritten(self, now_s: float) -> bool:
        """Return whether some entries may not have been written again."""
        return now_s < self._window_end_s

    def is_outdated(
        self,
        target: data.ListedTarget,
        known: data.ListedTarget,
        now_s: float,
    ) -> bool:
        """Return whether an entry is of the copy and older than another."""
        return self.is_being_rewritten(now_s) and is_older(target, known)


def are_comparable(
    target: data.ListedTarget, other: data.ListedTarget
) -> bool:
    """Return whether it can be known which of two entries is older."""
    for entry in (target, other):
        if entry.started_at_ms is None or entry.sequence_number is None:
            return False
    return True


def is_older(target: data.ListedTarget, other: data.ListedTarget) -> bool:
    """Return whether an entry is known to be older than another.

    A target that is leaving does not become ready again in the same start.
    """
    if not are_comparable(target, other):
        return False
    return _order(target) < _order(other)


def _order(target: data.ListedTarget) -> tuple[int, int, bool]:
    return (
        target.started_at_ms or 0,
        target.sequence_number or 0,
        target.is_leaving,
    )
