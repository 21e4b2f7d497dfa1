"""Repeatable calls to services on connections that are kept open.

Only calls that may be repeated use kept connections: a target may close one
at the moment a request is sent on it, and whether that request was run is
then unknown.

A target may also send a second copy of a response late, when the connection
is in use again. So a connection is kept only if the target names the request
in its responses, and a response that names another request is a fault.
"""

import collections
import http.client
import select
import threading

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.transport import _bounded_socket
from skylarktack.transport import _http_client
from skylarktack.transport import _service_client

#: Most idle connections kept to one target.
IDLE_LIMIT_COUNT = 16

#: Longest wait for a new connection. Loopback and a failure domain's network
#: answer within a few milliseconds.
_CONNECT_LIMIT_S = 0.5

_Idle = collections.deque[_bounded_socket.BoundedConnection]


class _PendingHttpCall:
    """A request on the wire."""

    def __init__(
        self,
        client: 'HttpLookupClient',
        address: state.Address,
        connection: _bounded_socket.BoundedConnection,
        request_id: state.RequestId,
        is_reused: bool,
    ) -> None:
        self._client = client
        self._address = address
        self._request_id = request_id
        self._is_reused = is_reused
        self.connection = connection

    def receive(
        self, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Read the answer and give the connection back."""
        connection = self.connection
        try:
            connection.start_response(timeout_s)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return Error(_fault(error, sent=True))
        named_id = response.getheader(protocol.REQUEST_ID_HEADER)
        is_named = named_id == self._request_id
        if not is_named and (self._is_reused or named_id is not None):
            connection.close()
            return Error(
                state.DispatchFault(
                    state.RunState.UNKNOWN,
                    'The response does not name the request.',
                )
            )
        if response.will_close or not is_named:
            connection.close()
        else:
            self._client.keep(self._address, connection)
        return Ok(
            _service_client.service_answer(
                _http_client.HttpAnswer(
                    response.status, tuple(response.getheaders()), body
                )
            )
        )

    def close(self) -> None:
        """Give the call up and close its connection."""
        self.connection.close()


class HttpLookupClient:
    """Owner of the kept connections."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[state.Address, _Idle] = {}

    def send(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[ports.PendingCall, state.DispatchFault]:
        """Send a call without waiting for its answer."""
        connection = self._take(target.address)
        is_reused = connection is not None
        if connection is None:
            connection = _bounded_socket.BoundedConnection(
                target.address.host,
                target.address.port,
                timeout=min(timeout_s, _CONNECT_LIMIT_S),
            )
            try:
                connection.connect()
            except OSError as error:
                connection.close()
                return Error(_fault(error, sent=False))
        try:
            connection.request(
                call.method,
                call.path,
                call.body or None,
                _service_client.call_headers(call),
            )
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return Error(_fault(error, sent=True))
        return Ok(
            _PendingHttpCall(
                self, target.address, connection, call.request_id, is_reused
            )
        )

    def first_ready(
        self, pending: tuple[ports.PendingCall, ...], timeout_s: float
    ) -> ports.PendingCall | None:
        """Wait until one call has something to read; None if none has."""
        poll = select.poll()
        by_number: dict[int, _PendingHttpCall] = {}
        for call in pending:
            assert isinstance(call, _PendingHttpCall)
            number = call.connection.sock.fileno()
            by_number[number] = call
            poll.register(number, select.POLLIN)
        for number, _ in poll.poll(timeout_s * 1000):
            return by_number[number]
        return None

    def keep(
        self,
        address: state.Address,
        connection: _bounded_socket.BoundedConnection,
    ) -> None:
        """Keep a connection whose answer was read."""
        with self._lock:
            idle = self._idle.setdefault(address, collections.deque())
            if len(idle) < IDLE_LIMIT_COUNT:
                idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        with self._lock:
            kept, self._idle = self._idle, {}
        for idle in kept.values():
            for connection in idle:
                connection.close()

    def _take(
        self, address: state.Address
    ) -> _bounded_socket.BoundedConnection | None:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                # The last one used is the least likely to be closed.
                connection = idle.pop()
            if _is_quiet(connection):
                return connection
            connection.close()


def _is_quiet(connection: _bounded_socket.BoundedConnection) -> bool:
    """Return whether the other end has neither closed nor sent anything."""
    if connection.sock is None:
        return False
    poll = select.poll()
    poll.register(connection.sock.fileno(), select.POLLIN)
    return not poll.poll(0)


def _fault(error: Exception, sent: bool) -> state.DispatchFault:
    run = state.RunState.UNKNOWN if sent else state.RunState.NOT_RUN
    return state.DispatchFault(
        run, repr(error), isinstance(error, TimeoutError)
    )
