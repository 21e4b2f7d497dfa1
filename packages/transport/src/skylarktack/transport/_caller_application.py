"""WSGI application of the callers' interface."""

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import generation
from skylarktack.coordination import lookup
from skylarktack.coordination import ports
from skylarktack.transport import _answers
from skylarktack.transport import _generation_endpoints
from skylarktack.transport import _routes

StartResponse = _answers.StartResponse

_PASSED_HEADERS = ('CONTENT_TYPE', 'HTTP_ACCEPT', 'HTTP_ACCEPT_LANGUAGE')


@dataclasses.dataclass(frozen=True)
class CallerParts:
    """Everything that the callers' interface needs."""

    #: Settings of the instance.
    settings: state.InstanceSettings

    #: The configuration in effect.
    configuration: ports.ConfigurationSource

    #: Whether the instance can serve.
    readiness: ports.Readiness

    #: Limits and queues.
    admission: ports.Admission

    #: Generations.
    generations: generation.GenerationService

    #: Repeatable plain calls.
    lookups: lookup.LookupRunner

    #: Event ids.
    signer: protocol.EventIdSigner


class CallerApplication:
    """Serves callers; each connection is worked on by one server thread."""

    def __init__(self, parts: CallerParts) -> None:
        self._parts = parts
        self._generations = _generation_endpoints.GenerationEndpoints(
            parts.generations,
            parts.signer,
            parts.configuration,
            parts.admission,
            parts.settings.name,
        )

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path == '/healthz':
            return _answers.plain(start_response, '200 OK', b'ok\n')
        if path == '/readyz':
            if self._parts.readiness.is_ready():
                return _answers.plain(start_response, '200 OK', b'ready\n')
            return _answers.plain(
                start_response, '503 Service Unavailable', b'not ready\n'
            )
        request_id = generation.mint_request_id(self._parts.settings.name)
        organisation = self._authenticate(environ)
        if organisation.is_error():
            return _answers.refuse(
                start_response, request_id, organisation.error
            )
        parts = path.split('/', 4)
        if path.startswith('/v1/generate/') and len(parts) == 4:
            return self._generations.generate(
                environ, start_response, organisation.ok
            )
        if path.startswith('/v1/generations/') and len(parts) == 4:
            return self._generations.existing(
                environ, start_response, organisation.ok
            )
        if path.startswith('/v1/call/') and len(parts) >= 4:
            return self._call(
                environ, start_response, organisation.ok, request_id
            )
        return _answers.refuse(
            start_response,
            request_id,
            _answers.not_run(state.RefusalCode.UNKNOWN_ROUTE, 'No such path.'),
        )

    def _authenticate(
        self, environ: dict[str, Any]
    ) -> Result[state.Organisation, state.Refusal]:
        scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
        if scheme.lower() != 'bearer' or not key:
            return Error(
                _answers.not_run(
                    state.RefusalCode.UNAUTHORISED, 'A key is required.'
                )
            )
        hashed = hashlib.sha256(key.strip().encode()).hexdigest()
        document = self._parts.configuration.current().document
        for organisation in document.organisations:
            if hashed in organisation.key_sha256:
                return Ok(organisation)
        return Error(
            _answers.not_run(
                state.RefusalCode.UNAUTHORISED, 'The key is unknown.'
            )
        )

    def _call(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        organisation: state.Organisation,
        request_id: state.RequestId,
    ) -> Iterable[bytes]:
        parts = environ['PATH_INFO'].split('/', 4)
        route = _routes.find_route(
            self._parts.configuration.current().document,
            parts[3],
            state.RouteKind.SERVICE,
            organisation,
        )
        if route.is_error():
            return _answers.refuse(start_response, request_id, route.error)
        path = '/' + (parts[4] if len(parts) > 4 else '')
        if environ.get('QUERY_STRING'):
            path += '?' + environ['QUERY_STRING']
        call = state.PlainCall(
            request_id=request_id,
            organisation=organisation.name,
            route=route.ok,
            method=environ['REQUEST_METHOD'],
            path=path,
            headers=_passed_headers(environ),
            body=environ['wsgi.input'].read(),
            idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY'),
        )
        permit = self._parts.admission.admit(organisation, route.ok)
        if permit.is_error():
            return _answers.refuse(start_response, request_id, permit.error)
        try:
            answered = self._parts.lookups.run(call)
        finally:
            permit.ok.release()
        if answered.is_error():
            return _answers.refuse(start_response, request_id, answered.error)
        answer = answered.ok
        start_response(
            f'{answer.status} Answer',
            [*answer.headers, (protocol.REQUEST_ID_HEADER, request_id)],
        )
        return [answer.body]


def _passed_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    found: list[tuple[str, str]] = []
    for name in _PASSED_HEADERS:
        value = environ.get(name)
        if not value:
            continue
        shown = name.removeprefix('HTTP_').replace('_', '-').title()
        found.append((shown, value))
    return tuple(found)
