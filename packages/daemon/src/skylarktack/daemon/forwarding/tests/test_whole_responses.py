"""Responses whose end or status is in doubt, as callers get them."""

import pytest

from skylarktack.daemon.forwarding.tests import raw_target
from skylarktack.daemon.forwarding.tests import response_harness
from skylarktack.state import forwarding as data
from skylarktack.transport.tests import early_server

SIGNED = (
    b'Attempt-Id: attempt-1\r\nReplica-Signature: s\r\n'
    b'Content-Type: text/event-stream\r\n'
)
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

LONG_BODY = b'x' * 8_000_000


def _sized(status: bytes, body: bytes) -> bytes:
    length = str(len(body)).encode()
    return b'HTTP/1.1 %s X\r\n%sContent-Length: %s\r\n\r\n%s' % (
        status,
        SIGNED,
        length,
        body,
    )


#: Responses that are none, also if they are signed.
IMPROPER_RESPONSES = early_server.IMPROPER_RESPONSES | {
    f'signed status {status.decode()}': _sized(status, EVENTS)
    for status in (b'000', b'099', b'600', b'999')
}


@pytest.mark.parametrize(
    'response', IMPROPER_RESPONSES.values(), ids=IMPROPER_RESPONSES.keys()
)
class TestImproperResponse:
    """A status outside 100 to 599, or no final head, reaches no caller."""

    def test_of_a_call(self, response: bytes) -> None:
        """Guards against a status that does not exist, and a second run."""
        route = response_harness.route(data.RequestKind.NON_IDEMPOTENT)
        with response_harness.serving(
            route, raw_target.Answer((response,), 'shut')
        ) as harness:
            status, _ = harness.ask()
            assert len(harness.requests) == 1
        assert status == 502

    def test_of_a_repeatable_call(self, response: bytes) -> None:
        """Guards against an improper response in place of a sound one."""
        route = response_harness.route(data.RequestKind.IDEMPOTENT)
        with response_harness.serving(
            route,
            raw_target.Answer((response,), 'shut'),
            raw_target.Answer((_sized(b'200', b'done'),)),
        ) as harness:
            assert harness.ask() == (200, b'done')

    def test_of_a_stream(self, response: bytes) -> None:
        """Guards against an improper response in place of a stream."""
        with response_harness.serving(
            response_harness.route(data.RequestKind.STREAM),
            raw_target.Answer((response,), 'shut'),
            raw_target.Answer((_sized(b'200', EVENTS),)),
        ) as harness:
            harness.send()
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(200, EVENTS, True)

    def test_of_a_resumed_run(self, response: bytes) -> None:
        """Guards against an improper response within a stream."""
        first, rest = EVENTS[:15], EVENTS[15:]
        broken = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n' + first
        with response_harness.serving(
            response_harness.route(data.RequestKind.STREAM),
            raw_target.Answer((broken,), 'reset'),
            raw_target.Answer((response,), 'shut'),
            raw_target.Answer((_sized(b'200', rest),)),
        ) as harness:
            harness.send()
            received = harness.read_stream()
            resumed_at = [r.last_event_id for r in harness.requests]
        assert resumed_at == [None, b'1', b'1']
        assert received == response_harness.ReceivedStream(200, EVENTS, True)


class TestEarlyEnd:
    """Responses without length that end before the request was sent."""

    @pytest.mark.parametrize('ending', ['shut', 'reset', 'end'])
    @pytest.mark.parametrize('kind', data.RequestKind)
    def test_is_no_whole_response(
        self, kind: data.RequestKind, ending: str
    ) -> None:
        """Guards against a part of a response that a caller gets as whole.

        A broken pipe was taken for an end in order.
        """
        head = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n'
        answer = raw_target.Answer(
            (head + EVENTS,), ending, is_before_body=True
        )
        route = response_harness.route(
            kind, is_resumable=False, timeout_ms=2000.0
        )
        with response_harness.serving(route, *(5 * (answer,))) as harness:
            harness.send(LONG_BODY)
            received = harness.read_stream()
        assert received.status != 200 or not received.is_complete

    def test_with_length_is_whole(self) -> None:
        """Guards against failing a response that says its own length."""
        answer = raw_target.Answer(
            (_sized(b'200', b'done'),), 'shut', is_before_body=True
        )
        route = response_harness.route(data.RequestKind.NON_IDEMPOTENT)
        with response_harness.serving(route, answer) as harness:
            assert harness.ask(LONG_BODY) == (200, b'done')
