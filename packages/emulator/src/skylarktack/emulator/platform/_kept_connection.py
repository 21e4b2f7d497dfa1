"""A caller's connection that is kept for many requests."""

import contextlib
import select
import socket
import time
from types import TracebackType

from skylarktack import state
from skylarktack.emulator.platform import _caller
from skylarktack.emulator.platform import _exchange

#: Size of the parts of a body that is sent slowly.
PART_BYTES = 256 * 1024


class KeptConnection:
    """Sends requests one after another, or several at once.

    The caller looks for the end of the connection before it sends, and again
    once its first bytes are sent: an end that shows by then crossed them.
    """

    def __init__(self, instance: state.Address) -> None:
        """Connect.

        :raises OSError: if nobody listens.
        """
        self._socket = socket.create_connection(
            (instance.host, instance.port), timeout=_caller.WAIT_S
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        #: Whether the end of the connection crossed the last requests, and
        #: how long the caller took for sending and looking.
        self.has_crossed = False
        self.look_ms = 0.0
        #: Whether all bytes of the last requests were sent.
        self.has_sent_all = False

    def __enter__(self) -> 'KeptConnection':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._socket.close()

    def has_ended(self) -> bool:
        """Return whether the other side has ended the connection."""
        # A socket with a timeout would wait for bytes.
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if not poller.poll(0):
            return False
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def send(
        self, attempts: tuple[_exchange.Attempt, ...], pause_s: float = 0.0
    ) -> tuple[_exchange.Exchange, ...]:
        """Send requests at once; an error shows when they are read.

        :param pause_s: pause between the parts of a long body.
        """
        exchanges = tuple(
            _exchange.Exchange(self._socket, attempt) for attempt in attempts
        )
        outgoing = b''.join(
            part for exchange in exchanges for part in exchange.outgoing
        )
        self.has_crossed = False
        self.has_sent_all = False
        # The refusal of a body may arrive while the caller still sends it.
        with contextlib.suppress(OSError):
            self._send(memoryview(outgoing), pause_s)
            self.has_sent_all = True
        return exchanges

    def end_sending(self) -> None:
        """End the direction towards the instance only."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def _send(self, outgoing: memoryview, pause_s: float) -> None:
        began_at_s = time.monotonic()
        sent_bytes = self._socket.send(outgoing[:PART_BYTES])
        self.has_crossed = self.has_ended()
        self.look_ms = 1000 * (time.monotonic() - began_at_s)
        while sent_bytes < len(outgoing):
            time.sleep(pause_s)
            part = outgoing[sent_bytes : sent_bytes + PART_BYTES]
            self._socket.sendall(part)
            sent_bytes += len(part)
