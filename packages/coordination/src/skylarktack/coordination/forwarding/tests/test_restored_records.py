"""Records of the system itself that a restored store has lost."""

import collections
from collections.abc import Callable
import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data

#: Size of the largest fleet, and the rates that its store allows.
MAX_INSTANCE_COUNT = 340
READS_PER_S = 2000
WRITES_PER_S = 400


def _peer(number: int) -> data.ListedPeer:
    return data.ListedPeer(
        f'instance-{number}',
        data.Address(f'10.0.{number // 250}.{number % 250}', 7200),
    )


@dataclasses.dataclass
class _Registry:
    """Entries of instances; fails as often as the test says."""

    clock: fakes.SteppingClock
    listed: dict[str, data.Address] = dataclasses.field(default_factory=dict)
    failures: collections.deque[bool] = dataclasses.field(
        default_factory=collections.deque
    )
    #: What happens while the entries are listed, one for each list.
    actions: collections.deque[Callable[[], object]] = dataclasses.field(
        default_factory=collections.deque
    )
    #: Whether each list was allowed to be stale.
    lists: list[bool] = dataclasses.field(default_factory=list)
    #: Monotonic times of the calls.
    read_at_s: list[float] = dataclasses.field(default_factory=list)
    written_at_s: list[float] = dataclasses.field(default_factory=list)

    def register(
        self, peer: data.ListedPeer, may_be_stale: bool
    ) -> tuple[data.ListedPeer, ...] | None:
        """Register an instance unless it is listed."""
        self.lists.append(may_be_stale)
        self.read_at_s.append(self.clock.monotonic_s())
        if self.actions:
            self.actions.popleft()()
        if self.failures and self.failures.popleft():
            return None
        if self.listed.get(peer.instance) != peer.endpoint:
            self.listed[peer.instance] = peer.endpoint
            self.written_at_s.append(self.clock.monotonic_s())
            self.read_at_s.append(self.clock.monotonic_s())
        return tuple(
            data.ListedPeer(name, endpoint)
            for name, endpoint in self.listed.items()
        )


class _EndedError(Exception):
    """Ends a task that runs until the process ends."""


def _end() -> None:
    raise _EndedError


class _Discovery:
    """The discovery of one instance, with its fakes."""

    def __init__(
        self, number: int = 0, registry: _Registry | None = None
    ) -> None:
        self.clock = fakes.SteppingClock()
        if registry is None:
            registry = _Registry(self.clock)
        registry.clock = self.clock
        self.registry = registry
        self.era = forwarding.StoreEra(fakes.RecordingLog())
        self.era.record(5)
        peer = _peer(number)
        self.view = forwarding.FleetView(
            self.clock, fakes.RecordingLog(), peer.instance, peer.endpoint
        )
        self.task = forwarding.PeerDiscovery(
            self.clock, self.view, registry, peer, self.era
        )


class TestPeerDiscovery:
    """An entry that a restored store lacks is written again."""

    def test_restore_wakes_the_task(self) -> None:
        """Guards against an entry that is missing until the next list."""
        discovery = _Discovery()
        discovery.registry.actions.extend(
            (lambda: discovery.era.record(6), _end)
        )
        with pytest.raises(_EndedError):
            discovery.task.run()
        read_at_s = discovery.registry.read_at_s
        assert read_at_s[-1] - read_at_s[0] <= (
            discovery.task.MAX_RESTORE_DELAY_PER_INSTANCE_S
        )

    @pytest.mark.parametrize('failure_count', [0, 1, 3])
    def test_list_after_a_restore_is_up_to_date(
        self, failure_count: int
    ) -> None:
        """Guards against a stale list that has the lost entry."""
        discovery = _Discovery()
        discovery.task.step()
        discovery.era.record(6)
        discovery.registry.failures.extend([True] * failure_count)
        for _ in range(failure_count + 2):
            discovery.task.step()
        restored = [False] * (failure_count + 1)
        assert discovery.registry.lists == [True, *restored, True]

    def test_calls_of_the_largest_fleet(self) -> None:
        """Guards against a fleet that exceeds the rates of the store.

        All entries are lost, as after a restore at the first start.
        """
        listed = {}
        for number in range(MAX_INSTANCE_COUNT):
            listed[_peer(number).instance] = _peer(number).endpoint
        reads: collections.Counter[int] = collections.Counter()
        writes: collections.Counter[int] = collections.Counter()
        restored: dict[str, data.Address] = {}
        for number in range(MAX_INSTANCE_COUNT):
            discovery = _Discovery(number)
            discovery.registry.listed = listed
            discovery.task.step()
            discovery.registry.listed = restored
            discovery.registry.read_at_s.clear()
            discovery.era.record(6)
            discovery.task.step()
            reads.update(int(at_s) for at_s in discovery.registry.read_at_s)
            writes.update(
                int(at_s) for at_s in discovery.registry.written_at_s
            )
        assert restored == listed
        assert writes.total() == MAX_INSTANCE_COUNT
        assert reads.total() == 2 * MAX_INSTANCE_COUNT
        assert max(reads.values()) < READS_PER_S / 4
        assert max(writes.values()) < WRITES_PER_S / 2
