"""Tests of target state and target selection."""

from collections.abc import Callable
import dataclasses
import random

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.coordination.tests import routing_harness


def fault_leaving_in_report(harness: routing_harness.RoutingHarness) -> None:
    """A load report says leaving while the target is still listed."""
    harness.report_load(0, leaving=True)


def fault_leaving_in_refusal(harness: routing_harness.RoutingHarness) -> None:
    """The target refuses a request because it is leaving."""
    harness.observe(0, state.OutcomeKind.LEAVING)


def fault_leaving_announced_by_peer(
    harness: routing_harness.RoutingHarness,
) -> None:
    """Only a peer learns that the target is leaving, and announces it."""
    harness.peer[1].observe(
        state.TargetOutcome(
            harness.targets[0].name,
            routing_harness.ROUTE.name,
            routing_harness.VERSION,
            state.OrganisationName('small'),
            state.OutcomeKind.LEAVING,
            None,
            None,
            1.0,
        )
    )


def fault_leaving_in_digest(harness: routing_harness.RoutingHarness) -> None:
    """The urgent notice is lost; the next gossip digest arrives."""
    harness.hub.cut('instance-0', 'instance-1')
    harness.report_load(0, leaving=True, table=harness.peer[0])
    payload = harness.peer[2].outgoing(state.InstanceName('instance-0'), 4000)
    assert payload is not None
    harness.topic.receive(state.InstanceName('instance-1'), payload)


def fault_target_fails(harness: routing_harness.RoutingHarness) -> None:
    """Three consecutive requests fail."""
    harness.fail_requests(0)


def fault_target_unlisted(harness: routing_harness.RoutingHarness) -> None:
    """The target is removed from the platform's list."""
    harness.table.update(harness.targets[1:])


FAULT_CASES: list[
    tuple[
        Callable[[routing_harness.RoutingHarness], None],
        state.RoutingSettings,
        bool,
    ]
] = [
    # fault, settings, whether the target is then excluded
    (fault_leaving_in_report, state.RoutingSettings(), True),
    (fault_leaving_in_refusal, state.RoutingSettings(), True),
    (fault_leaving_announced_by_peer, state.RoutingSettings(), True),
    (fault_leaving_in_digest, state.RoutingSettings(), True),
    (fault_target_fails, state.RoutingSettings(), True),
    (fault_target_unlisted, state.RoutingSettings(), True),
    # Ejection disabled: the failing target still gets requests.
    (
        fault_target_fails,
        state.RoutingSettings(ejection_failure_count=1 << 30),
        False,
    ),
]


