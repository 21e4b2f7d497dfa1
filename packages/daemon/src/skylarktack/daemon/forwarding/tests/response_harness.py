"""Harness: a front connection before targets that are raw sockets.

Requests pass through the codec of the platform, the decisions and real
connections, so a test sees exactly the bytes that a caller receives.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import math
import random
import socket
import threading
import time

import h11

from skylarktack import platform
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import moves
from skylarktack.coordination import ports
from skylarktack.daemon.forwarding.tests import raw_target
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: Maximum wait of a test for an expected event.
TIMEOUT_S = 20.0

ATTEMPT_ID = b'attempt-1'

HOST = (b'Host', b'host.example')


@dataclasses.dataclass(frozen=True)
class ReceivedStream:
    """What a caller received of a stream."""

    status: int

    body: bytes

    #: Whether the end of the answer looks like that of a whole one.
    is_complete: bool


class _Forwarders:
    """Admits each request to one route and forwards it."""

    def __init__(
        self,
        route: data.ForwardingRoute,
        listed: tuple[data.ListedTarget, ...],
        log: fakes.RecordingLog,
    ) -> None:
        clock = ports.SystemClock()
        self.is_stopping = False
        self._clock = clock
        self._route = route
        fleet = forwarding.FleetView(
            clock, log, 'instance-0', data.Address('10.1.0.1', 7200)
        )
        self._moves = forwarding.MoveTable(
            clock,
            log,
            forwarding.ExposureLimits(0.1, 50.0),
            moves.SequentialJudge(state.MoveSettings()),
            draw=random.Random(1).random,
        )
        self._moves.is_synced.set()
        self._moves.trials.is_read.set()
        errors = forwarding.ErrorRecorder(clock, log)
        self.targets = forwarding.TargetTable(
            clock,
            log,
            'domain-a',
            fleet,
            self._moves,
            errors,
            fakes.ScriptedSuspensions(),
        )
        self.targets.replace(listed, after_outage=False)
        client = transport.HttpTargetClient(platform.PlatformMessageCodec())
        self.quarantine = forwarding.PromptQuarantine(clock, log, fleet)
        budget = forwarding.RetryBudget(
            clock, forwarding.RetryLimits(0.8, 100.0, 10.0), fleet
        )
        self._calls = forwarding.CallForwarder(
            clock, self.targets, client, budget
        )
        self._streams = forwarding.StreamForwarder(
            forwarding.StreamDependencies(
                clock=clock,
                targets=self.targets,
                client=client,
                fleet=fleet,
                budget=budget,
                quarantine=self.quarantine,
                new_splitter=messages.EventStreamSplitter,
                errors=errors,
            )
        )

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the default limits."""
        return data.FrontLimits(max_body_bytes=64 * 1024 * 1024)

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Forward one request."""
        now_s = self._clock.monotonic_s()
        limit_ms = min(
            self._route.timeout_ms, request.time_limit_ms or math.inf
        )
        admitted = forwarding.AdmittedRequest(
            request=request,
            route=self._route,
            service='pool',
            version_rule=self._moves.choose_versions('pool'),
            engine=data.EngineCapacity(55_000, has_standby_copies=False),
            organisation=None,
            caller=caller,
            started_at_s=now_s,
            deadline_s=now_s + limit_ms / 1000,
            trace=forwarding.RequestTrace(now_s),
        )
        if self._route.kind is data.RequestKind.STREAM:
            return self._streams.run(admitted)
        return self._calls.run(admitted)


class ResponseHarness:
    """A caller, a front connection, and equal targets.

    The first request that reaches a target gets the first answer, whichever
    target that is. When no answer is left, connections are closed.
    """

    def __init__(
        self, route: data.ForwardingRoute, *answers: raw_target.Answer
    ) -> None:
        self.requests: list[raw_target.ReceivedRequest] = []
        self.remaining_answers = collections.deque(answers)
        open_connections: list[socket.socket] = []
        self.targets = [
            raw_target.RawTarget(
                name,
                self.requests,
                self.remaining_answers,
                open_connections,
            )
            for name in ('a', 'b', 'c')
        ]
        self.log = fakes.RecordingLog()
        self.forwarders = _Forwarders(
            route, tuple(target.listed for target in self.targets), self.log
        )
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.caller = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.caller.settimeout(TIMEOUT_S)
        connection = transport.FrontConnection(
            accepted,
            self.forwarders,
            platform.PlatformMessageCodec(),
            transport.MemoryBudget(data.body_limit_bytes(None)),
            forwarding.BoundRecorder(ports.SystemClock(), self.log),
        )
        self._task = threading.Thread(target=connection.run)
        self._task.start()

    def send(
        self,
        body: bytes = b'body',
        attempt_id: bytes = ATTEMPT_ID,
        version: bytes = b'1.1',
    ) -> None:
        """Send a request of the caller."""
        length = str(len(body)).encode()
        self.caller.sendall(
            b'POST /a/x HTTP/%s\r\nHost: host.example\r\nAttempt-Id: %s\r\n'
            b'Prompt-Prefix: 1:10,2:10\r\nContent-Length: %s\r\n\r\n%s'
            % (version, attempt_id, length, body)
        )

    def read_stream(self) -> 'ReceivedStream':
        """Return the answer to the request that was sent, to its end."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method='GET', target='/', headers=[HOST]))
        parser.send(h11.EndOfMessage())
        status = 0
        body = b''
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(self.caller.recv(65536))
                    continue
            except (ConnectionResetError, h11.RemoteProtocolError):
                return ReceivedStream(status, body, is_complete=False)
            if isinstance(event, h11.Response):
                status = event.status_code
            if isinstance(event, h11.Data):
                body += event.data
            if isinstance(event, h11.EndOfMessage):
                return ReceivedStream(status, body, is_complete=True)

    def ask(self, body: bytes = b'body') -> tuple[int, bytes]:
        """Send a request and return the status and body of its answer."""
        self.send(body)
        return self.read_answer()

    def read_answer(self) -> tuple[int, bytes]:
        """Return the status and body of an answer with a length."""
        received = b''
        while b'\r\n\r\n' not in received:
            received += self.caller.recv(65536)
        head, _, content = received.partition(b'\r\n\r\n')
        content += raw_target.read_exactly(
            self.caller, raw_target.body_size_bytes(head) - len(content)
        )
        return int(head.split(b' ')[1]), content

    def ejected(self) -> list[str]:
        """Return the targets that get no new request now."""
        table = self.forwarders.targets
        names = []
        for target in self.targets:
            if table.is_unavailable(target.listed):
                names.append(target.name)
        return names

    def wait_for_requests(self, count: int) -> None:
        """Wait until targets have received the heads of requests."""
        end_s = time.monotonic() + TIMEOUT_S
        while len(self.requests) < count:
            assert time.monotonic() < end_s
            time.sleep(0.01)

    def wait_for_bodies(self, count: int) -> list[bytes]:
        """Return the bodies of requests whose connections have ended."""
        end_s = time.monotonic() + TIMEOUT_S
        while True:
            bodies = []
            for target in self.targets:
                bodies.extend(target.bodies)
            if len(bodies) >= count:
                return bodies
            assert time.monotonic() < end_s
            time.sleep(0.01)

    def close(self) -> None:
        """End all connections."""
        self.caller.close()
        self._task.join(TIMEOUT_S)
        assert not self._task.is_alive()
        for target in self.targets:
            target.close()


@contextlib.contextmanager
def serving(
    route: data.ForwardingRoute, *answers: raw_target.Answer
) -> Iterator[ResponseHarness]:
    """Run a test harness whose targets send the answers in this order."""
    harness = ResponseHarness(route, *answers)
    try:
        yield harness
    finally:
        harness.close()


def route(
    kind: data.RequestKind,
    max_attempts: int = 3,
    is_resumable: bool = True,
    timeout_ms: float = 10_000.0,
) -> data.ForwardingRoute:
    """Return a route to the targets."""
    is_stream = kind is data.RequestKind.STREAM
    return data.ForwardingRoute(
        name='route',
        host='host.example',
        path_prefix='/a/',
        kind=kind,
        services=(data.WeightedService('pool', 1.0),),
        timeout_ms=timeout_ms,
        latency_objective_ms=4500.0,
        max_attempts=max_attempts,
        priority=1,
        is_anonymous=True,
        is_resumable=is_stream and is_resumable,
        longest_pause_ms=700.0 if is_stream else None,
    )
