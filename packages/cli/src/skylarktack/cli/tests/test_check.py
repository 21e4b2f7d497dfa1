"""Command ``check``: findings, differences and exit codes."""

import copy
import json
from typing import Any

import pytest

from skylarktack import platform
from skylarktack import protocol
from skylarktack import state
from skylarktack.cli import _check
from skylarktack.cli import _check_report
from skylarktack.coordination import configuration
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.platform.tests import test_configuration

DOCUMENT: dict[str, Any] = {
    'organisations': [{'name': 'shops', 'key_sha256': ['a' * 64]}],
    'routes': [{'name': 'digest', 'kind': 'generation', 'version': 'm1'}],
    'versions': [
        {'name': 'm1', 'kind': 'generation'},
        {'name': 'm2', 'kind': 'generation'},
    ],
    'moves': [
        {
            'name': 'to-m2',
            'route': 'digest',
            'from_version': 'm1',
            'to_version': 'm2',
            'start_s': 100,
            'deadline_s': 500,
        }
    ],
}


def manifest() -> dict[str, Any]:
    manifest = copy.deepcopy(test_configuration.MANIFEST)
    manifest['services'].append({'name': 'pool-b', 'connection_limit': 9})
    return manifest


def _changed(plain: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with another value at a path such as ``routes.0.name``."""
    changed = copy.deepcopy(plain)
    *parents, last = path.split('.')
    holder: Any = changed
    for name in parents:
        holder = holder[int(name) if name.isdecimal() else name]
    if isinstance(holder, list) and int(last) == len(holder):
        holder.append(value)
    else:
        holder[int(last) if last.isdecimal() else last] = value
    return changed


def in_document(path: str, value: Any) -> dict[str, Any]:
    return _changed(DOCUMENT, path, value)


def in_manifest(path: str, value: Any) -> dict[str, Any]:
    return _changed(manifest(), path, value)


ERROR = _check.FindingKind.ERROR
NO_EFFECT = _check.FindingKind.NO_EFFECT
CONFLICT = _check.FindingKind.CONFLICT

#: Configurations and all of their findings.
CASES: dict[str, tuple[dict[str, Any], list[tuple[Any, str]]]] = {
    'sound document': (DOCUMENT, []),
    'sound manifest': (manifest(), []),
    'empty document': ({}, []),
    'wrong types': (
        {'routes': [{'name': 5, 'colour': 1}]},
        [
            (ERROR, 'routes[0].colour'),
            (ERROR, 'routes[0].name'),
            (ERROR, 'routes[0].kind'),
            (ERROR, 'routes[0].version'),
        ],
    ),
    'fields of both kinds': (
        {'version': 1, 'organisations': []},
        [(ERROR, 'version')],
    ),
    'text that is no Unicode': (
        in_document('versions.1.weights', '\ud800'),
        [(ERROR, 'versions[1].weights')],
    ),
    'unknown version': (
        in_document('routes.0.version', 'm9'),
        [(ERROR, 'routes[0].version'), (NO_EFFECT, 'moves[0].from_version')],
    ),
    'weight that is not finite': (
        in_document('organisations.0.weight', float('inf')),
        [(ERROR, 'organisations[0].weight')],
    ),
    'key of two organisations': (
        in_document(
            'organisations.1', {'name': 'b', 'key_sha256': ['a' * 64]}
        ),
        [(ERROR, 'organisations[1].key_sha256[0]')],
    ),
    'key listed twice': (
        in_document('organisations.0.key_sha256.1', 'a' * 64),
        [(NO_EFFECT, 'organisations[0].key_sha256[1]')],
    ),
    'organisation without key': (
        in_document('organisations.0.key_sha256', []),
        [
            (NO_EFFECT, 'organisations[0].key_sha256'),
            (NO_EFFECT, 'routes[0].organisations'),
        ],
    ),
    'limit of zero': (
        in_document('routes.0.limits', {'concurrency_count': 0}),
        [(NO_EFFECT, 'routes[0].limits.concurrency_count')],
    ),
    'unused version': (
        in_document('versions.2', {'name': 'm3', 'kind': 'generation'}),
        [(NO_EFFECT, 'versions[2]')],
    ),
    'limit above those of the routes': (
        _changed(
            in_document('routes.0.limits', {'concurrency_count': 4}),
            'organisations.0.limits',
            {'concurrency_count': 5},
        ),
        [(CONFLICT, 'organisations[0].limits.concurrency_count')],
    ),
    'no routes of the right type': (
        in_manifest('routes', {}),
        [(ERROR, 'manifest.routes')],
    ),
    'two errors of a manifest': (
        _changed(
            in_manifest('routes.0.route_kind', 'stream'),
            'limits.idle_timeout_ms',
            -1,
        ),
        [
            (ERROR, 'manifest.routes[0].route_kind'),
            (ERROR, 'manifest.limits.idle_timeout_ms'),
        ],
    ),
    'same host and prefix': (
        in_manifest('routes.1.path_prefix', '/digest/'),
        [(NO_EFFECT, 'routes[1].path_prefix')],
    ),
    'longer prefix behind a shorter one': (
        in_manifest('routes.1.path_prefix', '/digest/long/'),
        [],
    ),
    'prefix without slashes': (
        in_manifest('routes.0.path_prefix', 'digest'),
        2 * [(NO_EFFECT, 'routes[0].path_prefix')],
    ),
    'prefix that is not ASCII': (
        in_manifest('routes.0.path_prefix', '/straße/'),
        [(NO_EFFECT, 'routes[0].path_prefix')],
    ),
    'host with a port': (
        in_manifest('routes.0.hostname', 'desk.example:80'),
        [(NO_EFFECT, 'routes[0].hostname')],
    ),
    'weight of zero': (
        in_manifest('routes.0.traffic_split.1.weight', 0),
        [(NO_EFFECT, 'routes[0].traffic_split[1].weight')],
    ),
    'service that no route names': (
        in_manifest('services.3', {'name': 'spare'}),
        [(NO_EFFECT, 'services[3]')],
    ),
    'API key of two tenants': (
        in_manifest(
            'tenants',
            [
                {'name': 'a', 'api_keys': ['secret-1', 'secret-2']},
                {'name': 'b', 'api_keys': ['secret-1']},
            ],
        ),
        [(NO_EFFECT, 'tenants[1].api_keys[0]')],
    ),
    'tenant without API key': (
        in_manifest('tenants', [{'name': 'a'}]),
        [
            (NO_EFFECT, 'tenants[0].api_keys'),
            (NO_EFFECT, 'routes[0].anonymous'),
        ],
    ),
    'idle timeout under the header timeout': (
        in_manifest('limits.idle_timeout_ms', 2999),
        [(CONFLICT, 'limits.idle_timeout_ms')],
    ),
    'objective over the timeout': (
        in_manifest('routes.1.target_latency_ms', 1501),
        [(CONFLICT, 'routes[1].target_latency_ms')],
    ),
    'objective under the pause': (
        in_manifest('routes.0.gap_target_ms', 4501),
        [(CONFLICT, 'routes[0].target_latency_ms')],
    ),
    'no attempt': (
        in_manifest('routes.0.max_attempts', 0),
        [(CONFLICT, 'routes[0].max_attempts')],
    ),
}


def _checked(plain: Any) -> _check.CheckedConfiguration:
    found = _check.check(json.dumps(plain))
    assert found.is_ok()
    return found.ok


class TestFindings:
    """Each finding has its place, and all are reported together."""

    @pytest.mark.parametrize(
        ('plain', 'expected'), CASES.values(), ids=CASES.keys()
    )
    def test_of_a_configuration(
        self, plain: dict[str, Any], expected: list[tuple[Any, str]]
    ) -> None:
        """Guards against lost findings and findings about sound entries."""
        found = [
            (kind, finding.place) for kind, finding in _checked(plain).findings
        ]
        assert found == expected

    def test_repeated_field(self) -> None:
        """Guards against a field that is dropped without a word."""
        text = '{"organisations": [], "routes": [], /* c */ "routes": []}'
        found = _check.check(text)
        assert [finding.place for _, finding in found.ok.findings] == [
            'routes'
        ]

    def test_no_finding_shows_a_key(self) -> None:
        """Guards against secrets in the logs of a build."""
        plain, _ = CASES['API key of two tenants']
        assert 'secret-1' not in str(_checked(plain).findings)


class TestInstancesAgree:
    """What has no error is accepted by an instance, and nothing else is."""

    @pytest.mark.parametrize(
        'plain',
        [plain for plain, _ in CASES.values()],
        ids=CASES.keys(),
    )
    def test_acceptance(self, plain: dict[str, Any]) -> None:
        """Guards against rules that differ from those of instances."""
        text = json.dumps(plain)
        checked = _checked(plain)
        if checked.is_manifest:
            assert _is_taken_by_forwarding(text) == checked.is_accepted
            return
        assert _is_published(text) == checked.is_accepted


def _is_published(text: str) -> bool:
    """Submit a document as an instance does, and read it as all others do."""
    decoded = protocol.decode_document(text)
    if decoded.is_error():
        return False
    store = fakes.MemoryObjectStore()
    codec = protocol.JsonConfigurationCodec()
    publisher = configuration.ConfigurationPublisher(
        store, codec, fakes.ManualClock()
    )
    published = publisher.apply(
        state.ConfigurationChange(decoded.ok, 0, 'test', 'change-1')
    )
    if published.is_error():
        return False
    stored = store.get(configuration.CURRENT_KEY)
    record = codec.decode(stored.ok.value)
    return record.is_ok() and record.ok.document == decoded.ok


def _is_taken_by_forwarding(text: str) -> bool:
    """Decode a manifest from the store and put it in force."""
    content = f'{{"at": 1, "events": [{{"object": {{"specification": {text}'
    reader = platform.ConfigurationReader(_NoStore(), fakes.RecordingLog())
    changes = reader.decode_changes(content.encode() + b'}}]}')
    assert isinstance(changes, forwarding.Changes)
    for item in changes.items:
        forwarding.RouteTable(item)
    return bool(changes.items)


class _NoStore:
    """A store that is not called."""

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> forwarding.StoreResponse | forwarding.ExchangeFault:
        raise AssertionError('the store is not called')


class TestDifferences:
    """Differences from another configuration, by names."""

    def test_of_entries(self) -> None:
        """Guards against differences that only the order makes."""
        before = manifest()
        after = _changed(before, 'routes.1.timeout_ms', 1600)
        after['routes'].reverse()
        after['services'][0] = {'name': 'pool-c'}
        found = _compare(before, after)
        assert found == [
            'routes[book].timeout_ms: 1500 -> 1600',
            'services[pool-a]: removed: {"connection_limit": 150, '
            '"health_path": "/healthz", "inference_engine": '
            '{"backups": true, "capacity_slots": 12, "kv_cap...',
            'services[pool-c]: added: {"name": "pool-c"}',
        ]

    def test_keys_are_not_shown(self) -> None:
        """Guards against secrets in the logs of a build."""
        before = in_manifest('tenants', [{'name': 'a', 'api_keys': ['x-1']}])
        after = _changed(before, 'tenants.0.api_keys', ['x-2'])
        after['tenants'].append({'name': 'b', 'api_keys': ['x-3']})
        found = _compare(before, after)
        assert [text.partition(':')[0] for text in found] == [
            'tenants[a].api_keys',
            'tenants[b]',
        ]
        for key in ('x-1', 'x-2', 'x-3'):
            assert key not in str(found)


def _compare(before: Any, after: Any) -> list[str]:
    texts = {'before': json.dumps(before), 'after': json.dumps(after)}
    compared = _check_report.compare(
        _check_report.Report('after', _check.check(texts['after']).ok),
        _check.check(texts['before']).ok,
    )
    return [str(difference) for difference in compared.differences or ()]
