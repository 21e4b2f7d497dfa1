"""Callers' endpoints of generations."""

from collections.abc import Iterable
from collections.abc import Iterator
import re
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import generation
from skylarktack.coordination import ports
from skylarktack.transport import _answers
from skylarktack.transport import _routes

_LOG = structlog.get_logger(part='caller')
_REQUEST_ID = re.compile(r'[A-Za-z0-9_-]{8,80}')


class GenerationEndpoints:
    """Decodes requests for generations and encodes their steps."""

    def __init__(
        self,
        service: generation.GenerationService,
        signer: protocol.EventIdSigner,
        configuration: ports.ConfigurationSource,
        admission: ports.Admission,
        instance: state.InstanceName,
    ) -> None:
        self._service = service
        self._signer = signer
        self._configuration = configuration
        self._admission = admission
        self._instance = instance

    def generate(
        self,
        environ: dict[str, Any],
        start_response: _answers.StartResponse,
        organisation: state.Organisation,
    ) -> Iterable[bytes]:
        """Serve ``POST /v1/generate/<route>``."""
        minted = generation.create_request_id(self._instance)
        body = protocol.decode_generate_body(environ['wsgi.input'].read())
        if body.is_error():
            return _answers.refuse(start_response, minted, body.error)
        request_id = state.RequestId(body.ok.request_id or minted)
        decoded = self._request(environ, organisation, request_id, body.ok)
        if decoded.is_error():
            return _answers.refuse(start_response, minted, decoded.error)
        request = decoded.ok
        permit = self._admission.admit(organisation, request.route)
        if permit.is_error():
            return _answers.refuse(start_response, request_id, permit.error)
        opened = self._service.open(request, not body.ok.stream)
        if opened.is_error():
            permit.ok.release()
            return _answers.refuse(start_response, request_id, opened.error)
        _LOG.info('generation started', request_id=request_id)
        caller = _Caller(self._service, opened.ok, permit.ok, environ)
        return self._answer(
            caller, start_response, organisation, request_id, body.ok.stream
        )

    def existing(
        self,
        environ: dict[str, Any],
        start_response: _answers.StartResponse,
        organisation: state.Organisation,
    ) -> Iterable[bytes]:
        """Serve ``GET`` and ``DELETE /v1/generations/<request id>``."""
        request_id = state.RequestId(environ['PATH_INFO'].split('/')[3])
        if _REQUEST_ID.fullmatch(request_id) is None:
            minted = generation.create_request_id(self._instance)
            return _answers.refuse(start_response, minted, _BAD_REQUEST_ID)
        resume = self._resume_token(environ, organisation, request_id)
        if resume.is_error():
            return _answers.refuse(start_response, request_id, resume.error)
        if environ['REQUEST_METHOD'] == 'DELETE':
            cancelled = self._service.cancel(
                organisation.name, request_id, resume.ok
            )
            if cancelled.is_error():
                return _answers.refuse(
                    start_response, request_id, cancelled.error
                )
            return _answers.whole(start_response, request_id, b'{}')
        streamed = 'stream=false' not in environ.get('QUERY_STRING', '')
        document = self._configuration.current().document
        opened = self._service.fetch(
            organisation.name,
            request_id,
            resume.ok,
            lambda name, version: _routes.find_generation_route(
                document, name, version, organisation
            ),
            not streamed,
        )
        if opened.is_error():
            return _answers.refuse(start_response, request_id, opened.error)
        caller = _Caller(self._service, opened.ok, None, environ)
        return self._answer(
            caller, start_response, organisation, request_id, streamed
        )

    def _request(
        self,
        environ: dict[str, Any],
        organisation: state.Organisation,
        request_id: state.RequestId,
        body: protocol.GenerateBody,
    ) -> Result[state.GenerationRequest, state.Refusal]:
        route = _routes.find_route(
            self._configuration.current().document,
            environ['PATH_INFO'].split('/')[3],
            state.RouteKind.GENERATION,
            organisation,
        )
        if route.is_error():
            return Error(route.error)
        if _REQUEST_ID.fullmatch(request_id) is None:
            return Error(_BAD_REQUEST_ID)
        resume = self._resume_token(environ, organisation, request_id)
        if resume.is_error():
            return Error(resume.error)
        if body.delivered and resume.ok is None:
            return Error(
                _answers.not_run(
                    state.RefusalCode.BAD_REQUEST,
                    'delivered: needs the header Last-Event-ID.',
                )
            )
        return Ok(
            state.GenerationRequest(
                request_id=request_id,
                organisation=organisation.name,
                route=route.ok,
                prompt=body.prompt,
                max_tokens_count=body.max_tokens,
                priority=organisation.priority,
                resume=resume.ok,
                delivered_tokens=body.delivered,
                accepts_restart=body.restart or not body.stream,
            )
        )

    def _resume_token(
        self,
        environ: dict[str, Any],
        organisation: state.Organisation,
        request_id: state.RequestId,
    ) -> Result[state.ResumeToken | None, state.Refusal]:
        event_id = environ.get('HTTP_LAST_EVENT_ID')
        if not event_id:
            return Ok(None)
        token = self._signer.decode(organisation.name, request_id, event_id)
        if token is None:
            return Error(
                _answers.not_run(
                    state.RefusalCode.BAD_REQUEST,
                    'Last-Event-ID: not an event id of this request.',
                )
            )
        return Ok(token)

    def _answer(
        self,
        caller: '_Caller',
        start_response: _answers.StartResponse,
        organisation: state.Organisation,
        request_id: state.RequestId,
        streamed: bool,
    ) -> Iterable[bytes]:
        encoder = protocol.CallerStreamEncoder(
            self._signer, organisation.name, request_id
        )
        if not streamed:
            with caller:
                return self._whole(caller, start_response, encoder, request_id)
        start_response(
            '200 OK',
            [
                ('Content-Type', 'text/event-stream'),
                ('Cache-Control', 'no-store'),
                (protocol.REQUEST_ID_HEADER, request_id),
            ],
        )
        return _StreamBody(caller, encoder)

    def _whole(
        self,
        caller: '_Caller',
        start_response: _answers.StartResponse,
        encoder: protocol.CallerStreamEncoder,
        request_id: state.RequestId,
    ) -> Iterable[bytes]:
        text: list[bytes] = []
        for step in caller.feed:
            if isinstance(step, generation.TokenBatch):
                text.extend(token.text for token in step.tokens)
            if isinstance(step, generation.Restarted):
                text.clear()
            if isinstance(step, generation.Failed):
                return _answers.refuse(
                    start_response, request_id, step.refusal
                )
            if isinstance(step, generation.HandedOver):
                resume = step.resume
                return _answers.refuse(
                    start_response,
                    request_id,
                    protocol.HANDOVER,
                    encoder.resume_id(resume) if resume is not None else None,
                )
            if isinstance(step, generation.Completed):
                answer = protocol.encode_answer(
                    request_id, b''.join(text).decode(), step
                )
                return _answers.whole(start_response, request_id, answer)
            if caller.is_gone():
                break
        # Nobody reads an answer any more.
        return _answers.refuse(start_response, request_id, protocol.HANDOVER)


