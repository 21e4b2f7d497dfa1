"""Tests of targets' state and of the choice among targets."""

from collections.abc import Callable
import dataclasses
import random

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.coordination import routing

VERSION = state.VersionName('model-1')
ROUTE = state.Route(
    state.RouteName('digest'), state.RouteKind.GENERATION, VERSION
)


def make_target(index: int, domain_count: int = 2) -> state.Target:
    """Return one engine."""
    return state.Target(
        name=state.TargetName(f'engine-{index}'),
        kind=state.TargetKind.ENGINE,
        address=state.Address('127.0.0.1', 1 + index),
        failure_domain=state.FailureDomain(f'domain-{index % domain_count}'),
        region='region-1',
        versions=(VERSION,),
    )


def make_instance(index: int, domain_count: int) -> state.ListedInstance:
    """Return one entry instance."""
    return state.ListedInstance(
        name=state.InstanceName(f'instance-{index}'),
        peer_address=state.Address('127.0.0.1', 1),
        failure_domain=state.FailureDomain(f'domain-{index % domain_count}'),
        region='region-1',
    )


class Rig:
    """One or more instances that choose among the same targets."""

    def __init__(
        self,
        settings: state.RoutingSettings | None = None,
        target_count: int = 6,
        connected: bool = True,
    ) -> None:
        self.settings = settings or state.RoutingSettings()
        self.clock = fakes.ManualClock()
        self.targets = tuple(make_target(n) for n in range(target_count))
        self.hub = fakes.LocalPeerHub()
        self.prefixes = routing.PrefixIndex(self.settings)
        self.table, self.selector, self.topic = self._instance(
            'instance-0', self.prefixes, connected
        )
        self.other = self._instance(
            'instance-1', routing.PrefixIndex(self.settings), connected
        )

    def _instance(
        self, name: str, prefixes: routing.PrefixIndex, connected: bool
    ) -> tuple[
        routing.TargetTable, routing.TableSelector, routing.DigestTopic
    ]:
        table = routing.TargetTable(
            state.InstanceName(name),
            state.FailureDomain('domain-0'),
            'region-1',
            self.settings,
            self.clock,
        )
        table.update(self.targets)
        network = self.hub.join(name) if connected else None
        notices = routing.LeavingNotices(table, network)
        return (
            table,
            routing.TableSelector(
                self.settings, table, prefixes, notices, seed=1
            ),
            routing.DigestTopic(
                self.settings, table, fakes.PlainDigestCodec(), notices
            ),
        )

    def chosen(self, count: int = 200, prompt: str = '') -> list[str]:
        """Return the targets of some short requests."""
        names: list[str] = []
        for number in range(count):
            found = self.selector.assign(
                ports.SelectionRequest(
                    state.RequestId(f'request-{number}'),
                    ROUTE,
                    state.OrganisationName('small'),
                    VERSION,
                    prompt,
                )
            )
            if found.is_error():
                assert found.error.run is state.RunState.NOT_RUN
                names.append('')
                continue
            names.append(found.ok.name)
            self.selector.release(found.ok.name)
        return names

    def fail(self, index: int, count: int = 3) -> None:
        """Let requests on a target fail."""
        for _ in range(count):
            self.observe(index, state.OutcomeKind.ERROR)

    def observe(self, index: int, kind: state.OutcomeKind) -> None:
        """Report one outcome of a target."""
        self.selector.observe(
            state.TargetOutcome(
                target=self.targets[index].name,
                route=ROUTE.name,
                version=VERSION,
                organisation=state.OrganisationName('small'),
                kind=kind,
                first_token_ms=None,
                inter_token_ms=None,
                duration_ms=10.0,
            )
        )

    def report(
        self,
        index: int,
        running: int = 0,
        incarnation: str = 'one',
        leaving: bool = False,
        table: routing.TargetTable | None = None,
    ) -> tuple[bool, bool]:
        """Take in one load report."""
        load = ports.EngineLoad(
            incarnation, running, 0, 32, (VERSION,), 0, leaving
        )
        return (table or self.table).take_report(
            self.targets[index].name, load
        )


def fault_report_says_leaving(rig: Rig) -> None:
    """The list still shows the target; its load report does not."""
    rig.report(0, leaving=True)


def fault_refusal_says_leaving(rig: Rig) -> None:
    """The target refuses a request because it is leaving."""
    rig.observe(0, state.OutcomeKind.LEAVING)


