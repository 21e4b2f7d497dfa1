"""Calls to plain services over HTTP."""

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.transport import _http_client

_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


class HttpServiceClient:
    """Calls to plain services; each call opens its own connection."""

    def call(
        self, target: state.Target, call: state.PlainCall, timeout_s: float
    ) -> Result[state.ServiceAnswer, state.DispatchFault]:
        """Send the call exactly once; nothing below sends it again."""
        headers = dict(call.headers)
        headers['Skylarktack-Request-Id'] = call.request_id
        if call.idempotency_key is not None:
            headers['Idempotency-Key'] = call.idempotency_key
        answered = _http_client.http_call(
            target.address,
            call.method,
            call.path,
            call.body or None,
            headers,
            timeout_s,
        )
        if answered.is_error():
            return Error(_dispatch_fault(answered.error))
        return Ok(_service_answer(answered.ok))

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceAnswer | None, state.DispatchFault]:
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
            return Error(_dispatch_fault(answered.error))
        if answered.ok.status == 404:
            return Ok(None)
        if answered.ok.status == 200:
            return Ok(_service_answer(answered.ok))
        return Error(
            state.DispatchFault(
                state.RunState.UNKNOWN,
                f'The target answered with status {answered.ok.status}.',
            )
        )


def _service_answer(answer: _http_client.HttpAnswer) -> state.ServiceAnswer:
    kept: list[tuple[str, str]] = []
    for name, value in answer.headers:
        if name.lower() in _HOP_HEADERS:
            continue
        kept.append((name, value))
    return state.ServiceAnswer(answer.status, tuple(kept), answer.body)


def _dispatch_fault(fault: _http_client.HttpFault) -> state.DispatchFault:
    run = state.RunState.UNKNOWN if fault.sent else state.RunState.NOT_RUN
    return state.DispatchFault(run, fault.message, fault.timed_out)
