"""What a caller's connection does at a moment, for those that may close it."""

import contextlib
import enum
import select
import socket
import threading
import time

from skylarktack.transport.forwarding import _sockets

#: A stop closes only connections that have been idle for this time: the first
#: request of a new one, or the next one of another, may be on its way.
MIN_IDLE_S = 1.0


class ConnectionEnd(enum.Enum):
    """Why a connection has ended."""

    #: Its last response announced the close.
    ANNOUNCED = 'announced'

    #: The caller closed it, or does not read.
    CALLER = 'caller'

    #: Evicted for a new connection.
    EVICTED = 'evicted'

    #: No request within the idle timeout.
    IDLE = 'idle'

    #: A stream could not be finished.
    INTERRUPTED = 'interrupted'

    #: A request was refused before it was read whole.
    REFUSED = 'refused'

    #: Without a request in progress when the instance stopped.
    STOPPED = 'stopped'

    #: By an error that no code path expects.
    UNEXPECTED = 'unexpected'


class ConnectionPhase:
    """Decides whether one connection may be closed at a moment.

    The task of the connection reports each step. Other tasks may close the
    connection between two requests: not while received bytes may hold a
    request that is not parsed yet, nor while bytes are still unread.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._lock = threading.Lock()
        self._is_idle = True
        self._has_request = False
        self._is_parsing = False
        self._is_lingering = False
        self._waiting_since_s = time.monotonic()
        self._end: ConnectionEnd | None = None

    @property
    def end(self) -> ConnectionEnd | None:
        """Return why the connection is closed, or None if it is not."""
        return self._end

    @property
    def is_lingering(self) -> bool:
        """Return whether a refused caller may go on sending."""
        return self._is_lingering

    @property
    def waiting_since_s(self) -> float | None:
        """Return since when no request has been read whole, or None."""
        with self._lock:
            if self._has_request or self._end is not None:
                return None
            return self._waiting_since_s

    def begin_read(self) -> bool:
        """Record that bytes are received next; return False if closed."""
        with self._lock:
            if self._end is not None:
                return False
            self._is_parsing = True
            return True

    def record_parsed(self) -> None:
        """Record that all received bytes are parsed."""
        with self._lock:
            self._is_parsing = False

    def begin_request(self) -> None:
        """Record that the first bytes of a request were read."""
        with self._lock:
            self._is_idle = False

    def record_whole_request(self) -> None:
        """Record that a request was read whole, so that it gets an answer."""
        with self._lock:
            self._has_request = True

    def await_request(self) -> None:
        """Record that the response was sent and the next request may come."""
        with self._lock:
            self._is_idle = True
            self._has_request = False
            # The next request may have been received with the last one.
            self._is_parsing = True
            self._waiting_since_s = time.monotonic()

    def begin_linger(self) -> None:
        """Record that a refused caller may go on sending."""
        with self._lock:
            self._is_lingering = True

    def record_end(self, end: ConnectionEnd) -> ConnectionEnd:
        """Record why the connection ends; return the first reason."""
        with self._lock:
            if self._end is None:
                self._end = end
            return self._end

    def close_if_idle(self) -> None:
        """Close the connection if it has been idle for ``MIN_IDLE_S``."""
        idle_since_s = time.monotonic() - MIN_IDLE_S
        with self._lock:
            if not self._is_idle or self._is_parsing:
                return
            if self._waiting_since_s <= idle_since_s:
                self._close_unless_readable(ConnectionEnd.STOPPED)

    def expire(self) -> bool:
        """Close a connection whose idle timeout has passed.

        :return: False if a request has arrived meanwhile.
        """
        with self._lock:
            return self._close_unless_readable(ConnectionEnd.IDLE)

    def evict(self) -> bool:
        """Close the connection to make room; return whether it closes.

        It stays open while it has a request, read or still unread. A part of
        a request is dropped, so that callers that send slowly are evicted too.
        """
        with self._lock:
            if self._is_lingering and self._end is None:
                self._shut_down(ConnectionEnd.EVICTED)
                return True
            if self._has_request or self._is_parsing:
                return False
            return self._close_unless_readable(ConnectionEnd.EVICTED)

    def _close_unless_readable(self, end: ConnectionEnd) -> bool:
        if self._end is not None:
            return False
        if _sockets.wait_for(self._connection, select.POLLIN, 0.0):
            return False
        self._shut_down(end)
        return True

    def _shut_down(self, end: ConnectionEnd) -> None:
        self._end = end
        # The caller may close the connection at the same time.
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
