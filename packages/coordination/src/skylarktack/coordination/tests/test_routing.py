"""Tests of targets' state and of the choice among targets."""

from collections.abc import Callable
import dataclasses
import random

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.coordination.tests import routing_harness


def fault_report_says_leaving(rig: routing_harness.Rig) -> None:
    """The list still shows the target; its load report does not."""
    rig.report(0, leaving=True)


def fault_refusal_says_leaving(rig: routing_harness.Rig) -> None:
    """The target refuses a request because it is leaving."""
    rig.observe(0, state.OutcomeKind.LEAVING)


def fault_peer_says_leaving(rig: routing_harness.Rig) -> None:
    """A peer watches the target; this instance does not."""
    rig.other[1].observe(
        state.TargetOutcome(
            rig.targets[0].name,
            routing_harness.ROUTE.name,
            routing_harness.VERSION,
            state.OrganisationName('small'),
            state.OutcomeKind.LEAVING,
            None,
            None,
            1.0,
        )
    )


def fault_digest_says_leaving(rig: routing_harness.Rig) -> None:
    """The urgent notice is lost; the next exchange brings the digest."""
    rig.hub.cut('instance-0', 'instance-1')
    rig.report(0, leaving=True, table=rig.other[0])
    payload = rig.other[2].outgoing(state.InstanceName('instance-0'), 4000)
    assert payload is not None
    rig.topic.receive(state.InstanceName('instance-1'), payload)


def fault_target_fails(rig: routing_harness.Rig) -> None:
    """Three requests in a row fail."""
    rig.fail(0)


def fault_target_unlisted(rig: routing_harness.Rig) -> None:
    """The list drops the target."""
    rig.table.update(rig.targets[1:])


FIRST_OUT: list[
    tuple[Callable[[routing_harness.Rig], None], state.RoutingSettings, bool]
] = [
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
        fault: Callable[[routing_harness.Rig], None],
        settings: state.RoutingSettings,
        out: bool,
    ) -> None:
        """A stale list does not keep work on a target known to be out."""
        rig = routing_harness.Rig(settings)
        assert 'engine-0' in rig.chosen()
        fault(rig)
        names = rig.chosen()
        assert ('engine-0' not in names) is out
        assert '' not in names

    def test_notice_needs_a_connection(self) -> None:
        """Without the urgent notice a peer's knowledge stays there."""
        rig = routing_harness.Rig(connected=False)
        fault_peer_says_leaving(rig)
        assert 'engine-0' in rig.chosen()

    @pytest.mark.parametrize(
        ('share', 'left_count'), [(0.34, 4), (0.5, 3), (1.0, 0)]
    )
    def test_common_fault_never_empties_the_set(
        self, share: float, left_count: int
    ) -> None:
        """All targets fail; with the bound off (share 1) none is left."""
        rig = routing_harness.Rig(state.RoutingSettings(ejection_share=share))
        for index in range(6):
            rig.fail(index)
        assert len(set(rig.chosen()) - {''}) == left_count

    def test_ejected_target_returns_slowly(self) -> None:
        """A target that fails after its return is ejected for longer."""
        rig = routing_harness.Rig()
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
        rig = routing_harness.Rig()
        rig.fail(0)
        rig.report(1, running=30)
        before = rig.table.candidate(rig.targets[1].name, None)
        rig.clock.jump_wall(-86_400)
        assert rig.table.candidate(rig.targets[1].name, None) == before
        rig.clock.jump_wall(10 * 86_400)
        assert 'engine-0' not in rig.chosen()

    def test_lost_reports_age_towards_typical_load(self) -> None:
        """An old report of an idle target draws no work for ever."""
        rig = routing_harness.Rig()
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
        rig = routing_harness.Rig()
        rig.report(0)
        rig.clock.advance(1.0)
        assert rig.report(0, incarnation='two') == (True, False)
        assert rig.chosen(600).count('engine-0') < 60

    def test_new_target_starts_slowly_and_known_ones_do_not(self) -> None:
        """An instance that has just started takes no target for new."""
        rig = routing_harness.Rig(target_count=3)
        assert min(rig.chosen(600).count(f'engine-{n}') for n in (0, 2)) > 60
        rig.clock.advance(60.0)
        rig.table.update((*rig.targets, routing_harness.make_target(4)))
        assert rig.chosen(600).count('engine-4') < 60
        rig.clock.advance(60.0)
        assert rig.chosen(600).count('engine-4') > 60

    def test_old_notice_spares_a_restarted_target(self) -> None:
        """A notice that names the former process changes nothing."""
        rig = routing_harness.Rig()
        rig.report(0, incarnation='two')
        network = rig.hub.join('instance-2')
        network.broadcast(routing.TargetLeaving(rig.targets[0].name, 'one'))
        assert 'engine-0' in rig.chosen()

    def test_lagging_report_does_not_revoke_leaving(self) -> None:
        """A report from before the notice brings no work back."""
        rig = routing_harness.Rig()
        rig.observe(0, state.OutcomeKind.LEAVING)
        rig.clock.advance(1.0)
        rig.report(0)
        assert 'engine-0' not in rig.chosen()
        rig.clock.advance(5.0)
        rig.report(0)
        assert 'engine-0' in rig.chosen()

    def test_full_targets_are_refused_as_not_run(self) -> None:
        """All targets at their adaptive limit give a truthful refusal."""
        rig = routing_harness.Rig(
            state.RoutingSettings(concurrency_start_count=0)
        )
        assert set(rig.chosen(5)) == {''}

    def test_full_targets_take_answers_that_have_begun(self) -> None:
        """The limit of targets never ends an answer after a failover."""
        rig = routing_harness.Rig(
            state.RoutingSettings(concurrency_start_count=0)
        )
        found = rig.selector.assign(
            ports.SelectionRequest(
                state.RequestId('request-1'),
                routing_harness.ROUTE,
                state.OrganisationName('small'),
                routing_harness.VERSION,
                continues=True,
            )
        )
        assert found.is_ok()

    def test_report_of_idle_target_draws_no_herd(self) -> None:
        """Instances that see one idle target do not all choose it."""
        rig = routing_harness.Rig(target_count=30)
        for index in range(30):
            rig.report(index, running=0 if index == 7 else 24)
        # The first choice of many instances is that of many requests.
        assert rig.chosen(600).count('engine-7') < 600 * 0.25


class TestPolicies:
    """Guards against policies that ignore ejection or crash when empty."""

    @pytest.mark.parametrize(
        'policy',
        ['random', 'round_robin', 'two_choices', 'rendezvous', 'cost'],
    )
    def test_every_policy_skips_what_is_out(self, policy: str) -> None:
        """Leaving targets get nothing, and an empty set is refused."""
        rig = routing_harness.Rig(
            state.RoutingSettings(policy=policy, domain_penalty=0.0)
        )
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
        rig = routing_harness.Rig()
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
        before = [rig.table.status(one.name) for one in rig.targets]
        rig.topic.receive(there, echo)
        assert [rig.table.status(one.name) for one in rig.targets] == before

    def test_budget_and_age_bound_the_digests(self) -> None:
        """Neither too many nor too old digests are sent."""
        rig = routing_harness.Rig()
        for index in range(6):
            rig.report(index)
        payload = rig.topic.outgoing(state.InstanceName('x'), 35)
        assert payload is not None
        assert len(fakes.PlainDigestCodec().decode(payload)) == 3
        rig.clock.advance(60.0)
        assert rig.topic.outgoing(state.InstanceName('y'), 4000) is None
