"""Queue of membership updates to piggyback on other messages."""

import math
import threading

from skylarktack import state

#: An update is sent this many times the logarithm of the fleet size. It also
#: goes to all neighbours at once, and missed updates are repaired when
#: digests differ, so 1 is enough; 3 doubled the bytes while a fleet grows.
RETRANSMIT_FACTOR = 1


class UpdateQueue:
    """Updated member entries, the least often sent first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._updates: dict[state.InstanceName, state.Member] = {}
        self._sent_counts: dict[state.InstanceName, int] = {}

    def add(self, member: state.Member) -> None:
        """Add an update, replacing an earlier one of the same instance."""
        with self._lock:
            self._updates[member.name] = member
            self._sent_counts[member.name] = 0

    def next_batch(
        self, limit_count: int, fleet_count: int
    ) -> tuple[state.Member, ...]:
        """Return updates for one message and count each as sent once."""
        transmission_count = RETRANSMIT_FACTOR * math.ceil(
            math.log2(fleet_count + 1)
        )
        with self._lock:
            names = sorted(self._updates, key=self._sent_counts.__getitem__)
            batch: list[state.Member] = []
            for name in names[:limit_count]:
                batch.append(self._updates[name])
                self._sent_counts[name] += 1
                if self._sent_counts[name] >= transmission_count:
                    del self._updates[name]
                    del self._sent_counts[name]
            return tuple(batch)
