"""Answers of the HTTP server to requests that it cannot parse."""

from typing import Any
import uuid

import waitress.channel
import waitress.task

from skylarktack import protocol
from skylarktack import state

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
        self.content_length = len(body)
        self.write(body)


class TypedErrorChannel(waitress.channel.HTTPChannel):
    """A connection whose errors have the typed JSON form."""

    error_task_class = TypedErrorTask
