"""Which instances write the stored records that all instances know.

Those of the lowest ranks write, one after the other, so that a later one skips
what an earlier one has written. After a restore of the store they compare its
records with what they know.
"""

import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _restore_pause
from skylarktack.coordination.forwarding import _store_era
from skylarktack.coordination.ports import Clock

#: Instances that write, those of the lowest ranks.
WRITER_COUNT = 2

#: Time by which an instance waits longer than the one of the next lower rank
#: before it writes a record, also the phase of a move.
RANK_DELAY_S = 0.5

#: Time after a restore at which the records are compared a second time. By
#: then a writer that failed during the first comparison has expired as a peer,
#: also in a fleet of 340, and the next rank compares.
COMPARE_AGAIN_S = 45.0


class RankSource(Protocol):
    """Gives the rank of this instance."""

    def rank(self) -> int:
        """Return the rank of this instance among the live ones, from 0."""
        ...


class WriterOrder:
    """Order of the writers by rank, as seen by this instance."""

    def __init__(self, clock: Clock, fleet: RankSource) -> None:
        self._clock = clock
        self._fleet = fleet
        self._never_set = threading.Event()

    def is_writer(self) -> bool:
        """Return whether this instance is one of those that write."""
        return self._fleet.rank() < WRITER_COUNT

    def wait(self) -> bool:
        """Wait for writers of lower ranks; return whether this one writes."""
        preceding_count = min(self._fleet.rank(), WRITER_COUNT)
        if preceding_count > 0:
            self._clock.wait(self._never_set, RANK_DELAY_S * preceding_count)
        return self.is_writer()


class RestoreChecks:
    """Tells when records have to be compared with a restored store."""

    def __init__(
        self,
        clock: Clock,
        era: _store_era.StoreEra,
        writer_order: WriterOrder,
        wake: threading.Event,
    ) -> None:
        """Create checks.

        :param wake: set when the store has been restored.
        """
        self._clock = clock
        self._writer_order = writer_order
        self._compare_again_at_s: float | None = None
        self._pause = _restore_pause.RestorePause(clock)
        self._never_set = threading.Event()
        self._is_restored = threading.Event()
        era.add_listener(self._is_restored)
        # Set last, since the task then looks at the event above.
        era.add_listener(wake)

    def wait_if_due(self) -> bool:
        """Return whether to compare now, after writers of lower ranks."""
        if self._is_restored.is_set():
            self._pause.wait(self._never_set)
            self._is_restored.clear()
            now_s = self._clock.monotonic_s()
            self._compare_again_at_s = now_s + COMPARE_AGAIN_S
            return self._writer_order.wait()
        if self._compare_again_at_s is None:
            return False
        if self._clock.monotonic_s() < self._compare_again_at_s:
            return False
        self._compare_again_at_s = None
        return self._writer_order.wait()
