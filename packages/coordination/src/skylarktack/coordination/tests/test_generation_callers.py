"""Callers that disconnect, reconnect, fetch and cancel."""

import dataclasses
import threading

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import generation
from skylarktack.coordination.tests import generation_harness

PATIENCE_S = 10.0

OTHER_ORGANISATION = state.OrganisationName('large')


def _two_instances(
    request_id: str | None = None,
    linked: bool = True,
    settings: state.GenerationSettings | None = None,
) -> tuple[
    generation_harness.GenerationHarness,
    generation_harness.GenerationHarness,
    state.GenerationRequest,
]:
    fleet = generation_harness.Fleet(1)
    hub = fakes.LocalPeerHub()
    harnesses = [
        generation_harness.GenerationHarness(
            fleet, 1, settings, hub.join(name) if linked else None
        )
        for name in ('one', 'two')
    ]
    chosen = request_id or generation.create_request_id(
        state.InstanceName('one')
    )
    request = generation_harness.request(
        1, 40, request_id=state.RequestId(chosen)
    )
    return harnesses[0], harnesses[1], request


def _interrupt(
    harness: generation_harness.GenerationHarness,
    request: state.GenerationRequest,
) -> generation_harness.Received:
    return generation_harness.read(
        harness.service, harness.service.open(request), 15
    )


class TestReconnect:
    """Guards against lost or duplicated tokens after a reconnect."""

    @pytest.mark.parametrize('linked', (True, False))
    @pytest.mark.parametrize('engine_lost', (False, True))
    @pytest.mark.parametrize('sends_delivered', (False, True))
    def test_reconnect_to_other_instance(
        self, linked: bool, engine_lost: bool, sends_delivered: bool
    ) -> None:
        """The rest comes from a peer, the engine or a verified new attempt."""
        one, two, request = _two_instances(linked=linked)
        first = _interrupt(one, request)
        token = first.resume_token()
        if engine_lost:
            one.fleet.engines.engine(token.target).restart()
        delivered = tuple(
            delivered_token.text.decode() for delivered_token in first.tokens
        )
        resuming_request = dataclasses.replace(
            request,
            resume=token,
            delivered_tokens=delivered if sends_delivered else None,
        )
        rest = two.run(resuming_request)
        assert rest.refusal is None
        assert first.text + rest.text == generation_harness.expected_text(
            request.prompt, 40
        )
        assert rest.tokens[0].position == token.position

    def test_previous_instance_keeps_the_attempt(self) -> None:
        """The previous instance does not cancel an attempt that moved."""
        # With the default of 2 s on the fake clock, the previous instance
        # cancelled the attempt before this thread had reconnected.
        settings = state.GenerationSettings(caller_grace_ms=60_000)
        one, two, request = _two_instances(settings=settings)
        request = dataclasses.replace(request, max_tokens_count=4000)
        first = _interrupt(one, request)
        resuming_request = dataclasses.replace(
            request, resume=first.resume_token()
        )
        subscription = two.service.open(resuming_request).ok
        next(subscription)
        one.service.wait_idle(10.0)
        one.canceller.run_round()
        assert isinstance(list(subscription)[-1], generation.Completed)
        assert one.fleet.engines.started_count == 1

    def test_reconnect_to_same_instance(self) -> None:
        """A caller that reconnects joins the detached generation."""
        one, _, request = _two_instances()
        first = _interrupt(one, request)
        rest = one.run(
            dataclasses.replace(request, resume=first.resume_token())
        )
        assert first.text + rest.text == generation_harness.expected_text(
            request.prompt, 40
        )

    def test_blocked_reader_does_not_block_the_next(self) -> None:
        """A reader that stops reading does not block a second one."""
        one, _, request = _two_instances()
        blocked = one.service.open(request).ok
        while not isinstance(next(blocked), generation.TokenBatch):
            continue
        completed = one.run(request)
        assert completed.text == generation_harness.expected_text(
            request.prompt, 40
        )

    def test_diverged_text_is_refused(self) -> None:
        """A new attempt with other text fails before delivering a token."""
        one, two, request = _two_instances(linked=False)
        first = _interrupt(one, request)
        token = first.resume_token()
        one.fleet.engines.engine(token.target).restart()
        two.fleet.engines.token_at = lambda prompt, at: f'other {at} '
        rest = two.run(dataclasses.replace(request, resume=token))
        assert rest.refusal is not None
        assert rest.refusal.code is state.RefusalCode.DIVERGED
        assert rest.text == ''
        accepted = dataclasses.replace(
            request, resume=token, accepts_restart=True
        )
        restarted = two.run(accepted)
        assert restarted.restart_count == 1
        assert restarted.text.startswith('other 0 ')
        assert restarted.end is not None

    def test_wrong_delivered_text_is_refused(self) -> None:
        """Delivered text that does not match the event id is refused."""
        one, two, request = _two_instances(linked=False)
        token = _interrupt(one, request).resume_token()
        refused = two.run(
            dataclasses.replace(
                request, resume=token, delivered_tokens=('wrong ',) * 15
            )
        )
        assert refused.refusal is not None
        assert refused.refusal.code is state.RefusalCode.BAD_REQUEST


