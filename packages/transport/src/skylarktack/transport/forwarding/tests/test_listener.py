"""Accepting connections, and the end of it."""

from concurrent import futures
import socket

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding.tests import front_harness

CONNECTION_COUNT = 40


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
