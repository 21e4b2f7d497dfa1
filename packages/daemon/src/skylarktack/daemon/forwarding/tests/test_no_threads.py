"""A listener while the system has no more threads."""

from concurrent import futures
import socket
import threading

import pytest

from skylarktack import platform
from skylarktack.coordination import forwarding
from skylarktack.coordination import ports
from skylarktack.daemon.forwarding.tests import test_instance
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

PATIENCE_S = 5.0


class _Handler:
    is_stopping = False

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the default limits."""
        return data.FrontLimits()

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Answer each request at once."""
        return data.FrontResponse(200, (), b'')


def _answer_begin(address: data.Address) -> tuple[socket.socket, bytes]:
    caller = socket.create_connection((address.host, address.port))
    caller.settimeout(PATIENCE_S)
    caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    return caller, caller.recv(12)


class TestNoThreads:
    """A thread for a connection cannot be started."""

    def test_caller_is_served_by_another_thread(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that wait until an idle one leaves."""
        log = transport.LineLog('instance-0')
        errors = forwarding.ErrorRecorder(ports.SystemClock(), log)
        listener = transport.Listener(
            test_instance.instance_settings().front,
            _Handler(),
            platform.PlatformMessageCodec(),
            futures.ThreadPoolExecutor(8),
            errors,
            transport.ListenerLimits(8, transport.MemoryBudget(1_000_000)),
        )
        accepting = threading.Thread(target=listener.run, daemon=True)
        accepting.start()
        first, answer = _answer_begin(listener.endpoint)
        assert answer == b'HTTP/1.1 200'

        def fail(thread: threading.Thread) -> None:
            raise RuntimeError("can't start new thread")

        monkeypatch.setattr(threading.Thread, 'start', fail)
        second, answer = _answer_begin(listener.endpoint)
        assert answer == b'HTTP/1.1 200'
        assert errors.counts() == {'start of a connection': 1}
        assert accepting.is_alive()
        first.close()
        second.close()
        listener.close()
