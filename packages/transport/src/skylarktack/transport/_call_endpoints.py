"""Callers' endpoint of plain calls: ``/v1/call/<route>/<path>``."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import lookup
from skylarktack.coordination import once
from skylarktack.coordination import ports

_PASSED_HEADERS = ('CONTENT_TYPE', 'HTTP_ACCEPT', 'HTTP_ACCEPT_LANGUAGE')

#: Sends a refusal in the typed JSON form.
Refuse = Callable[[Any, state.RequestId, state.Refusal], Iterable[bytes]]


class CallEndpoints:
    """Serves plain calls of authenticated callers."""

    def __init__(
        self,
        admission: ports.Admission,
        lookups: lookup.LookupRunner,
        once_calls: once.AtMostOnceRunner,
        refuse: Refuse,
    ) -> None:
        self._admission = admission
        self._lookups = lookups
        self._once = once_calls
        self._refuse = refuse

    def serve(
        self,
        environ: dict[str, Any],
        start_response: Any,
        organisation: state.Organisation,
        route: state.Route,
        request_id: state.RequestId,
    ) -> Iterable[bytes]:
        """Pass one call to a target of its route."""
        call = _decode_call(environ, organisation, route, request_id)
        permit = self._admission.admit(organisation, route)
        if permit.is_error():
            return self._refuse(start_response, request_id, permit.error)
        try:
            answered = self._run(call)
        finally:
            permit.ok.release()
        if answered.is_error():
            return self._refuse(start_response, request_id, answered.error)
        answer = answered.ok
        start_response(
            f'{answer.status} Answer',
            [*answer.headers, (protocol.REQUEST_ID_HEADER, request_id)],
        )
        return [answer.body]

    def _run(
        self, call: state.ServiceCall
    ) -> Result[state.ServiceResponse, state.Refusal]:
        if call.route.repeatable:
            return self._lookups.run(call)
        return self._once.run(call)


def _decode_call(
    environ: dict[str, Any],
    organisation: state.Organisation,
    route: state.Route,
    request_id: state.RequestId,
) -> state.ServiceCall:
    parts = environ['PATH_INFO'].split('/', 4)
    path = '/' + (parts[4] if len(parts) > 4 else '')
    if environ.get('QUERY_STRING'):
        path += '?' + environ['QUERY_STRING']
    return state.ServiceCall(
        request_id=request_id,
        organisation=organisation.name,
        route=route,
        method=environ['REQUEST_METHOD'],
        path=path,
        headers=_passed_headers(environ),
        body=environ['wsgi.input'].read(),
        idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY'),
    )


def _passed_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    found: list[tuple[str, str]] = []
    for name in _PASSED_HEADERS:
        value = environ.get(name)
        if not value:
            continue
        shown = name.removeprefix('HTTP_').replace('_', '-').title()
        found.append((shown, value))
    return tuple(found)
