"""Requests of callers that are refused, by limits or as malformed."""

from collections.abc import Iterator
import socket
import time

import pytest

from skylarktack.state import forwarding as data
from skylarktack.transport import _lingering
from skylarktack.transport.forwarding import _request_reader
from skylarktack.transport.forwarding.tests import front_harness

LONG_BODY_BYTES = 400_000


@pytest.fixture(name='refusing')
def _refusing() -> Iterator[front_harness.FrontHarness]:
    """Serve a connection on which the body of ``LONG_POSTS`` is too large."""
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
        refusing.handler.front_limits = data.FrontLimits()
        # A body in chunks claims the largest size once it is long.
        refusing.caller.sendall(LONG_POSTS['in chunks'][0])
        refusing.caller.sendall(b'20000\r\n%s\r\n' % (b'x' * 0x20000))
        refusing.caller.sendall(b'z\r\n')
        assert refusing.read_response() == (400, b'bad_request')
        free_bytes = data.body_limit_bytes(None)
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
