"""Callers who disconnect, reconnect, fetch and cancel."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import generation
from skylarktack.coordination.tests import generation_harness

OTHER = state.OrganisationName('large')


def _two(
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
    beds = [
        generation_harness.GenerationHarness(
            fleet, 1, settings, hub.join(name) if linked else None
        )
        for name in ('one', 'two')
    ]
    chosen = request_id or generation.create_request_id(
        state.InstanceName('one')
    )
    wanted = generation_harness.request(
        1, 40, request_id=state.RequestId(chosen)
    )
    return beds[0], beds[1], wanted


def _interrupt(
    bed: generation_harness.GenerationHarness, wanted: state.GenerationRequest
) -> generation_harness.Received:
    return generation_harness.read(bed.service, bed.service.open(wanted), 15)


class TestReconnect:
    """Guards against missing or repeated tokens after a reconnect."""

    @pytest.mark.parametrize('linked', (True, False))
    @pytest.mark.parametrize('engine_lost', (False, True))
    @pytest.mark.parametrize('sends_delivered', (False, True))
    def test_other_instance(
        self, linked: bool, engine_lost: bool, sends_delivered: bool
    ) -> None:
        """The rest follows from a peer, the engine, or a checked rerun."""
        one, two, wanted = _two(linked=linked)
        first = _interrupt(one, wanted)
        token = first.token()
        if engine_lost:
            one.fleet.engines.engine(token.target).restart()
        delivered = tuple(held.text.decode() for held in first.tokens)
        again = dataclasses.replace(
            wanted,
            resume=token,
            delivered_tokens=delivered if sends_delivered else None,
        )
        rest = two.run(again)
        assert rest.refusal is None
        assert first.text + rest.text == generation_harness.expected_text(
            wanted.prompt, 40
        )
        assert rest.tokens[0].position == token.position

    def test_former_instance_leaves_the_attempt_alone(self) -> None:
        """The instance that a caller left does not cancel what moved."""
        # With the usual two seconds the former instance gave up, in the time
        # of the fake clock, before this thread had reconnected.
        settings = state.GenerationSettings(caller_grace_ms=60_000)
        one, two, wanted = _two(settings=settings)
        wanted = dataclasses.replace(wanted, max_tokens_count=4000)
        first = _interrupt(one, wanted)
        again = dataclasses.replace(wanted, resume=first.token())
        feed = two.service.open(again).ok
        next(feed)
        one.service.wait_idle(10.0)
        one.canceller.run_round()
        assert isinstance(list(feed)[-1], generation.Completed)
        assert one.fleet.engines.started_count == 1

    def test_same_instance(self) -> None:
        """A caller who comes back joins the detached generation."""
        one, _, wanted = _two()
        first = _interrupt(one, wanted)
        rest = one.run(dataclasses.replace(wanted, resume=first.token()))
        assert first.text + rest.text == generation_harness.expected_text(
            wanted.prompt, 40
        )

    def test_stuck_connection_does_not_hold_up_the_next(self) -> None:
        """A reader that never reads on does not block a second one."""
        one, _, wanted = _two()
        stuck = one.service.open(wanted).ok
        while not isinstance(next(stuck), generation.TokenBatch):
            continue
        whole = one.run(wanted)
        assert whole.text == generation_harness.expected_text(
            wanted.prompt, 40
        )

    def test_diverged_rerun_is_a_typed_failure(self) -> None:
        """A rerun with another text ends before anything is delivered."""
        one, two, wanted = _two(linked=False)
        first = _interrupt(one, wanted)
        token = first.token()
        one.fleet.engines.engine(token.target).restart()
        two.fleet.engines.token_at = lambda prompt, at: f'other {at} '
        rest = two.run(dataclasses.replace(wanted, resume=token))
        assert rest.refusal is not None
        assert rest.refusal.code is state.RefusalCode.DIVERGED
        assert rest.text == ''
        accepted = dataclasses.replace(
            wanted, resume=token, accepts_restart=True
        )
        restarted = two.run(accepted)
        assert restarted.restart_count == 1
        assert restarted.text.startswith('other 0 ')
        assert restarted.end is not None

    def test_wrong_delivered_text_is_refused(self) -> None:
        """Text that the event id does not cover is no prefix."""
        one, two, wanted = _two(linked=False)
        token = _interrupt(one, wanted).token()
        refused = two.run(
            dataclasses.replace(
                wanted, resume=token, delivered_tokens=('wrong ',) * 15
            )
        )
        assert refused.refusal is not None
        assert refused.refusal.code is state.RefusalCode.BAD_REQUEST


class TestFetch:
    """Guards against lost or leaked generations when only the id is known."""

    def _fetch(
        self,
        bed: generation_harness.GenerationHarness,
        wanted: state.GenerationRequest,
        organisation: state.OrganisationName = generation_harness.ORGANISATION,
        resume: state.ResumeToken | None = None,
    ) -> generation_harness.Received:
        opened = bed.service.fetch(
            organisation,
            wanted.request_id,
            resume,
            lambda name, version: generation_harness.ROUTE,
        )
        return generation_harness.read(bed.service, opened)

    @pytest.mark.parametrize('request_id', (None, 'chosen-by-caller'))
    @pytest.mark.parametrize('elsewhere', (False, True))
    def test_finished_answer(
        self, request_id: str | None, elsewhere: bool
    ) -> None:
        """A finished answer is replayed here and on a peer."""
        one, two, wanted = _two(request_id)
        one.run(wanted)
        started_count = one.fleet.engines.started_count
        fetched = self._fetch(two if elsewhere else one, wanted)
        assert fetched.text == generation_harness.expected_text(
            wanted.prompt, 40
        )
        assert fetched.end is not None
        assert one.fleet.engines.started_count == started_count

    def test_second_reader_leaves_the_first_alone(self) -> None:
        """A reader on a peer that leaves does not cancel the attempt."""
        one, two, wanted = _two()
        wanted = dataclasses.replace(wanted, max_tokens_count=4000)
        feed = one.service.open(wanted).ok
        next(feed)
        opened = two.service.fetch(
            generation_harness.ORGANISATION,
            wanted.request_id,
            None,
            lambda name, version: generation_harness.ROUTE,
        )
        generation_harness.read(two.service, opened, 5)
        two.service.wait_idle(10.0)
        two.canceller.run_round()
        assert isinstance(list(feed)[-1], generation.Completed)
        assert one.fleet.engines.started_count == 1

    def test_running_answer_by_event_id(self) -> None:
        """The engine's stream is joined though no instance is asked."""
        one, two, wanted = _two(linked=False)
        first = _interrupt(one, wanted)
        rest = self._fetch(two, wanted, resume=first.token())
        assert first.text + rest.text == generation_harness.expected_text(
            wanted.prompt, 40
        )

    def test_lost_engine_without_prompt_is_a_typed_failure(self) -> None:
        """Without the prompt nothing can be generated again."""
        one, two, wanted = _two(linked=False)
        token = _interrupt(one, wanted).token()
        one.fleet.engines.engine(token.target).restart()
        rest = self._fetch(two, wanted, resume=token)
        assert rest.refusal is not None
        assert rest.refusal.code is state.RefusalCode.UNKNOWN_REQUEST

    def test_other_organisation(self) -> None:
        """An organisation cannot see the generation of another one."""
        one, two, wanted = _two()
        one.run(wanted)
        for bed in (one, two):
            fetched = self._fetch(bed, wanted, OTHER)
            assert fetched.refusal is not None
            assert fetched.refusal.code is state.RefusalCode.UNKNOWN_REQUEST

    def test_retention_ends(self) -> None:
        """A finished answer is forgotten after the route's retention."""
        one, _, wanted = _two()
        one.run(wanted)
        one.fleet.clock.advance(
            generation_harness.ROUTE.retention_ms / 1000 + 1
        )
        one.run(generation_harness.request(2))
        assert self._fetch(one, wanted).refusal is not None


