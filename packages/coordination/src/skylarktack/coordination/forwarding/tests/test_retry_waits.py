"""Lost runs that wait until they may be sent again."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

#: Gap between events after which the callers of the harness leave.
CALLER_PATIENCE_S = 4 * harness.OBJECTIVE_MS / 1000

OBJECTIVE_S = harness.OBJECTIVE_MS / 1000

REFUSAL = harness.answer_script(503, after_s=0.01, is_not_executed=True)


def _make_env(*names: str, allowance: float = 2.0) -> harness.Harness:
    """Return a harness that prefers the first engine."""
    targets = [harness.target(name) for name in names]
    env = harness.make_harness(*targets, allowance=allowance)
    for name in names[1:]:
        env.fleet.record_run(
            data.RunStatus(name, name, name, None, is_prefilling=True)
        )
    return env


def _spend_budget(env: harness.Harness) -> None:
    env.budget.count_request('pool')
    while env.budget.claim_retry('pool'):
        continue


def _stream(
    env: harness.Harness,
    is_resumable: bool = True,
    time_limit_ms: float = 25000.0,
) -> tuple[forwarding.StreamOutcome, forwarding.AdmittedRequest]:
    """Forward a stream; return its outcome, and the request with its steps."""
    of_route = harness.route(
        data.RequestKind.STREAM, max_attempts=5, is_resumable=is_resumable
    )
    admitted = env.work(of_route, harness.request(time_limit_ms=time_limit_ms))
    return env.streams.run(admitted), admitted


def _wait_steps(
    admitted: forwarding.AdmittedRequest,
) -> list[_outcomes.RequestStep]:
    return [
        step for step in admitted.trace.steps if step.step == 'wait_for_retry'
    ]


class TestSpentBudget:
    """Runs whose engine was lost while the retry budget is spent."""

    def test_stream_goes_on_when_the_budget_allows_it(self) -> None:
        """Guards against streams that are cut while their caller waits."""
        env = _make_env('first', 'second')
        env.client.script('first', harness.stream_script(1, 3, ending='lost'))
        env.client.script('second', harness.stream_script(4, 6, start_s=0.05))
        _spend_budget(env)
        outcome, admitted = _stream(env)
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 6)
        lost, again = env.client.sent
        # The window of the budget is 10 s long.
        assert 9.9 < again.at_s - lost.at_s < 10.2
        assert again.delivery.from_copy
        [step] = _wait_steps(admitted)
        assert step.inputs == {'cause': 'budget_spent'}

    def test_first_event_may_still_be_on_time(self) -> None:
        """Guards against a failure that a short wait avoids."""
        env = _make_env('first', 'second')
        env.client.script('first', harness.connection_lost_script(0.5))
        env.client.script('second', harness.stream_script(1, 3))
        _spend_budget(env)
        env.clock.advance(8.0)
        outcome, _ = _stream(env)
        assert isinstance(outcome, forwarding.StreamCompleted)
        lost, again = env.client.sent
        assert 1.9 < again.at_s - lost.at_s < 2.2

    def test_engine_that_drains_during_the_wait_gets_nothing(self) -> None:
        """Guards against a copy at an engine that has begun to leave."""
        env = _make_env('first', 'second', 'third')
        env.client.script('first', harness.stream_script(1, 3, ending='lost'))
        env.client.script('third', harness.stream_script(4, 6, start_s=0.05))
        _spend_budget(env)
        env.clock.schedule(
            env.clock.monotonic_s() + 5.0,
            lambda: env.targets.apply(
                data.TargetChange(
                    'second', harness.target('second', is_leaving=True)
                )
            ),
        )
        outcome, _ = _stream(env)
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first', 'third']

    def test_nothing_is_sent_without_a_claimed_retry(self) -> None:
        """Guards against sends beyond the budget after a wait."""
        env = _make_env('first', 'second', allowance=0.0)
        env.client.script('first', harness.stream_script(1, 3, ending='lost'))
        outcome, _ = _stream(env)
        assert isinstance(outcome, forwarding.StreamInterrupted)
        assert env.client.sent_to() == ['first']

    def test_wait_is_no_spinning(self) -> None:
        """Guards against a thread that asks the budget without a pause."""
        env = _make_env('first', 'second', allowance=0.0)
        env.client.script('first', harness.stream_script(1, 3, ending='lost'))
        original = env.budget.claim_retry
        claimed_at_s = []

        def _claim_retry(service: str) -> bool:
            claimed_at_s.append(env.clock.monotonic_s())
            return original(service)

        env.budget.claim_retry = _claim_retry  # type: ignore[method-assign]
        _stream(env)
        assert len(claimed_at_s) > 10
        for earlier_s, later_s in zip(
            claimed_at_s, claimed_at_s[1:], strict=False
        ):
            assert later_s - earlier_s >= 0.1


@dataclasses.dataclass(frozen=True)
class WaitEndCase:
    """When a run that gets no retry ends."""

    name: str
    script: tuple[fakes.ScriptedEvent, ...]
    expected_end_s: float
    time_limit_ms: float = 25000.0
    is_resumable: bool = True


WAIT_END_CASES = (
    WaitEndCase(
        'before its caller leaves',
        harness.stream_script(1, 1, start_s=1.0, ending='lost'),
        1.0 + CALLER_PATIENCE_S - OBJECTIVE_S,
    ),
    WaitEndCase(
        'before its deadline',
        harness.stream_script(1, 1, start_s=1.0, ending='lost'),
        10.0 - OBJECTIVE_S,
        time_limit_ms=10000.0,
    ),
    WaitEndCase(
        'once its first event is late',
        harness.connection_lost_script(0.5),
        OBJECTIVE_S,
    ),
    WaitEndCase(
        'at once if its first event is late already',
        harness.connection_lost_script(5.0),
        5.0,
    ),
    WaitEndCase(
        'at once if it may not be sent again',
        harness.stream_script(1, 1, start_s=1.0, ending='lost'),
        1.04,
        is_resumable=False,
    ),
    WaitEndCase(
        'at once if it has not run',
        harness.answer_script(503, after_s=0.2, is_not_executed=True),
        0.2,
    ),
)


class TestWaitEnd:
    """A wait ends when the caller gains nothing by it any more."""

    @pytest.mark.parametrize(
        'case', WAIT_END_CASES, ids=lambda case: case.name
    )
    def test_stream_ends(self, case: WaitEndCase) -> None:
        """Guards against callers that are held, or refused too early."""
        env = _make_env('first', 'second', allowance=0.0)
        env.client.script('first', case.script)
        env.client.queued_count = 1
        started_s = env.clock.monotonic_s()
        outcome, _ = _stream(env, case.is_resumable, case.time_limit_ms)
        assert isinstance(outcome, forwarding.StreamInterrupted | data.Refusal)
        ended_s = env.clock.monotonic_s() - started_s
        assert case.expected_end_s <= ended_s < case.expected_end_s + 0.25
        assert env.client.sent_to() == ['first']

    def test_caller_that_leaves_ends_the_wait(self) -> None:
        """Guards against runs that are sent again for nobody."""
        env = _make_env('first', 'second')
        env.client.script('first', harness.stream_script(1, 3, ending='lost'))
        _spend_budget(env)
        env.caller.disconnects_at_s = env.clock.monotonic_s() + 3.0
        outcome, _ = _stream(env)
        assert isinstance(outcome, forwarding.CallerDisconnected)
        assert env.client.sent_to() == ['first']


class TestNoEngine:
    """Runs whose engine was lost while no other one is available."""

    def test_first_event_may_still_be_on_time(self) -> None:
        """Guards against a failure while the lost engine starts again."""
        env = _make_env('only')
        env.client.script(
            'only',
            harness.connection_lost_script(2.0),
            harness.stream_script(1, 3),
        )
        env.client.queued_count = 1
        outcome, _ = _stream(env)
        assert isinstance(outcome, forwarding.StreamCompleted)

    def test_failure_is_told_once_the_first_event_is_late(self) -> None:
        """Guards against callers that wait for an engine in vain."""
        env = _make_env('only')
        env.client.script('only', harness.connection_lost_script(2.0))
        env.client.queued_count = 1
        original = env.client.send

        def _send(
            request: data.FrontRequest,
            delivery: data.DispatchContext,
            connect_timeout_s: float,
        ) -> fakes.ScriptedExchange | forwarding.ExchangeFault:
            env.targets.replace((), after_outage=False)
            return original(request, delivery, connect_timeout_s)

        env.client.send = _send  # type: ignore[method-assign]
        started_s = env.clock.monotonic_s()
        outcome, _ = _stream(env)
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TARGET_FAILED
        ended_s = env.clock.monotonic_s() - started_s
        assert OBJECTIVE_S <= ended_s < OBJECTIVE_S + 0.25


class TestRefusingEngines:
    """Runs that were lost, and that engines refuse in quick succession."""

    def test_stream_outlasts_quick_refusals(self) -> None:
        """Guards against a stream that is cut by refusals within a second."""
        env = _make_env('first', 'second', 'third', allowance=100.0)
        env.client.script(
            'first',
            harness.stream_script(1, 3, ending='lost'),
            *(REFUSAL for _ in range(9)),
        )
        for name in ('second', 'third'):
            env.client.script(
                name,
                *(REFUSAL for _ in range(6)),
                harness.stream_script(4, 6, start_s=0.05),
            )
        outcome, admitted = _stream(env)
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 6)
        assert len(env.client.sent) > 12
        assert len(_wait_steps(admitted)) == len(env.client.sent) - 12

    def test_later_sends_are_paced(self) -> None:
        """Guards against one stream that uses up the budget of all."""
        env = _make_env('first', 'second', 'third', allowance=100.0)
        lost = harness.stream_script(1, 3, ending='lost')
        env.client.script('first', lost, *(REFUSAL for _ in range(40)))
        for name in ('second', 'third'):
            env.client.script(name, *(REFUSAL for _ in range(40)))
        outcome, _ = _stream(env)
        assert isinstance(outcome, forwarding.StreamInterrupted)
        times_s = [sent.at_s for sent in env.client.sent[11:]]
        for earlier_s, later_s in zip(times_s, times_s[1:], strict=False):
            assert later_s - earlier_s >= 1.0
        assert len(times_s) <= CALLER_PATIENCE_S

    def test_request_that_has_not_run_is_refused(self) -> None:
        """Guards against callers that are held though they may come back."""
        env = _make_env('first', 'second', 'third', allowance=100.0)
        for name in ('first', 'second', 'third'):
            env.client.script(name, *(REFUSAL for _ in range(40)))
        started_s = env.clock.monotonic_s()
        outcome, _ = _stream(env)
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        assert len(env.client.sent) <= 12
        assert env.clock.monotonic_s() - started_s < 1.0
