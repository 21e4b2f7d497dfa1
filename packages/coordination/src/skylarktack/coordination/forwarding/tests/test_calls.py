"""Tests of calls, which have one complete response."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

NON_IDEMPOTENT = data.RequestKind.NON_IDEMPOTENT
IDEMPOTENT = data.RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """Behaviour of the first target and the expected end of the call."""

    name: str
    kind: data.RequestKind
    first: tuple[fakes.ScriptedEvent, ...] | forwarding.ExchangeFault
    send_count: int
    #: Status of the response, or the reason of the refusal.
    expected: int | data.RefusalReason


FAULT_CASES = (
    FaultCase('not connected', NON_IDEMPOTENT, harness.REFUSED, 2, 200),
    FaultCase('not connected', IDEMPOTENT, harness.REFUSED, 2, 200),
    FaultCase(
        'lost',
        NON_IDEMPOTENT,
        harness.connection_lost_script(),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase('lost', IDEMPOTENT, harness.connection_lost_script(), 2, 200),
    FaultCase(
        'rejected as not executed',
        NON_IDEMPOTENT,
        harness.answer_script(503, is_not_executed=True),
        2,
        200,
    ),
    FaultCase(
        'misdirected',
        NON_IDEMPOTENT,
        harness.answer_script(421, is_not_executed=True),
        2,
        200,
    ),
    FaultCase(
        '421 without Not-Executed',
        NON_IDEMPOTENT,
        harness.answer_script(421),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'target failure', NON_IDEMPOTENT, harness.answer_script(500), 1, 500
    ),
    FaultCase(
        'target failure', IDEMPOTENT, harness.answer_script(500), 2, 200
    ),
    FaultCase(
        '503 without Not-Executed',
        NON_IDEMPOTENT,
        harness.answer_script(503),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'success without a signature',
        NON_IDEMPOTENT,
        harness.answer_script(200, is_signed=False),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'success without a signature',
        IDEMPOTENT,
        harness.answer_script(200, is_signed=False),
        2,
        200,
    ),
    FaultCase(
        'client error', NON_IDEMPOTENT, harness.answer_script(400), 1, 400
    ),
)


class TestCallFaults:
    """Faults of targets; a non-idempotent call is executed at most once."""

    @pytest.mark.parametrize(
        'case', FAULT_CASES, ids=lambda case: f'{case.name} {case.kind.value}'
    )
    def test_fault_is_retried_only_if_allowed(self, case: FaultCase) -> None:
        """Guards against forbidden retries, false refusals, lost responses."""
        env = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        env.client.script('first', case.first)
        env.client.script('second', harness.answer_script())
        outcome = env.call(harness.route(case.kind, max_attempts=2))
        assert len(env.client.sent) == case.send_count
        if isinstance(outcome, data.FrontResponse):
            assert outcome.status == case.expected
        else:
            assert isinstance(outcome, data.Refusal)
            assert outcome.reason is case.expected

    def test_unconnected_call_is_refused_as_not_executed(self) -> None:
        """Guards against a 503 for a call that may have been executed."""
        env = harness.make_harness(harness.target('only'))
        env.client.script('only', harness.REFUSED)
        outcome = env.call(harness.route(NON_IDEMPOTENT, max_attempts=1))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        assert outcome.retry_after_s is not None

    def test_connection_is_closed_after_response(self) -> None:
        """Guards against connections that leak after a response."""
        env = harness.make_harness(harness.target('only'))
        env.client.script('only', harness.answer_script())
        env.call()
        assert all(exchange.is_closed for exchange in env.client.exchanges)


class TestCallDeadline:
    """A call ends within the time limits of its caller and its route."""

    def test_call_ends_at_route_timeout(self) -> None:
        """Guards against requests that outlast their route's timeout."""
        env = harness.make_harness(harness.target('only'))
        started_s = env.clock.monotonic_s()
        outcome = env.call(harness.route(NON_IDEMPOTENT, timeout_ms=800))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TIME_UP
        assert env.clock.monotonic_s() - started_s == pytest.approx(0.8)

    def test_remaining_time_is_sent_to_each_target(self) -> None:
        """Guards against a second target that works past the deadline."""
        env = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        env.client.script('first', harness.connection_lost_script(0.04))
        env.client.script('second', harness.answer_script())
        env.call()
        remaining_ms = [sent.delivery.time_left_ms for sent in env.client.sent]
        assert remaining_ms == [pytest.approx(1500), pytest.approx(1460)]

    def test_call_is_cancelled_when_caller_disconnects(self) -> None:
        """Guards against targets that keep working for a closed connection."""
        env = harness.make_harness(harness.target('only'))
        env.caller.disconnects_at_s = env.clock.monotonic_s() + 0.03
        outcome = env.call(harness.route(NON_IDEMPOTENT))
        assert isinstance(outcome, forwarding.CallerDisconnected)
        assert env.client.exchanges[0].is_closed


class TestHedging:
    """Hedging: a slow lookup, an idempotent call, goes to a second target."""

    def test_first_response_of_hedged_lookup_is_used(self) -> None:
        """Guards against a lookup that waits for an unresponsive target."""
        env = harness.make_harness(
            harness.target('hangs'), harness.target('good', 'domain-b')
        )
        env.client.script('good', harness.answer_script())
        started_s = env.clock.monotonic_s()
        outcome = env.call()
        assert isinstance(outcome, data.FrontResponse)
        assert env.clock.monotonic_s() - started_s < 0.1
        assert env.client.exchanges[0].is_closed

    @pytest.mark.parametrize('objective_share', (0.6, 1.5))
    def test_queued_lookup_is_not_hedged_at_once(
        self, objective_share: float
    ) -> None:
        """Guards against twice the load when queued lookups are released.

        A lookup that was queued for the first configuration is sent late.
        """
        env = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        env.client.script('first', harness.answer_script(after_s=0.01))
        of_route = harness.route(IDEMPOTENT, max_attempts=2, timeout_ms=4000)
        work = env.work(of_route, harness.request())
        queued_s = objective_share * of_route.latency_objective_ms / 1000
        env.clock.advance(queued_s)
        outcome = env.calls.run(work)
        assert isinstance(outcome, data.FrontResponse)
        assert env.client.sent_to() == ['first']

    def test_non_idempotent_call_is_not_hedged(self) -> None:
        """Guards against a booking that is executed twice."""
        env = harness.make_harness(
            harness.target('hangs'), harness.target('good', 'domain-b')
        )
        env.call(harness.route(NON_IDEMPOTENT, max_attempts=1))
        assert env.client.sent_to() == ['hangs']

    def test_hedging_respects_max_attempts(self) -> None:
        """Guards against more attempts than the route allows."""
        env = harness.make_harness(
            harness.target('a'),
            harness.target('b'),
            harness.target('c'),
            harness.target('d'),
        )
        env.call(harness.route(max_attempts=2))
        assert len(env.client.sent) == 2