class TestCallerLoss:
    """Guards against engine slots held for callers who left."""

    @pytest.mark.parametrize(
        ('policy', 'finishes'),
        (
            (state.CallerLossPolicy.CANCEL, False),
            (state.CallerLossPolicy.FINISH, True),
        ),
    )
    def test_policy(
        self, policy: state.CallerLossPolicy, finishes: bool
    ) -> None:
        """The slot is freed, or the answer is finished and kept."""
        one, _, wanted = _two()
        route = dataclasses.replace(wanted.route, caller_loss=policy)
        wanted = dataclasses.replace(
            wanted, route=route, max_tokens_count=1000
        )
        _interrupt(one, wanted)
        one.service.wait_idle(10.0)
        one.canceller.run_round()
        assert not one.fleet.engines.running()
        whole = one.fleet.engines.generated_count == 1000
        assert whole is finishes

    def test_cancel(self) -> None:
        """A cancelled generation ends with its typed error anywhere."""
        one, two, wanted = _two()
        feed = one.service.open(wanted).ok
        next(feed)
        organisation = generation_harness.ORGANISATION
        cancelled = two.service.cancel(organisation, wanted.request_id, None)
        assert cancelled.is_ok()
        last = list(feed)[-1]
        assert isinstance(last, generation.Failed)
        assert last.refusal.code is state.RefusalCode.CANCELLED
        unknown = two.service.cancel(OTHER, wanted.request_id, None)
        assert unknown.is_error()


