"""Test harness: a front connection served over loopback TCP."""

import socket
import threading

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'

#: Maximum wait of a test for an expected event.
TIMEOUT_S = 20.0


class PassThroughCodec:
    """Codec that keeps headers as they are, except the framing ones.

    The attempt identifier travels in the header ``Attempt``.
    """

    def decode_request(
        self, head: data.RequestHead, body: bytes, has_body: bool
    ) -> data.FrontRequest | data.Refusal:
        """Return the decoded request of a caller."""
        values = {name.lower(): value for name, value in head.headers}
        dropped = messages.connection_bound_names(head.headers)
        return data.FrontRequest(
            attempt_id=values.get(b'attempt', b'').decode(),
            method=head.method,
            path=head.target,
            host=values.get(b'host', b'').decode(),
            headers=messages.without_names(
                head.headers, dropped | {b'content-length'}
            ),
            body=body,
            has_body=has_body,
            time_limit_ms=None,
            key=None,
            last_event_id=None,
            model=None,
            prompt_parts=(),
            prompt_tokens=0,
            output_tokens=0,
        )

    def encode_request(
        self, request: data.FrontRequest, delivery: data.DispatchContext
    ) -> data.Headers:
        """Return the headers of the caller's request unchanged."""
        return request.headers

    def decode_response(
        self, status: int, headers: data.Headers
    ) -> data.ResponseHead:
        """Return the head of a target's response."""
        values = {name.lower(): value for name, value in headers}
        attempt = values.get(b'attempt')
        return data.ResponseHead(
            status=status,
            headers=headers,
            attempt_id=None if attempt is None else attempt.decode(),
            is_signed=True,
            is_not_executed=False,
            is_encoded=False,
            load=None,
        )

    def encode_refusal(self, refusal: data.Refusal) -> data.FrontResponse:
        """Return the response that reports a refusal to a caller."""
        status = 431 if 'large' in refusal.reason.value else 400
        return data.FrontResponse(status, (), refusal.reason.value.encode())

    def encode_copy_order(self, order: data.CopyOrder) -> data.RequestMessage:
        """Return a request that names the run."""
        headers = ((b'Host', b'h'),)
        return data.RequestMessage(
            b'POST', b'/copy', headers, order.attempt_id.encode()
        )

    def decode_copy(self, body: bytes) -> str | None:
        """Return the body as the handle of a copy."""
        return body.decode() or None

    def encode_copy_release(
        self, engine: data.ListedTarget, handle: str
    ) -> data.RequestMessage:
        """Return a request that names the handle."""
        path = f'/copy/{handle}'.encode()
        return data.RequestMessage(b'DELETE', path, ((b'Host', b'h'),), b'')

    def cached_parts_path(self) -> bytes:
        """Return the path at which an engine lists its cached parts."""
        return b'/parts'

    def decode_cached_parts(self, body: bytes) -> frozenset[str]:
        """Return the words of the body as ids of parts."""
        return frozenset(body.decode().split())

    def probe_path(self) -> bytes:
        """Return the path at which a target reports its load."""
        return b'/load'

    def decode_report(self, body: bytes) -> data.TargetReport | None:
        """Return the load report of a target, or None if malformed."""
        return data.TargetReport(int(body)) if body.isdigit() else None


class RecordingHandler:
    """Records each request and echoes its body in the response."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.requests: list[data.FrontRequest] = []
        self.has_started = threading.Event()
        self.may_respond = threading.Event()
        self.may_respond.set()
        self.outcome: forwarding.StreamOutcome | None = None
        self.front_limits = data.FrontLimits()

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the limits set by the test."""
        return self.front_limits

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Return the set outcome, or a response that echoes the body."""
        self.requests.append(request)
        self.has_started.set()
        self.may_respond.wait(TIMEOUT_S)
        if self.outcome is not None:
            return self.outcome
        return data.FrontResponse(200, ((b'X-Own', b'1'),), request.body)


class StreamHandler(RecordingHandler):
    """Answers with the head and one event of a stream."""

    def __init__(self, is_complete: bool) -> None:
        """Create a handler.

        :param is_complete: whether the stream ends in order.
        """
        super().__init__()
        self._is_complete = is_complete
        #: Whether a stop begins once the head of a stream was sent.
        self.stops_after_head = False

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Return whether the stream was completed."""
        head = PassThroughCodec().decode_response(
            200, ((b'Content-Type', b'text/event-stream'),)
        )
        assert caller.start_stream(head)
        self.is_stopping = self.stops_after_head
        assert caller.send_events(b'id: 1\ndata: x\n\n')
        if self._is_complete:
            return forwarding.StreamCompleted()
        return forwarding.StreamInterrupted('engine lost')


class FrontHarness:
    """A caller's socket and the connection that serves it."""

    def __init__(
        self,
        handler: RecordingHandler | None = None,
        memory: transport.MemoryBudget | None = None,
    ) -> None:
        self.handler = handler or RecordingHandler()
        self.log = fakes.RecordingLog()
        self.memory = memory or transport.MemoryBudget(
            data.body_limit_bytes(None)
        )
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.caller = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.caller.settimeout(TIMEOUT_S)
        self.connection = transport.FrontConnection(
            accepted,
            self.handler,
            PassThroughCodec(),
            self.memory,
            forwarding.BoundRecorder(fakes.SteppingClock(), self.log),
        )
        self._task = threading.Thread(target=self.connection.run)

    def start(self) -> None:
        """Serve the connection in a task of its own."""
        self._task.start()

    def wait_ended(self) -> None:
        """Wait until the connection has ended."""
        self._task.join(TIMEOUT_S)
        assert not self._task.is_alive()

    def close(self) -> None:
        """Close the caller's side and wait for the end."""
        self.handler.may_respond.set()
        self.caller.close()
        if self._task.ident is not None:
            self.wait_ended()

    def read_all(self) -> bytes:
        """Return all bytes received until the connection ends."""
        received = b''
        while True:
            try:
                chunk = self.caller.recv(65536)
            except ConnectionError:
                return received
            if not chunk:
                return received
            received += chunk

    def read_response(self) -> tuple[int, bytes]:
        """Return status and body of one response with a Content-Length."""
        received = b''
        while b'\r\n\r\n' not in received:
            chunk = self.caller.recv(1)
            assert chunk
            received += chunk
        length = 0
        for line in received.split(b'\r\n'):
            if line.lower().startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        body = b''
        while len(body) < length:
            body += self.caller.recv(length - len(body))
        return int(received.split(b' ')[1]), body
