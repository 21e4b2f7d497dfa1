"""Tests of the index of cached prompt prefixes."""

import pytest

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.coordination.tests import routing_harness


def added(sequence: int, name: str) -> ports.CacheEvent:
    """Return the event of an added block."""
    return ports.CacheEvent(sequence, name, True)


class TestPrefixIndex:
    """Guards against stale knowledge of caches and unbounded memory."""

    TARGET = state.TargetName('engine-0')

    @pytest.mark.parametrize(
        ('factor', 'left'), [(1.0, 2), (2.0, 1), (-1.0, 0), (0.0, 3)]
    )
    def test_gap_drops_what_it_may_have_removed(
        self, factor: float, left: int
    ) -> None:
        """One missing event; factor 0 is the mechanism off."""
        index = routing.PrefixIndex(
            state.RoutingSettings(gap_drop_factor=factor)
        )
        names = ['a', 'b', 'c']
        index.apply_events(
            self.TARGET, [added(n + 1, name) for n, name in enumerate(names)]
        )
        index.apply_events(self.TARGET, [added(5, 'd')])
        known = [n for n in names if index.cached_count(self.TARGET, [n])]
        assert len(known) == left
        assert index.cached_count(self.TARGET, ['d']) == 1

    def test_late_and_repeated_events_change_nothing(self) -> None:
        """A removal that arrives twice removes no later addition."""
        index = routing.PrefixIndex(state.RoutingSettings())
        index.apply_events(
            self.TARGET, [added(1, 'a'), ports.CacheEvent(2, 'a', False)]
        )
        index.apply_events(self.TARGET, [added(3, 'a')])
        index.apply_events(self.TARGET, [ports.CacheEvent(2, 'a', False)])
        assert index.cached_count(self.TARGET, ['a']) == 1

    def test_memory_is_bounded(self) -> None:
        """Neither one target nor all together exceed their bound."""
        settings = state.RoutingSettings(
            prefix_target_count=10, prefix_total_count=25
        )
        index = routing.PrefixIndex(settings)
        names = [f'{n}' for n in range(40)]
        held = 0
        for number in range(5):
            target = state.TargetName(f'engine-{number}')
            for name in names:
                index.assigned(target, [name])
        for number in range(5):
            target = state.TargetName(f'engine-{number}')
            held += sum(index.cached_count(target, [n]) for n in names)
        assert 0 < held <= 25

    def test_own_assignment_attracts_the_same_prefix(self) -> None:
        """Later prompts with a prefix follow the first at once."""
        rig = routing_harness.Rig()
        prompt = 'x' * 640
        first = rig.chosen(1, prompt)[0]
        assert set(rig.chosen(20, prompt + 'tail')) == {first}
