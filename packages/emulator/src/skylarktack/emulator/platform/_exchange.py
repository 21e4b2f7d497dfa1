"""One request of a caller and its response, on a connection that is open."""

from collections.abc import Iterator
import dataclasses
import socket

import h11

from skylarktack.emulator.platform import _manifest


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

    #: Whether the body is sent in chunks, without its length.
    is_chunked: bool = False


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes
    headers: dict[str, str]


class Exchange:
    """Encodes one request and parses its response."""

    def __init__(self, connection: socket.socket, attempt: Attempt) -> None:
        self._socket = connection
        self._parser = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        framing = ('Content-Length', str(len(attempt.body)))
        if attempt.is_chunked:
            framing = ('Transfer-Encoding', 'chunked')
        request = h11.Request(
            method='POST',
            target=f'/{attempt.route}/x',
            headers=[*_headers(attempt), framing],
        )
        #: Parts of the request in the order in which they are sent. A body
        #: is not copied: many callers may send the same one.
        self.outgoing = (
            self._parser.send(request) or b'',
            self._parser.send(h11.Data(data=attempt.body)) or b'',
            self._parser.send(h11.EndOfMessage()) or b'',
        )

    @property
    def has_head(self) -> bool:
        """Return whether the head of the response was read."""
        return self._head is not None

    @property
    def following_bytes(self) -> bytes:
        """Return what was received behind the response."""
        return bytes(self._parser.trailing_data[0])

    def receive_first(self, received: bytes) -> None:
        """Parse bytes that were received behind an earlier response."""
        if received:
            self._parser.receive_data(received)

    def read_head(self) -> h11.Response:
        """Return the head of the answer.

        :raises OSError: if the connection breaks.
        :raises h11.RemoteProtocolError: if the answer is not whole.
        """
        if self._head is None:
            event = self._next_event()
            if not isinstance(event, h11.Response):
                raise ConnectionError('the connection ended without answer')
            self._head = event
        return self._head

    def read_answer(self) -> Answer:
        """Return the whole answer; errors are those of the head."""
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

    def events(self) -> Iterator[str]:
        """Yield the events of a stream up to its end."""
        partial = b''
        for part in self.parts():
            partial += part
            while b'\n\n' in partial:
                event, _, partial = partial.partition(b'\n\n')
                yield event.decode() + '\n\n'

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
