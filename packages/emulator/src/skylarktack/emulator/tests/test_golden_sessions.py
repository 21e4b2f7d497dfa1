"""Whole sessions of callers and operators, compared with golden files.

Set ``SKYLARKTACK_WRITE_GOLDEN=1`` to write the files anew after an intended
change, and read the difference before the commit.
"""

from collections.abc import Iterator
import dataclasses
import json
import os
import pathlib
import re

import pytest

from skylarktack import emulator
from skylarktack import transport

_GOLDEN = pathlib.Path(__file__).parent / 'golden'
_KEY = {'Authorization': f'Bearer {emulator.organisation_key("small")}'}
_OPERATOR = {'Authorization': f'Bearer {emulator.OPERATOR_TOKEN}'}
_SHOWN_HEADERS = ('content-type', 'retry-after', 'x-frame-options')


@dataclasses.dataclass(frozen=True)
class _Exchange:
    """One request of a session."""

    #: HTTP method.
    method: str

    #: Path and query.
    path: str

    #: Headers.
    headers: dict[str, str]

    #: Body.
    body: str = ''


def _asks(**fields: object) -> str:
    return json.dumps(fields)


_DOCUMENT = '{"organisations": [{"name": "dealer", "key_sha256": []}]}'

#: Sessions by file name: whether operators speak, and their requests.
SESSIONS: dict[str, tuple[bool, tuple[_Exchange, ...]]] = {
    'generation': (
        False,
        (
            _Exchange(
                'POST',
                '/v1/generate/digest',
                _KEY,
                _asks(prompt='fans', max_tokens=4, request_id='request-1'),
            ),
            _Exchange('GET', '/v1/generations/request-1', _KEY),
            _Exchange(
                'POST',
                '/v1/generate/digest',
                _KEY,
                _asks(
                    prompt='fans',
                    max_tokens=4,
                    stream=False,
                    request_id='request-2',
                ),
            ),
            _Exchange('DELETE', '/v1/generations/request-2', _KEY),
            _Exchange('GET', '/v1/generations/request-unknown', _KEY),
        ),
    ),
    'bad_input': (
        False,
        (
            _Exchange('POST', '/v1/generate/digest', {}, '{}'),
            _Exchange(
                'POST',
                '/v1/generate/digest',
                {'Authorization': 'Bearer wrong'},
                '{}',
            ),
            _Exchange('POST', '/v1/generate/digest', _KEY, '{'),
            _Exchange('POST', '/v1/generate/digest', _KEY, '{}'),
            _Exchange(
                'POST',
                '/v1/generate/digest',
                _KEY,
                _asks(prompt='fans', max_tokens=0),
            ),
            _Exchange('POST', '/v1/generate/none', _KEY, _asks(prompt='fans')),
            _Exchange(
                'POST',
                '/v1/generate/digest',
                {**_KEY, 'Last-Event-ID': 'forged'},
                _asks(prompt='fans'),
            ),
            _Exchange('GET', '/v1/call/none/items', _KEY),
            _Exchange('GET', '/nothing', _KEY),
            _Exchange('POST', '/v1/call/shipment/bookings', _KEY, '{}'),
            _Exchange(
                'POST',
                '/v1/generate/digest',
                {**_KEY, 'Content-Length': 'x'},
            ),
            _Exchange(
                'POST',
                '/v1/generate/digest',
                {**_KEY, 'Content-Length': '99999999'},
            ),
        ),
    ),
    'plain_calls': (
        False,
        (
            _Exchange('GET', '/v1/call/stock/items/7?unit=box', _KEY),
            _Exchange(
                'POST',
                '/v1/call/shipment/bookings',
                {**_KEY, 'Idempotency-Key': 'key-1'},
                '{"pallets": 1}',
            ),
            _Exchange(
                'POST',
                '/v1/call/shipment/bookings',
                {**_KEY, 'Idempotency-Key': 'key-1'},
                '{"pallets": 1}',
            ),
            _Exchange(
                'POST',
                '/v1/call/shipment/bookings',
                {**_KEY, 'Idempotency-Key': 'key-1'},
                '{"pallets": 2}',
            ),
        ),
    ),
    'operators': (
        True,
        (
            _Exchange('GET', '/operator/revision', {}),
            _Exchange('GET', '/operator/revision', _OPERATOR),
            _Exchange(
                'PUT',
                '/operator/configuration',
                {**_OPERATOR, 'If-Match': '"1"'},
                '{"routes": [{"name": "x"}]}',
            ),
            _Exchange(
                'PUT',
                '/operator/configuration',
                {**_OPERATOR, 'If-Match': '"0"'},
                _DOCUMENT,
            ),
            _Exchange(
                'PUT',
                '/operator/configuration',
                {
                    **_OPERATOR,
                    'If-Match': '"1"',
                    'Skylarktack-Author': 'operator',
                },
                _DOCUMENT,
            ),
            _Exchange(
                'POST',
                '/operator/rollback?revision=1',
                {**_OPERATOR, 'Skylarktack-Change-Id': 'back'},
            ),
            _Exchange('GET', '/operator/history', _OPERATOR),
            _Exchange('GET', '/operator/unknown-calls', _OPERATOR),
            _Exchange('GET', '/operator/none', _OPERATOR),
        ),
    ),
}