def fault_peer_says_leaving(rig: Rig) -> None:
    """A peer watches the target; this instance does not."""
    rig.other[1].observe(
        state.TargetOutcome(
            rig.targets[0].name,
            ROUTE.name,
            VERSION,
            state.OrganisationName('small'),
            state.OutcomeKind.LEAVING,
            None,
            None,
            1.0,
        )
    )


def fault_digest_says_leaving(rig: Rig) -> None:
    """The urgent notice is lost; the next exchange brings the digest."""
    rig.hub.cut('instance-0', 'instance-1')
    rig.report(0, leaving=True, table=rig.other[0])
    payload = rig.other[2].outgoing(state.InstanceName('instance-0'), 4000)
    assert payload is not None
    rig.topic.receive(state.InstanceName('instance-1'), payload)


def fault_target_fails(rig: Rig) -> None:
    """Three requests in a row fail."""
    rig.fail(0)


def fault_target_unlisted(rig: Rig) -> None:
    """The list drops the target."""
    rig.table.update(rig.targets[1:])


FIRST_OUT: list[tuple[Callable[[Rig], None], state.RoutingSettings, bool]] = [
    # fault, settings, whether the target then gets no work
    (fault_report_says_leaving, state.RoutingSettings(), True),
    (fault_refusal_says_leaving, state.RoutingSettings(), True),
    (fault_peer_says_leaving, state.RoutingSettings(), True),
    (fault_digest_says_leaving, state.RoutingSettings(), True),
    (fault_target_fails, state.RoutingSettings(), True),
    (fault_target_unlisted, state.RoutingSettings(), True),
    # Mechanism off: the failing target goes on getting work.
    (
        fault_target_fails,
        state.RoutingSettings(ejection_failure_count=1 << 30),
        False,
    ),
]


class TestTargetFaults:
    """Guards against work sent to leaving, failing and lost targets."""

    @pytest.mark.parametrize(('fault', 'settings', 'out'), FIRST_OUT)
    def test_faulty_target_gets_no_work(
        self,
        fault: Callable[[Rig], None],
        settings: state.RoutingSettings,
        out: bool,
    ) -> None:
        """A stale list does not keep work on a target known to be out."""
        rig = Rig(settings)
        assert 'engine-0' in rig.chosen()
        fault(rig)
        names = rig.chosen()
        assert ('engine-0' not in names) is out
        assert '' not in names

    def test_notice_needs_a_connection(self) -> None:
        """Without the urgent notice a peer's knowledge stays there."""
        rig = Rig(connected=False)
        fault_peer_says_leaving(rig)
        assert 'engine-0' in rig.chosen()

    @pytest.mark.parametrize(
        ('share', 'left_count'), [(0.34, 4), (0.5, 3), (1.0, 0)]
    )
    def test_common_fault_never_empties_the_set(
        self, share: float, left_count: int
    ) -> None:
        """All targets fail; with the bound off (share 1) none is left."""
        rig = Rig(state.RoutingSettings(ejection_share=share))
        for index in range(6):
            rig.fail(index)
        assert len(set(rig.chosen()) - {''}) == left_count

    def test_ejected_target_returns_slowly(self) -> None:
        """A target that fails after its return is ejected for longer."""
        rig = Rig()
        rig.fail(0)
        rig.clock.advance(6.0)
        assert rig.chosen(600).count('engine-0') < 60
        rig.clock.advance(20.0)
        assert rig.chosen(600).count('engine-0') > 60
        rig.fail(0)
        rig.clock.advance(6.0)
        assert 'engine-0' not in rig.chosen()

    def test_wall_clock_jump_changes_nothing(self) -> None:
        """Ejections and ages follow the monotonic clock."""
        rig = Rig()
        rig.fail(0)
        rig.report(1, running=30)
        before = rig.table.candidate(rig.targets[1].name, None)
        rig.clock.jump_wall(-86_400)
        assert rig.table.candidate(rig.targets[1].name, None) == before
        rig.clock.jump_wall(10 * 86_400)
        assert 'engine-0' not in rig.chosen()

    def test_lost_reports_age_towards_typical_load(self) -> None:
        """An old report of an idle target draws no work for ever."""
        rig = Rig()
        rig.report(0, running=0)
        for _ in range(100):
            rig.clock.advance(0.1)
            for index in range(1, 6):
                rig.report(index, running=20)
        fresh = rig.table.candidate(rig.targets[1].name, None)
        stale = rig.table.candidate(rig.targets[0].name, None)
        assert fresh is not None
        assert stale is not None
        assert stale.load > 0.8 * fresh.load

    def test_restarted_target_starts_slowly(self) -> None:
        """A new incarnation has an empty cache and starts slowly."""
        rig = Rig()
        rig.report(0)
        rig.clock.advance(1.0)
        assert rig.report(0, incarnation='two') == (True, False)
        assert rig.chosen(600).count('engine-0') < 60

    def test_new_target_starts_slowly_and_known_ones_do_not(self) -> None:
        """An instance that has just started takes no target for new."""
        rig = Rig(target_count=3)
        assert min(rig.chosen(600).count(f'engine-{n}') for n in (0, 2)) > 60
        rig.clock.advance(60.0)
        rig.table.update((*rig.targets, make_target(4)))
        assert rig.chosen(600).count('engine-4') < 60
        rig.clock.advance(60.0)
        assert rig.chosen(600).count('engine-4') > 60

    def test_old_notice_spares_a_restarted_target(self) -> None:
        """A notice that names the former process changes nothing."""
        rig = Rig()
        rig.report(0, incarnation='two')
        network = rig.hub.join('instance-2')
        network.broadcast(routing.TargetLeaving(rig.targets[0].name, 'one'))
        assert 'engine-0' in rig.chosen()

    def test_lagging_report_does_not_revoke_leaving(self) -> None:
        """A report from before the notice brings no work back."""
        rig = Rig()
        rig.observe(0, state.OutcomeKind.LEAVING)
        rig.clock.advance(1.0)
        rig.report(0)
        assert 'engine-0' not in rig.chosen()
        rig.clock.advance(5.0)
        rig.report(0)
        assert 'engine-0' in rig.chosen()

    def test_full_targets_are_refused_as_not_run(self) -> None:
        """All targets at their adaptive limit give a truthful refusal."""
        rig = Rig(state.RoutingSettings(concurrency_start_count=0))
        assert set(rig.chosen(5)) == {''}

    def test_full_targets_take_answers_that_have_begun(self) -> None:
        """The limit of targets never ends an answer after a failover."""
        rig = Rig(state.RoutingSettings(concurrency_start_count=0))
        found = rig.selector.assign(
            ports.SelectionRequest(
                state.RequestId('request-1'),
                ROUTE,
                state.OrganisationName('small'),
                VERSION,
                continues=True,
            )
        )
        assert found.is_ok()

    def test_report_of_idle_target_draws_no_herd(self) -> None:
        """Instances that see one idle target do not all choose it."""
        rig = Rig(target_count=30)
        for index in range(30):
            rig.report(index, running=0 if index == 7 else 24)
        # The first choice of many instances is that of many requests.
        assert rig.chosen(600).count('engine-7') < 600 * 0.25


