"""Refusals that do not belong to the request, on real connections."""

import pytest

from skylarktack.daemon.forwarding.tests import raw_target
from skylarktack.daemon.forwarding.tests import response_harness
from skylarktack.state import forwarding as data

NON_IDEMPOTENT = response_harness.route(data.RequestKind.NON_IDEMPOTENT)
STREAM_ONCE = response_harness.route(
    data.RequestKind.STREAM, is_resumable=False
)

OWN = b'Attempt-Id: attempt-1\r\n'
FOREIGN = b'Attempt-Id: attempt-0\r\n'
NOT_EXECUTED = b'Not-Executed: 1\r\n'
SIGNED = b'Replica-Signature: s\r\n'


def _answer(status: int, headers: bytes, body: bytes = b'') -> bytes:
    length = str(len(body)).encode()
    return b'HTTP/1.1 %d X\r\n%sContent-Length: %s\r\n\r\n%s' % (
        status,
        headers,
        length,
        body,
    )


SOUND = _answer(200, OWN + SIGNED, b'done')
SOUND_STREAM = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    + OWN
    + SIGNED
    + b'\r\nid: 1\ndata: a\n\n'
)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'

#: Answers that leave open whether it runs the request.
DOUBTFUL_REFUSALS = {
    '503 of another request': _answer(503, FOREIGN + NOT_EXECUTED),
    '429 of another request': _answer(429, FOREIGN + NOT_EXECUTED),
    '421 of another request': _answer(421, FOREIGN + NOT_EXECUTED),
    '503 without statement': _answer(503, OWN + SIGNED),
    '429 without statement': _answer(429, OWN + SIGNED),
    '408 without statement': _answer(408, OWN + SIGNED),
    '503 of another request, then the answer': (
        _answer(503, FOREIGN + NOT_EXECUTED) + SOUND
    ),
    'interim, then 503 of another request': (
        INTERIM + _answer(503, FOREIGN + NOT_EXECUTED)
    ),
    'interim with the own id, then 503 of another request': (
        INTERIM.replace(b'Link: x\r\n', OWN + NOT_EXECUTED)
        + _answer(503, FOREIGN + NOT_EXECUTED)
    ),
    '503 without an id': _answer(503, NOT_EXECUTED),
    '429 without an id': _answer(429, NOT_EXECUTED),
    '421 without an id': _answer(421, NOT_EXECUTED),
    '421 without statement': _answer(421, OWN),
    'success that states a refusal': _answer(
        200, OWN + SIGNED + NOT_EXECUTED, b'done'
    ),
}

#: Answers that surely refuse this request.
TRUE_REFUSALS = {
    '503': _answer(503, OWN + NOT_EXECUTED),
    '429': _answer(429, OWN + NOT_EXECUTED),
    '421': _answer(421, OWN + NOT_EXECUTED),
    'interim, then 503': INTERIM + _answer(503, OWN + NOT_EXECUTED),
    '503, then another answer': _answer(503, OWN + NOT_EXECUTED) + SOUND,
}


class TestDoubtfulRefusal:
    """A request that may have run is neither sent again nor refused."""

    @pytest.mark.parametrize('is_before_body', [False, True])
    @pytest.mark.parametrize(
        'response', DOUBTFUL_REFUSALS.values(), ids=DOUBTFUL_REFUSALS.keys()
    )
    def test_doubtful_refusal_does_not_repeat_a_call(
        self, response: bytes, is_before_body: bool
    ) -> None:
        """Guards against a booking that runs twice, or a false refusal."""
        answer = raw_target.Answer((response,), is_before_body=is_before_body)
        with response_harness.serving(
            NON_IDEMPOTENT, answer, raw_target.Answer((SOUND,))
        ) as harness:
            status, _ = harness.ask()
            assert len(harness.requests) == 1
        assert status == 502

    @pytest.mark.parametrize(
        'response', DOUBTFUL_REFUSALS.values(), ids=DOUBTFUL_REFUSALS.keys()
    )
    def test_doubtful_refusal_does_not_repeat_a_stream(
        self, response: bytes
    ) -> None:
        """Guards against a stream that runs twice, or a false refusal."""
        with response_harness.serving(
            STREAM_ONCE,
            raw_target.Answer((response,), 'end'),
            raw_target.Answer((SOUND_STREAM,), 'end'),
        ) as harness:
            status, _ = harness.ask()
            assert len(harness.requests) == 1
        assert status == 502

    def test_refusal_while_the_body_is_written(self) -> None:
        """Guards against a late refusal that answers a long request."""
        answer = raw_target.Answer(
            (_answer(503, FOREIGN + NOT_EXECUTED),), is_before_body=True
        )
        with response_harness.serving(
            NON_IDEMPOTENT, answer, raw_target.Answer((SOUND,))
        ) as harness:
            status, _ = harness.ask(b'x' * 20_000_000)
            assert len(harness.requests) == 1
        assert status == 502


class TestTrueRefusal:
    """A request that surely has not run is sent to another target."""

    @pytest.mark.parametrize(
        'response', TRUE_REFUSALS.values(), ids=TRUE_REFUSALS.keys()
    )
    def test_refused_call_is_sent_to_another_target(
        self, response: bytes
    ) -> None:
        """Guards against a booking that one full target fails."""
        with response_harness.serving(
            NON_IDEMPOTENT,
            raw_target.Answer((response,)),
            raw_target.Answer((SOUND,)),
        ) as harness:
            assert harness.ask() == (200, b'done')
            assert len(harness.requests) == 2

    def test_refusal_while_the_body_is_written(self) -> None:
        """Guards against waiting for a target that refuses at the head."""
        answer = raw_target.Answer(
            (_answer(503, OWN + NOT_EXECUTED),), is_before_body=True
        )
        with response_harness.serving(
            NON_IDEMPOTENT, answer, raw_target.Answer((SOUND,))
        ) as harness:
            assert harness.ask(b'x' * 20_000_000) == (200, b'done')
            assert len(harness.requests) == 2
