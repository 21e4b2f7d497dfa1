"""Callers' endpoints of generations, without sockets."""

from collections.abc import Iterable
import io
import json
from typing import Any

import pytest

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.coordination import limits
from skylarktack.coordination.tests import generation_harness
from skylarktack.transport import _answers
from skylarktack.transport import _generation_endpoints


class _Application:
    """The endpoints of generations of one instance."""

    def __init__(
        self, generation: generation_harness.GenerationHarness
    ) -> None:
        holder = configuration.ConfigurationHolder(generation.fleet.clock)
        holder.replace_if_newer(
            state.ConfigurationPosition(0, 1),
            state.ConfigurationDocument((), (generation_harness.ROUTE,)),
        )
        self._endpoints = _generation_endpoints.GenerationEndpoints(
            generation.service,
            protocol.EventIdSigner('secret'),
            holder,
            limits.UnlimitedAdmission(),
            state.InstanceName('one'),
        )

    def __call__(
        self, environ: dict[str, Any], start: _answers.StartResponse, key: str
    ) -> Iterable[bytes]:
        """Serve one request of an organisation."""
        organisation = state.Organisation(state.OrganisationName(key), ())
        if environ['REQUEST_METHOD'] == 'POST':
            return self._endpoints.generate(environ, start, organisation)
        return self._endpoints.existing(environ, start, organisation)


class _Answer:
    """What one request brought."""

    def __init__(
        self,
        application: _Application,
        method: str,
        path: str,
        body: dict[str, object] | None = None,
        last_event_id: str = '',
        key: str = 'small',
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        environ: dict[str, Any] = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'HTTP_LAST_EVENT_ID': last_event_id,
            'wsgi.input': io.BytesIO(json.dumps(body or {}).encode()),
        }
        path, _, environ['QUERY_STRING'] = path.partition('?')
        environ['PATH_INFO'] = path
        parts = application(environ, self._start, key)
        self.body = b''.join(parts)
        if hasattr(parts, 'close'):
            parts.close()

    def _start(self, status: str, headers: list[tuple[str, str]]) -> None:
        self.status = int(status.split()[0])
        self.headers = dict(headers)

    @property
    def code(self) -> object:
        """Code of the typed error."""
        return json.loads(self.body)['error']['code']

    def event_ids(self) -> list[str]:
        """Return the event id of each token."""
        lines = self.body.decode().splitlines()
        return [line[4:] for line in lines if line.startswith('id: ')]

    def tokens(self) -> list[str]:
        """Return the tokens."""
        found: list[str] = []
        for block in self.body.decode().split('\n\n'):
            if block.startswith('id: '):
                found.append(json.loads(block.splitlines()[1][6:]))
        return found


@pytest.fixture
def application() -> _Application:
    """Serve one instance over engines in memory."""
    return _Application(
        generation_harness.GenerationHarness(generation_harness.Fleet(1), 1)
    )


POST = '/v1/generate/digest'
ASKED: dict[str, object] = {
    'prompt': 'fans',
    'max_tokens': 12,
    'request_id': 'request-1',
}
HELD = '/v1/generations/request-1'


class TestGenerationEndpoints:
    """Guards against answers that differ between the ways to ask."""

    def test_all_ways_bring_the_same(self, application: _Application) -> None:
        """Posted, resumed, fetched and whole answers agree."""
        expected = generation_harness.expected_text('fans', 12)
        posted = _Answer(application, 'POST', POST, ASKED)
        assert ''.join(posted.tokens()) == expected
        fetched = _Answer(application, 'GET', HELD)
        assert fetched.event_ids() == posted.event_ids()
        middle = posted.event_ids()[4]
        for answer in (
            _Answer(application, 'POST', POST, ASKED, middle),
            _Answer(application, 'GET', HELD, None, middle),
        ):
            assert answer.tokens() == posted.tokens()[5:]
            assert b'event: end' in answer.body
        whole = {**ASKED, 'stream': False}
        for answer in (
            _Answer(application, 'POST', POST, whole, middle),
            _Answer(application, 'GET', HELD + '?stream=false'),
        ):
            assert json.loads(answer.body)['text'] == expected

    @pytest.mark.parametrize(
        ('method', 'path', 'changes', 'event_id', 'key', 'status', 'code'),
        (
            ('POST', POST, {'request_id': 'é'}, '', 'small', 400, 'bad_'),
            ('POST', POST, {'delivered': ['a']}, '', 'small', 400, 'bad_'),
            ('POST', POST, {'max_tokens': 0}, '', 'small', 400, 'bad_'),
            ('POST', POST, {}, '1.2.3.4.x/y', 'small', 400, 'bad_'),
            ('POST', POST, {'prompt': 'x'}, '', 'small', 409, 'idempotency'),
            ('POST', '/v1/generate/x', {}, '', 'small', 404, 'unknown_route'),
            ('GET', HELD, {}, '1.2.3.4.x/y', 'small', 400, 'bad_'),
            ('GET', HELD, {}, '', 'large', 404, 'unknown_request'),
            ('DELETE', HELD, {}, '', 'large', 404, 'unknown_request'),
            ('GET', '/v1/generations/x', {}, '', 'small', 400, 'bad_'),
        ),
    )
    def test_refusals(
        self,
        application: _Application,
        method: str,
        path: str,
        changes: dict[str, object],
        event_id: str,
        key: str,
        status: int,
        code: str,
    ) -> None:
        """Each bad request gets its typed error and a request id."""
        _Answer(application, 'POST', POST, ASKED)
        answer = _Answer(
            application, method, path, {**ASKED, **changes}, event_id, key
        )
        assert answer.status == status
        assert str(answer.code).startswith(code)
        assert answer.headers[protocol.REQUEST_ID_HEADER]
