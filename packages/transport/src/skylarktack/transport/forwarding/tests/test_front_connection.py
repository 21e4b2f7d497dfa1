"""Connections of callers: framing, limits, leaving, stop."""

from collections.abc import Iterator

import pytest

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding.tests import front_bed

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'


@pytest.fixture(name='bed')
def _bed() -> Iterator[front_bed.FrontBed]:
    bed = front_bed.FrontBed()
    yield bed
    bed.close()


class TestFraming:
    """Each answer belongs to its own request."""

    def test_serves_several_requests_of_one_connection(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against a connection that ends after one answer."""
        bed.start()
        for _ in range(3):
            bed.caller.sendall(POST)
            assert bed.read_answer() == (200, b'body')

    def test_answers_pipelined_requests_in_order(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against answers that overtake each other."""
        bed.start()
        bed.caller.sendall(POST + POST.replace(b'body', b'next'))
        assert bed.read_answer() == (200, b'body')
        assert bed.read_answer() == (200, b'next')

    def test_reads_a_chunked_body(self, bed: front_bed.FrontBed) -> None:
        """Guards against a body that is passed on with its chunk heads."""
        bed.start()
        bed.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n4\r\nbody\r\n0\r\n\r\n'
        )
        assert bed.read_answer() == (200, b'body')
        assert bed.handler.requests[0].has_body

    def test_a_request_inside_a_body_stays_body(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against a request smuggled inside another."""
        bed.start()
        length = str(len(GET)).encode()
        bed.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: '
            + length
            + b'\r\n\r\n'
            + GET
        )
        assert bed.read_answer() == (200, GET)
        assert len(bed.handler.requests) == 1

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
        self, bed: front_bed.FrontBed, head: bytes
    ) -> None:
        """Guards against two readings of where a request ends."""
        bed.start()
        bed.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\n'
            + head
            + b'\r\n4\r\nbody\r\n0\r\n\r\n'
            + GET
        )
        assert bed.read_answer()[0] == 400
        assert not bed.handler.requests
        bed.wait_ended()

    def test_connection_headers_are_not_passed_on(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against headers that concern one connection only."""
        bed.start()
        bed.caller.sendall(
            b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\n'
            b'X-Hop: 1\r\nKeep-Alive: 5\r\nX-Kept: 1\r\n\r\n'
        )
        bed.read_answer()
        names = [name for name, _ in bed.handler.requests[0].headers]
        assert names == [b'Host', b'X-Kept']


class TestLimits:
    """Callers stay within the limits of the configuration."""

    def test_a_large_head_is_refused(self, bed: front_bed.FrontBed) -> None:
        """Guards against heads that fill the memory."""
        bed.start()
        bed.caller.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 40000)
        assert bed.read_answer()[0] == 431

    def test_a_large_body_is_refused(self) -> None:
        """Guards against bodies that fill the memory."""
        handler = front_bed.RecordingHandler()
        handler.front_limits = data.FrontLimits(max_body_bytes=3)
        bed = front_bed.FrontBed(handler)
        bed.start()
        bed.caller.sendall(POST)
        assert bed.read_answer() == (431, b'body_too_large')
        bed.close()

    def test_a_head_that_does_not_end_is_refused(self) -> None:
        """Guards against callers that hold connections with half a head."""
        handler = front_bed.RecordingHandler()
        handler.front_limits = data.FrontLimits(header_timeout_ms=50)
        bed = front_bed.FrontBed(handler)
        bed.start()
        bed.caller.sendall(GET[:10])
        assert bed.read_answer() == (400, b'read_timeout')
        bed.close()

    def test_an_idle_connection_is_closed_without_an_answer(self) -> None:
        """Guards against an answer with no request waiting for it."""
        handler = front_bed.RecordingHandler()
        handler.front_limits = data.FrontLimits(idle_timeout_ms=50)
        bed = front_bed.FrontBed(handler)
        bed.start()
        assert bed.read_all() == b''
        bed.close()


