"""Tests of admission, queues and budgets."""

import dataclasses
import threading

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import limits
from skylarktack.coordination import ports
from skylarktack.coordination.tests import limit_harness


class Gate:
    """One instance's admission with the system clock."""

    def __init__(
        self, shared: state.Route, *organisations: state.Organisation
    ) -> None:
        self.route = shared
        self.clock: ports.Clock = ports.SystemClock()
        self.metrics = fakes.MemoryMetrics()
        self.configuration = limit_harness.configured(
            *organisations, routes=(shared,)
        )
        self.book = limits.ShareAllocator(
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
        large, small = (
            limit_harness.organisation('large'),
            limit_harness.organisation('small'),
        )
        gate = Gate(
            limit_harness.route(count=2, deadline_ms=60_000), large, small
        )
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
        heavy, light = (
            limit_harness.organisation('heavy', weight=4.0),
            limit_harness.organisation('light'),
        )
        gate = Gate(
            limit_harness.route(count=3, deadline_ms=60_000), heavy, light
        )
        held = [gate.enter(heavy), gate.enter(heavy), gate.enter(light)]
        gate.wait_in_thread(light)
        gate.wait_in_thread(heavy)
        held[0].release()
        for thread in gate.threads:
            thread.join()
        assert gate.order[0] == 'heavy'

    def test_deadline_gives_a_true_refusal(self) -> None:
        """A refused request holds no slot afterwards."""
        large = limit_harness.organisation('large')
        gate = Gate(limit_harness.route(count=1, deadline_ms=30), large)
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
        large, small = (
            limit_harness.organisation('large'),
            limit_harness.organisation('small'),
        )
        gate = Gate(
            limit_harness.route(count=1, deadline_ms=60_000), large, small
        )
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
        large = limit_harness.organisation('large')
        gate = Gate(limit_harness.route(rate=100.0, deadline_ms=60_000), large)
        for _ in range(5):
            gate.enter(large).release()

    def test_blocked_organisation_does_not_block_the_route(self) -> None:
        """One at its own limit lets others pass."""
        large = limit_harness.organisation('large', count=1)
        small = limit_harness.organisation('small')
        gate = Gate(
            limit_harness.route(count=5, deadline_ms=60_000), large, small
        )
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
