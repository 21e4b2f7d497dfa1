"""A front connection over a TCP connection on the loopback address."""

import socket
import threading

from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: Longest wait of a test for something that has to happen.
PATIENCE_S = 20.0


class PlainCodec:
    """Passes heads through; knows two headers of its own."""

    def decode_request(
        self, head: data.RequestHead, body: bytes, has_body: bool
    ) -> data.FrontRequest | data.Refusal:
        """Return the request of a caller."""
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
        """Return the header fields of a request to a target."""
        return request.headers

    def decode_response(
        self, status: int, headers: data.Headers
    ) -> data.ResponseHead:
        """Return the head of a target's answer."""
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
        """Return the answer that tells a caller of a refusal."""
        status = 431 if 'large' in refusal.reason.value else 400
        return data.FrontResponse(status, (), refusal.reason.value.encode())

    def probe_path(self) -> bytes:
        """Return the path at which a target tells its load."""
        return b'/load'

    def decode_report(self, body: bytes) -> data.TargetReport | None:
        """Return what a target says of itself, or None if unreadable."""
        return data.TargetReport(int(body)) if body.isdigit() else None


class RecordingHandler:
    """Answers each request with its body and records it."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.requests: list[data.FrontRequest] = []
        self.has_begun = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.outcome: forwarding.StreamOutcome | None = None
        self.front_limits = data.FrontLimits()

    def limits(self) -> data.FrontLimits:
        """Return the limits on callers."""
        return self.front_limits

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Answer with the body of the request."""
        self.requests.append(request)
        self.has_begun.set()
        self.may_answer.wait(PATIENCE_S)
        if self.outcome is not None:
            return self.outcome
        return data.FrontResponse(200, ((b'X-Own', b'1'),), request.body)


class FrontBed:
    """A caller's socket and the connection that serves it."""

    def __init__(self, handler: RecordingHandler | None = None) -> None:
        self.handler = handler or RecordingHandler()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.caller = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.caller.settimeout(PATIENCE_S)
        self.connection = transport.FrontConnection(
            accepted, self.handler, PlainCodec()
        )
        self._task = threading.Thread(target=self.connection.run)

    def start(self) -> None:
        """Serve the connection in a task of its own."""
        self._task.start()

    def wait_ended(self) -> None:
        """Wait until the connection has ended."""
        self._task.join(PATIENCE_S)
        assert not self._task.is_alive()

    def close(self) -> None:
        """Close the caller's side and wait for the end."""
        self.handler.may_answer.set()
        self.caller.close()
        if self._task.ident is not None:
            self.wait_ended()

    def read_all(self) -> bytes:
        """Return all bytes until the connection ends."""
        received = b''
        while True:
            try:
                part = self.caller.recv(65536)
            except ConnectionError:
                return received
            if not part:
                return received
            received += part

    def read_answer(self) -> tuple[int, bytes]:
        """Return status and body of one answer with a length."""
        received = b''
        while b'\r\n\r\n' not in received:
            part = self.caller.recv(1)
            assert part
            received += part
        length = 0
        for line in received.split(b'\r\n'):
            if line.lower().startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        body = b''
        while len(body) < length:
            body += self.caller.recv(length - len(body))
        return int(received.split(b' ')[1]), body
