"""Callers of the platform: calls and streams over plain connections."""

from collections.abc import Iterator
import socket
from types import TracebackType
import uuid

import h11

from skylarktack import state
from skylarktack.emulator.platform import _exchange

#: Longest wait for an answer or for the next event.
WAIT_S = 30.0

_OK_STATUS = 200

Answer = _exchange.Answer
Attempt = _exchange.Attempt


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
        yield from connection.events()


class CallerConnection:
    """A connection with one request on its way."""

    def __init__(self, instance: state.Address, attempt: Attempt) -> None:
        self._socket = socket.create_connection(
            (instance.host, instance.port), timeout=WAIT_S
        )
        self._exchange = _exchange.Exchange(self._socket, attempt)
        for part in self._exchange.outgoing:
            self._socket.sendall(part)

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
        return self._exchange.read_head()

    def read_answer(self) -> Answer:
        """Return the whole answer."""
        return self._exchange.read_answer()

    def parts(self) -> Iterator[bytes]:
        """Yield the parts of the body up to its end."""
        return self._exchange.parts()

    def events(self) -> Iterator[str]:
        """Yield the events of a stream up to its end."""
        return self._exchange.events()
