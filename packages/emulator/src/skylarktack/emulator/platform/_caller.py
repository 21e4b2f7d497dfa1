"""Callers of the platform: calls and streams over plain connections."""

from collections.abc import Iterator
import dataclasses
import socket
from types import TracebackType
import uuid

import h11

from skylarktack import state
from skylarktack.emulator.platform import _manifest

#: Longest wait for an answer or for the next event.
WAIT_S = 30.0

_OK_STATUS = 200


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt of a caller."""

    #: Name of the route; the rest of the path is fixed.
    route: str

    #: Unique id.
    attempt_id: str

    #: Last part of the prompt, or None for a call.
    subject: str | None = None

    #: Parts of the prompt before the last one.
    shared_parts: tuple[str, ...] = ('shared',)

    #: Events of the whole stream.
    event_count: int = 0

    #: Id of the last event that the caller has.
    last_event_id: int = 0

    #: Key of the caller.
    key: str = _manifest.KEY

    #: How long the caller waits.
    time_limit_ms: int = 20000

    #: Body of the request.
    body: bytes = b'body'


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes
    headers: dict[str, str]


def new_attempt_id() -> str:
    """Return an id that no other attempt has."""
    return uuid.uuid4().hex[:16]


def call(instance: state.Address, attempt: Attempt) -> Answer:
    """Send a call over a connection of its own.

    :raises OSError: if the connection breaks.
    :raises h11.RemoteProtocolError: if the answer is not whole.
    """
    with CallerConnection(instance, attempt) as connection:
        return connection.read_answer()


def read_stream(
    instance: state.Address, attempt: Attempt
) -> Iterator[str | Answer]:
    """Yield the events of a stream, or one answer that is no stream.

    :raises OSError: if the connection breaks.
    :raises h11.RemoteProtocolError: if the stream has no end.
    """
    with CallerConnection(instance, attempt) as connection:
        if connection.read_head().status_code != _OK_STATUS:
            yield connection.read_answer()
            return
        partial = b''
        for part in connection.parts():
            partial += part
            while b'\n\n' in partial:
                event, _, partial = partial.partition(b'\n\n')
                yield event.decode() + '\n\n'


class CallerConnection:
    """A connection with one request on its way."""

    def __init__(self, instance: state.Address, attempt: Attempt) -> None:
        self._parser = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        self._socket = socket.create_connection(
            (instance.host, instance.port), timeout=WAIT_S
        )
        body = attempt.body
        request = h11.Request(
            method='POST',
            target=f'/{attempt.route}/x',
            headers=[
                *_headers(attempt),
                ('Content-Length', str(len(body))),
            ],
        )
        self._socket.sendall(self._parser.send(request) or b'')
        # The body is not copied: many callers may send the same one.
        self._socket.sendall(self._parser.send(h11.Data(data=body)) or b'')
        self._parser.send(h11.EndOfMessage())

    def __enter__(self) -> 'CallerConnection':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._socket.close()

    def read_some(self, size_bytes: int) -> int:
        """Read a part of the answer without parsing; return its size."""
        return len(self._socket.recv(size_bytes))

    def read_head(self) -> h11.Response:
        """Return the head of the answer."""
        if self._head is None:
            event = self._next_event()
            if not isinstance(event, h11.Response):
                raise ConnectionError('the connection ended without answer')
            self._head = event
        return self._head

    def read_answer(self) -> Answer:
        """Return the whole answer."""
        head = self.read_head()
        headers = {}
        for name, value in head.headers.raw_items():
            headers[name.decode()] = value.decode()
        return Answer(head.status_code, b''.join(self.parts()), headers)

    def parts(self) -> Iterator[bytes]:
        """Yield the parts of the body up to its end."""
        self.read_head()
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    def _next_event(self) -> object:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._parser.receive_data(self._socket.recv(65536))


def _headers(attempt: Attempt) -> list[tuple[str, str]]:
    headers = [
        ('Host', _manifest.HOST),
        ('Attempt-Id', attempt.attempt_id),
        ('Key', attempt.key),
        ('Deadline-Ms', str(attempt.time_limit_ms)),
    ]
    if attempt.subject is None:
        return headers
    parts = [f'{part}:200' for part in attempt.shared_parts]
    parts.append(f'{attempt.subject}:800')
    headers.append(('Prompt-Prefix', ','.join(parts)))
    headers.append(('Token-Usage', f'1000,{attempt.event_count}'))
    if attempt.last_event_id:
        headers.append(('Last-Event-Id', str(attempt.last_event_id)))
    return headers
