"""Encodings of the callers' API: JSON bodies, errors, server-sent events."""

import json

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from skylarktack import state
from skylarktack.coordination import generation
from skylarktack.protocol import _event_ids
from skylarktack.protocol import _generate_body

#: Header that carries the request identifier.
REQUEST_ID_HEADER = 'Skylarktack-Request-Id'

#: Header that carries the event id after which the stream resumes.
LAST_EVENT_ID_HEADER = 'Last-Event-ID'

#: HTTP status by the code of the refusal.
STATUS_BY_CODE = {
    state.RefusalCode.BAD_REQUEST: 400,
    state.RefusalCode.KEY_REQUIRED: 400,
    state.RefusalCode.UNAUTHORISED: 401,
    state.RefusalCode.FORBIDDEN: 403,
    state.RefusalCode.UNKNOWN_ROUTE: 404,
    state.RefusalCode.UNKNOWN_REQUEST: 404,
    state.RefusalCode.KEY_CONFLICT: 409,
    state.RefusalCode.CONFLICT: 409,
    state.RefusalCode.CANCELLED: 409,
    state.RefusalCode.DIVERGED: 409,
    state.RefusalCode.ANSWER_EXPIRED: 410,
    state.RefusalCode.BODY_TOO_LARGE: 413,
    state.RefusalCode.INVALID: 422,
    state.RefusalCode.LIMIT_REACHED: 429,
    state.RefusalCode.INTERNAL: 500,
    state.RefusalCode.TARGET_FAILED: 502,
    state.RefusalCode.OUTCOME_UNKNOWN: 502,
    state.RefusalCode.QUEUE_DEADLINE: 503,
    state.RefusalCode.NO_TARGET: 503,
    state.RefusalCode.STORE_UNAVAILABLE: 503,
    state.RefusalCode.NOT_READY: 503,
    state.RefusalCode.STOPPING: 503,
    state.RefusalCode.RETRY_BUDGET: 503,
}

#: Sent to a caller whose generation continues on another instance.
HANDOVER = state.Refusal(
    code=state.RefusalCode.STOPPING,
    message='The instance stops; resume with the last event id.',
    run=state.RunState.UNKNOWN,
    retry_after_ms=0,
)

_BODY = pydantic.TypeAdapter(_generate_body.GenerateBody)


def decode_generate_body(
    body: bytes,
) -> Result[_generate_body.GenerateBody, state.Refusal]:
    """Decode the JSON body of a generation request.

    The refusal names the first invalid field.
    """
    try:
        return Ok(_BODY.validate_json(body))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        place = '.'.join(str(item) for item in first['loc']) or 'body'
        return Error(
            state.Refusal(
                code=state.RefusalCode.BAD_REQUEST,
                message=f'{place}: {first["msg"]}.',
                run=state.RunState.NOT_RUN,
            )
        )


def encode_refusal(
    refusal: state.Refusal, request_id: state.RequestId
) -> bytes:
    """Encode a refusal as the JSON body that all errors have."""
    fields: dict[str, str | int] = {
        'code': refusal.code.value,
        'message': refusal.message,
        'run': refusal.run.value,
        'request_id': request_id,
    }
    if refusal.retry_after_ms is not None:
        fields['retry_after_ms'] = refusal.retry_after_ms
    return json.dumps({'error': fields}).encode()


def encode_answer(
    request_id: state.RequestId, text: str, end: generation.Completed
) -> bytes:
    """Encode a complete response for a caller that requested no stream."""
    return json.dumps(
        {
            'request_id': request_id,
            'text': text,
            'token_count': end.token_count,
            'reason': end.reason,
        }
    ).encode()


class CallerStreamEncoder:
    """Encodes the events of one generation as server-sent events."""

    def __init__(
        self,
        signer: _event_ids.EventIdSigner,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
    ) -> None:
        self._event_ids = signer.writer(organisation, request_id)
        self._request_id = request_id

    def encode(self, event: generation.GenerationEvent) -> bytes:
        """Return one chunk with all server-sent events of a generation event.

        A batch of tokens gives one server-sent event for each token.
        """
        if isinstance(event, generation.TokenBatch):
            return b''.join(
                [self._encode_token(token) for token in event.tokens]
            )
        if isinstance(event, generation.Idle):
            return b': keepalive\n\n'
        if isinstance(event, generation.Completed):
            data = json.dumps(
                {'token_count': event.token_count, 'reason': event.reason}
            )
            return f'event: end\ndata: {data}\n\n'.encode()
        if isinstance(event, generation.Restarted):
            return b'event: restart\ndata: {}\n\n'
        if isinstance(event, generation.HandedOver):
            error = encode_refusal(HANDOVER, self._request_id).decode()
            id_line = ''
            if event.resume is not None:
                id_line = f'id: {self.resume_id(event.resume)}\n'
            return f'{id_line}event: handover\ndata: {error}\n\n'.encode()
        error = encode_refusal(event.refusal, self._request_id).decode()
        return f'event: error\ndata: {error}\n\n'.encode()

    def event_id(self, token: generation.DeliveredToken) -> str:
        """Return the event id with which a caller resumes after the token."""
        return self._event_ids.encode(
            token.position + 1,
            token.attempt,
            token.digest,
            token.target,
            token.version,
        )

    def resume_id(self, resume: state.ResumeToken) -> str:
        """Return the event id of a resume token."""
        return self._event_ids.encode(
            resume.position,
            resume.attempt,
            resume.digest,
            resume.target,
            resume.version,
        )

    def _encode_token(self, token: generation.DeliveredToken) -> bytes:
        event_id = self.event_id(token)
        data = json.encoder.encode_basestring_ascii(token.text.decode())
        return f'id: {event_id}\ndata: {data}\n\n'.encode()