@pytest.fixture(scope='class')
def deployment() -> Iterator[emulator.Deployment]:
    """Run one instance with one target of each kind."""
    shape = emulator.DeploymentShape(instance_count=1, engine_count=1)
    with emulator.Deployment(shape) as started:
        yield started


class TestGoldenSessions:
    """Guards against changes of what callers and operators see."""

    @pytest.mark.parametrize('name', SESSIONS)
    def test_session(self, deployment: emulator.Deployment, name: str) -> None:
        """The whole session reads as in its golden file."""
        of_operators, exchanges = SESSIONS[name]
        instance = deployment.instances[0]
        address = instance.address
        if of_operators:
            address = instance.operator_address
        parts: list[str] = []
        for exchange in exchanges:
            answered = transport.http_call(
                address,
                exchange.method,
                exchange.path,
                exchange.body.encode() or None,
                exchange.headers,
                20.0,
            )
            parts.append(_shown(exchange, answered.ok))
        session = '\n'.join(parts)
        path = _GOLDEN / f'{name}.session'
        if os.environ.get('SKYLARKTACK_WRITE_GOLDEN'):
            path.write_text(session, encoding='utf-8')
        assert session == path.read_text(encoding='utf-8')


def _shown(exchange: _Exchange, answer: transport.HttpAnswer) -> str:
    lines = [f'> {exchange.method} {exchange.path}']
    for name, value in exchange.headers.items():
        lines.append(f'> {name}: {value}')
    if exchange.body:
        lines.append(f'> {exchange.body}')
    lines.append(f'< {answer.status}')
    for name, value in answer.headers:
        if name.lower() in _SHOWN_HEADERS:
            lines.append(f'< {name}: {value}')
    body = re.sub(
        r'^id: (\d+)\.\d+\.(\w+)\.\w+\.',
        r'id: \1.ATTEMPT.\2.MAC.',
        answer.body.decode(),
        flags=re.MULTILINE,
    )
    body = re.sub(r'r-instance-0-\w+', 'r-instance-0-RANDOM', body)
    body = re.sub(r'"r-[0-9a-f]{32}"', '"r-RANDOM"', body)
    body = re.sub(r'"accepted_s": [\d.]+', '"accepted_s": TIME', body)
    # Signs of life depend on the pace of the machine.
    body = body.replace(': keepalive\n\n', '')
    lines.extend(f'< {line}' for line in body.splitlines())
    return '\n'.join(line.rstrip() for line in lines) + '\n'
