"""Accepts connections and starts one task for each."""

import collections
from concurrent import futures
import contextlib
import dataclasses
import math
import operator
import select
import socket
import threading
import time

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _connection_phase
from skylarktack.transport.forwarding import _front_connection
from skylarktack.transport.forwarding import _front_handler
from skylarktack.transport.forwarding import _listening
from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _sockets

#: Pause after a failed accept, for example without free file descriptors.
ACCEPT_RETRY_S = 0.05

#: Maximum wait for a connection to end before the listener looks again for
#: one that can be evicted for a new one.
ROOM_CHECK_S = 0.05

#: Maximum time for the end of an evicted connection, after which another one
#: is evicted.
EVICTION_WAIT_S = 1.0

#: Maximum wait of a close for connections that are not accepted yet, and the
#: interval at which it checks.
MAX_ACCEPT_WAIT_S = 0.2
ACCEPT_CHECK_INTERVAL_S = 0.002


@dataclasses.dataclass(frozen=True)
class ListenerLimits:
    """Limits on what all connections of a listener take together."""

    #: Maximum number of open connections. Above it, the one that has waited
    #: longest for a request is evicted for a new one.
    max_open_count: int

    #: Budget of the bodies of requests.
    memory: _memory.MemoryBudget

    #: Records the limits that are reached.
    bounds: forwarding.BoundRecorder


class Listener:
    """Accepts connections on one address and tracks those that are open."""

    def __init__(
        self,
        endpoint: data.Address,
        handler: _front_handler.FrontHandler,
        codec: forwarding.MessageCodec,
        tasks: futures.Executor,
        errors: forwarding.ErrorRecorder,
        limits: ListenerLimits,
        opened: socket.socket | None = None,
    ) -> None:
        """Listen at an address.

        :param opened: socket that listens there already, or None.
        """
        self._socket = opened or _listening.listen(
            endpoint.host, endpoint.port
        )
        #: Names the listener in log lines, also once its socket is closed.
        self._bound_to = str(self.endpoint)
        self._handler = handler
        self._codec = codec
        self._tasks = tasks
        self._errors = errors
        self._limits = limits
        self._lock = threading.Lock()
        self._has_ended = threading.Condition(self._lock)
        self._open: set[_front_connection.FrontConnection] = set()
        self._end_counts: collections.Counter[
            _connection_phase.ConnectionEnd
        ] = collections.Counter()
        self._is_closed = False

    @property
    def endpoint(self) -> data.Address:
        """Return the bound address, with the port that was assigned."""
        host, port = self._socket.getsockname()
        return data.Address(host, port)

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        while not self._is_closed:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                if self._is_closed:
                    return
                # The caller disconnected before it was accepted, or the
                # process is temporarily out of file descriptors.
                time.sleep(ACCEPT_RETRY_S)
                continue
            self._make_room()
            connection = _front_connection.FrontConnection(
                accepted,
                self._handler,
                self._codec,
                self._limits.memory,
                self._limits.bounds,
            )
            with self._lock:
                self._open.add(connection)
            self._start(connection)

    def open_count(self) -> int:
        """Return the number of open connections."""
        with self._lock:
            return len(self._open)

    def end_counts(self) -> dict[_connection_phase.ConnectionEnd, int]:
        """Return the number of connections that have ended, by cause."""
        with self._lock:
            return dict(self._end_counts)

    def has_waiting(self) -> bool:
        """Return whether connections wait to be accepted."""
        return bool(_sockets.wait_for(self._socket, select.POLLIN, 0.0))

    def close_idle(self) -> None:
        """Close connections that have waited for a request for a while."""
        with self._lock:
            connections = tuple(self._open)
        for connection in connections:
            connection.close_if_idle()

    def close(self) -> None:
        """Stop accepting; open connections are not affected.

        Connections that wait to be accepted are accepted first: closing the
        socket would reset them, with their requests.
        """
        end_s = time.monotonic() + MAX_ACCEPT_WAIT_S
        while time.monotonic() < end_s and self.has_waiting():
            time.sleep(ACCEPT_CHECK_INTERVAL_S)
        self._is_closed = True
        # shutdown() fails if the socket has never accepted a connection.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _start(self, connection: _front_connection.FrontConnection) -> None:
        try:
            self._tasks.submit(self._serve, connection)
        except RuntimeError as error:
            # The system has no more threads. The connection stays queued for
            # the next thread that is free.
            self._errors.record('start of a connection', error)
            self._free_thread(connection)

    def _free_thread(self, queued: _front_connection.FrontConnection) -> None:
        """Block the accepting task until the thread of a connection is free.

        None may be idle at first, so eviction is repeated.
        """
        with self._lock:
            ended_count = self._end_counts.total()
        while not self._is_closed:
            with self._lock:
                connections = tuple(self._open - {queued})
                if not connections or self._end_counts.total() > ended_count:
                    return
            _evict_longest_waiting(connections)
            with self._has_ended:
                if self._end_counts.total() == ended_count:
                    self._has_ended.wait(ROOM_CHECK_S)

    def _make_room(self) -> None:
        """Wait until one more connection may be open."""
        if self.open_count() >= self._limits.max_open_count:
            self._limits.bounds.record(
                forwarding.Bound.CONNECTIONS,
                detail=f'{self._limits.max_open_count} at {self._bound_to}',
            )
        eviction_ends_at_s = -math.inf
        while not self._is_closed:
            with self._lock:
                if len(self._open) < self._limits.max_open_count:
                    return
                connections = tuple(self._open)
            # The task of an evicted connection may need a while to end.
            now_s = time.monotonic()
            if now_s >= eviction_ends_at_s and _evict_longest_waiting(
                connections
            ):
                eviction_ends_at_s = now_s + EVICTION_WAIT_S
            with self._has_ended:
                if len(self._open) >= self._limits.max_open_count:
                    self._has_ended.wait(ROOM_CHECK_S)

    def _serve(self, connection: _front_connection.FrontConnection) -> None:
        end = _connection_phase.ConnectionEnd.UNEXPECTED
        try:
            end = connection.run()
        except Exception as error:
            self._errors.record('connection', error)
        finally:
            with self._lock:
                self._end_counts[end] += 1
                self._open.discard(connection)
                self._has_ended.notify_all()


def _evict_longest_waiting(
    connections: tuple[_front_connection.FrontConnection, ...],
) -> bool:
    """Evict one connection: of a refused caller, or the longest idle one.

    :return: whether there was one.
    """
    waiting: list[tuple[bool, float, _front_connection.FrontConnection]] = []
    for connection in connections:
        since_s = connection.waiting_since_s
        if since_s is not None:
            waiting.append((not connection.is_lingering, since_s, connection))
    waiting.sort(key=operator.itemgetter(0, 1))
    for _, _, connection in waiting:
        if connection.evict():
            return True
    return False
