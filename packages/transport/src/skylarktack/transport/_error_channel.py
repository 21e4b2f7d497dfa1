"""Answers of the HTTP server to requests that it cannot parse."""

import socket
import time
from typing import Any
import uuid

import waitress.channel
import waitress.task

from skylarktack import protocol
from skylarktack import state
from skylarktack.transport import _lingering

_CODES = {
    413: state.RefusalCode.BODY_TOO_LARGE,
    500: state.RefusalCode.INTERNAL,
}


class TypedErrorTask(waitress.task.ErrorTask):
    """Answers a malformed or too large request in the typed JSON form."""

    def execute(self) -> None:
        """Send the error and close the connection."""
        request: Any = self.request
        error = request.error
        refusal = state.Refusal(
            _CODES.get(error.code, state.RefusalCode.BAD_REQUEST),
            f'{error.reason}.',
            # The application has not seen the request.
            state.RunState.NOT_RUN,
        )
        request_id = state.RequestId(f'r-{uuid.uuid4().hex}')
        body = protocol.encode_refusal(refusal, request_id)
        self.status = f'{error.code} {error.reason}'
        self.response_headers = [
            ('Content-Type', 'application/json'),
            (protocol.REQUEST_ID_HEADER, request_id),
        ]
        self.set_close_on_finish()
        channel: Any = self.channel
        channel.has_refused = True
        self.content_length = len(body)
        self.write(body)


class TypedErrorChannel(waitress.channel.HTTPChannel):
    """A connection whose errors have the typed JSON form.

    After an error it reads on for a while, until its caller has read it.
    """

    error_task_class = TypedErrorTask

    #: Whether an error was answered, after which the connection closes.
    has_refused = False

    _linger: _lingering.Lingering | None = None

    def readable(self) -> bool:
        """Return whether to wait for received bytes."""
        return self._linger is not None or super().readable()

    def writable(self) -> bool:
        """Return whether to call ``handle_write``."""
        if self._linger is None:
            return bool(super().writable())
        return self._linger.remaining_s(time.monotonic()) <= 0

    def handle_write(self) -> None:
        """Send what is due, or close the connection."""
        if self._linger is None:
            super().handle_write()
            return
        super().handle_close()

    def handle_read(self) -> None:
        """Read a part of a request, or drop it after an error."""
        if self._linger is None:
            super().handle_read()
            return
        # Closes the connection at its end.
        received = self.recv(self.adj.recv_bytes)
        self._linger.record_received(len(received), time.monotonic())

    def handle_close(self) -> None:
        """Close the connection; after an error, only its sending side."""
        if self._linger is None and self.has_refused:
            connected: Any = self.socket
            try:
                connected.shutdown(socket.SHUT_WR)
            except OSError:
                # The caller has closed it already.
                super().handle_close()
                return
            self._linger = _lingering.Lingering(time.monotonic())
            return
        super().handle_close()
