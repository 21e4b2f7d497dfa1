"""At-most-once calls under faults at every step of a call."""

import concurrent.futures
import dataclasses
import threading

from expression import Ok
import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import once

_SHAPE = fakes.CallSimulationShape(codec=fakes.PickledSegmentCodec())
_KEY = state.ClaimKey(state.OrganisationName('small'), 'key-1')


def _outcome(response: fakes.Response) -> str:
    if response.answer is not None:
        return 'answer'
    if response.refusal is None:
        return 'lost'
    return response.refusal.run.value


#: Step, action, allowed outcomes of the first and of the second request.
_STEP_CASES = [
    (fakes.CallStep.BEFORE_CLAIM, fakes.StepAction.KILL, 'lost', 'answer'),
    (fakes.CallStep.BEFORE_CLAIM, fakes.StepAction.PAUSE, 'answer', 'answer'),
    (fakes.CallStep.BEFORE_CLAIM, fakes.StepAction.CUT, 'lost', 'answer'),
    (fakes.CallStep.CLAIM_SENT, fakes.StepAction.KILL, 'lost', 'answer'),
    (
        fakes.CallStep.CLAIM_SENT,
        fakes.StepAction.PAUSE,
        'not_run answer',
        'answer',
    ),
    (fakes.CallStep.CLAIM_SENT, fakes.StepAction.CUT, 'lost', 'answer'),
    (fakes.CallStep.CLAIM_WRITTEN, fakes.StepAction.KILL, 'lost', 'unknown'),
    (
        fakes.CallStep.CLAIM_WRITTEN,
        fakes.StepAction.PAUSE,
        'not_run answer',
        'answer unknown',
    ),
    (fakes.CallStep.CLAIM_WRITTEN, fakes.StepAction.CUT, 'lost', 'unknown'),
    (fakes.CallStep.CLAIMED, fakes.StepAction.KILL, 'lost', 'unknown'),
    (fakes.CallStep.CLAIMED, fakes.StepAction.PAUSE, 'answer', 'unknown'),
    (fakes.CallStep.CLAIMED, fakes.StepAction.CUT, 'lost', 'unknown'),
    (fakes.CallStep.DISPATCHED, fakes.StepAction.KILL, 'lost', 'answer'),
    (fakes.CallStep.DISPATCHED, fakes.StepAction.PAUSE, 'answer', 'answer'),
    (fakes.CallStep.DISPATCHED, fakes.StepAction.CUT, 'lost', 'answer'),
    (fakes.CallStep.ANSWERED, fakes.StepAction.KILL, 'lost', 'answer'),
    (fakes.CallStep.ANSWERED, fakes.StepAction.PAUSE, 'answer', 'answer'),
    (fakes.CallStep.ANSWERED, fakes.StepAction.CUT, 'lost', 'answer'),
    (fakes.CallStep.RECORDED, fakes.StepAction.KILL, 'lost', 'answer'),
    (fakes.CallStep.RECORDED, fakes.StepAction.PAUSE, 'answer', 'answer'),
    (fakes.CallStep.RECORDED, fakes.StepAction.CUT, 'lost', 'answer'),
]


