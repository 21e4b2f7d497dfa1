"""Tests of shared limits, queues and budgets."""

from collections.abc import Callable
import dataclasses
import random
import threading

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import limits
from skylarktack.coordination import ports

LIMIT = 90
SCOPE = limits.Scope(
    limits.ScopeKind.ORGANISATION, 'large', limits.Resource.CONCURRENCY
)


def organisation(
    name: str = 'large', weight: float = 1.0, count: int | None = None
) -> state.Organisation:
    """Return one organisation."""
    return state.Organisation(
        state.OrganisationName(name),
        (),
        weight=weight,
        limits=state.Limits(concurrency_count=count),
    )


def route(
    count: int | None = None,
    deadline_ms: int = 2000,
    rate: float | None = None,
) -> state.Route:
    """Return one route."""
    return state.Route(
        state.RouteName('digest'),
        state.RouteKind.GENERATION,
        state.VersionName('model-1'),
        queue_deadline_ms=deadline_ms,
        limits=state.Limits(concurrency_count=count, rate_per_s=rate),
    )


@dataclasses.dataclass
class Configuration:
    """A configuration that tests replace."""

    active: state.ActiveConfiguration

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration."""
        return self.active


def configured(
    *organisations: state.Organisation, routes: tuple[state.Route, ...] = ()
) -> Configuration:
    """Return a configuration in effect."""
    document = state.ConfigurationDocument(organisations, routes)
    return Configuration(state.ActiveConfiguration(1, document, 0.0))


class Mesh:
    """Instances that share limits and exchange topics with neighbours."""

    def __init__(
        self,
        count: int = 9,
        configuration: Configuration | None = None,
        seed: int = 1,
    ) -> None:
        self.clock = fakes.ManualClock()
        self.random = random.Random(seed)
        self.configuration = configuration or configured(
            organisation(count=LIMIT)
        )
        self.names: list[state.InstanceName] = []
        self.books: dict[state.InstanceName, limits.ShareBook] = {}
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
    ) -> limits.ShareBook:
        """Start one instance."""
        key = state.InstanceName(name)
        settings = settings or state.LimitSettings()
        book = limits.ShareBook(
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
        book.wait((SCOPE,), waiting - self.waiting.get(key, 0))
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
        mesh = Mesh(configuration=configured(organisation(count=3)))
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
        mesh.configuration.active = configured(
            organisation(count=18)
        ).current()
        mesh.demand('instance-0', 2)
        mesh.demand('instance-0', 10)
        assert mesh.running('instance-0') == 2

    def test_idle_state_is_dropped(self) -> None:
        """Thousands of organisations that came once leave nothing."""
        many = [organisation(f'org-{n}', count=9) for n in range(500)]
        mesh = Mesh(count=2, configuration=configured(*many))
        book = mesh.books[mesh.names[0]]
        for one in many:
            scopes = (dataclasses.replace(SCOPE, name=one.name),)
            book.arrive(scopes)
            assert book.try_start(scopes) is None
            book.finish(scopes)
        assert book.tracked_count() == 500
        mesh.run(40.0)
        assert book.tracked_count() == 0


class Gate:
    """One instance's admission with the system clock."""

    def __init__(
        self, shared: state.Route, *organisations: state.Organisation
    ) -> None:
        self.route = shared
        self.clock: ports.Clock = ports.SystemClock()
        self.metrics = fakes.MemoryMetrics()
        self.configuration = configured(*organisations, routes=(shared,))
        self.book = limits.ShareBook(
            state.InstanceName('instance-0'),
            state.LimitSettings(queue_count=3),
            limits.LimitIndex(self.configuration),
            self.clock,
        )
        self.book.update_instances(())
        self.admission = limits.SharedAdmission(
            state.LimitSettings(queue_count=3),
            self.book,
            self.clock,
            self.metrics,
        )
        self.order: list[str] = []
        self.threads: list[threading.Thread] = []

    def enter(self, who: state.Organisation) -> ports.Permit:
        """Take a slot that is free."""
        return self.admission.admit(who, self.route).ok

    def wait_in_thread(self, who: state.Organisation) -> None:
        """Let a request wait in a thread of its own."""
        waiting = self.admission.queued_count(self.route.name)
        thread = threading.Thread(target=self._pass, args=(who,))
        thread.start()
        self.threads.append(thread)
        while self.admission.queued_count(self.route.name) == waiting:
            threading.Event().wait(0.002)

    def _pass(self, who: state.Organisation) -> None:
        admitted = self.admission.admit(who, self.route)
        self.order.append(who.name)
        admitted.ok.release()


