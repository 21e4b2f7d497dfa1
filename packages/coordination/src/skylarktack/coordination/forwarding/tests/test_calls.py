"""Calls with one whole answer, by fault and kind of request."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import bed
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
    FaultCase('not connected', ONCE, bed.REFUSED, 2, 200),
    FaultCase('not connected', REPEATABLE, bed.REFUSED, 2, 200),
    FaultCase('lost', ONCE, bed.lost(), 1, data.RefusalReason.TARGET_FAILED),
    FaultCase('lost', REPEATABLE, bed.lost(), 2, 200),
    FaultCase('said not run', ONCE, bed.answer(503, is_not_run=True), 2, 200),
    FaultCase('misdirected', ONCE, bed.answer(421), 2, 200),
    FaultCase('own failure', ONCE, bed.answer(500), 1, 500),
    FaultCase('own failure', REPEATABLE, bed.answer(500), 2, 200),
    FaultCase(
        '503 without the word that it has not run',
        ONCE,
        bed.answer(503),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'success without a signature',
        ONCE,
        bed.answer(200, is_signed=False),
        1,
        data.RefusalReason.TARGET_FAILED,
    ),
    FaultCase(
        'success without a signature',
        REPEATABLE,
        bed.answer(200, is_signed=False),
        2,
        200,
    ),
    FaultCase('client error', ONCE, bed.answer(400), 1, 400),
)


class TestCallFaults:
    """A fault never makes a call run twice that may run once."""

    @pytest.mark.parametrize(
        'case', FAULT_CASES, ids=lambda case: f'{case.name} {case.kind.value}'
    )
    def test_ends_as_its_kind_allows(self, case: FaultCase) -> None:
        """Guards against repeats, untrue refusals and lost answers."""
        desk = bed.make(bed.target('first'), bed.target('second', 'domain-b'))
        desk.client.script('first', case.first)
        desk.client.script('second', bed.answer())
        outcome = desk.call(bed.route(case.kind, max_attempts=2))
        assert len(desk.client.sent) == case.send_count
        if isinstance(outcome, data.FrontAnswer):
            assert outcome.status == case.end
        else:
            assert isinstance(outcome, data.Refusal)
            assert outcome.reason is case.end

    def test_refuses_as_not_run_only_before_a_run(self) -> None:
        """Guards against a 503 for a call that a target may have run."""
        desk = bed.make(bed.target('only'))
        desk.client.script('only', bed.REFUSED)
        outcome = desk.call(bed.route(ONCE, max_attempts=1))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        assert outcome.retry_after_s is not None

    def test_connections_are_closed(self) -> None:
        """Guards against connections that leak after an answer."""
        desk = bed.make(bed.target('only'))
        desk.client.script('only', bed.answer())
        desk.call()
        assert all(exchange.is_closed for exchange in desk.client.exchanges)


class TestCallDeadline:
    """The time of the caller and of the route bounds a call."""

    def test_answers_when_the_route_gives_up(self) -> None:
        """Guards against requests that stay open past their route's time."""
        desk = bed.make(bed.target('only'))
        started_s = desk.clock.monotonic_s()
        outcome = desk.call(bed.route(ONCE, timeout_ms=800))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TIME_UP
        assert desk.clock.monotonic_s() - started_s == pytest.approx(0.8)

    def test_hands_on_the_time_left(self) -> None:
        """Guards against a second target that works too long."""
        desk = bed.make(bed.target('first'), bed.target('second', 'domain-b'))
        desk.client.script('first', bed.lost(0.04))
        desk.client.script('second', bed.answer())
        desk.call()
        left_ms = [sent.delivery.time_left_ms for sent in desk.client.sent]
        assert left_ms == [pytest.approx(1500), pytest.approx(1460)]

    def test_cancels_when_the_caller_leaves(self) -> None:
        """Guards against targets that work on for nobody."""
        desk = bed.make(bed.target('only'))
        desk.caller.leaves_at_s = desk.clock.monotonic_s() + 0.03
        outcome = desk.call(bed.route(ONCE))
        assert isinstance(outcome, forwarding.CallerLeft)
        assert desk.client.exchanges[0].is_closed


class TestHedge:
    """A slow lookup is also sent to a second target."""

    def test_takes_the_first_answer(self) -> None:
        """Guards against a lookup that waits for a hanging target."""
        desk = bed.make(bed.target('hangs'), bed.target('good', 'domain-b'))
        desk.client.script('good', bed.answer())
        started_s = desk.clock.monotonic_s()
        outcome = desk.call()
        assert isinstance(outcome, data.FrontAnswer)
        assert desk.clock.monotonic_s() - started_s < 0.1
        assert desk.client.exchanges[0].is_closed

    @pytest.mark.parametrize('objective_share', (0.6, 1.5))
    def test_a_held_lookup_is_not_hedged_at_once(
        self, objective_share: float
    ) -> None:
        """Guards against twice the load when a start answers held lookups.

        A lookup that waited for the first configuration is sent late.
        """
        desk = bed.make(bed.target('first'), bed.target('second', 'domain-b'))
        desk.client.script('first', bed.answer(after_s=0.01))
        of_route = bed.route(REPEATABLE, max_attempts=2, timeout_ms=4000)
        work = desk.work(of_route, bed.request())
        held_s = objective_share * of_route.latency_objective_ms / 1000
        desk.clock.advance(held_s)
        outcome = desk.calls.run(work)
        assert isinstance(outcome, data.FrontAnswer)
        assert desk.client.sent_to() == ['first']

    def test_never_hedges_a_call_that_may_run_once(self) -> None:
        """Guards against a booking that runs twice."""
        desk = bed.make(bed.target('hangs'), bed.target('good', 'domain-b'))
        desk.call(bed.route(ONCE, max_attempts=1))
        assert desk.client.sent_to() == ['hangs']

    def test_keeps_to_the_attempts_of_the_route(self) -> None:
        """Guards against more runs than the route allows."""
        desk = bed.make(
            bed.target('a'), bed.target('b'), bed.target('c'), bed.target('d')
        )
        desk.call(bed.route(max_attempts=2))
        assert len(desk.client.sent) == 2