class TestFaultAtEachStep:
    """Guards against a second execution after a fault between two steps."""

    @pytest.mark.parametrize(
        ('step', 'action', 'first', 'second'), _STEP_CASES
    )
    def test_key_executes_at_most_once(
        self,
        step: fakes.CallStep,
        action: fakes.StepAction,
        first: str,
        second: str,
    ) -> None:
        """A key executes at most once, and ``not_run`` refusals are true."""
        simulation = fakes.CallSimulation(
            dataclasses.replace(_SHAPE, instance_count=2)
        )
        # The step occurs only if the stopped instance owns the bucket.
        owner = simulation.instances[0].claims.owner(
            simulation.instances[0].claims.bucket_of(_KEY)
        )
        stopped, other = sorted(
            simulation.instances, key=lambda item: item.name != owner
        )
        stopped.gate.arm(step, action)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            pending = pool.submit(
                stopped.book, fakes.plain_call('key-1', 'request-1')
            )
            assert stopped.gate.reached.wait(10)
            if action is not fakes.StepAction.PAUSE:
                simulation.hub.leave(stopped.name)
            two = other.book(fakes.plain_call('key-1', 'request-2'))
            stopped.gate.resume()
            one = pending.result()
        simulation.stop()
        result = fakes.BookingResult('key-1', (one, two))
        assert fakes.booking_fault(result, simulation.services) is None
        assert _outcome(one) in first.split()
        assert _outcome(two) in second.split()

    def test_second_execution_without_conditional_writes(self) -> None:
        """Without conditional writes, two concurrent claims both execute."""
        shape = dataclasses.replace(
            _SHAPE, instance_count=2, conditional_writes=False
        )
        simulation = fakes.CallSimulation(shape)
        one, two = simulation.instances
        simulation.hub.cut(one.name, two.name)
        one.gate.arm(fakes.CallStep.CLAIM_SENT, fakes.StepAction.PAUSE)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            pending = pool.submit(
                one.book, fakes.plain_call('key-1', 'request-1')
            )
            assert one.gate.reached.wait(10)
            two.book(fakes.plain_call('key-1', 'request-2'))
            one.gate.resume()
            pending.result()
        simulation.stop()
        assert simulation.services.executions['small:key-1'] == 2


class TestStoreFaults:
    """Guards against wrong outcomes when a store write may have failed."""

    @pytest.mark.parametrize(
        ('faults', 'expected', 'execution_count'),
        [
            (fakes.StoreFaults(down=True), 'not_run', 0),
            (fakes.StoreFaults(lose_write_answers_count=1), 'answer', 1),
            (fakes.StoreFaults(lose_writes_count=1), 'answer', 1),
            (fakes.StoreFaults(lose_write_answers_count=2), 'answer', 1),
            (fakes.StoreFaults(lose_writes_count=100), 'not_run', 0),
        ],
    )
    def test_store_fault_before_claim(
        self,
        faults: fakes.StoreFaults,
        expected: str,
        execution_count: int,
    ) -> None:
        """A lost store response is resolved by a read; an outage refuses."""
        simulation = fakes.CallSimulation(_SHAPE)
        simulation.store.set_faults(faults)
        response = simulation.instances[0].book(
            fakes.plain_call('key-1', 'request-1')
        )
        simulation.store.set_faults(fakes.StoreFaults())
        simulation.stop()
        assert _outcome(response) == expected
        assert simulation.services.executions['small:key-1'] == execution_count

    def test_store_outage_after_dispatch(self) -> None:
        """The outcome is recorded once the store is available again."""
        simulation = fakes.CallSimulation(_SHAPE)
        one, two = simulation.instances[:2]
        one.gate.arm(fakes.CallStep.DISPATCHED, fakes.StepAction.PAUSE)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            pending = pool.submit(
                one.book, fakes.plain_call('key-1', 'request-1')
            )
            assert one.gate.reached.wait(10)
            simulation.store.set_faults(fakes.StoreFaults(down=True))
            one.gate.resume()
            assert _outcome(pending.result()) == 'answer'
        simulation.store.set_faults(fakes.StoreFaults())
        second = two.book(fakes.plain_call('key-1', 'request-2'))
        simulation.stop()
        assert _outcome(second) == 'answer'
        assert simulation.services.executions['small:key-1'] == 1

    def test_random_faults(self) -> None:
        """Random faults of instances, store and targets break no guarantee."""
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            summaries = list(
                pool.map(
                    lambda seed: fakes.run_faulted_bookings(seed, _SHAPE),
                    range(16),
                )
            )
        assert sum(item.answered_count for item in summaries) > 0
        assert sum(item.not_run_count for item in summaries) > 0
        for summary in summaries:
            assert summary.faults == ()


