"""Answers of the callers' interface that hold one body."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from skylarktack import protocol
from skylarktack import state

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


def not_run(code: state.RefusalCode, message: str) -> state.Refusal:
    """Return a refusal of a request that no target saw."""
    return state.Refusal(code, message, state.RunState.NOT_RUN)


def plain(
    start_response: StartResponse, status: str, body: bytes
) -> Iterable[bytes]:
    """Answer with plain text."""
    start_response(status, [('Content-Type', 'text/plain')])
    return [body]


def whole(
    start_response: StartResponse, request_id: state.RequestId, body: bytes
) -> Iterable[bytes]:
    """Answer with a JSON body."""
    start_response(
        '200 OK',
        [
            ('Content-Type', 'application/json'),
            (protocol.REQUEST_ID_HEADER, request_id),
        ],
    )
    return [body]


def refuse(
    start_response: StartResponse,
    request_id: state.RequestId,
    refusal: state.Refusal,
    last_event_id: str | None = None,
) -> Iterable[bytes]:
    """Answer with a typed error.

    :param last_event_id: where a generation can be resumed, or None.
    """
    headers = [
        ('Content-Type', 'application/json'),
        (protocol.REQUEST_ID_HEADER, request_id),
    ]
    if refusal.retry_after_ms is not None:
        seconds = max(1, round(refusal.retry_after_ms / 1000))
        headers.append(('Retry-After', str(seconds)))
    if last_event_id is not None:
        headers.append((protocol.LAST_EVENT_ID_HEADER, last_event_id))
    start_response(
        f'{protocol.STATUS_BY_CODE[refusal.code]} {refusal.code.value}',
        headers,
    )
    return [protocol.encode_refusal(refusal, request_id)]
