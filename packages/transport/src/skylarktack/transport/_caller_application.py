"""WSGI application of the callers' interface."""

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.coordination import generation
from skylarktack.coordination import lookup
from skylarktack.coordination import once
from skylarktack.coordination import ports
from skylarktack.transport import _answers
from skylarktack.transport import _call_endpoints
from skylarktack.transport import _generation_endpoints
from skylarktack.transport import _routes

StartResponse = _answers.StartResponse

_LOG = structlog.get_logger(part='caller')


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

    #: Plain calls that run at most once.
    once: once.AtMostOnceRunner

    #: Event ids.
    signer: protocol.EventIdSigner


class CallerApplication:
    """Serves callers; each connection is worked on by one server thread."""

    def __init__(self, parts: CallerParts) -> None:
        self._parts = parts
        self._directory = configuration.ConfigurationIndex(parts.configuration)
        self._generations = _generation_endpoints.GenerationEndpoints(
            parts.generations,
            parts.signer,
            parts.configuration,
            parts.admission,
            parts.settings.name,
        )
        self._calls = _call_endpoints.CallEndpoints(
            parts.admission, parts.lookups, parts.once, _answers.refuse
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
        request_id = generation.create_request_id(self._parts.settings.name)
        try:
            return self._serve(environ, start_response, path, request_id)
        except Exception:
            # A fault in this program must not reach the caller as a
            # traceback; whether a target ran the request is not known.
            _LOG.exception('request failed', request_id=request_id)
            return _answers.refuse(
                start_response,
                request_id,
                state.Refusal(
                    state.RefusalCode.INTERNAL,
                    'The instance failed to serve the request.',
                    state.RunState.UNKNOWN,
                ),
            )

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        path: str,
        request_id: state.RequestId,
    ) -> Iterable[bytes]:
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
            route = _routes.find_route(
                self._parts.configuration.current().document,
                parts[3],
                state.RouteKind.SERVICE,
                organisation.ok,
            )
            if route.is_error():
                return _answers.refuse(start_response, request_id, route.error)
            return self._calls.serve(
                environ,
                start_response,
                organisation.ok,
                route.ok,
                request_id,
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
        organisation = self._directory.organisation_by_key(hashed)
        if organisation is not None:
            return Ok(organisation)
        return Error(
            _answers.not_run(
                state.RefusalCode.UNAUTHORISED, 'The key is unknown.'
            )
        )
