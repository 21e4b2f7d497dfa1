"""Tests of the allocation of shared limits to instances."""

from collections.abc import Callable
import dataclasses
import random

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import limits
from skylarktack.coordination.tests import limit_harness

LIMIT = 90
SCOPE = limits.Scope(
    limits.ScopeKind.ORGANISATION, 'large', limits.Resource.CONCURRENCY
)


class Mesh:
    """Instances that share limits and gossip with their neighbours."""

    def __init__(
        self,
        count: int = 9,
        configuration: limit_harness.Configuration | None = None,
        seed: int = 1,
    ) -> None:
        self.clock = fakes.ManualClock()
        self.random = random.Random(seed)
        self.configuration = configuration or limit_harness.configured(
            limit_harness.organisation(count=LIMIT)
        )
        self.names: list[state.InstanceName] = []
        self.share_allocators: dict[
            state.InstanceName, limits.ShareAllocator
        ] = {}
        self.topics: dict[state.InstanceName, limits.LoanTopic] = {}
        self.loss = 0.0
        self.waiting: dict[state.InstanceName, int] = {}
        self.partitions: list[set[state.InstanceName]] = []
        for number in range(count):
            self.join(f'instance-{number}')
        self.publish_list()
        self.clock.advance(10.0)

    def join(
        self, name: str, settings: state.LimitSettings | None = None
    ) -> limits.ShareAllocator:
        """Add an instance, which the others see after ``publish_list``."""
        key = state.InstanceName(name)
        settings = settings or state.LimitSettings()
        share_allocator = limits.ShareAllocator(
            key, settings, limits.LimitIndex(self.configuration), self.clock
        )
        self.names.append(key)
        self.share_allocators[key] = share_allocator
        self.topics[key] = limits.LoanTopic(
            settings, share_allocator, fakes.PlainLoanCodec()
        )
        return share_allocator

    def publish_list(self) -> None:
        """Apply the current list of instances to all of them."""
        for share_allocator in self.share_allocators.values():
            share_allocator.update_instances(self.names)

    def run(self, duration_s: float) -> None:
        """Advance the clock, with exchanges between neighbours."""
        for _ in range(round(duration_s / 0.25)):
            self.clock.advance(0.25)
            for position, name in enumerate(self.names):
                for step in (1, 3):
                    peer = self.names[(position + step) % len(self.names)]
                    self._exchange(name, peer)
                    self._exchange(peer, name)

    def demand(self, name: str, wanted: int) -> None:
        """Run up to ``wanted`` requests on an instance; queue the others."""
        key = state.InstanceName(name)
        share_allocator = self.share_allocators[key]
        while share_allocator.running_count(SCOPE) > wanted:
            share_allocator.finish((SCOPE,))
        while share_allocator.running_count(SCOPE) < wanted:
            if share_allocator.try_start((SCOPE,)) is not None:
                break
        waiting = max(0, wanted - share_allocator.running_count(SCOPE))
        share_allocator.add_waiting(
            (SCOPE,), waiting - self.waiting.get(key, 0)
        )
        self.waiting[key] = waiting

    def running(self, name: str) -> int:
        """Return the number of running requests of an instance."""
        return self.share_allocators[state.InstanceName(name)].running_count(
            SCOPE
        )

    def total(self) -> int:
        """Return the number of running requests of all instances."""
        return sum(self.running(name) for name in self.names)

    def _exchange(
        self, source: state.InstanceName, peer: state.InstanceName
    ) -> None:
        payload = self.topics[source].outgoing(peer, 4000)
        if payload is None or self.random.random() < self.loss:
            return
        for partition in self.partitions:
            if (source in partition) != (peer in partition):
                return
        self.topics[peer].receive(source, payload)


def fault_none(mesh: Mesh) -> None:
    """No fault."""


def fault_message_loss(mesh: Mesh) -> None:
    """Half of the exchanges are lost."""
    mesh.loss = 0.5


def fault_partition(mesh: Mesh) -> None:
    """Four listed instances are partitioned from the others."""
    mesh.partitions = [set(mesh.names[:4])]


def fault_clock_jump(mesh: Mesh) -> None:
    """The wall clock jumps back by a day."""
    mesh.clock.jump_wall(-86_400)


FAULTS: list[tuple[Callable[[Mesh], None], int]] = [
    (fault, seed)
    for fault in (
        fault_none,
        fault_message_loss,
        fault_partition,
        fault_clock_jump,
    )
    for seed in (1, 2)
]


