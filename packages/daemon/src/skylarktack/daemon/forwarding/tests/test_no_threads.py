"""A listener while the system has no more threads."""

from concurrent import futures
import socket
import threading
import time

import pytest

from skylarktack import platform
from skylarktack.coordination import forwarding
from skylarktack.coordination import ports
from skylarktack.daemon.forwarding.tests import test_instance
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

PATIENCE_S = 5.0
POLL_S = 0.005


class _Handler:
    is_stopping = False

    def __init__(self) -> None:
        #: Whether requests may be answered.
        self.may_answer = threading.Event()

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the default limits."""
        return data.FrontLimits()

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Answer each request as soon as allowed."""
        self.may_answer.wait(PATIENCE_S)
        return data.FrontResponse(200, (), b'')


def _request(address: data.Address) -> socket.socket:
    caller = socket.create_connection((address.host, address.port))
    caller.settimeout(PATIENCE_S)
    caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    return caller


class TestNoThreads:
    """A thread for a connection cannot be started."""

    @pytest.mark.parametrize('is_first_idle', [True, False])
    def test_caller_is_served_by_another_thread(
        self, is_first_idle: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that wait until an idle one leaves."""
        log = transport.LineLog('instance-0')
        errors = forwarding.ErrorRecorder(ports.SystemClock(), log)
        handler = _Handler()
        listener = transport.Listener(
            test_instance.instance_settings().front,
            handler,
            platform.PlatformMessageCodec(),
            futures.ThreadPoolExecutor(8),
            errors,
            transport.ListenerLimits(
                8,
                transport.MemoryBudget(1_000_000),
                forwarding.BoundRecorder(ports.SystemClock(), log),
            ),
        )
        accepting = threading.Thread(target=listener.run, daemon=True)
        accepting.start()
        has_failed = threading.Event()

        def fail(thread: threading.Thread) -> None:
            has_failed.set()
            raise RuntimeError("can't start new thread")

        if is_first_idle:
            handler.may_answer.set()
        first = _request(listener.endpoint)
        while listener.open_count() == 0:
            time.sleep(POLL_S)
        if is_first_idle:
            assert first.recv(12) == b'HTTP/1.1 200'
        monkeypatch.setattr(threading.Thread, 'start', fail)
        second = _request(listener.endpoint)
        assert has_failed.wait(PATIENCE_S)
        handler.may_answer.set()
        if not is_first_idle:
            assert first.recv(12) == b'HTTP/1.1 200'
        assert second.recv(12) == b'HTTP/1.1 200'
        assert errors.counts() == {'start of a connection': 1}
        assert accepting.is_alive()
        first.close()
        second.close()
        listener.close()
