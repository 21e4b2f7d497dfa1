"""What follows from the platform's list for one instance."""

from collections.abc import Sequence
import dataclasses

from skylarktack import state
from skylarktack.coordination.routing import _subsets


@dataclasses.dataclass(frozen=True)
class UsedSet:
    """Targets of one version that this instance sends work to."""

    #: Names in the order of the subset.
    names: tuple[state.TargetName, ...] = ()

    #: Hashes of the names.
    mixes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Arrangement:
    """The list as last seen and the subsets that follow from it."""

    #: Listed targets by name.
    targets: dict[state.TargetName, state.Target]

    #: Targets that get work from here, by version.
    used: dict[state.VersionName, UsedSet]

    #: Targets whose load this instance reads.
    watched: tuple[state.Target, ...]

    #: Names by the hash that digests carry; a hash that two targets share
    #: is left out.
    by_hash: dict[int, state.TargetName]


def arrange(
    name: state.InstanceName,
    targets: Sequence[state.Target],
    instances: Sequence[state.ListedInstance],
    settings: state.RoutingSettings,
) -> Arrangement:
    """Work out the subsets of one instance."""
    place, count = _subsets.instance_place(name, instances)
    ordered = _subsets.ordered_targets(targets)
    versions: dict[state.VersionName, list[state.Target]] = {}
    engines: list[state.Target] = []
    for target in ordered:
        if target.kind is state.TargetKind.ENGINE:
            engines.append(target)
        for version in target.versions:
            versions.setdefault(version, []).append(target)
    used: dict[state.VersionName, UsedSet] = {}
    for version, serving in versions.items():
        chosen = _subsets.used_targets(
            serving, place, count, settings.used_count
        )
        names = tuple(target.name for target in chosen)
        mixes = tuple(_subsets.name_hash(one) for one in names)
        used[version] = UsedSet(names, mixes)
    watched = _subsets.watched_targets(engines, place, count, settings)
    return Arrangement(
        {target.name: target for target in targets},
        used,
        tuple(watched),
        _by_hash(ordered),
    )


def _by_hash(
    targets: Sequence[state.Target],
) -> dict[int, state.TargetName]:
    found: dict[int, state.TargetName] = {}
    ambiguous: set[int] = set()
    for target in targets:
        mix = _subsets.name_hash(target.name)
        if mix in found:
            ambiguous.add(mix)
        found[mix] = target.name
    for mix in ambiguous:
        del found[mix]
    return found