class TestTargetFaults:
    """Guards against requests to leaving, failing and removed targets."""

    @pytest.mark.parametrize(('fault', 'settings', 'is_excluded'), FAULT_CASES)
    def test_faulty_target_gets_no_requests(
        self,
        fault: Callable[[routing_harness.RoutingHarness], None],
        settings: state.RoutingSettings,
        is_excluded: bool,
    ) -> None:
        """A target known as faulty gets no requests, though still listed."""
        harness = routing_harness.RoutingHarness(settings)
        assert 'engine-0' in harness.select_targets()
        fault(harness)
        names = harness.select_targets()
        assert ('engine-0' not in names) is is_excluded
        assert '' not in names

    def test_unconnected_peer_is_not_notified(self) -> None:
        """Without a connection a peer's leaving notice does not arrive."""
        harness = routing_harness.RoutingHarness(connected=False)
        fault_leaving_announced_by_peer(harness)
        assert 'engine-0' in harness.select_targets()

    @pytest.mark.parametrize(
        ('share', 'left_count'), [(0.34, 4), (0.5, 3), (1.0, 0)]
    )
    def test_common_fault_does_not_eject_all_targets(
        self, share: float, left_count: int
    ) -> None:
        """All targets fail; all are ejected only if unbounded (share 1)."""
        harness = routing_harness.RoutingHarness(
            state.RoutingSettings(ejection_share=share)
        )
        for index in range(6):
            harness.fail_requests(index)
        assert len(set(harness.select_targets()) - {''}) == left_count

    def test_target_restarts_slowly_after_ejection(self) -> None:
        """An ejected target must return by slow start, and be ejected for
        longer if it fails again.
        """
        harness = routing_harness.RoutingHarness()
        harness.fail_requests(0)
        harness.clock.advance(6.0)
        assert harness.select_targets(600).count('engine-0') < 60
        harness.clock.advance(20.0)
        assert harness.select_targets(600).count('engine-0') > 60
        harness.fail_requests(0)
        harness.clock.advance(6.0)
        assert 'engine-0' not in harness.select_targets()

    def test_wall_clock_jump_does_not_affect_ejection(self) -> None:
        """Ejections and sample ages must use the monotonic clock."""
        harness = routing_harness.RoutingHarness()
        harness.fail_requests(0)
        harness.report_load(1, running=30)
        before = harness.table.candidate(harness.targets[1].name, None)
        harness.clock.jump_wall(-86_400)
        assert harness.table.candidate(harness.targets[1].name, None) == before
        harness.clock.jump_wall(10 * 86_400)
        assert 'engine-0' not in harness.select_targets()

    def test_stale_load_decays_towards_typical_load(self) -> None:
        """An outdated report of an idle target must stop attracting work."""
        harness = routing_harness.RoutingHarness()
        harness.report_load(0, running=0)
        for _ in range(100):
            harness.clock.advance(0.1)
            for index in range(1, 6):
                harness.report_load(index, running=20)
        fresh = harness.table.candidate(harness.targets[1].name, None)
        stale = harness.table.candidate(harness.targets[0].name, None)
        assert fresh is not None
        assert stale is not None
        assert stale.load > 0.8 * fresh.load

    def test_restarted_target_starts_slowly(self) -> None:
        """A restarted target has an empty cache, so gets few requests."""
        harness = routing_harness.RoutingHarness()
        harness.report_load(0)
        harness.clock.advance(1.0)
        assert harness.report_load(0, incarnation='two') == (True, False)
        assert harness.select_targets(600).count('engine-0') < 60

    def test_new_target_starts_slowly_and_known_ones_do_not(self) -> None:
        """Targets known at the start of the instance are not new."""
        harness = routing_harness.RoutingHarness(target_count=3)
        assert (
            min(
                harness.select_targets(600).count(f'engine-{n}')
                for n in (0, 2)
            )
            > 60
        )
        harness.clock.advance(60.0)
        harness.table.update(
            (*harness.targets, routing_harness.make_target(4))
        )
        assert harness.select_targets(600).count('engine-4') < 60
        harness.clock.advance(60.0)
        assert harness.select_targets(600).count('engine-4') > 60

    def test_notice_of_previous_incarnation_is_ignored(self) -> None:
        """A late notice about the previous process has no effect."""
        harness = routing_harness.RoutingHarness()
        harness.report_load(0, incarnation='two')
        network = harness.hub.join('instance-2')
        network.broadcast(
            routing.TargetLeaving(harness.targets[0].name, 'one')
        )
        assert 'engine-0' in harness.select_targets()

    def test_lagging_report_does_not_revoke_leaving(self) -> None:
        """A report measured before the notice must not revoke it."""
        harness = routing_harness.RoutingHarness()
        harness.observe(0, state.OutcomeKind.LEAVING)
        harness.clock.advance(1.0)
        harness.report_load(0)
        assert 'engine-0' not in harness.select_targets()
        harness.clock.advance(5.0)
        harness.report_load(0)
        assert 'engine-0' in harness.select_targets()

    def test_targets_at_limit_are_refused_as_not_executed(self) -> None:
        """A refusal at the concurrency limit must say not executed."""
        harness = routing_harness.RoutingHarness(
            state.RoutingSettings(concurrency_start_count=0)
        )
        assert set(harness.select_targets(5)) == {''}

    def test_continued_request_ignores_concurrency_limit(self) -> None:
        """A response must not be aborted by the limit after a failover."""
        harness = routing_harness.RoutingHarness(
            state.RoutingSettings(concurrency_start_count=0)
        )
        found = harness.selector.assign(
            ports.SelectionRequest(
                state.RequestId('request-1'),
                routing_harness.ROUTE,
                state.OrganisationName('small'),
                routing_harness.VERSION,
                continues=True,
            )
        )
        assert found.is_ok()

    def test_idle_target_does_not_attract_most_requests(self) -> None:
        """An idle target must not be selected by all instances at once."""
        harness = routing_harness.RoutingHarness(target_count=30)
        for index in range(30):
            harness.report_load(index, running=0 if index == 7 else 24)
        # Many requests of one instance stand in for the first request of
        # each of many instances.
        assert harness.select_targets(600).count('engine-7') < 600 * 0.25


class TestPolicies:
    """Guards against policies that ignore eligibility or fail if empty."""

    @pytest.mark.parametrize(
        'policy',
        ['random', 'round_robin', 'two_choices', 'rendezvous', 'cost'],
    )
    def test_policy_skips_leaving_targets(self, policy: str) -> None:
        """Leaving targets get no requests; without targets all are refused."""
        harness = routing_harness.RoutingHarness(
            state.RoutingSettings(policy=policy, domain_penalty=0.0)
        )
        harness.report_load(0, leaving=True)
        prompts = random.Random(1)
        names: set[str] = set()
        for _ in range(60):
            prompt = str(prompts.random()) * 40
            names.update(harness.select_targets(2, prompt))
        assert names == {f'engine-{n}' for n in range(1, 6)}
        harness.table.update(
            [
                dataclasses.replace(target, leaving=True)
                for target in harness.targets
            ]
        )
        assert set(harness.select_targets(3)) == {''}


class TestDigests:
    """Guards against echoed digests, stale digests and oversized payloads."""

    def test_digests_reach_peers_once(self) -> None:
        """A digest is sent once per peer; its echo changes no status."""
        harness = routing_harness.RoutingHarness()
        for index in range(6):
            harness.report_load(index, running=index)
        here = state.InstanceName('instance-0')
        there = state.InstanceName('instance-1')
        payload = harness.topic.outgoing(there, 4000)
        assert payload is not None
        assert harness.topic.outgoing(there, 4000) is None
        harness.clock.advance(0.05)
        harness.peer[2].receive(here, payload)
        echo = harness.peer[2].outgoing(here, 4000)
        assert echo is not None
        before = [
            harness.table.status(target.name) for target in harness.targets
        ]
        harness.topic.receive(there, echo)
        assert [
            harness.table.status(target.name) for target in harness.targets
        ] == before

    def test_digests_are_limited_by_bytes_and_age(self) -> None:
        """Digests beyond the byte limit or the age limit are not sent."""
        harness = routing_harness.RoutingHarness()
        for index in range(6):
            harness.report_load(index)
        payload = harness.topic.outgoing(state.InstanceName('x'), 35)
        assert payload is not None
        assert len(fakes.PlainDigestCodec().decode(payload)) == 3
        harness.clock.advance(60.0)
        assert harness.topic.outgoing(state.InstanceName('y'), 4000) is None
