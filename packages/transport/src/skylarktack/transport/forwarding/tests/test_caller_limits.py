"""Limits on what callers send and how long they stay idle."""

import gc
import socket
import time
import tracemalloc

import h11
import pytest

from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _sockets
from skylarktack.transport.forwarding.tests import front_harness

GET = front_harness.GET
POST = front_harness.POST


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


class TestManyFields:
    """Heads of short fields, which take many times their size in memory."""

    @pytest.mark.parametrize(
        ('field_count', 'status'), [(255, 200), (256, 431), (4000, 431)]
    )
    def test_memory_of_a_head(self, field_count: int, status: int) -> None:
        """Guards against heads that exhaust the memory together."""
        handler = front_harness.RecordingHandler()
        harness = front_harness.FrontHarness(handler)
        harness.start()
        tracemalloc.start()
        try:
            harness.caller.sendall(
                GET[:-2] + b'a:\r\n' * field_count + b'\r\n'
            )
            assert harness.read_response()[0] == status
            # Empties the interpreter's lists of free tuples.
            gc.collect()
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held_bytes < 100_000
        assert len(handler.requests) == (status == 200)
        harness.close()


class TestTinyChunks:
    """Bodies of many callers in chunks of one byte."""

    @pytest.mark.parametrize('max_body_bytes', [65536, 10])
    def test_one_connection_parses_chunks_at_a_time(
        self, max_body_bytes: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against chunks that leave other callers no processor time."""
        next_event = h11.Connection.next_event
        parsing: list[int] = []
        parsing_counts = set()

        def _count(parser: h11.Connection) -> object:
            if parser.their_state is not h11.SEND_BODY:
                return next_event(parser)
            parsing.append(1)
            parsing_counts.add(len(parsing))
            time.sleep(0.001)
            try:
                return next_event(parser)
            finally:
                parsing.pop()

        monkeypatch.setattr(h11.Connection, 'next_event', _count)
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(max_body_bytes=max_body_bytes)
        harnesses = [front_harness.FrontHarness(handler) for _ in range(8)]
        for harness in harnesses:
            harness.start()
            harness.caller.sendall(
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                + b'1\r\nx\r\n' * 50
                + b'0\r\n\r\n'
            )
        is_short = max_body_bytes > 50
        expected = (200, b'x' * 50) if is_short else (431, b'body_too_large')
        for harness in harnesses:
            assert harness.read_response() == expected
            harness.close()
        assert parsing_counts == {1}
