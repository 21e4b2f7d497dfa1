"""Tests of the one result and cause that each request is counted under."""

import dataclasses

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _accounting
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

STREAM = data.RequestKind.STREAM
CALL = data.RequestKind.IDEMPOTENT


def _step(at_ms: float, step: str, **inputs: object) -> forwarding.RequestStep:
    return forwarding.RequestStep(at_ms, step, inputs)


SEND = _step(2.0, 'send', from_copy=False)
FIRST = _step(1100.0, 'first_event')
FAULT = _step(3000.0, 'fault')
LATE = _step(4000.0, 'long_pause')
OK = data.FrontResponse(200, (), b'')


@dataclasses.dataclass(frozen=True)
class AccountCase:
    """How a request ended, and what it is counted under."""

    kind: data.RequestKind
    outcome: forwarding.StreamOutcome
    result: str
    cause: str
    steps: tuple[forwarding.RequestStep, ...] = ()
    duration_ms: float = 50.0
    last_event_id: int | None = None


def _refusal(
    reason: data.RefusalReason, retry_after_s: float | None = None
) -> data.Refusal:
    return data.Refusal(reason, retry_after_s)


CASES = (
    AccountCase(CALL, OK, 'in time', '', (SEND,)),
    AccountCase(CALL, OK, 'late', 'slow target', (SEND,), 400.0),
    AccountCase(
        CALL,
        OK,
        'late',
        'queued',
        (_step(300.0, 'send'),),
        400.0,
    ),
    AccountCase(
        CALL,
        OK,
        'late',
        'call lost',
        (SEND, _step(60.0, 'fault'), _step(61.0, 'send')),
        400.0,
    ),
    AccountCase(
        CALL,
        data.FrontResponse(500, (), b''),
        'failed',
        'error of the target',
    ),
    AccountCase(
        CALL,
        _refusal(data.RefusalReason.STOPPING, 1.0),
        'refused',
        'instance stopping',
    ),
    AccountCase(
        CALL,
        _refusal(data.RefusalReason.OVER_SHARE, 0.3),
        'refused',
        'organisation over its share',
    ),
    AccountCase(
        CALL,
        _refusal(data.RefusalReason.NO_CONFIGURATION, 1.0),
        'refused',
        'configuration out of date',
    ),
    AccountCase(
        CALL,
        _refusal(data.RefusalReason.NO_TARGET, 1.0),
        'refused',
        'no target',
    ),
    AccountCase(
        CALL,
        _refusal(data.RefusalReason.NO_TARGET, 1.0),
        'refused',
        'refused by the targets',
        (SEND, _step(5.0, 'answer', status=503)),
    ),
    AccountCase(
        CALL, _refusal(data.RefusalReason.TIME_UP), 'failed', 'waited too long'
    ),
    AccountCase(
        CALL,
        _refusal(data.RefusalReason.UNKNOWN_KEY),
        'rejected',
        'unknown_key',
    ),
    AccountCase(
        STREAM,
        forwarding.StreamCompleted(),
        'late',
        'run lost with a copy',
        (SEND, FIRST, FAULT, _step(3001.0, 'send', from_copy=True), LATE),
        9000.0,
    ),
    AccountCase(
        STREAM,
        forwarding.StreamCompleted(),
        'late',
        'run lost without a copy',
        (SEND, FIRST, FAULT, _step(3001.0, 'send', from_copy=False), LATE),
        9000.0,
    ),
    AccountCase(
        STREAM,
        forwarding.StreamCompleted(),
        'late',
        'run lost while its prompt was read',
        (SEND, FAULT, _step(3001.0, 'send'), _step(5000.0, 'first_event')),
        9000.0,
    ),
    AccountCase(
        STREAM,
        forwarding.StreamCompleted(),
        'late',
        'came back from a lost instance',
        (SEND, _step(4600.0, 'first_event')),
        9000.0,
        last_event_id=40,
    ),
    AccountCase(
        STREAM,
        forwarding.StreamInterrupted('reset'),
        'failed',
        'run lost at the end',
        (SEND, FIRST, FAULT),
    ),
    AccountCase(
        STREAM,
        forwarding.CallerDisconnected(),
        'left',
        'left by itself',
        (SEND, FIRST),
    ),
    AccountCase(
        STREAM,
        _refusal(data.RefusalReason.PROMPT_QUARANTINED, 60.0),
        'refused',
        'prompt part quarantined',
        (_step(0.1, 'prompt_quarantined'),),
    ),
    AccountCase(
        STREAM,
        _refusal(data.RefusalReason.TARGET_FAILED),
        'failed',
        'prompt part quarantined',
        (SEND, FAULT, _step(3001.0, 'prompt_quarantined')),
    ),
)


def _report(case: AccountCase) -> forwarding.RequestReport:
    return forwarding.RequestReport(
        request=harness.request(last_event_id=case.last_event_id),
        route='route',
        kind=case.kind,
        latency_objective_ms=4500.0 if case.kind is STREAM else 100.0,
        organisation='organisation',
        configuration_version=1,
        is_configuration_current=True,
        outcome=case.outcome,
        duration_ms=case.duration_ms,
        steps=case.steps,
    )


class TestResultAndCause:
    """Each request has one result and one cause."""

    @pytest.mark.parametrize(
        'case', CASES, ids=lambda case: f'{case.result} {case.cause}'
    )
    def test_case(self, case: AccountCase) -> None:
        """Guards against accounts that name another cause than the steps."""
        key = _accounting.key_of(_report(case))
        assert key.result.value == case.result
        assert key.cause == case.cause


class TestSums:
    """Times and tokens of one request."""

    def test_stream_that_was_read_again(self) -> None:
        """Guards against losing what the loss of a run has cost."""
        case = dataclasses.replace(
            CASES[12],
            steps=(
                SEND,
                FIRST,
                FAULT,
                _step(3001.0, 'send', from_copy=False),
                _step(9000.0, 'complete', event_count=130),
            ),
        )
        sums = _accounting.sums_of(_report(case))
        assert sums.extra_send_count == 1
        assert sums.reread_tokens == 8200
        assert sums.queued_ms == 2.0
        assert sums.waited_ms == 1098.0
        assert sums.streamed_ms == 7900.0
        assert sums.event_count == 130

    def test_rows_are_bounded(self) -> None:
        """Guards against log lines that grow with the organisations."""
        accounts = forwarding.RequestAccounts()
        for number in range(1000):
            report = dataclasses.replace(
                _report(CASES[0]), organisation=f'o-{number}'
            )
            accounts.on_request_end(report)
        rows = accounts.take()
        assert len(rows) <= _accounting.MAX_ROW_COUNT + 1
        assert sum(row.sums.request_count for row in rows) == 1000
        assert not accounts.take()
