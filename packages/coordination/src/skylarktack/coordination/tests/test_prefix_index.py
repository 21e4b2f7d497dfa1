"""Tests of the index of cached prompt prefixes."""

import pytest

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.coordination.tests import routing_harness


def added(sequence: int, name: str) -> ports.CacheEvent:
    """Return the event for a block added to the cache."""
    return ports.CacheEvent(sequence, name, True)


class TestPrefixIndex:
    """Guards against stale cache entries and unbounded memory."""

    TARGET = state.TargetName('engine-0')

    @pytest.mark.parametrize(
        ('factor', 'remaining_count'),
        [(1.0, 2), (2.0, 1), (-1.0, 0), (0.0, 3)],
    )
    def test_event_gap_drops_oldest_blocks(
        self, factor: float, remaining_count: int
    ) -> None:
        """A missed event may be a removal; factor 0 disables the drop."""
        index = routing.PrefixIndex(
            state.RoutingSettings(gap_drop_factor=factor)
        )
        names = ['a', 'b', 'c']
        index.apply_events(
            self.TARGET, [added(n + 1, name) for n, name in enumerate(names)]
        )
        index.apply_events(self.TARGET, [added(5, 'd')])
        known = [n for n in names if index.cached_count(self.TARGET, [n])]
        assert len(known) == remaining_count
        assert index.cached_count(self.TARGET, ['d']) == 1

    def test_duplicate_events_are_ignored(self) -> None:
        """A duplicate removal must not remove a block added later."""
        index = routing.PrefixIndex(state.RoutingSettings())
        index.apply_events(
            self.TARGET, [added(1, 'a'), ports.CacheEvent(2, 'a', False)]
        )
        index.apply_events(self.TARGET, [added(3, 'a')])
        index.apply_events(self.TARGET, [ports.CacheEvent(2, 'a', False)])
        assert index.cached_count(self.TARGET, ['a']) == 1

    def test_memory_is_bounded(self) -> None:
        """Blocks are bounded for each target and in total."""
        settings = state.RoutingSettings(
            prefix_target_count=10, prefix_total_count=25
        )
        index = routing.PrefixIndex(settings)
        names = [f'{n}' for n in range(40)]
        cached_total = 0
        for number in range(5):
            target = state.TargetName(f'engine-{number}')
            for name in names:
                index.record_assignment(target, [name])
        for number in range(5):
            target = state.TargetName(f'engine-{number}')
            cached_total += sum(index.cached_count(target, [n]) for n in names)
        assert 0 < cached_total <= 25

    def test_assignment_is_indexed_immediately(self) -> None:
        """A prompt goes to the target that has just been sent its prefix."""
        harness = routing_harness.RoutingHarness()
        prompt = 'x' * 640
        first = harness.select_targets(1, prompt)[0]
        assert set(harness.select_targets(20, prompt + 'tail')) == {first}
