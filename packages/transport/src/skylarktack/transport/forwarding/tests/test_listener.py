"""Accepting connections, and the end of it."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import socket
import time

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding import _connection_phase
from skylarktack.transport.forwarding.tests import front_harness

CONNECTION_COUNT = 40


GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'

MAX_OPEN_COUNT = 4

CHECK_INTERVAL_S = 0.02


def _limits(max_open_count: int) -> transport.ListenerLimits:
    memory = transport.MemoryBudget(data.body_limit_bytes(None))
    bounds = forwarding.BoundRecorder(
        fakes.SteppingClock(), fakes.RecordingLog()
    )
    return transport.ListenerLimits(max_open_count, memory, bounds)


@contextlib.contextmanager
def _listening(
    handler: front_harness.RecordingHandler,
    limits: transport.ListenerLimits | None = None,
) -> Iterator[transport.Listener]:
    """Serve callers with as many tasks as there may be connections."""
    errors = forwarding.ErrorRecorder(
        fakes.SteppingClock(), fakes.RecordingLog()
    )
    with (
        futures.ThreadPoolExecutor(1) as accepting,
        futures.ThreadPoolExecutor(MAX_OPEN_COUNT) as tasks,
    ):
        listener = transport.Listener(
            data.Address('127.0.0.1', 0),
            handler,
            front_harness.PassThroughCodec(),
            tasks,
            errors,
            limits or _limits(MAX_OPEN_COUNT),
        )
        running = accepting.submit(listener.run)
        try:
            yield listener
        finally:
            handler.may_respond.set()
            listener.close()
            while listener.open_count():
                listener.close_idle()
                time.sleep(CHECK_INTERVAL_S)
            running.result(front_harness.TIMEOUT_S)


def _connect(endpoint: data.Address, sent: bytes) -> socket.socket:
    caller = socket.create_connection(
        (endpoint.host, endpoint.port), front_harness.TIMEOUT_S
    )
    caller.sendall(sent)
    return caller


def _has_answer(caller: socket.socket) -> bool:
    return caller.recv(65536).startswith(b'HTTP/1.1 200')


class TestEviction:
    """More connections than there may be at the same time."""

    def test_evicts_the_longest_idle_connection(self) -> None:
        """Guards against requests that are never read.

        Idle connections that callers keep open used up the tasks.
        """
        limits = _limits(MAX_OPEN_COUNT)
        handler = front_harness.RecordingHandler()
        with _listening(handler, limits) as listener:
            callers = []
            for _ in range(3 * MAX_OPEN_COUNT):
                caller = _connect(listener.endpoint, GET)
                assert _has_answer(caller)
                callers.append(caller)
            counts = limits.bounds.counts()
            assert counts[forwarding.Bound.CONNECTIONS] == 2 * MAX_OPEN_COUNT
            newest = callers[-MAX_OPEN_COUNT:]
            for caller in callers[:-MAX_OPEN_COUNT]:
                assert caller.recv(1) == b''
            for caller in newest:
                caller.sendall(GET)
                assert _has_answer(caller)
            for caller in callers:
                caller.close()

    def test_evicts_one_for_one(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against needless evictions while the first one ends."""
        run = transport.FrontConnection.run

        def _end_late(
            connection: transport.FrontConnection,
        ) -> _connection_phase.ConnectionEnd:
            end = run(connection)
            time.sleep(0.3)
            return end

        monkeypatch.setattr(transport.FrontConnection, 'run', _end_late)
        with _listening(front_harness.RecordingHandler()) as listener:
            callers = [
                _connect(listener.endpoint, GET) for _ in range(MAX_OPEN_COUNT)
            ]
            assert all(_has_answer(caller) for caller in callers)
            callers.append(_connect(listener.endpoint, GET))
            assert _has_answer(callers[-1])
            for caller in callers[1:]:
                caller.sendall(GET)
                assert _has_answer(caller)
            for caller in callers:
                caller.close()

    def test_evicts_a_caller_that_sends_slowly(self) -> None:
        """Guards against callers that hold tasks by a byte now and then."""
        slow = (b'', b'GE', GET[:-2], b'POST /a HTTP/1.1\r\nHost: h\r\n')
        assert len(slow) == MAX_OPEN_COUNT
        with _listening(front_harness.RecordingHandler()) as listener:
            slow_callers = [_connect(listener.endpoint, part) for part in slow]
            caller = _connect(listener.endpoint, GET)
            assert _has_answer(caller)
            caller.close()
            for slow_caller in slow_callers:
                slow_caller.close()

    def test_evicts_a_refused_caller_before_an_idle_one(self) -> None:
        """Guards against kept connections that yield to refused callers."""
        handler = front_harness.RecordingHandler()
        handler.front_limits = data.FrontLimits(max_body_bytes=3)
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n'
        with _listening(handler) as listener:
            idle = [
                _connect(listener.endpoint, GET)
                for _ in range(MAX_OPEN_COUNT - 1)
            ]
            for caller in idle:
                assert _has_answer(caller)
            refused = _connect(listener.endpoint, head)
            assert refused.recv(65536).startswith(b'HTTP/1.1 431')
            time.sleep(0.1)
            late = _connect(listener.endpoint, GET)
            assert _has_answer(late)
            for caller in idle:
                caller.sendall(GET)
                assert _has_answer(caller)
            for caller in (*idle, refused, late):
                caller.close()

    def test_a_connection_with_a_request_stays(self) -> None:
        """Guards against a request that is cut for a new connection."""
        handler = front_harness.RecordingHandler()
        handler.may_respond.clear()
        with _listening(handler) as listener:
            busy = [
                _connect(listener.endpoint, GET) for _ in range(MAX_OPEN_COUNT)
            ]
            late = _connect(listener.endpoint, GET)
            late.settimeout(0.5)
            with pytest.raises(TimeoutError):
                late.recv(1)
            handler.may_respond.set()
            for caller in busy:
                assert _has_answer(caller)
            late.settimeout(front_harness.TIMEOUT_S)
            assert _has_answer(late)
            for caller in (*busy, late):
                caller.close()


