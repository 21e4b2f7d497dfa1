"""Deterministic subsets of targets that an instance polls and uses.

Instances and targets are each sorted by region, failure domain and name hash,
and positions in one order are mapped proportionally to positions in the other.
This balances both subsets exactly, and neighbouring positions mostly share a
failure domain. Rendezvous hashing would reassign fewer targets when an
instance joins, but leaves some targets with few watchers; reassigning a target
costs nothing here.
"""

from collections.abc import Sequence
import zlib

from skylarktack import state

#: Minimum average number of instances that use a target, half of them as
#: neighbours in the order.
MINIMUM_USER_COUNT = 6

#: Fractional part of the golden ratio; its multiples modulo 1 are spread
#: evenly over the unit interval.
PHASE_STEP = 0.618034


def name_hash(name: str) -> int:
    """Return the 32-bit hash of a name."""
    return zlib.crc32(name.encode())


def _target_key(target: state.Target) -> tuple[str, str, int, str]:
    return (
        target.region,
        target.failure_domain,
        name_hash(target.name),
        target.name,
    )


def _instance_key(
    instance: state.ListedInstance,
) -> tuple[str, str, int, str]:
    return (
        instance.region,
        instance.failure_domain,
        name_hash(instance.name),
        instance.name,
    )


def sort_targets(targets: Sequence[state.Target]) -> list[state.Target]:
    """Return the targets sorted by region, failure domain and name hash."""
    return sorted(targets, key=_target_key)


def instance_position(
    name: state.InstanceName, instances: Sequence[state.ListedInstance]
) -> tuple[int, int]:
    """Return the position of an instance and the number of instances.

    An instance that is not listed yet gets a position by its name hash.
    """
    ordered = sorted(instances, key=_instance_key)
    for position, instance in enumerate(ordered):
        if instance.name == name:
            return position, len(ordered)
    count = max(1, len(ordered))
    return name_hash(name) % count, count


def watched_targets(
    ordered: Sequence[state.Target],
    position: int,
    instance_count: int,
    settings: state.RoutingSettings,
) -> list[state.Target]:
    """Return the targets whose load the instance at ``position`` polls."""
    if not ordered:
        return []
    watchers = settings.watcher_count
    # In a small deployment each instance can poll more than its share.
    floor = settings.watched_floor_count * instance_count
    watchers = max(watchers, -(-floor // len(ordered)))
    watchers = min(watchers, instance_count)
    watched: list[state.Target] = []
    for index, target in enumerate(ordered):
        home = index * instance_count // len(ordered)
        for replica in range(watchers):
            stride = replica * instance_count // watchers
            if (home + stride) % instance_count == position:
                watched.append(target)
                break
    return watched


def select_subset(
    ordered: Sequence[state.Target],
    position: int,
    instance_count: int,
    used_count: int,
) -> list[state.Target]:
    """Return the targets of one version to which an instance sends requests.

    Half of them are neighbours in the order, mostly in the failure domain of
    the instance. The others are spread evenly over the order and take over
    when the neighbours are full or unavailable.
    """
    count = len(ordered)
    # With few instances and many targets, each instance uses more targets;
    # otherwise some targets would be used by no instance.
    used_count = max(
        used_count, -(-MINIMUM_USER_COUNT * count // instance_count)
    )
    if count <= used_count:
        return list(ordered)
    home = position * count // instance_count
    neighbour_count = used_count // 2
    # The window is centred on the home position, so that all instances of a
    # failure domain share it.
    chosen = {
        (home + offset - neighbour_count // 2) % count
        for offset in range(neighbour_count)
    }
    spread_count = used_count - neighbour_count
    stride = (count - neighbour_count) / spread_count
    # Each position has a different phase; otherwise all instances would use
    # the same distant targets.
    phase = position * PHASE_STEP % 1.0
    spread_start = home + neighbour_count - neighbour_count // 2
    for index in range(spread_count):
        chosen.add((spread_start + int((index + phase) * stride)) % count)
    return [ordered[index] for index in sorted(chosen)]
