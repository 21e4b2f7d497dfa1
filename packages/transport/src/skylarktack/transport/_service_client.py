"""Calls to plain services over HTTP."""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.transport import _http_client

#: Header in which a target gives the status of an earlier call's answer.
OUTCOME_STATUS_HEADER = 'Outcome-Status'

_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        protocol.REQUEST_ID_HEADER.lower(),
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


class HttpServiceClient:
    """Calls to plain services; each call opens its own connection."""

    def call(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Send the call exactly once; nothing below sends it again."""
        headers = call_headers(call)
        answered = _http_client.http_call(
            target.address,
            call.method,
            call.path,
            call.body or None,
            headers,
            timeout_s,
        )
        if answered.is_error():
            return Error(dispatch_fault(answered.error))
        return Ok(service_answer(answered.ok))

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceResponse | None, state.DispatchFault]:
        """Ask whether a key was executed; None if it was not."""
        answered = _http_client.http_call(
            target.address,
            'GET',
            '/outcome',
            None,
            {'Idempotency-Key': idempotency_key},
            timeout_s,
        )
        if answered.is_error():
            return Error(dispatch_fault(answered.error))
        if answered.ok.status == 404:
            return Ok(None)
        if answered.ok.status == 200:
            return Ok(_recorded_answer(answered.ok))
        return Error(
            state.DispatchFault(
                state.RunState.UNKNOWN,
                f'The target answered with status {answered.ok.status}.',
            )
        )


def call_headers(call: state.ServiceCall) -> dict[str, str]:
    """Return the headers that a target gets."""
    headers = dict(call.headers)
    headers[protocol.REQUEST_ID_HEADER] = call.request_id
    if call.idempotency_key is not None:
        headers['Idempotency-Key'] = call.idempotency_key
    return headers


def _recorded_answer(answer: _http_client.HttpAnswer) -> state.ServiceResponse:
    kept = service_answer(answer)
    status = answer.header(OUTCOME_STATUS_HEADER)
    if status is None or not status.isdecimal():
        return kept
    return dataclasses.replace(kept, status=int(status))


def service_answer(answer: _http_client.HttpAnswer) -> state.ServiceResponse:
    """Return an answer without the headers of its connection.

    The name of the request is set again for the caller.
    """
    kept: list[tuple[str, str]] = []
    for name, value in answer.headers:
        if name.lower() in _HOP_HEADERS:
            continue
        kept.append((name, value))
    return state.ServiceResponse(answer.status, tuple(kept), answer.body)


def dispatch_fault(fault: _http_client.HttpFault) -> state.DispatchFault:
    """Return a fault with what it says about the run."""
    run = state.RunState.UNKNOWN if fault.sent else state.RunState.NOT_RUN
    return state.DispatchFault(run, fault.message, fault.timed_out)