class TestShares:
    """Guards against instances that together exceed a limit."""

    @pytest.mark.parametrize(('fault', 'seed'), FAULTS)
    def test_sum_stays_within_the_limit(
        self, fault: Callable[[Mesh], None], seed: int
    ) -> None:
        """Demand moves between instances before, during and after a fault."""
        mesh = Mesh(seed=seed)
        for moment in range(36):
            if moment == 12:
                fault(mesh)
            if moment == 24:
                mesh.partitions = []
                mesh.loss = 0.0
            wanted = mesh.random.choice((0, 2, 10, 40, 90))
            mesh.demand(mesh.random.choice(mesh.names), wanted)
            mesh.run(0.75)
            assert mesh.total() <= LIMIT

    def test_shares_follow_demand(self) -> None:
        """Unused shares must be lent to whichever instance is busy."""
        mesh = Mesh()
        for _ in range(40):
            mesh.demand('instance-0', 80)
            mesh.run(0.5)
        assert mesh.running('instance-0') == 80
        mesh.demand('instance-0', 0)
        for _ in range(120):
            mesh.demand('instance-5', 80)
            mesh.run(0.5)
        assert mesh.running('instance-5') == 80

    def test_without_messages_only_the_base_share_is_used(self) -> None:
        """Without messages no instance may exceed its base share."""
        mesh = Mesh()
        mesh.loss = 1.0
        for _ in range(40):
            mesh.demand('instance-0', 80)
            mesh.run(0.5)
        assert mesh.running('instance-0') == LIMIT // 9

    def test_lender_recalls_its_share(self) -> None:
        """Recalled slots are returned as the borrower's requests finish."""
        mesh = Mesh()
        for _ in range(40):
            mesh.demand('instance-0', 90)
            mesh.run(0.5)
        for wanted in range(90, 20, -1):
            mesh.demand('instance-3', 10)
            mesh.demand('instance-0', wanted)
            mesh.run(0.5)
            assert mesh.total() <= LIMIT
        assert mesh.running('instance-3') == 10

    def test_small_limit_can_be_used_by_every_instance(self) -> None:
        """A limit below the number of instances must starve none of them."""
        mesh = Mesh(
            configuration=limit_harness.configured(
                limit_harness.organisation(count=3)
            )
        )
        for name in list(mesh.names):
            for _ in range(60):
                mesh.demand(name, 1)
                mesh.run(0.5)
                if mesh.running(name):
                    break
            assert mesh.running(name) == 1
            assert mesh.total() <= 3
            mesh.demand(name, 0)
            mesh.run(10.0)

    def test_loan_is_not_used_when_the_lender_is_unreachable(
        self,
    ) -> None:
        """Loans of an unreachable lender must not be used any longer."""
        mesh = Mesh()
        for _ in range(40):
            mesh.demand('instance-0', 80)
            mesh.run(0.5)
        mesh.partitions = [{state.InstanceName('instance-0')}]
        mesh.run(20.0)
        mesh.demand('instance-0', 5)
        mesh.demand('instance-0', 80)
        assert mesh.running('instance-0') == LIMIT // 9

    @pytest.mark.parametrize(('settle_ms', 'at_first'), [(3000, 0), (0, 10)])
    def test_new_instance_waits_for_the_others(
        self, settle_ms: int, at_first: int
    ) -> None:
        """Peers with an old list have not lowered their shares yet.

        A new instance that does not wait for them (0 ms) exceeds the limit.
        """
        mesh = Mesh()
        for name in mesh.names:
            mesh.demand(name, 10)
        fresh = mesh.join(
            'instance-9', state.LimitSettings(settle_ms=settle_ms)
        )
        fresh.update_instances(mesh.names)
        mesh.demand('instance-9', 10)
        assert mesh.running('instance-9') == min(at_first, LIMIT // 10)
        assert (mesh.total() > LIMIT) is (settle_ms == 0)
        mesh.publish_list()
        for _ in range(20):
            for name in mesh.names:
                mesh.demand(name, 8)
            mesh.run(0.5)
        assert mesh.running('instance-9') == 8
        assert mesh.total() <= LIMIT

    def test_changed_limit_applies_to_the_next_request(self) -> None:
        """A lowered limit must apply from the next request on."""
        mesh = Mesh()
        mesh.demand('instance-0', 10)
        mesh.configuration.active = limit_harness.configured(
            limit_harness.organisation(count=18)
        ).current()
        mesh.demand('instance-0', 2)
        mesh.demand('instance-0', 10)
        assert mesh.running('instance-0') == 2

    def test_idle_state_is_dropped(self) -> None:
        """State of organisations without requests must not accumulate."""
        many = [
            limit_harness.organisation(f'org-{n}', count=9) for n in range(500)
        ]
        mesh = Mesh(count=2, configuration=limit_harness.configured(*many))
        share_allocator = mesh.share_allocators[mesh.names[0]]
        for organisation in many:
            scopes = (dataclasses.replace(SCOPE, name=organisation.name),)
            share_allocator.record_arrival(scopes)
            assert share_allocator.try_start(scopes) is None
            share_allocator.finish(scopes)
        assert share_allocator.tracked_count() == 500
        mesh.run(40.0)
        assert share_allocator.tracked_count() == 0