class TestLeaving:
    """A caller that leaves is noticed while its request is served."""

    def test_the_end_of_the_connection_is_leaving(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against targets that work on for nobody."""
        bed.handler.may_answer.clear()
        bed.start()
        bed.caller.sendall(GET)
        assert bed.handler.has_begun.wait(front_bed.PATIENCE_S)
        assert not bed.connection.has_disconnected()
        bed.caller.close()
        deadline = front_bed.PATIENCE_S
        while not bed.connection.has_disconnected() and deadline > 0:
            deadline -= 0.01
            bed.handler.may_answer.wait(0.01)
        assert bed.connection.has_disconnected()

    def test_a_pipelined_request_is_not_leaving(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against cutting a caller that sends ahead."""
        bed.handler.may_answer.clear()
        bed.start()
        bed.caller.sendall(GET)
        assert bed.handler.has_begun.wait(front_bed.PATIENCE_S)
        bed.caller.sendall(GET)
        assert not bed.connection.has_disconnected()
        bed.handler.may_answer.set()
        assert bed.read_answer()[0] == 200
        assert bed.read_answer()[0] == 200


class TestStop:
    """A planned stop cuts no request."""

    def test_the_last_answer_closes_the_connection(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against callers that reuse a connection that ends."""
        bed.handler.is_stopping = True
        bed.start()
        bed.caller.sendall(GET)
        assert b'Connection: close' in bed.read_all()

    def test_a_request_that_has_arrived_is_served(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against closing a connection whose request was not read.

        A request that is passed on after the connection was shut down runs
        and gets no answer.
        """
        bed.handler.is_stopping = True
        bed.caller.sendall(POST)
        bed.connection.close_if_idle()
        bed.start()
        assert bed.read_answer() == (200, b'body')

    def test_a_request_that_crosses_the_close_is_not_run(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against running a request whose answer cannot be sent."""
        bed.handler.is_stopping = True
        bed.connection.close_if_idle()
        bed.caller.sendall(POST)
        bed.start()
        assert bed.read_all() == b''
        bed.wait_ended()
        assert not bed.handler.requests

    def test_a_connection_in_use_stays_open(
        self, bed: front_bed.FrontBed
    ) -> None:
        """Guards against cutting a request in progress."""
        bed.handler.may_answer.clear()
        bed.start()
        bed.caller.sendall(POST)
        assert bed.handler.has_begun.wait(front_bed.PATIENCE_S)
        bed.connection.close_if_idle()
        bed.handler.may_answer.set()
        assert bed.read_answer() == (200, b'body')


class TestStreams:
    """A stream that breaks off never looks complete."""

    def test_a_broken_stream_has_no_end(self) -> None:
        """Guards against a cut answer that callers take for whole."""
        bed = front_bed.FrontBed(_StreamHandler(is_whole=False))
        bed.start()
        bed.caller.sendall(GET)
        received = bed.read_all()
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')
        bed.close()

    def test_a_whole_stream_ends_and_the_connection_goes_on(self) -> None:
        """Guards against streams without an end."""
        bed = front_bed.FrontBed(_StreamHandler(is_whole=True))
        bed.start()
        bed.caller.sendall(GET)
        received = b''
        while not received.endswith(b'0\r\n\r\n'):
            received += bed.caller.recv(65536)
        bed.caller.sendall(GET)
        assert bed.caller.recv(65536).startswith(b'HTTP/1.1 200')
        bed.close()


class _StreamHandler(front_bed.RecordingHandler):
    def __init__(self, is_whole: bool) -> None:
        super().__init__()
        self._is_whole = is_whole

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        head = front_bed.PlainCodec().decode_response(
            200, ((b'Content-Type', b'text/event-stream'),)
        )
        assert caller.start_stream(head)
        assert caller.send_events(b'id: 1\ndata: x\n\n')
        if self._is_whole:
            return forwarding.StreamCompleted()
        return forwarding.StreamInterrupted('the engine is lost')
