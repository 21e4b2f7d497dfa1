"""WSGI application of the operators' interface."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib
import hmac
from typing import Any
from typing import Protocol
import urllib.parse

import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.coordination import ports
from skylarktack.transport import _console_endpoint
from skylarktack.transport import _operator_answers

_LOG = structlog.get_logger(part='operator')

#: Largest body of an operator's request.
OPERATOR_BODY_LIMIT_BYTES = 16_000_000

#: Revisions that the history shows.
HISTORY_COUNT = 20


class StatusSource(Protocol):
    """Knows the status of all instances."""

    def fleet_status(self) -> tuple[state.InstanceStatus, ...]:
        """Ask all instances; those that do not answer are left out."""
        ...


class PlannedStop(Protocol):
    """Orders the planned stop of this instance."""

    def order_stop(self) -> None:
        """Begin the planned stop and return at once."""
        ...


class OperatorExtension(Protocol):
    """Further operators' endpoints, of one part of the system."""

    @property
    def prefix(self) -> str:
        """Path below ``/operator/`` that the extension serves."""
        ...

    def answer(
        self, method: str, query: dict[str, str], body: bytes
    ) -> _operator_answers.OperatorAnswer:
        """Answer one request."""
        ...


@dataclasses.dataclass(frozen=True)
class OperatorParts:
    """Everything that the operators' interface needs."""

    #: Settings of the instance.
    settings: state.InstanceSettings

    #: Acceptance of changes.
    publisher: configuration.ConfigurationPublisher

    #: The configuration in effect.
    holder: ports.ConfigurationSource

    #: Status of all instances.
    status: StatusSource

    #: Planned stop.
    planned_stop: PlannedStop

    #: Endpoints of other parts.
    extensions: tuple[OperatorExtension, ...] = ()


class OperatorApplication:
    """Serves operators; each connection is worked on by one thread."""

    def __init__(self, parts: OperatorParts) -> None:
        self._parts = parts
        self._console = _console_endpoint.ConsoleEndpoint(
            parts.publisher, parts.settings.secret
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        answer = self._answer(environ)
        start_response(
            f'{answer.status} {answer.status}',
            [
                ('Content-Type', answer.content_type),
                ('Content-Length', str(len(answer.body))),
                ('Cache-Control', 'no-store'),
                ('X-Frame-Options', 'DENY'),
                *answer.headers,
            ],
        )
        return [answer.body]

    def _answer(
        self, environ: dict[str, Any]
    ) -> _operator_answers.OperatorAnswer:
        if not self._is_operator(environ.get('HTTP_AUTHORIZATION', '')):
            return _operator_answers.json_error(
                401,
                'unauthorised',
                "The operators' token is required.",
                (('WWW-Authenticate', 'Basic realm="skylarktack"'),),
            )
        path = environ['PATH_INFO']
        method = environ['REQUEST_METHOD']
        body = environ['wsgi.input'].read()
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        if path.startswith('/console'):
            return self._console.answer(method, path, body)
        if path == '/operator/configuration' and method == 'PUT':
            return self._apply(environ, body)
        if path == '/operator/rollback' and method == 'POST':
            return self._roll_back(environ, query)
        if path == '/operator/drain' and method == 'POST':
            self._parts.planned_stop.order_stop()
            return _operator_answers.json_answer({'stopping': True})
        if method == 'GET':
            found = self._read(path, query)
            if found is not None:
                return found
        for extension in self._parts.extensions:
            if path == f'/operator/{extension.prefix}':
                return extension.answer(method, query, body)
        return _operator_answers.json_error(
            404, 'unknown_path', 'No such path.'
        )

    def _read(
        self, path: str, query: dict[str, str]
    ) -> _operator_answers.OperatorAnswer | None:
        publisher = self._parts.publisher
        if path == '/operator/status':
            statuses = self._parts.status.fleet_status()
            return _operator_answers.json_answer(
                {'instances': [dataclasses.asdict(item) for item in statuses]}
            )
        if path == '/operator/revision':
            current = publisher.current()
            if current.is_error():
                return _operator_answers.change_fault(current.error)
            if current.ok is None:
                return _operator_answers.json_answer({'revision': 0})
            return _operator_answers.json_answer(
                _operator_answers.record_summary(current.ok)
            )
        if path == '/operator/history':
            history = publisher.history(HISTORY_COUNT)
            if history.is_error():
                return _operator_answers.change_fault(history.error)
            return _operator_answers.json_answer(
                {
                    'revisions': [
                        _operator_answers.record_summary(record)
                        for record in history.ok
                    ]
                }
            )
        if path == '/operator/configuration':
            wanted = query.get('revision', '')
            revision = self._parts.holder.current().revision
            if wanted:
                if not wanted.isdecimal():
                    return _operator_answers.json_error(
                        400, 'bad_request', 'revision: must be a number.'
                    )
                revision = int(wanted)
            record = publisher.revision(revision)
            if record.is_error():
                return _operator_answers.change_fault(record.error)
            return _operator_answers.OperatorAnswer(
                200, protocol.encode_record_for_operators(record.ok)
            )
        return None

    def _apply(
        self, environ: dict[str, Any], body: bytes
    ) -> _operator_answers.OperatorAnswer:
        base = environ.get('HTTP_IF_MATCH', '').strip('"')
        if not base.isdecimal():
            return _operator_answers.json_error(
                400, 'bad_request', 'If-Match: the base revision is required.'
            )
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return _operator_answers.json_error(
                400, 'bad_request', 'The body is not UTF-8 text.'
            )
        decoded = protocol.decode_document(text)
        if decoded.is_error():
            return _operator_answers.OperatorAnswer(
                422, protocol.encode_findings(decoded.error)
            )
        change_id = environ.get('HTTP_SKYLARKTACK_CHANGE_ID')
        if not change_id:
            # The same change from the same base is the same submission.
            change_id = hashlib.sha256(base.encode() + body).hexdigest()[:32]
        applied = self._parts.publisher.apply(
            state.ConfigurationChange(
                document=decoded.ok,
                base_revision=int(base),
                author=environ.get('HTTP_SKYLARKTACK_AUTHOR', ''),
                change_id=change_id,
                comment=environ.get('HTTP_SKYLARKTACK_COMMENT', ''),
            )
        )
        return self._accepted(applied)

    def _roll_back(
        self, environ: dict[str, Any], query: dict[str, str]
    ) -> _operator_answers.OperatorAnswer:
        wanted = query.get('revision', '')
        change_id = environ.get('HTTP_SKYLARKTACK_CHANGE_ID', '')
        if not wanted.isdecimal() or not change_id:
            return _operator_answers.json_error(
                400,
                'bad_request',
                'revision and Skylarktack-Change-Id are required.',
            )
        applied = self._parts.publisher.roll_back(
            int(wanted), environ.get('HTTP_SKYLARKTACK_AUTHOR', ''), change_id
        )
        return self._accepted(applied)

    def _accepted(self, applied: Any) -> _operator_answers.OperatorAnswer:
        if applied.is_error():
            return _operator_answers.change_fault(applied.error)
        _LOG.info('change accepted', revision=applied.ok.revision)
        return _operator_answers.json_answer(
            _operator_answers.record_summary(applied.ok)
        )

    def _is_operator(self, header: str) -> bool:
        token = _operator_answers.token_of(header)
        hashed = hashlib.sha256(token.encode()).hexdigest()
        return hmac.compare_digest(
            hashed, self._parts.settings.operator_token_sha256
        )
