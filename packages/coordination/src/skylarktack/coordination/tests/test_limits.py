"""Tests of shared limits, queues and budgets."""

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
    """Instances that share limits and exchange topics with neighbours."""

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
        self.books: dict[state.InstanceName, limits.ShareAllocator] = {}
        self.topics: dict[state.InstanceName, limits.LoanTopic] = {}
        self.loss = 0.0
        self.waiting: dict[state.InstanceName, int] = {}
        self.sides: list[set[state.InstanceName]] = []
        for number in range(count):
            self.join(f'instance-{number}')
        self.publish()
        self.clock.advance(10.0)

    def join(
        self, name: str, settings: state.LimitSettings | None = None
    ) -> limits.ShareAllocator:
        """Start one instance."""
        key = state.InstanceName(name)
        settings = settings or state.LimitSettings()
        book = limits.ShareAllocator(
            key, settings, limits.LimitIndex(self.configuration), self.clock
        )
        self.names.append(key)
        self.books[key] = book
        self.topics[key] = limits.LoanTopic(
            settings, book, fakes.PlainLoanCodec()
        )
        return book

    def publish(self) -> None:
        """Let all instances see the list."""
        for book in self.books.values():
            book.update_instances(self.names)

    def run(self, duration_s: float) -> None:
        """Let time pass, with exchanges between neighbours."""
        for _ in range(round(duration_s / 0.25)):
            self.clock.advance(0.25)
            for place, name in enumerate(self.names):
                for step in (1, 3):
                    peer = self.names[(place + step) % len(self.names)]
                    self._exchange(name, peer)
                    self._exchange(peer, name)

    def demand(self, name: str, wanted: int) -> None:
        """Keep as many requests running as an instance may."""
        key = state.InstanceName(name)
        book = self.books[key]
        while book.running_count(SCOPE) > wanted:
            book.finish((SCOPE,))
        while book.running_count(SCOPE) < wanted:
            if book.try_start((SCOPE,)) is not None:
                break
        waiting = max(0, wanted - book.running_count(SCOPE))
        book.add_waiting((SCOPE,), waiting - self.waiting.get(key, 0))
        self.waiting[key] = waiting

    def running(self, name: str) -> int:
        """Return the running requests of an instance."""
        return self.books[state.InstanceName(name)].running_count(SCOPE)

    def total(self) -> int:
        """Return the running requests of all instances."""
        return sum(self.running(name) for name in self.names)

    def _exchange(
        self, source: state.InstanceName, peer: state.InstanceName
    ) -> None:
        payload = self.topics[source].outgoing(peer, 4000)
        if payload is None or self.random.random() < self.loss:
            return
        for side in self.sides:
            if (source in side) != (peer in side):
                return
        self.topics[peer].receive(source, payload)


def fault_none(mesh: Mesh) -> None:
    """Nothing fails."""


def fault_loss(mesh: Mesh) -> None:
    """Half of the exchanges are lost."""
    mesh.loss = 0.5


def fault_partition(mesh: Mesh) -> None:
    """Four instances are cut off from the rest; the list shows all."""
    mesh.sides = [set(mesh.names[:4])]


def fault_clock_jump(mesh: Mesh) -> None:
    """The wall clock goes back by a day."""
    mesh.clock.jump_wall(-86_400)


FAULTS: list[tuple[Callable[[Mesh], None], int]] = [
    (fault, seed)
    for fault in (fault_none, fault_loss, fault_partition, fault_clock_jump)
    for seed in (1, 2)
]


class TestShares:
    """Guards against limits exceeded by the sum of all instances."""

    @pytest.mark.parametrize(('fault', 'seed'), FAULTS)
    def test_sum_stays_within_the_limit(
        self, fault: Callable[[Mesh], None], seed: int
    ) -> None:
        """Demand moves between instances while the fault lasts."""
        mesh = Mesh(seed=seed)
        for moment in range(36):
            if moment == 12:
                fault(mesh)
            if moment == 24:
                mesh.sides = []
                mesh.loss = 0.0
            wanted = mesh.random.choice((0, 2, 10, 40, 90))
            mesh.demand(mesh.random.choice(mesh.names), wanted)
            mesh.run(0.75)
            assert mesh.total() <= LIMIT

    def test_shares_follow_need(self) -> None:
        """One busy instance gets most of the limit, then another one."""
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

    def test_without_exchanges_only_the_own_part_is_used(self) -> None:
        """With the mechanism cut off, need moves no share."""
        mesh = Mesh()
        mesh.loss = 1.0
        for _ in range(40):
            mesh.demand('instance-0', 80)
            mesh.run(0.5)
        assert mesh.running('instance-0') == LIMIT // 9

    def test_lender_gets_its_part_back(self) -> None:
        """A recall returns slots as the borrower's requests end."""
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
        """A limit below the number of instances starves none for ever."""
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

    def test_borrowed_part_is_not_used_when_the_lender_is_silent(
        self,
    ) -> None:
        """In a partition new requests keep to the own part."""
        mesh = Mesh()
        for _ in range(40):
            mesh.demand('instance-0', 80)
            mesh.run(0.5)
        mesh.sides = [{state.InstanceName('instance-0')}]
        mesh.run(20.0)
        mesh.demand('instance-0', 5)
        mesh.demand('instance-0', 80)
        assert mesh.running('instance-0') == LIMIT // 9

    @pytest.mark.parametrize(('settle_ms', 'at_first'), [(3000, 0), (0, 10)])
    def test_restarted_instance_waits_for_the_others(
        self, settle_ms: int, at_first: int
    ) -> None:
        """Peers with an old list have not lowered their parts yet.

        With the mechanism off (0 ms) the limit is exceeded at once.
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
        mesh.publish()
        for _ in range(20):
            for name in mesh.names:
                mesh.demand(name, 8)
            mesh.run(0.5)
        assert mesh.running('instance-9') == 8
        assert mesh.total() <= LIMIT

    def test_changed_limit_acts_with_the_configuration(self) -> None:
        """A lowered limit holds for the next request."""
        mesh = Mesh()
        mesh.demand('instance-0', 10)
        mesh.configuration.active = limit_harness.configured(
            limit_harness.organisation(count=18)
        ).current()
        mesh.demand('instance-0', 2)
        mesh.demand('instance-0', 10)
        assert mesh.running('instance-0') == 2

    def test_idle_state_is_dropped(self) -> None:
        """Thousands of organisations that came once leave nothing."""
        many = [
            limit_harness.organisation(f'org-{n}', count=9) for n in range(500)
        ]
        mesh = Mesh(count=2, configuration=limit_harness.configured(*many))
        book = mesh.books[mesh.names[0]]
        for one in many:
            scopes = (dataclasses.replace(SCOPE, name=one.name),)
            book.arrive(scopes)
            assert book.try_start(scopes) is None
            book.finish(scopes)
        assert book.tracked_count() == 500
        mesh.run(40.0)
        assert book.tracked_count() == 0
