"""The budget of bodies, and callers that wait for it."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading

import pytest

from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding.tests import front_harness

LIMIT_BYTES = 1_000_000

#: What requests may take of the budget; the rest is kept for responses.
REQUEST_BYTES = 750_000

BODY = b'x' * 500_000


class TestMemoryBudget:
    """Requests wait for memory for a while; responses are not refused."""

    def test_requests_leave_room_for_responses(self) -> None:
        """Guards against runs whose response cannot be buffered."""
        budget = transport.MemoryBudget(LIMIT_BYTES)
        assert budget.claim_request(REQUEST_BYTES, 0.0)
        assert not budget.claim_request(1, 0.0)
        assert budget.claim_response(LIMIT_BYTES - REQUEST_BYTES)
        assert not budget.claim_response(1)

    def test_a_request_waits_for_a_release(self) -> None:
        """Guards against refusing what there is room for a moment later."""
        budget = transport.MemoryBudget(LIMIT_BYTES)
        assert budget.claim_request(REQUEST_BYTES, 0.0)
        results = []
        waiting = threading.Thread(
            target=lambda: results.append(
                budget.claim_request(1, front_harness.TIMEOUT_S)
            )
        )
        waiting.start()
        budget.release(REQUEST_BYTES)
        waiting.join(front_harness.TIMEOUT_S)
        assert results == [True]

    def test_limit_is_a_part_of_the_memory_of_the_process(self) -> None:
        """Guards against a budget that does not fit the process."""
        for limit_bytes in (100_000_000, 300 * 1024 * 1024):
            found_bytes = data.body_limit_bytes(limit_bytes)
            assert 0 < found_bytes <= limit_bytes / 2


@contextlib.contextmanager
def _serving(
    memory: transport.MemoryBudget,
) -> Iterator[front_harness.FrontHarness]:
    harness = front_harness.FrontHarness(memory=memory)
    harness.handler.front_limits = data.FrontLimits(max_body_bytes=len(BODY))
    harness.start()
    try:
        yield harness
    finally:
        harness.close()


def _with_length(body: bytes) -> bytes:
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
    return head % len(body) + body


def _in_chunks(body: bytes) -> bytes:
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    return head + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


@pytest.mark.parametrize('encode', [_with_length, _in_chunks])
class TestRequestBodies:
    """Long bodies of all callers count together."""

    def test_a_body_without_memory_is_refused(
        self, encode: Callable[[bytes], bytes]
    ) -> None:
        """Guards against bodies that end the process together."""
        memory = transport.MemoryBudget(LIMIT_BYTES)
        with _serving(memory) as first, _serving(memory) as second:
            first.handler.may_respond.clear()
            first.caller.sendall(encode(BODY))
            assert first.handler.has_started.wait(front_harness.TIMEOUT_S)
            second.caller.sendall(encode(BODY))
            _, reason = second.read_response()
            assert not second.handler.requests
            first.handler.may_respond.set()
            assert first.read_response() == (200, BODY)
        assert reason == data.RefusalReason.MEMORY_FULL.value.encode()
        assert memory.claim_request(REQUEST_BYTES, front_harness.TIMEOUT_S)

    def test_a_body_that_never_fits_is_refused_for_good(
        self, encode: Callable[[bytes], bytes]
    ) -> None:
        """Guards against callers that return with it again and again."""
        memory = transport.MemoryBudget(len(BODY))
        with _serving(memory) as harness:
            harness.caller.sendall(encode(BODY))
            _, reason = harness.read_response()
            assert not harness.handler.requests
        assert reason == data.RefusalReason.BODY_TOO_LARGE.value.encode()
        assert memory.claim_request(memory.request_limit_bytes, 0.0)

    def test_a_short_body_needs_no_memory(
        self, encode: Callable[[bytes], bytes]
    ) -> None:
        """Guards against refusing ordinary requests beside long ones."""
        memory = transport.MemoryBudget(LIMIT_BYTES)
        assert memory.claim_request(REQUEST_BYTES, 0.0)
        with _serving(memory) as harness:
            harness.caller.sendall(encode(b'short'))
            assert harness.read_response() == (200, b'short')

    def test_memory_is_free_when_the_caller_reads(
        self, encode: Callable[[bytes], bytes]
    ) -> None:
        """Guards against bodies that are held for slow readers."""
        memory = transport.MemoryBudget(LIMIT_BYTES)
        with _serving(memory) as harness:
            for _ in range(3):
                harness.caller.sendall(encode(BODY))
                assert harness.read_response() == (200, BODY)
        assert memory.claim_request(REQUEST_BYTES, front_harness.TIMEOUT_S)
