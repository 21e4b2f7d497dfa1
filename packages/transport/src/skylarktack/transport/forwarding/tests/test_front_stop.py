"""Caller connections in a planned stop."""

import contextlib
import socket
import threading
import time

import h11
import pytest

from skylarktack.transport.forwarding import _connection_phase
from skylarktack.transport.forwarding import _front_connection
from skylarktack.transport.forwarding.tests import front_harness

GET = front_harness.GET
POST = front_harness.POST


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
        handler = front_harness.StreamHandler(is_complete=True)
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


def _pipeline(caller: socket.socket) -> None:
    """Send requests until the connection ends."""
    end_s = time.monotonic() + front_harness.TIMEOUT_S
    with contextlib.suppress(OSError):
        while time.monotonic() < end_s:
            caller.sendall(POST)