class TestIdempotencyKeys:
    """Guards against responses that belong to another request."""

    @pytest.mark.parametrize(
        ('call', 'code'),
        [
            (fakes.plain_call('', 'r-2'), state.RefusalCode.KEY_REQUIRED),
            (fakes.plain_call('k\n', 'r-2'), state.RefusalCode.BAD_REQUEST),
            (fakes.plain_call('k' * 256, 'r'), state.RefusalCode.BAD_REQUEST),
            (
                fakes.plain_call('key-1', 'r-2', b'other'),
                state.RefusalCode.KEY_CONFLICT,
            ),
        ],
    )
    def test_invalid_key_is_refused(
        self, call: state.ServiceCall, code: state.RefusalCode
    ) -> None:
        """A missing, invalid or reused key is refused with its own code."""
        simulation = fakes.CallSimulation(_SHAPE)
        simulation.instances[0].book(fakes.plain_call('key-1', 'request-1'))
        response = simulation.instances[1].book(call)
        simulation.stop()
        assert response.refusal is not None
        assert response.refusal.code is code
        assert response.refusal.run is state.RunState.NOT_RUN
        assert sum(simulation.services.executions.values()) == 1

    def test_organisations_do_not_share_keys(self) -> None:
        """The same key of two organisations executes once for each."""
        simulation = fakes.CallSimulation(_SHAPE)
        for name in ('small', 'large', 'small'):
            simulation.instances[0].book(
                fakes.plain_call('key-1', f'request-{name}', b'{}', name)
            )
        simulation.stop()
        assert dict(simulation.services.executions) == {
            'small:key-1': 1,
            'large:key-1': 1,
        }

    @pytest.mark.parametrize(
        ('faults', 'expected', 'execution_count'),
        [
            (fakes.ServiceMisbehaviour(refuse_count=1), 'answer', 1),
            (fakes.ServiceMisbehaviour(refuse_count=9), 'not_run', 0),
            (fakes.ServiceMisbehaviour(lose_answer_count=1), 'answer', 1),
            (
                fakes.ServiceMisbehaviour(
                    lose_answer_count=1, tells_outcome=False
                ),
                'unknown',
                1,
            ),
            (
                fakes.ServiceMisbehaviour(late_execution_count=1, late_s=0.3),
                'unknown',
                1,
            ),
            # A service client that reports a lost response as not executed
            # breaks the guarantee; the execution count reveals it.
            (
                fakes.ServiceMisbehaviour(
                    lose_answer_count=1, claims_not_run=True
                ),
                'answer',
                2,
            ),
        ],
    )
    def test_target_faults(
        self,
        faults: fakes.ServiceMisbehaviour,
        expected: str,
        execution_count: int,
    ) -> None:
        """Only a call that was certainly not executed is sent again."""
        simulation = fakes.CallSimulation(_SHAPE)
        simulation.services.faults = faults
        response = simulation.instances[0].book(
            fakes.plain_call('key-1', 'request-1')
        )
        threading.Event().wait(0.4 if faults.late_execution_count else 0)
        simulation.stop()
        assert _outcome(response) == expected
        assert simulation.services.executions['small:key-1'] == execution_count

    def test_settlement_closes_the_key(self) -> None:
        """A settlement is accepted once and closes the key."""
        simulation = fakes.CallSimulation(_SHAPE)
        simulation.services.faults = fakes.ServiceMisbehaviour(
            lose_answer_count=1, tells_outcome=False
        )
        one = simulation.instances[0]
        one.book(fakes.plain_call('key-1', 'request-1'))
        one.claims.stop()
        two = simulation.instances[1]
        listed = two.unknown_calls.list_unresolved().ok
        assert [item.key for item in listed] == [_KEY]
        settlement = once.Settlement(
            _KEY.organisation, _KEY.key, listed[0].claim_id, False, 'ann'
        )
        settled = two.unknown_calls.settle(settlement)
        repeated_settlement = two.unknown_calls.settle(settlement)
        repeated = two.book(fakes.plain_call('key-1', 'request-2'))
        assert settled.is_ok()
        assert repeated_settlement.error.code is state.RefusalCode.CONFLICT
        assert repeated.refusal is not None
        assert repeated.refusal.code is state.RefusalCode.CANCELLED
        assert two.unknown_calls.list_unresolved() == Ok(())
        simulation.stop()
        assert simulation.services.executions['small:key-1'] == 1
