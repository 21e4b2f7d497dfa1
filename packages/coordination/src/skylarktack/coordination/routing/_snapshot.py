"""Snapshot of the platform's target list and the subsets derived from it."""

from collections.abc import Sequence
import dataclasses

from skylarktack import state
from skylarktack.coordination.routing import _subsets


@dataclasses.dataclass(frozen=True)
class TargetSubset:
    """Targets of one version to which this instance sends requests."""

    #: Names, ordered by region, failure domain and name hash.
    names: tuple[state.TargetName, ...] = ()

    #: 32-bit hashes of the names, in the same order.
    rendezvous_hashes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class TargetSnapshot:
    """Latest target list with the subsets derived from it."""

    #: Listed targets by name.
    targets: dict[state.TargetName, state.Target]

    #: Targets to which this instance sends requests, by version.
    used: dict[state.VersionName, TargetSubset]

    #: Targets whose load this instance polls.
    watched: tuple[state.Target, ...]

    #: Target names by the hash used in load digests. Hashes shared by two
    #: targets are omitted because they are ambiguous.
    names_by_hash: dict[int, state.TargetName]


def build_snapshot(
    name: state.InstanceName,
    targets: Sequence[state.Target],
    instances: Sequence[state.ListedInstance],
    settings: state.RoutingSettings,
) -> TargetSnapshot:
    """Build the snapshot of the instance ``name`` from the latest lists."""
    position, count = _subsets.instance_position(name, instances)
    ordered = _subsets.sort_targets(targets)
    versions: dict[state.VersionName, list[state.Target]] = {}
    engines: list[state.Target] = []
    for target in ordered:
        if target.kind is state.TargetKind.ENGINE:
            engines.append(target)
        for version in target.versions:
            versions.setdefault(version, []).append(target)
    used: dict[state.VersionName, TargetSubset] = {}
    for version, serving in versions.items():
        selected = _subsets.select_subset(
            serving, position, count, settings.used_count
        )
        names = tuple(target.name for target in selected)
        rendezvous_hashes = tuple(
            _subsets.name_hash(target_name) for target_name in names
        )
        used[version] = TargetSubset(names, rendezvous_hashes)
    watched = _subsets.watched_targets(engines, position, count, settings)
    return TargetSnapshot(
        {target.name: target for target in targets},
        used,
        tuple(watched),
        _build_names_by_hash(ordered),
    )


def _build_names_by_hash(
    targets: Sequence[state.Target],
) -> dict[int, state.TargetName]:
    found: dict[int, state.TargetName] = {}
    ambiguous: set[int] = set()
    for target in targets:
        hashed_name = _subsets.name_hash(target.name)
        if hashed_name in found:
            ambiguous.add(hashed_name)
        found[hashed_name] = target.name
    for hashed_name in ambiguous:
        del found[hashed_name]
    return found
