"""Caller connections: framing, disconnects, streams."""

import socket

import pytest

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding.tests import front_harness

GET = front_harness.GET
POST = front_harness.POST


class TestFraming:
    """Requests are delimited correctly and answered in order."""

    def test_serves_several_requests_of_one_connection(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against closing a connection after one response."""
        harness.start()
        for _ in range(3):
            harness.caller.sendall(POST)
            assert harness.read_response() == (200, b'body')

    @pytest.mark.parametrize(
        ('outcome', 'status'),
        [
            (data.FrontResponse(200, (), b'body'), b'200'),
            (data.Refusal(data.RefusalReason.NO_ROUTE), b'400'),
        ],
        ids=['response', 'refusal'],
    )
    def test_head_is_answered_without_a_body(
        self,
        harness: front_harness.FrontHarness,
        outcome: forwarding.StreamOutcome,
        status: bytes,
    ) -> None:
        """Guards against a connection that closes without an answer."""
        harness.handler.outcome = outcome
        harness.start()
        harness.caller.sendall(GET.replace(b'GET', b'HEAD') * 2)
        harness.caller.shutdown(socket.SHUT_WR)
        received = harness.read_all()
        assert received.count(b'HTTP/1.1 ' + status) == 2
        assert received.endswith(b'\r\n\r\n')

    def test_pipelined_responses_are_in_order(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against responses to pipelined requests out of order."""
        harness.start()
        harness.caller.sendall(POST + POST.replace(b'body', b'next'))
        assert harness.read_response() == (200, b'body')
        assert harness.read_response() == (200, b'next')

    def test_reads_a_chunked_body(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against forwarding a body with its chunk headers."""
        harness.start()
        harness.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n4\r\nbody\r\n0\r\n\r\n'
        )
        assert harness.read_response() == (200, b'body')
        assert harness.handler.requests[0].has_body

    def test_a_request_inside_a_body_is_not_executed(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against request smuggling in a body."""
        harness.start()
        length = str(len(GET)).encode()
        harness.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: '
            + length
            + b'\r\n\r\n'
            + GET
        )
        assert harness.read_response() == (200, GET)
        assert len(harness.handler.requests) == 1

    @pytest.mark.parametrize(
        'head',
        [
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
            b'Content-Length: 4\r\nContent-Length: 5\r\n',
            b'Content-Length: +4\r\n',
            b'Transfer-Encoding: gzip\r\n',
        ],
    )
    def test_rejects_an_ambiguous_length(
        self, harness: front_harness.FrontHarness, head: bytes
    ) -> None:
        """Guards against request smuggling through conflicting lengths."""
        harness.start()
        harness.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\n'
            + head
            + b'\r\n4\r\nbody\r\n0\r\n\r\n'
            + GET
        )
        assert harness.read_response()[0] == 400
        assert not harness.handler.requests
        harness.wait_ended()

    def test_connection_headers_are_not_forwarded(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against forwarding hop-by-hop headers to targets."""
        harness.start()
        harness.caller.sendall(
            b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\n'
            b'X-Hop: 1\r\nKeep-Alive: 5\r\nX-Kept: 1\r\n\r\n'
        )
        harness.read_response()
        names = [name for name, _ in harness.handler.requests[0].headers]
        assert names == [b'Host', b'X-Kept']


class TestDisconnect:
    """A disconnect is detected while a request is in progress."""

    def test_a_closed_connection_is_a_disconnect(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against targets that work for a disconnected caller."""
        harness.handler.may_respond.clear()
        harness.start()
        harness.caller.sendall(GET)
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        assert not harness.connection.has_disconnected()
        harness.caller.close()
        deadline = front_harness.TIMEOUT_S
        while not harness.connection.has_disconnected() and deadline > 0:
            deadline -= 0.01
            harness.handler.may_respond.wait(0.01)
        assert harness.connection.has_disconnected()

    def test_the_caller_of_a_long_request_is_watched(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against runs that go on after the caller of a long body left.

        The limit on pipelined bytes, above which nothing is read, does not
        count the request itself.
        """
        harness.handler.may_respond.clear()
        harness.start()
        body = b'x' * 200_000
        harness.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s'
            % (len(body), body)
        )
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        assert harness.connection.fileno() >= 0

    def test_a_pipelined_request_is_not_a_disconnect(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against dropping a caller that pipelines requests."""
        harness.handler.may_respond.clear()
        harness.start()
        harness.caller.sendall(GET)
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        harness.caller.sendall(GET)
        assert not harness.connection.has_disconnected()
        harness.handler.may_respond.set()
        assert harness.read_response()[0] == 200
        assert harness.read_response()[0] == 200


class TestStreams:
    """An interrupted stream never looks complete."""

    def test_an_interrupted_stream_has_no_last_chunk(self) -> None:
        """Guards against a truncated response that looks complete."""
        harness = front_harness.FrontHarness(
            front_harness.StreamHandler(is_complete=False)
        )
        harness.start()
        harness.caller.sendall(GET)
        received = harness.read_all()
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')
        harness.close()

    def test_a_complete_stream_keeps_the_connection_open(self) -> None:
        """Guards against streams without a last chunk."""
        harness = front_harness.FrontHarness(
            front_harness.StreamHandler(is_complete=True)
        )
        harness.start()
        harness.caller.sendall(GET)
        received = b''
        while not received.endswith(b'0\r\n\r\n'):
            received += harness.caller.recv(65536)
        harness.caller.sendall(GET)
        assert harness.caller.recv(65536).startswith(b'HTTP/1.1 200')
        harness.close()