class TestCloseIdle:
    """A planned stop closes connections without a request."""

    def test_a_caller_that_has_just_connected_is_served(self) -> None:
        """Guards against a first request that crosses the close."""
        with _listening(front_harness.RecordingHandler()) as listener:
            caller = _connect(listener.endpoint, b'')
            while not listener.open_count():
                time.sleep(CHECK_INTERVAL_S)
            listener.close_idle()
            caller.sendall(GET)
            assert _has_answer(caller)
            caller.close()

    def test_a_connection_that_waits_is_closed(self) -> None:
        """Guards against a stop that waits for an idle caller."""
        with _listening(front_harness.RecordingHandler()) as listener:
            caller = _connect(listener.endpoint, GET)
            assert _has_answer(caller)
            while listener.open_count():
                listener.close_idle()
                time.sleep(CHECK_INTERVAL_S)
            assert caller.recv(1) == b''
            caller.close()


class TestClose:
    """The end of accepting cuts no connection that was made before."""

    def test_waiting_connections_are_served(self) -> None:
        """Guards against requests that are reset with the listening socket.

        A planned stop closed the socket while connections waited in its
        backlog.
        """
        errors = forwarding.ErrorRecorder(
            fakes.SteppingClock(), fakes.RecordingLog()
        )
        with futures.ThreadPoolExecutor(CONNECTION_COUNT + 2) as tasks:
            listener = transport.Listener(
                data.Address('127.0.0.1', 0),
                front_harness.RecordingHandler(),
                front_harness.PassThroughCodec(),
                tasks,
                errors,
                _limits(CONNECTION_COUNT),
            )
            endpoint = listener.endpoint
            callers = []
            for _ in range(CONNECTION_COUNT):
                caller = socket.create_connection(
                    (endpoint.host, endpoint.port), front_harness.TIMEOUT_S
                )
                caller.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
                callers.append(caller)
            # All wait in the backlog until the task begins to accept.
            running = tasks.submit(listener.run)
            listener.close()
            running.result(front_harness.TIMEOUT_S)
            for caller in callers:
                assert caller.recv(12) == b'HTTP/1.1 200'
                caller.close()
