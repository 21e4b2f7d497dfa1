"""Calls with one whole answer, by fault and kind of request."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

ONCE = data.RequestKind.NON_IDEMPOTENT
REPEATABLE = data.RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """What the first target does and how the call has to end."""

    name: str
    kind: data.RequestKind
    first: tuple[fakes.ScriptedEvent, ...] | forwarding.ExchangeFault
    send_count: int
    #: Status of the answer, or the reason of the refusal.
    end: int | data.RefusalReason


FAULT_CASES = (
    FaultCase('not connected', ONCE, harness.REFUSED, 2, 200),
    FaultCase('not connected', REPEATABLE, harness.REFUSED, 2, 200),
    FaultCase(
        'lost',
        ONCE,
        harness.connection_lost_script(),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase('lost', REPEATABLE, harness.connection_lost_script(), 2, 200),
    FaultCase(
        'said not run',
        ONCE,
        harness.answer_script(503, is_not_run=True),
        2,
        200,
    ),
    FaultCase('misdirected', ONCE, harness.answer_script(421), 2, 200),
    FaultCase('own failure', ONCE, harness.answer_script(500), 1, 500),
    FaultCase('own failure', REPEATABLE, harness.answer_script(500), 2, 200),
    FaultCase(
        '503 without the word that it has not run',
        ONCE,
        harness.answer_script(503),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'success without a signature',
        ONCE,
        harness.answer_script(200, is_signed=False),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'success without a signature',
        REPEATABLE,
        harness.answer_script(200, is_signed=False),
        2,
        200,
    ),
    FaultCase('client error', ONCE, harness.answer_script(400), 1, 400),
)


class TestCallFaults:
    """A fault never makes a call run twice that may run once."""

    @pytest.mark.parametrize(
        'case', FAULT_CASES, ids=lambda case: f'{case.name} {case.kind.value}'
    )
    def test_ends_as_its_kind_allows(self, case: FaultCase) -> None:
        """Guards against repeats, untrue refusals and lost answers."""
        desk = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        desk.client.script('first', case.first)
        desk.client.script('second', harness.answer_script())
        outcome = desk.call(harness.route(case.kind, max_attempts=2))
        assert len(desk.client.sent) == case.send_count
        if isinstance(outcome, data.FrontResponse):
            assert outcome.status == case.end
        else:
            assert isinstance(outcome, data.Refusal)
            assert outcome.reason is case.end

    def test_refuses_as_not_run_only_before_a_run(self) -> None:
        """Guards against a 503 for a call that a target may have run."""
        desk = harness.make_harness(harness.target('only'))
        desk.client.script('only', harness.REFUSED)
        outcome = desk.call(harness.route(ONCE, max_attempts=1))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        assert outcome.retry_after_s is not None

    def test_connections_are_closed(self) -> None:
        """Guards against connections that leak after an answer."""
        desk = harness.make_harness(harness.target('only'))
        desk.client.script('only', harness.answer_script())
        desk.call()
        assert all(exchange.is_closed for exchange in desk.client.exchanges)


class TestCallDeadline:
    """The time of the caller and of the route bounds a call."""

    def test_answers_when_the_route_gives_up(self) -> None:
        """Guards against requests that stay open past their route's time."""
        desk = harness.make_harness(harness.target('only'))
        started_s = desk.clock.monotonic_s()
        outcome = desk.call(harness.route(ONCE, timeout_ms=800))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TIME_UP
        assert desk.clock.monotonic_s() - started_s == pytest.approx(0.8)

    def test_hands_on_the_time_left(self) -> None:
        """Guards against a second target that works too long."""
        desk = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        desk.client.script('first', harness.connection_lost_script(0.04))
        desk.client.script('second', harness.answer_script())
        desk.call()
        left_ms = [sent.delivery.time_left_ms for sent in desk.client.sent]
        assert left_ms == [pytest.approx(1500), pytest.approx(1460)]

    def test_cancels_when_the_caller_leaves(self) -> None:
        """Guards against targets that work on for nobody."""
        desk = harness.make_harness(harness.target('only'))
        desk.caller.leaves_at_s = desk.clock.monotonic_s() + 0.03
        outcome = desk.call(harness.route(ONCE))
        assert isinstance(outcome, forwarding.CallerDisconnected)
        assert desk.client.exchanges[0].is_closed


class TestHedge:
    """A slow lookup is also sent to a second target."""

    def test_takes_the_first_answer(self) -> None:
        """Guards against a lookup that waits for a hanging target."""
        desk = harness.make_harness(
            harness.target('hangs'), harness.target('good', 'domain-b')
        )
        desk.client.script('good', harness.answer_script())
        started_s = desk.clock.monotonic_s()
        outcome = desk.call()
        assert isinstance(outcome, data.FrontResponse)
        assert desk.clock.monotonic_s() - started_s < 0.1
        assert desk.client.exchanges[0].is_closed

    @pytest.mark.parametrize('objective_share', (0.6, 1.5))
    def test_a_held_lookup_is_not_hedged_at_once(
        self, objective_share: float
    ) -> None:
        """Guards against twice the load when a start answers held lookups.

        A lookup that waited for the first configuration is sent late.
        """
        desk = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        desk.client.script('first', harness.answer_script(after_s=0.01))
        of_route = harness.route(REPEATABLE, max_attempts=2, timeout_ms=4000)
        work = desk.work(of_route, harness.request())
        held_s = objective_share * of_route.latency_objective_ms / 1000
        desk.clock.advance(held_s)
        outcome = desk.calls.run(work)
        assert isinstance(outcome, data.FrontResponse)
        assert desk.client.sent_to() == ['first']

    def test_never_hedges_a_call_that_may_run_once(self) -> None:
        """Guards against a booking that runs twice."""
        desk = harness.make_harness(
            harness.target('hangs'), harness.target('good', 'domain-b')
        )
        desk.call(harness.route(ONCE, max_attempts=1))
        assert desk.client.sent_to() == ['hangs']

    def test_keeps_to_the_attempts_of_the_route(self) -> None:
        """Guards against more runs than the route allows."""
        desk = harness.make_harness(
            harness.target('a'),
            harness.target('b'),
            harness.target('c'),
            harness.target('d'),
        )
        desk.call(harness.route(max_attempts=2))
        assert len(desk.client.sent) == 2
