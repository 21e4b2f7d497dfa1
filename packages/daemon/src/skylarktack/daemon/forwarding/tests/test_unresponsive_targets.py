"""Sound targets that send nothing for a while, on real connections."""

import time

import pytest

from skylarktack.daemon.forwarding.tests import raw_target
from skylarktack.daemon.forwarding.tests import response_harness
from skylarktack.state import forwarding as data

#: A sound target may send nothing for about a second.
PAUSE_S = 1.5

HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nReplica-Signature: s\r\n'
STREAM_HEAD = HEAD + b'Content-Type: text/event-stream\r\n\r\n'
PLAIN_HEAD = HEAD + b'Content-Length: 4\r\n\r\n'
FIRST_EVENT = b'id: 1\ndata: a\n\n'
SECOND_EVENT = b'id: 2\ndata: b\n\n'

PAUSED_ANSWERS = {
    'before the head': (PAUSE_S, PLAIN_HEAD + b'done'),
    'within the head': (PLAIN_HEAD[:20], PAUSE_S, PLAIN_HEAD[20:] + b'done'),
    'within the body': (PLAIN_HEAD + b'do', PAUSE_S, b'ne'),
}

PAUSED_STREAMS = {
    'before the head': (PAUSE_S, STREAM_HEAD + FIRST_EVENT + SECOND_EVENT),
    'before the first event': (
        STREAM_HEAD,
        PAUSE_S,
        FIRST_EVENT + SECOND_EVENT,
    ),
    'between events': (STREAM_HEAD + FIRST_EVENT, PAUSE_S, SECOND_EVENT),
    'within an event': (
        STREAM_HEAD + FIRST_EVENT + SECOND_EVENT[:8],
        PAUSE_S,
        SECOND_EVENT[8:],
    ),
    'before the end': (STREAM_HEAD + FIRST_EVENT + SECOND_EVENT, PAUSE_S),
}


#: Time limit of a route, how late an answer may be, and for how long a target
#: does not read.
TIMEOUT_S = 0.8
MAX_LATE_S = 0.5
UNREAD_S = 4.0

LONG_BODY = b'x' * 20_000_000


class TestUnreadRequest:
    """Long requests to a target that does not read them."""

    @pytest.mark.parametrize('kind', data.RequestKind)
    def test_is_answered_at_its_time_limit(
        self, kind: data.RequestKind
    ) -> None:
        """Guards against a send that holds a request past its time limit."""
        route = response_harness.route(kind, timeout_ms=1000 * TIMEOUT_S)
        unread = raw_target.Answer((UNREAD_S,), 'end', is_before_body=True)
        with response_harness.serving(route, *(12 * (unread,))) as harness:
            began_s = time.monotonic()
            status, _ = harness.ask(LONG_BODY)
            took_s = time.monotonic() - began_s
        assert status == 504
        assert took_s < TIMEOUT_S + MAX_LATE_S

    @pytest.mark.parametrize('body', [b'x' * 1_000_000, LONG_BODY])
    def test_is_withdrawn_when_its_caller_leaves(self, body: bytes) -> None:
        """Guards against a run whose caller has left long ago."""
        route = response_harness.route(data.RequestKind.NON_IDEMPOTENT)
        unread = raw_target.Answer(
            (UNREAD_S / 2,), is_before_body=True, after_body=b' '
        )
        with response_harness.serving(route, unread) as harness:
            harness.send(body)
            harness.wait_for_requests(1)
            harness.caller.close()
            bodies = harness.wait_for_bodies(1)
        assert len(bodies[0]) < len(body)


class TestPausingTarget:
    """Requests that may not be repeated wait for a target that pauses."""

    @pytest.mark.parametrize(
        'parts', PAUSED_ANSWERS.values(), ids=PAUSED_ANSWERS.keys()
    )
    def test_call_waits(self, parts: tuple[bytes | float, ...]) -> None:
        """Guards against breaking off a booking at a sound target."""
        route = response_harness.route(data.RequestKind.NON_IDEMPOTENT)
        with response_harness.serving(
            route, raw_target.Answer(parts)
        ) as harness:
            assert harness.ask() == (200, b'done')
            assert len(harness.requests) == 1
            assert not harness.ejected()

    def test_call_with_a_long_body_waits(self) -> None:
        """Guards against giving up a target that reads late."""
        route = response_harness.route(data.RequestKind.NON_IDEMPOTENT)
        answer = raw_target.Answer(
            (PAUSE_S, PLAIN_HEAD), is_before_body=True, after_body=b'done'
        )
        with response_harness.serving(route, answer) as harness:
            assert harness.ask(b'x' * 8_000_000) == (200, b'done')
            assert len(harness.requests) == 1
            assert not harness.ejected()

    @pytest.mark.parametrize(
        'parts', PAUSED_STREAMS.values(), ids=PAUSED_STREAMS.keys()
    )
    def test_stream_waits(self, parts: tuple[bytes | float, ...]) -> None:
        """Guards against breaking off a stream that may not be resumed."""
        route = response_harness.route(
            data.RequestKind.STREAM, is_resumable=False
        )
        answer = raw_target.Answer(parts, 'end')
        with response_harness.serving(route, answer) as harness:
            harness.send()
            received = harness.read_stream()
            assert len(harness.requests) == 1
            assert not harness.ejected()
        assert received == response_harness.ReceivedStream(
            200, FIRST_EVENT + SECOND_EVENT, True
        )

    def test_resumed_stream_leaves_one_run(self) -> None:
        """Guards against two engines that work on one stream."""
        route = response_harness.route(data.RequestKind.STREAM)
        paused = raw_target.Answer(PAUSED_STREAMS['between events'], 'end')
        rest = raw_target.Answer((STREAM_HEAD + SECOND_EVENT,), 'end')
        with response_harness.serving(route, paused, rest) as harness:
            harness.send()
            received = harness.read_stream()
            assert [r.last_event_id for r in harness.requests] == [None, b'1']
            assert harness.requests[1].is_alone
        assert received == response_harness.ReceivedStream(
            200, FIRST_EVENT + SECOND_EVENT, True
        )