class TestDetachedGeneration:
    """A generation whose caller has left, and whose attempt raises."""

    def test_error_is_recorded_and_ends_it(self) -> None:
        """Guards against an instance that waits for it until it stops."""
        one, _, request = _two_instances()

        def token_at(prompt: str, position: int) -> str:
            if position >= 30:
                raise ValueError('odd token')
            return generation_harness.token_at(prompt, position)

        one.fleet.engines.token_at = token_at
        first = _interrupt(one, request)
        assert one.service.wait_idle(PATIENCE_S)
        waiting = threading.Event()
        for _ in range(1000):
            if one.errors.counts():
                break
            waiting.wait(0.01)
        assert one.errors.counts() == {'detached generations': 1}
        one.fleet.engines.token_at = generation_harness.token_at
        rest = one.run(
            dataclasses.replace(request, resume=first.resume_token())
        )
        assert first.text + rest.text == generation_harness.expected_text(
            request.prompt, 40
        )


class TestFetch:
    """Guards against lost or leaked generations in fetches by request id."""

    def _fetch(
        self,
        harness: generation_harness.GenerationHarness,
        request: state.GenerationRequest,
        organisation: state.OrganisationName = generation_harness.ORGANISATION,
        resume: state.ResumeToken | None = None,
    ) -> generation_harness.Received:
        opened = harness.service.fetch(
            organisation,
            request.request_id,
            resume,
            lambda name, version: generation_harness.ROUTE,
        )
        return generation_harness.read(harness.service, opened)

    @pytest.mark.parametrize('request_id', (None, 'chosen-by-caller'))
    @pytest.mark.parametrize('elsewhere', (False, True))
    def test_finished_response(
        self, request_id: str | None, elsewhere: bool
    ) -> None:
        """A finished response is replayed locally and through a peer."""
        one, two, request = _two_instances(request_id)
        one.run(request)
        started_count = one.fleet.engines.started_count
        fetched = self._fetch(two if elsewhere else one, request)
        assert fetched.text == generation_harness.expected_text(
            request.prompt, 40
        )
        assert fetched.end is not None
        assert one.fleet.engines.started_count == started_count

    def test_second_reader_does_not_cancel(self) -> None:
        """A second reader that disconnects does not cancel the attempt."""
        one, two, request = _two_instances()
        request = dataclasses.replace(request, max_tokens_count=4000)
        subscription = one.service.open(request).ok
        next(subscription)
        opened = two.service.fetch(
            generation_harness.ORGANISATION,
            request.request_id,
            None,
            lambda name, version: generation_harness.ROUTE,
        )
        generation_harness.read(two.service, opened, 5)
        two.service.wait_idle(10.0)
        two.canceller.run_round()
        assert isinstance(list(subscription)[-1], generation.Completed)
        assert one.fleet.engines.started_count == 1

    def test_running_generation_by_event_id(self) -> None:
        """The event id suffices to join the stream without asking a peer."""
        one, two, request = _two_instances(linked=False)
        first = _interrupt(one, request)
        rest = self._fetch(two, request, resume=first.resume_token())
        assert first.text + rest.text == generation_harness.expected_text(
            request.prompt, 40
        )

    def test_lost_engine_without_prompt_is_refused(self) -> None:
        """Without the prompt a lost generation cannot be restarted."""
        one, two, request = _two_instances(linked=False)
        token = _interrupt(one, request).resume_token()
        one.fleet.engines.engine(token.target).restart()
        rest = self._fetch(two, request, resume=token)
        assert rest.refusal is not None
        assert rest.refusal.code is state.RefusalCode.UNKNOWN_REQUEST

    def test_other_organisation_is_refused(self) -> None:
        """An organisation cannot read a generation of another one."""
        one, two, request = _two_instances()
        one.run(request)
        for harness in (one, two):
            fetched = self._fetch(harness, request, OTHER_ORGANISATION)
            assert fetched.refusal is not None
            assert fetched.refusal.code is state.RefusalCode.UNKNOWN_REQUEST

    def test_response_expires(self) -> None:
        """A finished response expires after the route's retention time."""
        one, _, request = _two_instances()
        one.run(request)
        one.fleet.clock.advance(
            generation_harness.ROUTE.retention_ms / 1000 + 1
        )
        one.run(generation_harness.request(2))
        assert self._fetch(one, request).refusal is not None


class TestCallerLoss:
    """Guards against engine slots occupied for disconnected callers."""

    @pytest.mark.parametrize(
        ('policy', 'finishes'),
        (
            (state.CallerLossPolicy.CANCEL, False),
            (state.CallerLossPolicy.FINISH, True),
        ),
    )
    def test_caller_loss_policy(
        self, policy: state.CallerLossPolicy, finishes: bool
    ) -> None:
        """The policy cancels the attempt or lets it complete."""
        one, _, request = _two_instances()
        route = dataclasses.replace(request.route, caller_loss=policy)
        request = dataclasses.replace(
            request, route=route, max_tokens_count=1000
        )
        _interrupt(one, request)
        one.service.wait_idle(10.0)
        one.canceller.run_round()
        assert not one.fleet.engines.running()
        completed = one.fleet.engines.generated_count == 1000
        assert completed is finishes

    def test_cancel_on_other_instance(self) -> None:
        """A generation can be cancelled through any instance."""
        one, two, request = _two_instances()
        subscription = one.service.open(request).ok
        next(subscription)
        organisation = generation_harness.ORGANISATION
        cancelled = two.service.cancel(organisation, request.request_id, None)
        assert cancelled.is_ok()
        last = list(subscription)[-1]
        assert isinstance(last, generation.Failed)
        assert last.refusal.code is state.RefusalCode.CANCELLED
        unknown = two.service.cancel(
            OTHER_ORGANISATION, request.request_id, None
        )
        assert unknown.is_error()