class TestPlannedStop:
    """Guards against streams that a planned stop cuts."""

    def test_drain(self) -> None:
        """New work is refused and the rest moves with its event id."""
        one, two, wanted = _two()
        settings = state.GenerationSettings(drain_ms=1)
        one = generation_harness.GenerationHarness(one.fleet, 1, settings)
        finished = generation_harness.request(5)
        one.run(finished)
        feed = one.service.open(wanted).ok
        got: list[generation.DeliveredToken] = []
        while not got:
            step = next(feed)
            if isinstance(step, generation.TokenBatch):
                got.extend(step.tokens)
        report = one.service.drain()
        assert report.running_count == 1
        assert report.handed_over_count == 1
        refused = one.run(generation_harness.request(6))
        assert refused.refusal is not None
        assert refused.refusal.code is state.RefusalCode.STOPPING
        assert refused.refusal.run is state.RunState.NOT_RUN
        rest = list(feed)
        assert isinstance(rest[-1], generation.HandedOver)
        first = generation_harness.Received()
        first.tokens = got
        for step in rest:
            if isinstance(step, generation.TokenBatch):
                first.tokens.extend(step.tokens)
        started_count = one.fleet.engines.started_count
        again = dataclasses.replace(wanted, resume=first.token())
        moved = two.run(again)
        text = b''.join(token.text for token in first.tokens).decode()
        assert text + moved.text == generation_harness.expected_text(
            wanted.prompt, 40
        )
        assert one.fleet.engines.started_count == started_count

    @pytest.mark.parametrize('linked', (True, False))
    def test_handover_before_the_first_token(self, linked: bool) -> None:
        """A stream without a token moves too; its prompt is read once.

        The caller has no event id yet, so without the one in the handover
        the next instance started the generation again, and the first attempt
        ran on to its end for nobody.
        """
        one, two, wanted = _two(linked=linked)
        feed = one.service.open(wanted).ok
        while not one.fleet.engines.started_count:
            assert isinstance(next(feed), generation.Idle)
        feed.pump.record.handover_requested = True
        last = list(feed)[-1]
        assert isinstance(last, generation.HandedOver)
        assert last.resume is not None
        assert last.resume.position == 0
        one.service.release(feed)
        moved = two.run(dataclasses.replace(wanted, resume=last.resume))
        assert moved.text == generation_harness.expected_text(
            wanted.prompt, 40
        )
        assert one.fleet.engines.started_count == 1
        assert one.fleet.engines.generated_count == 40

    def test_leaving_target(self) -> None:
        """A generation moves before its target's deadline."""
        one, _, wanted = _two()
        wanted = dataclasses.replace(wanted, max_tokens_count=400)
        feed = one.service.open(wanted).ok
        text = b''
        target = None
        for step in feed:
            if not isinstance(step, generation.TokenBatch):
                continue
            text += b''.join(token.text for token in step.tokens)
            if target is None:
                target = step.tokens[0].target
                self._leave(one, target)
        assert text.decode() == generation_harness.expected_text(
            wanted.prompt, 400
        )
        targets = [seen.target for seen in one.outcomes.seen]
        assert targets[0] == target
        assert targets[1] != target

    def _leave(
        self, bed: generation_harness.GenerationHarness, name: state.TargetName
    ) -> None:
        changed: list[state.Target] = []
        for target in bed.fleet.targets:
            if target.name == name:
                target = dataclasses.replace(
                    target,
                    leaving=True,
                    leave_deadline_s=bed.fleet.clock.wall_s() + 4.0,
                )
            changed.append(target)
        bed.selector.update(tuple(changed))


class TestRetryBudget:
    """Guards against a retry storm when all targets fail."""

    def test_budget_ends_the_attempts(self) -> None:
        """Attempts that bring nothing spend the budget and then end."""
        fleet = generation_harness.Fleet(1)
        bed = generation_harness.GenerationHarness(fleet, 1, burst_count=10)
        for number in range(50):
            wanted = generation_harness.request(number)
            fleet.engines.faults[wanted.request_id] = [
                fakes.EngineFault(fakes.EngineFaultKind.ERROR, 0)
                for _ in range(10)
            ]
            received = bed.run(wanted)
            assert received.refusal is not None
        assert fleet.engines.started_count <= 50 + 10 + 50 * 0.1
