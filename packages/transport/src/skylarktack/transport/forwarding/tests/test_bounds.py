"""Bounds on callers that are reached, as operators see them."""

import contextlib
import time
from typing import NamedTuple

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import _lingering
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding import _sockets
from skylarktack.transport.forwarding.tests import front_harness

POST = b'POST /a HTTP/1.1\r\nHost: h\r\nAttempt: own\r\n'

MEMORY_BYTES = 100_000

LIMITS = data.FrontLimits(max_body_bytes=90_000, header_timeout_ms=300)

FULL_BUDGET = 'the memory limit of the instance allows 75000 bytes'


class _Case(NamedTuple):
    """What a caller sends, and the bound that it reaches."""

    sent: bytes
    bound: forwarding.Bound
    request: str
    detail: str | None


CASES = {
    'head': _Case(
        POST + b'X: ' + b'x' * 40_000,
        forwarding.Bound.REQUEST_HEAD,
        '',
        None,
    ),
    'body': _Case(
        POST + b'Content-Length: 90001\r\n\r\n',
        forwarding.Bound.REQUEST_BODY,
        'own',
        '',
    ),
    'body above the memory': _Case(
        POST + b'Content-Length: 80000\r\n\r\n',
        forwarding.Bound.REQUEST_BODY,
        'own',
        FULL_BUDGET,
    ),
    'memory': _Case(
        POST + b'Content-Length: 70000\r\n\r\n',
        forwarding.Bound.REQUEST_MEMORY,
        'own',
        '',
    ),
    'time': _Case(
        POST + b'Content-Length: 9\r\n\r\n',
        forwarding.Bound.REQUEST_READ_TIME,
        'own',
        '',
    ),
}


def _reached(
    log: fakes.RecordingLog,
) -> list[tuple[str, str, str]]:
    """Return bound, request and detail of each line about a bound."""
    found = []
    for event in log.events:
        if isinstance(event, forwarding.BoundReached):
            found.append((event.bound, event.request, event.detail))
    return found


class TestRefusals:
    """Requests that are refused before they are read whole."""

    @pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
    def test_bound_is_logged(self, case: _Case) -> None:
        """Guards against refusals that are in no log."""
        memory = transport.MemoryBudget(MEMORY_BYTES)
        memory.hold_response(MEMORY_BYTES)
        harness = front_harness.FrontHarness(memory=memory)
        harness.handler.front_limits = LIMITS
        harness.start()
        harness.caller.sendall(case.sent)
        harness.read_response()
        harness.close()
        ((bound, request, detail),) = _reached(harness.log)
        assert (bound, request) == (case.bound.value, case.request)
        assert case.detail is None or detail == case.detail

    def test_a_caller_that_sends_on(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers who lose a refusal for unknown reasons."""
        monkeypatch.setattr(_lingering, 'MAX_LINGER_BYTES', 100_000)
        harness = front_harness.FrontHarness()
        harness.handler.front_limits = LIMITS
        harness.start()
        harness.caller.sendall(POST + b'Content-Length: 9999999\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            while True:
                harness.caller.sendall(bytes(65536))
        harness.wait_ended()
        harness.close()
        bounds = [bound for bound, _, _ in _reached(harness.log)]
        assert bounds == [
            forwarding.Bound.REQUEST_BODY.value,
            forwarding.Bound.REFUSED_REQUEST.value,
        ]


class TestResponses:
    """Callers that have a request in progress or a response to read."""

    def test_pipelined_bytes(self) -> None:
        """Guards against a disconnect that is noticed late without a line."""
        harness = front_harness.FrontHarness()
        harness.handler.may_respond.clear()
        harness.start()
        harness.caller.sendall(POST + b'Content-Length: 0\r\n\r\n')
        assert harness.handler.has_started.wait(front_harness.TIMEOUT_S)
        harness.caller.sendall(front_harness.GET * 4000)
        end_s = time.monotonic() + front_harness.TIMEOUT_S
        while harness.connection.fileno() >= 0 and time.monotonic() < end_s:
            harness.connection.has_disconnected()
        assert harness.connection.fileno() == -1
        harness.close()
        assert _reached(harness.log) == [
            (forwarding.Bound.PIPELINED_BYTES.value, 'own', '')
        ]

    def test_a_caller_that_does_not_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against responses that are given up without a line."""
        monkeypatch.setattr(_sockets, 'WRITE_STALL_S', 0.1)
        harness = front_harness.FrontHarness()
        harness.handler.outcome = data.FrontResponse(
            200, (), bytes(16_000_000)
        )
        harness.start()
        harness.caller.sendall(POST + b'Content-Length: 0\r\n\r\n')
        harness.wait_ended()
        harness.close()
        assert _reached(harness.log) == [
            (forwarding.Bound.RESPONSE_WRITE_TIME.value, 'own', '')
        ]


class TestBoundRecorder:
    """Counts of all bounds, and lines for some of them."""

    def test_lines_without_a_request_are_rare(self) -> None:
        """Guards against a log that is filled by one bound."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        recorder = forwarding.BoundRecorder(clock, log)
        for _ in range(100):
            recorder.record(forwarding.Bound.CONNECTIONS)
        recorder.record(forwarding.Bound.REQUEST_BODY, 'own')
        recorder.record(forwarding.Bound.REQUEST_BODY, 'other')
        assert len(log.events) == 3
        clock.advance(1.1)
        recorder.record(forwarding.Bound.CONNECTIONS)
        event = log.events[-1]
        assert isinstance(event, forwarding.BoundReached)
        assert event.count == 101
        counts = recorder.counts()
        assert counts[forwarding.Bound.CONNECTIONS] == 101
        assert counts[forwarding.Bound.REQUEST_BODY] == 2
