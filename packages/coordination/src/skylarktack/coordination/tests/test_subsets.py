"""Tests of the subsets of targets that an instance polls and uses."""

import pytest

from skylarktack import state
from skylarktack.coordination import routing
from skylarktack.coordination.tests import routing_harness

SUBSETS = [
    # instances, targets, failure domains
    (9, 24, 4),
    (7, 20, 4),
    (340, 2700, 13),
    (72, 2700, 13),
    (3, 1, 1),
]


class TestSubsets:
    """Guards against targets polled or used by too few instances."""

    @pytest.mark.parametrize(('instances', 'targets', 'domains'), SUBSETS)
    def test_subsets_are_balanced(
        self, instances: int, targets: int, domains: int
    ) -> None:
        """Watchers, users and watched targets are evenly distributed."""
        settings = state.RoutingSettings()
        ordered = routing.sort_targets(
            [routing_harness.make_target(n, domains) for n in range(targets)]
        )
        listed = [
            routing_harness.make_instance(n, domains) for n in range(instances)
        ]
        watchers: dict[str, int] = {item.name: 0 for item in ordered}
        users = dict(watchers)
        watched_counts: list[int] = []
        for instance in listed:
            position, count = routing.instance_position(instance.name, listed)
            watched = routing.watched_targets(
                ordered, position, count, settings
            )
            watched_counts.append(len(watched))
            for target in watched:
                watchers[target.name] += 1
            for target in routing.select_subset(
                ordered, position, count, settings.used_count
            ):
                users[target.name] += 1
        assert min(watchers.values()) >= min(2, instances)
        assert max(watched_counts) - min(watched_counts) <= 4
        mean = sum(users.values()) / targets
        assert mean >= min(6, instances)
        # Half of the users are neighbours, regardless of the distant targets
        # that an instance selects.
        assert min(users.values()) >= min(3, instances)
