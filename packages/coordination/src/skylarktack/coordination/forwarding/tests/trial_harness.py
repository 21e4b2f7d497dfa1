"""Harness of the tests of versions on trial."""

import collections
import dataclasses

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data

VERSIONS = ('v1', 'v2', 'v3')

Key = tuple[str, str]


class Store:
    """Keeps records; fails as often as the test says."""

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque()
        self.stored: dict[Key, data.VersionTrial] = {}
        self.reads: list[bool] = []
        self.write_count = 0

    def load(self, may_be_stale: bool) -> tuple[data.VersionTrial, ...] | None:
        """Return all records."""
        self.reads.append(may_be_stale)
        if self._fails():
            return None
        return tuple(self.stored.values())

    def save(self, trial: data.VersionTrial) -> bool:
        """Keep a record unless there is one."""
        self.write_count += 1
        if self._fails():
            return False
        self.stored.setdefault((trial.service, trial.version), trial)
        return True

    def remove(self, service: str, version: str) -> bool:
        """Remove a record."""
        self.write_count += 1
        if self._fails():
            return False
        self.stored.pop((service, version), None)
        return True

    def _fails(self) -> bool:
        return bool(self.failures) and self.failures.popleft()


@dataclasses.dataclass
class Rank:
    """Place of the instance in the fleet."""

    value: int = 0

    def rank(self) -> int:
        """Return the rank of the instance."""
        return self.value


@dataclasses.dataclass
class Instance:
    """An instance that has listed targets of three versions."""

    env: harness.Harness
    keeper: forwarding.TrialKeeper
    rank: Rank
    era: forwarding.StoreEra

    def apply(self, order: data.MoveOrder | None) -> None:
        """Apply an order, or its removal."""
        self.env.moves.apply(data.MoveChange('pool', order))

    def restore(self) -> None:
        """Let the keeper run after a restore of the store."""
        self.era.record(self.era.current + 1)
        self.run_keeper()

    def run_keeper(self) -> None:
        """Run what the task does after each wait."""
        for _ in range(2):
            self.keeper.write_changes()
            self.keeper.check_restore()

    def used_versions(self) -> set[str]:
        """Return the versions to which one of 400 requests may be sent."""
        used = set()
        for _ in range(400):
            rule = self.env.moves.choose_versions('pool')
            for version in VERSIONS:
                others = frozenset(
                    f'target-{other}' for other in VERSIONS if other != version
                )
                if self.env.targets.choose_for_call('pool', others, rule):
                    used.add(version)
        return used


def _target(version: str) -> data.ListedTarget:
    return dataclasses.replace(
        harness.target(f'target-{version}'), version=version
    )


def start(
    store: Store,
    rank: int = 0,
    versions: tuple[str, ...] = VERSIONS,
) -> Instance:
    """Return an instance that has not read the records."""
    env = harness.make_harness(*[_target(version) for version in versions])
    env.moves.set_topology(forwarding.AggregationTopology('instance-0', 1))
    env.moves.trials = forwarding.VersionTrials(env.clock, env.log)
    place = Rank(rank)
    era = forwarding.StoreEra(env.log)
    era.record(5)
    keeper = forwarding.TrialKeeper(
        env.clock, env.moves, store, place, era, env.targets.is_synced
    )
    return Instance(env, keeper, place, era)


def order(
    version: str, phase: state.MovePhase = state.MovePhase.PLANNED
) -> data.MoveOrder:
    """Return an order to move the service to a version."""
    return dataclasses.replace(
        move_harness.order(5, phase), to_version=version
    )


def store_with_move_to_v2() -> Store:
    """Return a store that has the record of a move to version 2."""
    store = Store()
    first = start(store)
    first.keeper.read()
    first.apply(order('v2'))
    first.keeper.write_changes()
    return store