class TestDrain:
    """Guards against streams interrupted by a planned shutdown."""

    def test_drain_hands_over(self) -> None:
        """Draining refuses new work and hands running streams over."""
        one, two, request = _two_instances()
        settings = state.GenerationSettings(drain_ms=1)
        one = generation_harness.GenerationHarness(one.fleet, 1, settings)
        finished = generation_harness.request(5)
        one.run(finished)
        subscription = one.service.open(request).ok
        received_tokens: list[generation.DeliveredToken] = []
        while not received_tokens:
            event = next(subscription)
            if isinstance(event, generation.TokenBatch):
                received_tokens.extend(event.tokens)
        report = one.service.drain()
        assert report.running_count == 1
        assert report.handed_over_count == 1
        refused = one.run(generation_harness.request(6))
        assert refused.refusal is not None
        assert refused.refusal.code is state.RefusalCode.STOPPING
        assert refused.refusal.run is state.RunState.NOT_RUN
        rest = list(subscription)
        assert isinstance(rest[-1], generation.HandedOver)
        first = generation_harness.Received()
        first.tokens = received_tokens
        for event in rest:
            if isinstance(event, generation.TokenBatch):
                first.tokens.extend(event.tokens)
        started_count = one.fleet.engines.started_count
        resuming_request = dataclasses.replace(
            request, resume=first.resume_token()
        )
        moved = two.run(resuming_request)
        text = b''.join(token.text for token in first.tokens).decode()
        assert text + moved.text == generation_harness.expected_text(
            request.prompt, 40
        )
        assert one.fleet.engines.started_count == started_count

    @pytest.mark.parametrize('linked', (True, False))
    def test_handover_before_the_first_token(self, linked: bool) -> None:
        """A stream without a token is handed over without a new attempt.

        The caller has no event id yet. Without the one in the handover event,
        the next instance started a second attempt, and the first one ran to
        its end without a reader.
        """
        one, two, request = _two_instances(linked=linked)
        subscription = one.service.open(request).ok
        while not one.fleet.engines.started_count:
            assert isinstance(next(subscription), generation.Idle)
        subscription.generation.record.handover_requested = True
        last = list(subscription)[-1]
        assert isinstance(last, generation.HandedOver)
        assert last.resume is not None
        assert last.resume.position == 0
        one.service.release(subscription)
        moved = two.run(dataclasses.replace(request, resume=last.resume))
        assert moved.text == generation_harness.expected_text(
            request.prompt, 40
        )
        assert one.fleet.engines.started_count == 1
        assert one.fleet.engines.generated_count == 40

    def test_leaving_target(self) -> None:
        """A generation moves to another target before the leave deadline."""
        one, _, request = _two_instances()
        request = dataclasses.replace(request, max_tokens_count=400)
        subscription = one.service.open(request).ok
        text = b''
        target = None
        for event in subscription:
            if not isinstance(event, generation.TokenBatch):
                continue
            text += b''.join(token.text for token in event.tokens)
            if target is None:
                target = event.tokens[0].target
                self._mark_leaving(one, target)
        assert text.decode() == generation_harness.expected_text(
            request.prompt, 400
        )
        targets = [seen.target for seen in one.outcomes.seen]
        assert targets[0] == target
        assert targets[1] != target

    def _mark_leaving(
        self,
        harness: generation_harness.GenerationHarness,
        name: state.TargetName,
    ) -> None:
        changed: list[state.Target] = []
        for target in harness.fleet.targets:
            if target.name == name:
                target = dataclasses.replace(
                    target,
                    leaving=True,
                    leave_deadline_s=harness.fleet.clock.wall_s() + 4.0,
                )
            changed.append(target)
        harness.selector.update(tuple(changed))


class TestRetryBudget:
    """Guards against a retry storm when all attempts fail."""

    def test_budget_limits_attempts(self) -> None:
        """Attempts without a token spend the budget until it is exhausted."""
        fleet = generation_harness.Fleet(1)
        harness = generation_harness.GenerationHarness(
            fleet, 1, burst_count=10
        )
        for number in range(50):
            request = generation_harness.request(number)
            fleet.engines.faults[request.request_id] = [
                fakes.EngineFault(fakes.EngineFaultKind.ERROR, 0)
                for _ in range(10)
            ]
            received = harness.run(request)
            assert received.refusal is not None
        assert fleet.engines.started_count <= 50 + 10 + 50 * 0.1
