"""Decoding of manifests, with one in the platform's documented format."""

import copy
from typing import Any

import pytest

from skylarktack import platform
from skylarktack.state import forwarding as data

MANIFEST: dict[str, Any] = {
    'version': 12,
    'routes': [
        {
            'name': 'digest',
            'hostname': 'Desk.Example',
            'path_prefix': '/digest/',
            'route_kind': 'streaming',
            'timeout_ms': 25000,
            'target_latency_ms': 4500,
            'priority': 1,
            'traffic_split': [
                {'service': 'pool-a', 'weight': 90},
                {'service': 'pool-b', 'weight': 10},
            ],
            'max_attempts': 5,
            'anonymous': False,
            'session_affinity': True,
            'stream_resumption': True,
            'gap_target_ms': 700,
        },
        {
            'name': 'book',
            'hostname': 'desk.example',
            'path_prefix': '/book/',
            'route_kind': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 125,
            'service': 'orders',
            'anonymous': True,
        },
    ],
    'services': [
        {
            'name': 'pool-a',
            'health_path': '/healthz',
            'connection_limit': 150,
            'inference_engine': {
                'capacity_slots': 12,
                'kv_capacity_tokens': 88000,
                'backups': True,
            },
        },
        {'name': 'orders', 'connection_limit': 100},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'dealer', 'api_keys': ['k1', 'k2'], 'priority': 1}],
    'field_of_a_later_day': {},
}


def _changed(*path_and_value: Any) -> dict[str, Any]:
    manifest = copy.deepcopy(MANIFEST)
    parent: Any = manifest
    for key in path_and_value[:-2]:
        parent = parent[key]
    parent[path_and_value[-2]] = path_and_value[-1]
    return manifest


class TestManifest:
    """A manifest is decoded completely or rejected with all findings."""

    def test_decodes_routes(self) -> None:
        """Guards against route fields that are mapped to the wrong field."""
        decoded = platform.decode_configuration('config/main', MANIFEST)
        digest, book = decoded.routes
        assert digest == data.ForwardingRoute(
            name='digest',
            host='desk.example',
            path_prefix='/digest/',
            kind=data.RequestKind.STREAM,
            services=(
                data.WeightedService('pool-a', 90),
                data.WeightedService('pool-b', 10),
            ),
            timeout_ms=25000,
            latency_objective_ms=4500,
            max_attempts=5,
            priority=1,
            is_anonymous=False,
            is_resumable=True,
            longest_pause_ms=700,
        )
        assert book.kind is data.RequestKind.NON_IDEMPOTENT
        assert book.services == (data.WeightedService('orders', 1.0),)
        assert book.max_attempts == 1
        assert book.is_anonymous
        assert not book.is_retryable

    def test_decodes_services_limits_and_organisations(self) -> None:
        """Guards against limits and keys that are lost in decoding."""
        decoded = platform.decode_configuration('config/main', MANIFEST)
        assert decoded.version == 12
        assert decoded.services == (
            data.ServiceDescription(
                'pool-a', 150, data.EngineCapacity(88000, True)
            ),
            data.ServiceDescription('orders', 100, None),
        )
        assert decoded.limits == data.FrontLimits()
        assert decoded.organisations == (
            data.OrganisationKeys('dealer', ('k1', 'k2'), 1),
        )

    def test_no_tenants_means_no_keys_required(self) -> None:
        """Guards against denying all requests where no keys are in use."""
        manifest = copy.deepcopy(MANIFEST)
        del manifest['tenants']
        decoded = platform.decode_configuration('config/main', manifest)
        assert decoded.organisations is None

    @pytest.mark.parametrize(
        ('manifest', 'place'),
        [
            ('text', 'config/main'),
            (_changed('version', 'new'), 'config/main.version'),
            (_changed('version', True), 'config/main.version'),
            (_changed('routes', {}), 'config/main.routes'),
            (
                _changed('routes', 0, 'route_kind', 'new'),
                'config/main.routes[0].route_kind',
            ),
            (
                _changed('routes', 1, 'service', None),
                'config/main.routes[1].service',
            ),
            (
                _changed('tenants', 0, 'api_keys', [1]),
                'config/main.tenants[0].api_keys',
            ),
            (_changed('limits', None), 'config/main.limits'),
        ],
    )
    def test_finding_has_path_of_malformed_field(
        self, manifest: object, place: str
    ) -> None:
        """Guards against a malformed manifest that is applied in part."""
        with pytest.raises(platform.MalformedError) as caught:
            platform.decode_configuration('config/main', manifest)
        assert place in [found.place for found in caught.value.findings]

    def test_all_findings_are_collected(self) -> None:
        """Guards against a decoder that stops at the first error.

        Operators would have to fix the errors of a manifest one at a time.
        """
        manifest = _changed('version', None)
        manifest['routes'][0]['timeout_ms'] = 'long'
        with pytest.raises(platform.MalformedError) as caught:
            platform.decode_configuration('config/main', manifest)
        assert len(caught.value.findings) == 2
