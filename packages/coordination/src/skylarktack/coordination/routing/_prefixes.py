"""Index of the prompt prefixes that targets probably have cached."""

import collections
from collections.abc import Sequence
import threading

from skylarktack import state
from skylarktack.coordination import ports


class PrefixIndex:
    """Bounded, approximate index of cached prefix blocks by target.

    Blocks are added immediately on this instance's own assignments, and later
    from cache events. Since a missed event may be a removal, a gap of n
    events drops the n oldest blocks of the target: a bounded cache evicts
    its oldest blocks first.
    """

    def __init__(self, settings: state.RoutingSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._blocks: dict[
            state.TargetName, collections.OrderedDict[str, None]
        ] = {}
        self._holders: dict[str, set[state.TargetName]] = {}
        self._last_sequences: dict[state.TargetName, int] = {}
        self._total_count = 0

    def last_sequence(self, target: state.TargetName) -> int:
        """Return the sequence number of the last applied cache event."""
        with self._lock:
            return self._last_sequences.get(target, 0)

    def record_assignment(
        self, target: state.TargetName, hashes: Sequence[str]
    ) -> None:
        """Record that a prompt was sent to a target."""
        with self._lock:
            # The blocks of a longer prompt would evict all others.
            for prefix in hashes[: self._settings.prefix_target_count]:
                self._add(target, prefix)

    def apply_events(
        self,
        target: state.TargetName,
        events: Sequence[ports.CacheEvent],
    ) -> None:
        """Apply cache events in order; the sequence may have gaps."""
        with self._lock:
            for event in events:
                last_applied = self._last_sequences.get(target)
                if last_applied is not None and event.sequence <= last_applied:
                    continue
                if (
                    last_applied is not None
                    and event.sequence > last_applied + 1
                ):
                    self._drop_oldest(
                        target, event.sequence - last_applied - 1
                    )
                self._last_sequences[target] = event.sequence
                if event.added:
                    self._add(target, event.prefix_hash)
                    continue
                self._remove(target, event.prefix_hash)

    def forget(self, target: state.TargetName) -> None:
        """Drop all blocks of a target that restarted or left."""
        with self._lock:
            for prefix in list(self._blocks.get(target, ())):
                self._remove(target, prefix)
            self._blocks.pop(target, None)
            self._last_sequences.pop(target, None)

    def cached_count(
        self, target: state.TargetName, hashes: Sequence[str]
    ) -> int:
        """Return the number of leading prompt blocks probably cached."""
        with self._lock:
            blocks = self._blocks.get(target)
            if not blocks:
                return 0
            low, high = 0, len(hashes)
            while low < high:
                middle = (low + high + 1) // 2
                if hashes[middle - 1] in blocks:
                    low = middle
                    continue
                high = middle - 1
            return low

    def holders(
        self, hashes: Sequence[str], limit_count: int
    ) -> tuple[state.TargetName, ...]:
        """Return targets that have the longest known prefix cached."""
        with self._lock:
            low, high = 0, len(hashes)
            while low < high:
                middle = (low + high + 1) // 2
                if hashes[middle - 1] in self._holders:
                    low = middle
                    continue
                high = middle - 1
            if low == 0:
                return ()
            # Sorted because the iteration order of a set of strings differs
            # between processes.
            names = sorted(self._holders[hashes[low - 1]])
            return tuple(names[:limit_count])

    def _add(self, target: state.TargetName, prefix: str) -> None:
        blocks = self._blocks.setdefault(target, collections.OrderedDict())
        if prefix in blocks:
            blocks.move_to_end(prefix)
            return
        blocks[prefix] = None
        self._holders.setdefault(prefix, set()).add(target)
        self._total_count += 1
        if len(blocks) > self._settings.prefix_target_count:
            self._remove(target, next(iter(blocks)))
        if self._total_count > self._settings.prefix_total_count:
            self._remove(target, next(iter(blocks)))

    def _remove(self, target: state.TargetName, prefix: str) -> None:
        blocks = self._blocks.get(target)
        if blocks is None or prefix not in blocks:
            return
        del blocks[prefix]
        self._total_count -= 1
        holders = self._holders[prefix]
        holders.discard(target)
        if not holders:
            del self._holders[prefix]

    def _drop_oldest(
        self, target: state.TargetName, missing_count: int
    ) -> None:
        blocks = self._blocks.get(target)
        if blocks is None:
            return
        factor = self._settings.gap_drop_factor
        count = len(blocks)
        if factor >= 0:
            count = min(count, round(missing_count * factor))
        for _ in range(count):
            self._remove(target, next(iter(blocks)))
