"""News that is passed on with other messages."""

import math
import threading

from skylarktack import state

#: Multiple of the logarithm of the fleet's size that one piece of news is
#: sent. News also goes to all neighbours at once, and differing digests
#: repair what is missed, so one is enough; three cost twice the bytes while
#: a fleet grows.
REPEAT_FACTOR = 1


class RumourQueue:
    """Changed instances, those that were sent least often first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._news: dict[state.InstanceName, state.Member] = {}
        self._sent_counts: dict[state.InstanceName, int] = {}

    def add(self, member: state.Member) -> None:
        """Add news; older news of the same instance is dropped."""
        with self._lock:
            self._news[member.name] = member
            self._sent_counts[member.name] = 0

    def take(
        self, limit_count: int, fleet_count: int
    ) -> tuple[state.Member, ...]:
        """Return news for one message and count it as sent once."""
        repeat_count = REPEAT_FACTOR * math.ceil(math.log2(fleet_count + 1))
        with self._lock:
            names = sorted(self._news, key=self._sent_counts.__getitem__)
            taken: list[state.Member] = []
            for name in names[:limit_count]:
                taken.append(self._news[name])
                self._sent_counts[name] += 1
                if self._sent_counts[name] >= repeat_count:
                    del self._news[name]
                    del self._sent_counts[name]
            return tuple(taken)