class _Caller:
    """One caller's connection and what it holds."""

    def __init__(
        self,
        service: generation.GenerationService,
        feed: generation.GenerationSubscription,
        permit: ports.Permit | None,
        environ: dict[str, Any],
    ) -> None:
        self.feed = feed
        self._service = service
        self._permit = permit
        self._disconnected = environ.get('waitress.client_disconnected')
        self._released = False

    def __enter__(self) -> '_Caller':
        return self

    def __exit__(self, *error: object) -> None:
        self.release()

    def is_gone(self) -> bool:
        """Return whether the caller closed its connection."""
        return self._disconnected is not None and self._disconnected()

    def release(self) -> None:
        """Give back the feed and the permit; safe to call twice."""
        if self._released:
            return
        self._released = True
        self._service.release(self.feed)
        if self._permit is not None:
            self._permit.release()


class _StreamBody:
    """Body of a streamed answer; the server's thread iterates over it."""

    def __init__(
        self, caller: _Caller, encoder: protocol.CallerStreamEncoder
    ) -> None:
        self._caller = caller
        self._feed = caller.feed
        self._encoder = encoder

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return self._encoder.encode(next(self._feed))

    def close(self) -> None:
        """Release the generation; the server calls it at any end."""
        self._caller.release()


_BAD_REQUEST_ID = _answers.not_run(
    state.RefusalCode.BAD_REQUEST,
    'request_id: 8 to 80 letters, digits, _ or -.',
)
