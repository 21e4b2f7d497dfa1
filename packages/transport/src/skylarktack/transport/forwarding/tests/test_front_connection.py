"""Caller connections: framing, limits, disconnects, planned stop."""

from collections.abc import Iterator
import contextlib
import socket
import threading
import time

import h11
import pytest

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import _lingering
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding import _connection_phase
from skylarktack.transport.forwarding import _front_connection
from skylarktack.transport.forwarding import _request_reader
from skylarktack.transport.forwarding import _sockets
from skylarktack.transport.forwarding.tests import front_harness

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'


@pytest.fixture(name='harness')
def _harness() -> Iterator[front_harness.FrontHarness]:
    harness = front_harness.FrontHarness()
    yield harness
    harness.close()


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


class TestLimits:
    """Size and time limits of the configuration are enforced."""

    def test_a_large_head_is_refused(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against exhausting memory with a request head."""
        harness.start()
        harness.caller.sendall(
            b'GET /a HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 40000
        )
        assert harness.read_response()[0] == 431

    def test_a_large_body_is_refused(self) -> None:
        """Guards against exhausting memory with a request body."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(max_body_bytes=3)
        harness = front_harness.FrontHarness(handler)
        harness.start()
        harness.caller.sendall(POST)
        assert harness.read_response() == (431, b'body_too_large')
        harness.close()

    def test_an_incomplete_head_is_refused(self) -> None:
        """Guards against callers that occupy connections (slowloris)."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(header_timeout_ms=50)
        harness = front_harness.FrontHarness(handler)
        harness.start()
        harness.caller.sendall(GET[:10])
        assert harness.read_response() == (400, b'read_timeout')
        harness.close()

    def test_a_request_that_arrived_during_a_suspension_is_served(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a refusal of a request that is complete."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(header_timeout_ms=50)
        harness = front_harness.FrontHarness(handler)
        harness.caller.sendall(POST[:10])
        next_event = h11.Connection.next_event

        def _suspend(parser: h11.Connection) -> object:
            event = next_event(parser)
            if parser.our_role is h11.SERVER and parser.trailing_data[0]:
                monkeypatch.undo()
                harness.caller.sendall(POST[10:])
                time.sleep(0.1)
            return event

        monkeypatch.setattr(h11.Connection, 'next_event', _suspend)
        harness.start()
        assert harness.read_response() == (200, b'body')
        harness.close()

    def test_an_idle_connection_is_closed_without_a_response(self) -> None:
        """Guards against a response to no request."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(idle_timeout_ms=50)
        harness = front_harness.FrontHarness(handler)
        harness.start()
        assert harness.read_all() == b''
        harness.close()


LONG_BODY_BYTES = 400_000


@pytest.fixture(name='refusing')
def _refusing() -> Iterator[front_harness.FrontHarness]:
    """Serve a connection on which the body of ``LONG_POST`` is too large."""
    handler = front_harness.RecordingHandler()
    handler.front_limits = data.FrontLimits(max_body_bytes=1000)
    harness = front_harness.FrontHarness(handler)
    harness.start()
    yield harness
    harness.close()


LONG_POSTS = {
    'with a length': (
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
        % LONG_BODY_BYTES,
        b'x' * LONG_BODY_BYTES,
    ),
    'in chunks': (
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'1000\r\n%s\r\n' % (b'x' * 4096) * 97 + b'0\r\n\r\n',
    ),
}


#: Requests whose end nothing tells, with the status of their refusal.
UNPARSED_HEADS = {
    'large head': (b'GET /a HTTP/1.1\r\nHost: h\r\nX: ', 431),
    'no host': (b'POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n', 400),
    'bad chunk': (
        LONG_POSTS['in chunks'][0] + b'z\r\n',
        400,
    ),
}


class TestRefusedBodies:
    """A body that is refused before it was read whole."""

    @pytest.mark.parametrize(
        ('head', 'body'), LONG_POSTS.values(), ids=LONG_POSTS.keys()
    )
    def test_a_slow_caller_reads_the_refusal(
        self, head: bytes, body: bytes, refusing: front_harness.FrontHarness
    ) -> None:
        """Guards against a reset before the refusal was read.

        Many callers read nothing before they have sent everything.
        """
        refusing.caller.sendall(head)
        step_bytes = len(body) // 8
        for start in range(0, len(body), step_bytes):
            refusing.caller.sendall(body[start : start + step_bytes])
            time.sleep(2 * _request_reader.LINGER_S / 8)
        assert refusing.read_response() == (431, b'body_too_large')
        assert refusing.read_all() == b''

    @pytest.mark.parametrize(
        ('head', 'status'), UNPARSED_HEADS.values(), ids=UNPARSED_HEADS.keys()
    )
    def test_a_caller_of_a_malformed_request_reads_the_refusal(
        self, head: bytes, status: int, refusing: front_harness.FrontHarness
    ) -> None:
        """Guards against a reset where the end of a request is unknown."""
        refusing.caller.sendall(head)
        for _ in range(8):
            refusing.caller.sendall(b'x' * 40_000)
            time.sleep(2 * _request_reader.LINGER_S / 8)
        refusing.caller.shutdown(socket.SHUT_WR)
        assert refusing.read_response()[0] == status
        assert refusing.read_all() == b''

    def test_the_memory_of_a_refused_body_is_free(
        self, refusing: front_harness.FrontHarness
    ) -> None:
        """Guards against refused callers that hold the memory of others."""
        limits = data.FrontLimits(header_timeout_ms=50)
        refusing.handler.front_limits = limits
        refusing.caller.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n'
        )
        assert refusing.read_response() == (400, b'read_timeout')
        free_bytes = transport.body_limit_bytes(None)
        claimable_bytes = int(0.75 * free_bytes)
        assert refusing.memory.claim_request(claimable_bytes, 1.0)

    def test_an_endless_body_is_cut(
        self,
        refusing: front_harness.FrontHarness,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against callers that hold a task without end."""
        monkeypatch.setattr(_lingering, 'MAX_LINGER_S', 0.3)
        refusing.caller.sendall(LONG_POSTS['in chunks'][0])
        end_s = time.monotonic() + front_harness.TIMEOUT_S
        with pytest.raises(ConnectionError):
            while time.monotonic() < end_s:
                refusing.caller.sendall(b'1000\r\n%s\r\n' % (b'x' * 4096))
                time.sleep(0.01)

    def test_its_connection_is_evicted(
        self, refusing: front_harness.FrontHarness
    ) -> None:
        """Guards against refused callers that keep out new ones."""
        refusing.caller.sendall(LONG_POSTS['with a length'][0])
        assert refusing.read_response()[0] == 431
        assert refusing.connection.waiting_since_s is not None
        # The refusal is read before its sender has recorded that it was sent.
        end_s = time.monotonic() + front_harness.TIMEOUT_S
        while not refusing.connection.evict():
            assert time.monotonic() < end_s
            time.sleep(0.01)
        refusing.wait_ended()


class TestChangedLimits:
    """The limits change while a connection waits for a request."""

    def test_a_longer_idle_timeout_is_in_force_at_once(self) -> None:
        """Guards against a close by the timeout of before."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(idle_timeout_ms=200)
        harness = front_harness.FrontHarness(handler)
        harness.start()
        time.sleep(0.1)
        handler.front_limits = data.FrontLimits(idle_timeout_ms=20_000)
        time.sleep(0.2)
        harness.caller.sendall(POST)
        assert harness.read_response() == (200, b'body')
        harness.close()

    def test_a_larger_head_is_allowed_at_once(self) -> None:
        """Guards against refusing a head by the limit of before."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(max_header_bytes=100)
        harness = front_harness.FrontHarness(handler)
        harness.start()
        harness.caller.sendall(POST)
        assert harness.read_response() == (200, b'body')
        handler.front_limits = data.FrontLimits(max_header_bytes=10_000)
        head = b'GET /a HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 1000
        # More than the limit has to arrive before the head is complete.
        harness.caller.sendall(head)
        time.sleep(0.1)
        harness.caller.sendall(b'\r\n\r\n')
        assert harness.read_response()[0] == 200
        harness.close()

    def test_a_request_that_arrives_at_the_timeout_is_served(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against closing a connection with an unread request.

        The task may have to wait for the processor after its timeout.
        """
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(idle_timeout_ms=50)
        harness = front_harness.FrontHarness(handler)
        poll_socket = _sockets.wait_for

        def _wait_and_send(
            connection: socket.socket, events: int, timeout_s: float
        ) -> int:
            found = poll_socket(connection, events, timeout_s)
            if not found and timeout_s > 0:
                harness.caller.sendall(POST)
            return found

        monkeypatch.setattr(_sockets, 'wait_for', _wait_and_send)
        harness.start()
        assert harness.read_response() == (200, b'body')
        monkeypatch.undo()
        harness.close()


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


class TestStop:
    """A planned stop interrupts no request."""

    def test_the_last_response_announces_the_close(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against callers that reuse a closing connection."""
        harness.handler.is_stopping = True
        harness.start()
        harness.caller.sendall(GET)
        assert b'Connection: close' in harness.read_all()

    def test_a_request_received_behind_another_is_answered(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against dropping a pipelined request that was read."""
        harness.handler.may_respond.clear()
        harness.start()
        harness.caller.sendall(POST)
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        harness.caller.sendall(POST.replace(b'body', b'next'))
        time.sleep(0.1)
        assert not harness.connection.has_disconnected()
        harness.handler.is_stopping = True
        harness.handler.may_respond.set()
        assert harness.read_response() == (200, b'body')
        received = harness.read_all()
        assert b'Connection: close' in received
        assert received.endswith(b'next')

    def test_a_stream_that_began_before_the_stop_keeps_its_connection(
        self,
    ) -> None:
        """Guards against a close that no response has announced."""
        handler = _StreamHandler(is_complete=True)
        harness = front_harness.FrontHarness(handler)
        handler.stops_after_head = True
        harness.start()
        harness.caller.sendall(GET)
        received = b''
        while not received.endswith(b'0\r\n\r\n'):
            received += harness.caller.recv(65536)
        assert b'Connection: close' not in received
        harness.caller.sendall(GET)
        assert b'Connection: close' in harness.read_all()
        harness.close()

    def test_a_request_that_has_arrived_is_served(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against closing a connection with an unread request.

        A request that is forwarded after the shutdown is executed, but its
        response cannot be sent.
        """
        harness.handler.is_stopping = True
        harness.caller.sendall(POST)
        harness.connection.close_if_idle()
        harness.start()
        assert harness.read_response() == (200, b'body')

    def test_a_connection_that_was_just_opened_stays_open(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against closing while the first request is on its way."""
        harness.handler.is_stopping = True
        harness.start()
        harness.connection.close_if_idle()
        harness.caller.sendall(POST)
        assert harness.read_response() == (200, b'body')

    def test_a_part_of_a_head_keeps_its_connection(
        self,
        harness: front_harness.FrontHarness,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against closing between two parts of a head."""
        monkeypatch.setattr(_connection_phase, 'MIN_IDLE_S', 0.0)
        harness.start()
        harness.caller.sendall(POST[:10])
        time.sleep(0.1)
        harness.connection.close_if_idle()
        harness.caller.sendall(POST[10:])
        assert harness.read_response() == (200, b'body')

    def test_an_unread_pipelined_request_is_answered(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against dropping a request that has arrived unread."""
        harness.handler.may_respond.clear()
        harness.start()
        harness.caller.sendall(POST)
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        harness.caller.sendall(POST.replace(b'body', b'next'))
        time.sleep(0.1)
        harness.handler.is_stopping = True
        harness.handler.may_respond.set()
        assert harness.read_response() == (200, b'body')
        assert harness.read_all().endswith(b'next')

    def test_endless_pipelining_is_ended_in_order(
        self,
        harness: front_harness.FrontHarness,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a caller that holds up the stop until the kill."""
        monkeypatch.setattr(_front_connection, 'MAX_PIPELINED_STOP_S', 0.2)
        harness.handler.is_stopping = True
        harness.start()
        sending = threading.Thread(target=_pipeline, args=(harness.caller,))
        sending.start()
        received = harness.read_all()
        sending.join(front_harness.TIMEOUT_S)
        assert received.count(b'Connection: close') == 1
        assert received.endswith(b'body')

    @pytest.mark.parametrize('ending', ['close_if_idle', 'evict'])
    def test_a_request_that_is_being_read_is_served(
        self,
        ending: str,
        harness: front_harness.FrontHarness,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against closing between the read of a request and its use."""
        receive_data = h11.Connection.receive_data

        def _receive_and_close(
            parser: h11.Connection, received: bytes
        ) -> None:
            receive_data(parser, received)
            if parser.our_role is h11.SERVER and received:
                getattr(harness.connection, ending)()

        monkeypatch.setattr(h11.Connection, 'receive_data', _receive_and_close)
        harness.start()
        harness.caller.sendall(POST)
        assert harness.read_response() == (200, b'body')

    def test_a_request_after_the_close_is_not_executed(
        self,
        harness: front_harness.FrontHarness,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against executing a request without a way to respond."""
        monkeypatch.setattr(_connection_phase, 'MIN_IDLE_S', 0.0)
        harness.handler.is_stopping = True
        harness.connection.close_if_idle()
        harness.caller.sendall(POST)
        harness.start()
        assert harness.read_all() == b''
        harness.wait_ended()
        assert not harness.handler.requests

    def test_a_connection_in_use_stays_open(
        self, harness: front_harness.FrontHarness
    ) -> None:
        """Guards against interrupting a request in progress."""
        harness.handler.may_respond.clear()
        harness.start()
        harness.caller.sendall(POST)
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        harness.connection.close_if_idle()
        harness.handler.may_respond.set()
        assert harness.read_response() == (200, b'body')


class TestStreams:
    """An interrupted stream never looks complete."""

    def test_an_interrupted_stream_has_no_last_chunk(self) -> None:
        """Guards against a truncated response that looks complete."""
        harness = front_harness.FrontHarness(_StreamHandler(is_complete=False))
        harness.start()
        harness.caller.sendall(GET)
        received = harness.read_all()
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')
        harness.close()

    def test_a_complete_stream_keeps_the_connection_open(self) -> None:
        """Guards against streams without a last chunk."""
        harness = front_harness.FrontHarness(_StreamHandler(is_complete=True))
        harness.start()
        harness.caller.sendall(GET)
        received = b''
        while not received.endswith(b'0\r\n\r\n'):
            received += harness.caller.recv(65536)
        harness.caller.sendall(GET)
        assert harness.caller.recv(65536).startswith(b'HTTP/1.1 200')
        harness.close()


def _pipeline(caller: socket.socket) -> None:
    """Send requests until the connection ends."""
    end_s = time.monotonic() + front_harness.TIMEOUT_S
    with contextlib.suppress(OSError):
        while time.monotonic() < end_s:
            caller.sendall(POST)


class _StreamHandler(front_harness.RecordingHandler):
    def __init__(self, is_complete: bool) -> None:
        super().__init__()
        self._is_complete = is_complete
        #: Whether a stop begins once the head of a stream was sent.
        self.stops_after_head = False

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        head = front_harness.PassThroughCodec().decode_response(
            200, ((b'Content-Type', b'text/event-stream'),)
        )
        assert caller.start_stream(head)
        self.is_stopping = self.stops_after_head
        assert caller.send_events(b'id: 1\ndata: x\n\n')
        if self._is_complete:
            return forwarding.StreamCompleted()
        return forwarding.StreamInterrupted('engine lost')
