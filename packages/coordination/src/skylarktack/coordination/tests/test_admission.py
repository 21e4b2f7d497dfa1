"""Tests of admission, retry budgets and adaptive limits."""

import dataclasses
import threading

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import limits
from skylarktack.coordination import ports
from skylarktack.coordination.tests import limit_harness


class AdmissionHarness:
    """Admission of a single instance, on the system clock."""

    def __init__(
        self, shared: state.Route, *organisations: state.Organisation
    ) -> None:
        self.route = shared
        self.clock: ports.Clock = ports.SystemClock()
        self.metrics = fakes.MemoryMetrics()
        self.configuration = limit_harness.configured(
            *organisations, routes=(shared,)
        )
        self.share_allocator = limits.ShareAllocator(
            state.InstanceName('instance-0'),
            state.LimitSettings(queue_count=3),
            limits.LimitIndex(self.configuration),
            self.clock,
        )
        self.share_allocator.update_instances(())
        self.admission = limits.SharedAdmission(
            state.LimitSettings(queue_count=3),
            self.share_allocator,
            self.clock,
            self.metrics,
        )
        self.order: list[str] = []
        self.threads: list[threading.Thread] = []

    def admit_now(self, caller: state.Organisation) -> ports.Permit:
        """Admit a request for which a slot is free."""
        return self.admission.admit(caller, self.route).ok

    def queue_in_thread(self, caller: state.Organisation) -> None:
        """Start a thread with a request; return once it is queued."""
        waiting = self.admission.queued_count(self.route.name)
        thread = threading.Thread(
            target=self._admit_and_release, args=(caller,)
        )
        thread.start()
        self.threads.append(thread)
        while self.admission.queued_count(self.route.name) == waiting:
            threading.Event().wait(0.002)

    def _admit_and_release(self, caller: state.Organisation) -> None:
        admitted = self.admission.admit(caller, self.route)
        self.order.append(caller.name)
        admitted.ok.release()


class TestAdmission:
    """Guards against starved organisations and incorrect refusals."""

    def test_organisation_with_fewer_running_requests_is_first(self) -> None:
        """The organisation with fewer running requests is served first."""
        large, small = (
            limit_harness.organisation('large'),
            limit_harness.organisation('small'),
        )
        harness = AdmissionHarness(
            limit_harness.route(count=2, deadline_ms=60_000), large, small
        )
        held = [harness.admit_now(large), harness.admit_now(large)]
        for _ in range(3):
            harness.queue_in_thread(large)
        harness.queue_in_thread(small)
        held[0].release()
        for thread in harness.threads:
            thread.join()
        assert harness.order[0] == 'small'

    def test_weight_allows_more_running_requests(self) -> None:
        """A higher weight allows more running requests."""
        heavy, light = (
            limit_harness.organisation('heavy', weight=4.0),
            limit_harness.organisation('light'),
        )
        harness = AdmissionHarness(
            limit_harness.route(count=3, deadline_ms=60_000), heavy, light
        )
        held = [
            harness.admit_now(heavy),
            harness.admit_now(heavy),
            harness.admit_now(light),
        ]
        harness.queue_in_thread(light)
        harness.queue_in_thread(heavy)
        held[0].release()
        for thread in harness.threads:
            thread.join()
        assert harness.order[0] == 'heavy'

    def test_refusal_at_the_deadline_holds_no_slot(self) -> None:
        """A request refused at the deadline must not leak a slot."""
        large = limit_harness.organisation('large')
        harness = AdmissionHarness(
            limit_harness.route(count=1, deadline_ms=30), large
        )
        permit = harness.admit_now(large)
        refused = harness.admission.admit(large, harness.route).error
        assert refused.code is state.RefusalCode.QUEUE_DEADLINE
        assert refused.run is state.RunState.NOT_RUN
        assert harness.admission.queued_count(harness.route.name) == 0
        permit.release()
        permit.release()
        harness.admit_now(large).release()

    def test_full_queue_refuses_only_its_organisation(self) -> None:
        """A full queue must not block the requests of other organisations."""
        large, small = (
            limit_harness.organisation('large'),
            limit_harness.organisation('small'),
        )
        harness = AdmissionHarness(
            limit_harness.route(count=1, deadline_ms=60_000), large, small
        )
        permit = harness.admit_now(large)
        for _ in range(3):
            harness.queue_in_thread(large)
        refused = harness.admission.admit(large, harness.route).error
        assert refused.code is state.RefusalCode.LIMIT_REACHED
        assert refused.run is state.RunState.NOT_RUN
        harness.queue_in_thread(small)
        permit.release()
        for thread in harness.threads:
            thread.join()

    def test_rate_limited_request_waits_for_a_token(self) -> None:
        """A request without a token waits for one and is not refused."""
        large = limit_harness.organisation('large')
        harness = AdmissionHarness(
            limit_harness.route(rate=100.0, deadline_ms=60_000), large
        )
        for _ in range(5):
            harness.admit_now(large).release()

    def test_blocked_organisation_does_not_block_the_route(self) -> None:
        """An organisation at its limit must not block those behind it."""
        large = limit_harness.organisation('large', count=1)
        small = limit_harness.organisation('small')
        harness = AdmissionHarness(
            limit_harness.route(count=5, deadline_ms=60_000), large, small
        )
        permit = harness.admit_now(large)
        harness.queue_in_thread(large)
        harness.admit_now(small).release()
        permit.release()
        harness.threads[0].join()


class TestOrganisationRetryBudget:
    """Guards against retries that amplify the load during a failure."""

    def test_organisation_and_total_are_bounded(self) -> None:
        """One organisation must not use up the total budget."""
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
        """The number of buckets is bounded with many organisations."""
        budget = limits.OrganisationRetryBudget(
            state.RetrySettings(budget_burst_count=10_000),
            state.LimitSettings(idle_organisation_count=100),
        )
        for number in range(3000):
            budget.try_spend(state.OrganisationName(f'org-{number}'))
        assert budget.tracked_count <= 100


class TestAdaptiveLimits:
    """Guards against requests that pile up on an overloaded target."""

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
        """Slow first tokens and refusals lower the limit, to the floor."""
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
