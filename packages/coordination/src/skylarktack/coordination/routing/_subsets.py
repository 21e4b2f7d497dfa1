"""Which targets an instance watches and which it uses.

Instances and targets are ordered by region, failure domain and hash, and a
target's place in its order is mapped in proportion to a place in the other.
Both shares are therefore exactly balanced, and near places share a failure
domain. Rendezvous hashing would move fewer targets when an instance joins,
but leaves some targets with few watchers; moving costs nothing here.
"""

from collections.abc import Sequence
import zlib

from skylarktack import state

#: Fewest instances on average that use a target, half of them as neighbours.
USER_COUNT = 6

#: Golden ratio; its multiples are spread evenly over the unit interval.
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


def ordered_targets(targets: Sequence[state.Target]) -> list[state.Target]:
    """Return targets by region, failure domain and hash."""
    return sorted(targets, key=_target_key)


def instance_place(
    name: state.InstanceName, instances: Sequence[state.ListedInstance]
) -> tuple[int, int]:
    """Return this instance's place and the number of instances.

    An instance that the list does not show yet takes a place by its hash.
    """
    ordered = sorted(instances, key=_instance_key)
    for place, instance in enumerate(ordered):
        if instance.name == name:
            return place, len(ordered)
    count = max(1, len(ordered))
    return name_hash(name) % count, count


def watched_targets(
    ordered: Sequence[state.Target],
    place: int,
    instance_count: int,
    settings: state.RoutingSettings,
) -> list[state.Target]:
    """Return the targets that the instance at a place polls."""
    if not ordered:
        return []
    watchers = settings.watcher_count
    # In a small deployment each instance can afford more than its share.
    floor = settings.watched_floor_count * instance_count
    watchers = max(watchers, -(-floor // len(ordered)))
    watchers = min(watchers, instance_count)
    found: list[state.Target] = []
    for index, target in enumerate(ordered):
        home = index * instance_count // len(ordered)
        for replica in range(watchers):
            stride = replica * instance_count // watchers
            if (home + stride) % instance_count == place:
                found.append(target)
                break
    return found


def used_targets(
    ordered: Sequence[state.Target],
    place: int,
    instance_count: int,
    used_count: int,
) -> list[state.Target]:
    """Return the targets of one version that an instance sends work to.

    Half of them are neighbours in the order, mostly of the instance's own
    failure domain; the rest are spread evenly for the case that those are
    full or lost.
    """
    count = len(ordered)
    # Few instances in front of many targets: each uses more of them, or
    # some targets would have no user.
    used_count = max(used_count, -(-USER_COUNT * count // instance_count))
    if count <= used_count:
        return list(ordered)
    home = place * count // instance_count
    near_count = used_count // 2
    # The window is centred, so that all of a domain's instances share it.
    chosen = {
        (home + offset - near_count // 2) % count
        for offset in range(near_count)
    }
    far_count = used_count - near_count
    stride = (count - near_count) / far_count
    # A different phase at each place, or all places would share the same
    # far targets.
    phase = place * PHASE_STEP % 1.0
    begin = home + near_count - near_count // 2
    for index in range(far_count):
        chosen.add((begin + int((index + phase) * stride)) % count)
    return [ordered[index] for index in sorted(chosen)]