class TestAdmission:
    """Guards against starved organisations and untrue refusals."""

    def test_small_organisation_goes_before_the_large_one(self) -> None:
        """The organisation with fewer running requests goes first."""
        large, small = organisation('large'), organisation('small')
        gate = Gate(route(count=2, deadline_ms=60_000), large, small)
        held = [gate.enter(large), gate.enter(large)]
        for _ in range(3):
            gate.wait_in_thread(large)
        gate.wait_in_thread(small)
        held[0].release()
        for thread in gate.threads:
            thread.join()
        assert gate.order[0] == 'small'

    def test_weight_counts(self) -> None:
        """A heavier organisation may have more running requests."""
        heavy, light = organisation('heavy', weight=4.0), organisation('light')
        gate = Gate(route(count=3, deadline_ms=60_000), heavy, light)
        held = [gate.enter(heavy), gate.enter(heavy), gate.enter(light)]
        gate.wait_in_thread(light)
        gate.wait_in_thread(heavy)
        held[0].release()
        for thread in gate.threads:
            thread.join()
        assert gate.order[0] == 'heavy'

    def test_deadline_gives_a_true_refusal(self) -> None:
        """A refused request holds no slot afterwards."""
        large = organisation('large')
        gate = Gate(route(count=1, deadline_ms=30), large)
        permit = gate.enter(large)
        refused = gate.admission.admit(large, gate.route).error
        assert refused.code is state.RefusalCode.QUEUE_DEADLINE
        assert refused.run is state.RunState.NOT_RUN
        assert gate.admission.queued_count(gate.route.name) == 0
        permit.release()
        permit.release()
        gate.enter(large).release()

    def test_full_queue_refuses_only_its_organisation(self) -> None:
        """The queue of one organisation takes no place of another one."""
        large, small = organisation('large'), organisation('small')
        gate = Gate(route(count=1, deadline_ms=60_000), large, small)
        permit = gate.enter(large)
        for _ in range(3):
            gate.wait_in_thread(large)
        refused = gate.admission.admit(large, gate.route).error
        assert refused.code is state.RefusalCode.LIMIT_REACHED
        assert refused.run is state.RunState.NOT_RUN
        gate.wait_in_thread(small)
        permit.release()
        for thread in gate.threads:
            thread.join()

    def test_rate_admits_as_tokens_come(self) -> None:
        """A request without a token waits for one instead of failing."""
        large = organisation('large')
        gate = Gate(route(rate=100.0, deadline_ms=60_000), large)
        for _ in range(5):
            gate.enter(large).release()

    def test_blocked_organisation_does_not_block_the_route(self) -> None:
        """One at its own limit lets others pass."""
        large = organisation('large', count=1)
        small = organisation('small')
        gate = Gate(route(count=5, deadline_ms=60_000), large, small)
        permit = gate.enter(large)
        gate.wait_in_thread(large)
        gate.enter(small).release()
        permit.release()
        gate.threads[0].join()


class TestOrganisationRetryBudget:
    """Guards against retries that multiply the load of a failure."""

    def test_organisation_and_total_are_bounded(self) -> None:
        """One organisation cannot use up the budget of all."""
        budget = limits.OrganisationRetryBudget(
            state.RetrySettings(budget_ratio=0.1, budget_burst_count=8),
            state.LimitSettings(organisation_retry_burst_count=5),
        )
        large = state.OrganisationName('large')
        small = state.OrganisationName('small')
        assert [budget.try_spend(large) for _ in range(6)].count(True) == 5
        assert [budget.try_spend(small) for _ in range(6)].count(True) == 3
        for _ in range(11):
            budget.record_request(small)
        assert [budget.try_spend(small) for _ in range(6)].count(True) == 1

    def test_state_is_bounded(self) -> None:
        """Thousands of organisations keep a bounded number of buckets."""
        budget = limits.OrganisationRetryBudget(
            state.RetrySettings(budget_burst_count=10_000),
            state.LimitSettings(idle_organisation_count=100),
        )
        for number in range(3000):
            budget.try_spend(state.OrganisationName(f'org-{number}'))
        assert budget.tracked_count <= 100


class TestAdaptiveLimits:
    """Guards against a slow target that collects requests."""

    @pytest.mark.parametrize(
        ('first_token_ms', 'kind', 'lower'),
        [
            (100.0, state.OutcomeKind.SUCCESS, False),
            (2000.0, state.OutcomeKind.SUCCESS, True),
            (None, state.OutcomeKind.REFUSED, True),
        ],
    )
    def test_limit_follows_overload(
        self,
        first_token_ms: float | None,
        kind: state.OutcomeKind,
        lower: bool,
    ) -> None:
        """Slow first tokens and refusals lower the limit to the floor."""
        adaptive = limits.AdaptiveLimits(state.RoutingSettings())
        target = state.TargetName('engine-0')
        outcome = state.TargetOutcome(
            target,
            state.RouteName('digest'),
            state.VersionName('model-1'),
            state.OrganisationName('large'),
            state.OutcomeKind.SUCCESS,
            100.0,
            None,
            500.0,
        )
        adaptive.observe(outcome, 40)
        before = adaptive.limit(target)
        slow = dataclasses.replace(
            outcome, kind=kind, first_token_ms=first_token_ms
        )
        for _ in range(40):
            adaptive.observe(slow, 40)
        after = adaptive.limit(target)
        assert (after < before) is lower
        assert after >= 4
