"""A target that is a raw socket and sends given bytes."""

import collections
import dataclasses
import select
import socket
import sys
import time

from skylarktack.state import forwarding as data
from skylarktack.transport.tests import raw_server

#: Closes a connection with a reset.
_RESET_LINGER = b'\1\0\0\0\0\0\0\0'


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a target sends to one request."""

    #: Bytes in order, and pauses in seconds between them.
    parts: tuple[bytes | float, ...]

    #: ``stay`` keeps the connection open until the caller closes it, ``end``
    #: closes it, ``reset`` resets it, ``stop`` closes the listener first, and
    #: ``shut`` ends the target's side in order before it closes, also if
    #: unread bytes then reset the connection.
    ending: str = 'stay'

    #: Whether the target answers as soon as it has read the head.
    is_before_body: bool = False

    #: Bytes that it sends when it has read the body after all.
    after_body: bytes = b''


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request that reached a target."""

    target: str

    head: bytes

    #: Whether the connections of all earlier requests had ended by then.
    is_alone: bool

    @property
    def last_event_id(self) -> bytes | None:
        """Return the event after which the stream is to go on, or None."""
        for line in self.head.lower().split(b'\r\n'):
            if line.startswith(b'last-event-id:'):
                return line.partition(b':')[2].strip()
        return None


class RawTarget:
    """Sends the next answer of the harness to each request.

    Probes always succeed.
    """

    def __init__(
        self,
        name: str,
        requests: list[ReceivedRequest],
        answers: collections.deque[Answer],
        open_connections: list[socket.socket],
    ) -> None:
        self.name = name
        self.bodies: list[bytes] = []
        self._requests = requests
        self._answers = answers
        self._open_connections = open_connections
        self._server = raw_server.RawServer(self._serve)

    @property
    def listed(self) -> data.ListedTarget:
        """Return the entry of the target."""
        return data.ListedTarget(
            name=self.name,
            service='pool',
            endpoint=data.Address(*self._server.address),
            failure_domain=f'domain-{self.name}',
            version='v1',
            slot_count=12,
        )

    def close(self) -> None:
        """Accept no more connections, and end the task that accepts."""
        self._server.close()

    def _serve(self, connection: socket.socket) -> None:
        received = b''
        while b'\r\n\r\n' not in received:
            more = connection.recv(4096)
            if not more:
                return
            received += more
        head, _, body = received.partition(b'\r\n\r\n')
        if head.startswith(b'GET /report '):
            connection.sendall(_response(b'{"queued_requests": 1}'))
            return
        is_alone = all(map(_has_ended, self._open_connections))
        self._open_connections.append(connection)
        self._requests.append(ReceivedRequest(self.name, head, is_alone))
        if not self._answers:
            return
        answer = self._answers.popleft()
        if not answer.is_before_body:
            body += read_exactly(connection, body_size_bytes(head) - len(body))
        try:
            self._send(connection, answer)
            if answer.after_body:
                body += read_exactly(
                    connection, body_size_bytes(head) - len(body)
                )
                connection.sendall(answer.after_body)
            if answer.ending == 'reset':
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
                )
            if answer.ending == 'shut':
                connection.shutdown(socket.SHUT_WR)
            if answer.ending == 'stop':
                self.close()
            if answer.ending == 'stay':
                body += read_exactly(connection, sys.maxsize)
        finally:
            self.bodies.append(body)

    def _send(self, connection: socket.socket, answer: Answer) -> None:
        for part in answer.parts:
            if isinstance(part, bytes):
                connection.sendall(part)
            else:
                time.sleep(part)


def _has_ended(connection: socket.socket) -> bool:
    """Return whether either end has closed the connection."""
    if connection.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return bool(poller.poll(0))


def _response(body: bytes) -> bytes:
    length = str(len(body)).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n%s' % (length, body)


def body_size_bytes(head: bytes) -> int:
    """Return the length of the body that a head names, or 0."""
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


def read_exactly(connection: socket.socket, size_bytes: int) -> bytes:
    """Read bytes, or fewer if the connection ends or is reset."""
    received = b''
    while len(received) < size_bytes:
        try:
            more = connection.recv(65536)
        except ConnectionError:
            break
        if not more:
            break
        received += more
    return received
