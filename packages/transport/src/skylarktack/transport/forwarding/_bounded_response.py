"""Parsing of HTTP responses within limits on their size.

A faulty server may send bytes without end: in the head, in a chunk header, in
trailers, as informational responses, or in the body. Every reader of
responses parses them here; the time limit is the reader's own.
"""

import dataclasses

import h11

from skylarktack.transport.forwarding import _memory
from skylarktack.transport.forwarding import _request_framing

#: Maximum size of a head, a chunk header or the trailers.
MAX_HEAD_BYTES = 32768

#: Maximum number of informational responses before a response.
MAX_INFORMATIONAL_COUNT = 16

#: Highest status of HTTP (RFC 9110, 15). ``h11`` refuses those below 100 and
#: accepts up to 999.
MAX_STATUS = 599

#: Status that h11 suggests if a head, a chunk header or trailers are too long.
_TOO_LONG_STATUS = 431

#: Size up to which a request's body is sent in one piece with its head. A
#: longer one is not copied.
JOINED_BODY_BYTES = 65536

Event = (
    h11.Response
    | h11.Data
    | h11.EndOfMessage
    | h11.ConnectionClosed
    | type[h11.NEED_DATA]
    | type[h11.PAUSED]
)


class ResponseLimitError(h11.RemoteProtocolError):
    """A response exceeds one of the limits on it."""


@dataclasses.dataclass(frozen=True)
class ResponseLimits:
    """Limits on one response."""

    #: Maximum size of the body.
    max_body_bytes: int

    #: Budget of what each buffered body has above
    #: ``EXEMPT_BODY_BYTES``.
    memory: _memory.MemoryBudget


class BoundedResponseParser:
    """Client side of one HTTP/1.1 connection.

    Bytes of the body count until ``release`` is called, or until
    ``stop_counting`` is called for a body that is passed on as it arrives.
    """

    def __init__(self, limits: ResponseLimits) -> None:
        self._limits = limits
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._is_counting = True
        self._body_bytes = 0
        self._claimed_bytes = 0
        #: Length of the body; None if it is unknown, or before the head.
        self._length_bytes: int | None = None
        self._informational_count = 0

    def encode(self, request: h11.Request, body: bytes) -> tuple[bytes, ...]:
        """Return the bytes of a request with a length, in one or two parts.

        :raises h11.LocalProtocolError: if it cannot be encoded.
        """
        head = self._connection.send(request) or b''
        if len(body) > JOINED_BODY_BYTES:
            # Unlike ``send``, this does not copy the body.
            self._connection.send_with_data_passthrough(h11.Data(data=body))
            self._connection.send(h11.EndOfMessage())
            return (head, body)
        content = b''
        if body:
            content = self._connection.send(h11.Data(data=body)) or b''
        self._connection.send(h11.EndOfMessage())
        return (head + content,)

    def receive_data(self, received: bytes) -> None:
        """Add received bytes; empty if the server closed the connection.

        :raises h11.RemoteProtocolError: if the response is incomplete.
        """
        self._connection.receive_data(received)

    def next_event(self) -> Event:
        """Return the next event, without informational responses.

        :raises h11.RemoteProtocolError: if the bytes are no response, or the
            response exceeds a limit.
        """
        while True:
            event = self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._informational_count += 1
                if self._informational_count > MAX_INFORMATIONAL_COUNT:
                    raise ResponseLimitError(
                        'too many informational responses'
                    )
                continue
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise h11.RemoteProtocolError('the status is above 599')
                if len(event.headers) > _request_framing.MAX_FIELD_COUNT:
                    raise ResponseLimitError('too many header fields')
                self._length_bytes = _content_length(event)
            if isinstance(event, h11.Data) and self._is_counting:
                self._count(len(event.data))
            return event  # type: ignore[return-value]

    def _next_event(self) -> object:
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _TOO_LONG_STATUS:
                raise ResponseLimitError(str(error)) from error
            raise

    def claim_next(self, size_bytes: int) -> int:
        """Return how many bytes may be received now, up to a size.

        0 if the rest of the body needs memory that is not free yet. It is
        claimed whole: several responses that each wait for more would hold
        what the others need.

        :raises h11.RemoteProtocolError: if the memory can never suffice.
        """
        if not self._is_counting or self._claimed_bytes:
            return size_bytes
        is_long = (self._length_bytes or 0) > _memory.EXEMPT_BODY_BYTES
        exempt_bytes = _memory.EXEMPT_BODY_BYTES - self._body_bytes
        if not is_long and exempt_bytes > 0:
            return min(size_bytes, exempt_bytes)
        length_bytes = self._limits.max_body_bytes
        if self._length_bytes is not None:
            length_bytes = min(length_bytes, self._length_bytes)
        claimed_bytes = length_bytes - _memory.EXEMPT_BODY_BYTES
        if claimed_bytes <= 0:
            return size_bytes
        memory = self._limits.memory
        if memory.exceeds_limit(claimed_bytes):
            raise ResponseLimitError('the buffers of all responses are full')
        if not memory.claim_response(claimed_bytes):
            return 0
        self._claimed_bytes = claimed_bytes
        return size_bytes

    def stop_counting(self) -> None:
        """Lift the limit on the body, which is not buffered."""
        self._is_counting = False

    def release(self) -> None:
        """Return the counted bytes to the budget; safe to call twice."""
        self._limits.memory.release(self._claimed_bytes)
        self._claimed_bytes = 0
        self._body_bytes = 0
        self._length_bytes = None

    def has_begun(self) -> bool:
        """Return whether any byte of the response has arrived."""
        return self._connection.their_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ) or bool(self._connection.trailing_data[0])

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return False if that is impossible.

        Bytes after the complete response belong to no request, so the
        connection cannot be used again.
        """
        self.release()
        self._informational_count = 0
        if (
            self._connection.our_state is not h11.DONE
            or self._connection.their_state is not h11.DONE
            or self._connection.trailing_data[0]
        ):
            return False
        self._connection.start_next_cycle()
        return True

    def _count(self, size_bytes: int) -> None:
        total_bytes = self._body_bytes + size_bytes
        if total_bytes > self._limits.max_body_bytes:
            raise ResponseLimitError('the body exceeds the size limit')
        claimed_bytes = max(0, total_bytes - _memory.EXEMPT_BODY_BYTES)
        missing_bytes = max(0, claimed_bytes - self._claimed_bytes)
        if missing_bytes and not self._limits.memory.claim_response(
            missing_bytes
        ):
            raise ResponseLimitError('the buffers of all responses are full')
        self._body_bytes = total_bytes
        self._claimed_bytes += missing_bytes


def _content_length(response: h11.Response) -> int | None:
    for name, value in response.headers:
        if name == b'content-length':
            return int(value)
    return None