SUBSETS = [
    # instances, targets, failure domains
    (9, 24, 4),
    (7, 20, 4),
    (340, 2700, 13),
    (72, 2700, 13),
    (3, 1, 1),
]


class TestSubsets:
    """Guards against targets that too few instances watch or use."""

    @pytest.mark.parametrize(('instances', 'targets', 'domains'), SUBSETS)
    def test_subsets_are_balanced(
        self, instances: int, targets: int, domains: int
    ) -> None:
        """Each target has its watchers and users, each instance its part."""
        settings = state.RoutingSettings()
        ordered = routing.ordered_targets(
            [make_target(n, domains) for n in range(targets)]
        )
        listed = [make_instance(n, domains) for n in range(instances)]
        watchers: dict[str, int] = {one.name: 0 for one in ordered}
        users = dict(watchers)
        watched_counts: list[int] = []
        for instance in listed:
            place, count = routing.instance_place(instance.name, listed)
            watched = routing.watched_targets(ordered, place, count, settings)
            watched_counts.append(len(watched))
            for target in watched:
                watchers[target.name] += 1
            for target in routing.used_targets(
                ordered, place, count, settings.used_count
            ):
                users[target.name] += 1
        assert min(watchers.values()) >= min(2, instances)
        assert max(watched_counts) - min(watched_counts) <= 4
        mean = sum(users.values()) / targets
        assert mean >= min(6, instances)
        # Half of the users are neighbours, which no choice of far targets
        # takes away.
        assert min(users.values()) >= min(3, instances)


def added(sequence: int, name: str) -> ports.CacheEvent:
    """Return the event of an added block."""
    return ports.CacheEvent(sequence, name, True)


