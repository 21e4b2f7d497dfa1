"""WSGI application of the callers' interface."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import hashlib
import re
from typing import Any
import uuid

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import generation
from skylarktack.coordination import lookup
from skylarktack.coordination import once
from skylarktack.coordination import ports
from skylarktack.transport import _call_endpoints

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_LOG = structlog.get_logger(part='caller')
_REQUEST_ID = re.compile(r'[A-Za-z0-9_-]{8,80}')


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
    generations: generation.GenerationRunner

    #: Repeatable plain calls.
    lookups: lookup.LookupRunner

    #: Plain calls that may not be repeated.
    once: once.OnceRunner

    #: Event ids.
    signer: protocol.EventIdSigner


class CallerApplication:
    """Serves callers; each connection is worked on by one server thread."""

    def __init__(self, parts: CallerParts) -> None:
        self._parts = parts
        self._calls = _call_endpoints.CallEndpoints(
            parts.admission, parts.lookups, parts.once, _refuse
        )

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path == '/healthz':
            return _plain(start_response, '200 OK', b'ok\n')
        if path == '/readyz':
            if self._parts.readiness.is_ready():
                return _plain(start_response, '200 OK', b'ready\n')
            return _plain(
                start_response, '503 Service Unavailable', b'not ready\n'
            )
        request_id = state.RequestId(f'r-{uuid.uuid4().hex}')
        organisation = self._authenticate(environ)
        if organisation.is_error():
            return _refuse(start_response, request_id, organisation.error)
        parts = path.split('/', 4)
        if path.startswith('/v1/generate/') and len(parts) == 4:
            return self._generate(
                environ, start_response, organisation.ok, request_id
            )
        if path.startswith('/v1/call/') and len(parts) >= 4:
            route = self._route(
                parts[3], state.RouteKind.SERVICE, organisation.ok
            )
            if route.is_error():
                return _refuse(start_response, request_id, route.error)
            return self._calls.serve(
                environ,
                start_response,
                organisation.ok,
                route.ok,
                request_id,
            )
        return _refuse(
            start_response,
            request_id,
            _not_run(state.RefusalCode.UNKNOWN_ROUTE, 'No such path.'),
        )

    def _authenticate(
        self, environ: dict[str, Any]
    ) -> Result[state.Organisation, state.Refusal]:
        scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
        if scheme.lower() != 'bearer' or not key:
            return Error(
                _not_run(state.RefusalCode.UNAUTHORISED, 'A key is required.')
            )
        hashed = hashlib.sha256(key.strip().encode()).hexdigest()
        document = self._parts.configuration.current().document
        for organisation in document.organisations:
            if hashed in organisation.key_sha256:
                return Ok(organisation)
        return Error(
            _not_run(state.RefusalCode.UNAUTHORISED, 'The key is unknown.')
        )

    def _route(
        self,
        name: str,
        kind: state.RouteKind,
        organisation: state.Organisation,
    ) -> Result[state.Route, state.Refusal]:
        document = self._parts.configuration.current().document
        for route in document.routes:
            if route.name != name or route.kind is not kind:
                continue
            allowed = route.organisations
            if allowed and organisation.name not in allowed:
                return Error(
                    _not_run(
                        state.RefusalCode.FORBIDDEN,
                        'The organisation may not use this route.',
                    )
                )
            return Ok(route)
        return Error(
            _not_run(state.RefusalCode.UNKNOWN_ROUTE, 'No such route.')
        )

    def _generate(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        organisation: state.Organisation,
        request_id: state.RequestId,
    ) -> Iterable[bytes]:
        route = self._route(
            environ['PATH_INFO'].split('/')[3],
            state.RouteKind.GENERATION,
            organisation,
        )
        if route.is_error():
            return _refuse(start_response, request_id, route.error)
        body = protocol.decode_generate_body(environ['wsgi.input'].read())
        if body.is_error():
            return _refuse(start_response, request_id, body.error)
        if body.ok.request_id is not None:
            if _REQUEST_ID.fullmatch(body.ok.request_id) is None:
                return _refuse(
                    start_response,
                    request_id,
                    _not_run(
                        state.RefusalCode.BAD_REQUEST,
                        'request_id: 8 to 80 letters, digits, _ or -.',
                    ),
                )
            request_id = state.RequestId(body.ok.request_id)
        request = state.GenerationRequest(
            request_id=request_id,
            organisation=organisation.name,
            route=route.ok,
            prompt=body.ok.prompt,
            max_tokens_count=body.ok.max_tokens,
            priority=organisation.priority,
            delivered_tokens=body.ok.delivered,
            accepts_restart=body.ok.restart,
        )
        permit = self._parts.admission.admit(organisation, route.ok)
        if permit.is_error():
            return _refuse(start_response, request_id, permit.error)
        _LOG.info('generation started', request_id=request_id)
        if body.ok.stream:
            start_response(
                '200 OK',
                [
                    ('Content-Type', 'text/event-stream'),
                    ('Cache-Control', 'no-store'),
                    (protocol.REQUEST_ID_HEADER, request_id),
                ],
            )
            return self._stream(request, permit.ok)
        return self._whole(request, permit.ok, start_response)

    def _stream(
        self, request: state.GenerationRequest, permit: ports.Permit
    ) -> Iterator[bytes]:
        encoder = protocol.CallerStreamEncoder(
            self._parts.signer, request.request_id
        )
        try:
            for step in self._parts.generations.run(request):
                yield encoder.encode(step)
        finally:
            permit.release()

    def _whole(
        self,
        request: state.GenerationRequest,
        permit: ports.Permit,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        text = bytearray()
        try:
            for step in self._parts.generations.run(request):
                if isinstance(step, generation.Delivery):
                    for token in step.tokens:
                        text += token.text
                    continue
                if isinstance(step, generation.Failed):
                    return _refuse(
                        start_response, request.request_id, step.refusal
                    )
                return _json(
                    start_response,
                    request.request_id,
                    protocol.encode_answer(
                        request.request_id, text.decode(), step
                    ),
                )
        finally:
            permit.release()
        return []


def _not_run(code: state.RefusalCode, message: str) -> state.Refusal:
    return state.Refusal(code, message, state.RunState.NOT_RUN)


def _plain(
    start_response: StartResponse, status: str, body: bytes
) -> Iterable[bytes]:
    start_response(status, [('Content-Type', 'text/plain')])
    return [body]


def _json(
    start_response: StartResponse, request_id: state.RequestId, body: bytes
) -> Iterable[bytes]:
    start_response(
        '200 OK',
        [
            ('Content-Type', 'application/json'),
            (protocol.REQUEST_ID_HEADER, request_id),
        ],
    )
    return [body]


def _refuse(
    start_response: StartResponse,
    request_id: state.RequestId,
    refusal: state.Refusal,
) -> Iterable[bytes]:
    headers = [
        ('Content-Type', 'application/json'),
        (protocol.REQUEST_ID_HEADER, request_id),
    ]
    if refusal.retry_after_ms is not None:
        seconds = max(1, round(refusal.retry_after_ms / 1000))
        headers.append(('Retry-After', str(seconds)))
    start_response(
        f'{protocol.STATUS_BY_CODE[refusal.code]} {refusal.code.value}',
        headers,
    )
    return [protocol.encode_refusal(refusal, request_id)]
