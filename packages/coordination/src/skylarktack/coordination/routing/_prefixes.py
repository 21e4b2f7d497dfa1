"""Which prompt prefixes a target probably has in its cache."""

import collections
from collections.abc import Sequence
import threading

from skylarktack import state
from skylarktack.coordination import ports


class PrefixIndex:
    """Owner of the hints about cached prefixes; bounded in memory.

    Hints come from own assignments at once and from cache events late. A
    missing event may have removed a block, so a gap of n events drops the n
    oldest blocks of the target: a bounded cache removes the oldest first.
    """

    def __init__(self, settings: state.RoutingSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._blocks: dict[
            state.TargetName, collections.OrderedDict[str, None]
        ] = {}
        self._holders: dict[str, set[state.TargetName]] = {}
        self._sequence: dict[state.TargetName, int] = {}
        self._total_count = 0

    def last_sequence(self, target: state.TargetName) -> int:
        """Return the sequence number of the last event taken in."""
        with self._lock:
            return self._sequence.get(target, 0)

    def assigned(
        self, target: state.TargetName, hashes: Sequence[str]
    ) -> None:
        """Take in that a prompt was sent to a target."""
        with self._lock:
            # Longer prompts would push out everything else.
            for prefix in hashes[: self._settings.prefix_target_count]:
                self._add(target, prefix)

    def apply_events(
        self,
        target: state.TargetName,
        events: Sequence[ports.CacheEvent],
    ) -> None:
        """Take in cache events, which may have gaps."""
        with self._lock:
            for event in events:
                last = self._sequence.get(target)
                if last is not None and event.sequence <= last:
                    continue
                if last is not None and event.sequence > last + 1:
                    self._drop_oldest(target, event.sequence - last - 1)
                self._sequence[target] = event.sequence
                if event.added:
                    self._add(target, event.prefix_hash)
                    continue
                self._remove(target, event.prefix_hash)

    def forget(self, target: state.TargetName) -> None:
        """Drop everything about a target, which restarted or left."""
        with self._lock:
            for prefix in list(self._blocks.get(target, ())):
                self._remove(target, prefix)
            self._blocks.pop(target, None)
            self._sequence.pop(target, None)

    def cached_count(
        self, target: state.TargetName, hashes: Sequence[str]
    ) -> int:
        """Return how many leading blocks of a prompt are probably cached."""
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
        """Return targets that hold the longest known prefix."""
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
            # The order must not depend on the process's string hashing.
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