class TestPrefixIndex:
    """Guards against stale knowledge of caches and unbounded memory."""

    TARGET = state.TargetName('engine-0')

    @pytest.mark.parametrize(
        ('factor', 'left'), [(1.0, 2), (2.0, 1), (-1.0, 0), (0.0, 3)]
    )
    def test_gap_drops_what_it_may_have_removed(
        self, factor: float, left: int
    ) -> None:
        """One missing event; factor 0 is the mechanism off."""
        index = routing.PrefixIndex(
            state.RoutingSettings(gap_drop_factor=factor)
        )
        names = ['a', 'b', 'c']
        index.take_events(
            self.TARGET, [added(n + 1, name) for n, name in enumerate(names)]
        )
        index.take_events(self.TARGET, [added(5, 'd')])
        known = [n for n in names if index.cached_count(self.TARGET, [n])]
        assert len(known) == left
        assert index.cached_count(self.TARGET, ['d']) == 1

    def test_late_and_repeated_events_change_nothing(self) -> None:
        """A removal that arrives twice removes no later addition."""
        index = routing.PrefixIndex(state.RoutingSettings())
        index.take_events(
            self.TARGET, [added(1, 'a'), ports.CacheEvent(2, 'a', False)]
        )
        index.take_events(self.TARGET, [added(3, 'a')])
        index.take_events(self.TARGET, [ports.CacheEvent(2, 'a', False)])
        assert index.cached_count(self.TARGET, ['a']) == 1

    def test_memory_is_bounded(self) -> None:
        """Neither one target nor all together exceed their bound."""
        settings = state.RoutingSettings(
            prefix_target_count=10, prefix_total_count=25
        )
        index = routing.PrefixIndex(settings)
        names = [f'{n}' for n in range(40)]
        held = 0
        for number in range(5):
            target = state.TargetName(f'engine-{number}')
            for name in names:
                index.assigned(target, [name])
        for number in range(5):
            target = state.TargetName(f'engine-{number}')
            held += sum(index.cached_count(target, [n]) for n in names)
        assert 0 < held <= 25

    def test_own_assignment_attracts_the_same_prefix(self) -> None:
        """Later prompts with a prefix follow the first at once."""
        rig = Rig()
        prompt = 'x' * 640
        first = rig.chosen(1, prompt)[0]
        assert set(rig.chosen(20, prompt + 'tail')) == {first}


class TestPolicies:
    """Guards against policies that ignore ejection or crash when empty."""

    @pytest.mark.parametrize(
        'policy',
        ['random', 'round_robin', 'two_choices', 'rendezvous', 'cost'],
    )
    def test_every_policy_skips_what_is_out(self, policy: str) -> None:
        """Leaving targets get nothing, and an empty set is refused."""
        rig = Rig(state.RoutingSettings(policy=policy, domain_penalty=0.0))
        rig.report(0, leaving=True)
        prompts = random.Random(1)
        names: set[str] = set()
        for _ in range(60):
            prompt = str(prompts.random()) * 40
            names.update(rig.chosen(2, prompt))
        assert names == {f'engine-{n}' for n in range(1, 6)}
        rig.table.update(
            [dataclasses.replace(one, leaving=True) for one in rig.targets]
        )
        assert set(rig.chosen(3)) == {''}


class TestDigests:
    """Guards against echoes, stale digests and exceeded budgets."""

    def test_digests_reach_peers_once(self) -> None:
        """A digest is sent once and does not come back as news."""
        rig = Rig()
        for index in range(6):
            rig.report(index, running=index)
        here = state.InstanceName('instance-0')
        there = state.InstanceName('instance-1')
        payload = rig.topic.outgoing(there, 4000)
        assert payload is not None
        assert rig.topic.outgoing(there, 4000) is None
        rig.clock.advance(0.05)
        rig.other[2].receive(here, payload)
        echo = rig.other[2].outgoing(here, 4000)
        assert echo is not None
        before = [rig.table.evidence(one.name) for one in rig.targets]
        rig.topic.receive(there, echo)
        assert [rig.table.evidence(one.name) for one in rig.targets] == before

    def test_budget_and_age_bound_the_digests(self) -> None:
        """Neither too many nor too old digests are sent."""
        rig = Rig()
        for index in range(6):
            rig.report(index)
        payload = rig.topic.outgoing(state.InstanceName('x'), 35)
        assert payload is not None
        assert len(fakes.PlainDigestCodec().decode(payload)) == 3
        rig.clock.advance(60.0)
        assert rig.topic.outgoing(state.InstanceName('y'), 4000) is None
