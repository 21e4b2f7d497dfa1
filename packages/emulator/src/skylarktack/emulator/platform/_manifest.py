"""A manifest for the stand-ins."""

from typing import Any

#: Host, key and organisation of the callers.
HOST = 'desk.example'
KEY = 'key-of-the-dealer'
ORGANISATION = 'dealer'


def manifest(
    version: int,
    keys: tuple[str, ...] = (KEY,),
    more_routes: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return a manifest with a route of each kind.

    :param more_routes: names of further routes for calls that may repeat.
    """
    routes = [
        _route('digest', 'streaming', 'pool'),
        _route('book', 'non_idempotent', 'desk'),
        _route('peek', 'idempotent', 'desk'),
    ]
    for name in more_routes:
        routes.append(_route(name, 'idempotent', 'desk'))
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'pool',
                'connection_limit': 150,
                'inference_engine': {
                    'capacity_slots': 12,
                    'kv_capacity_tokens': 88000,
                    'backups': True,
                },
            },
            {'name': 'desk', 'connection_limit': 100},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': ORGANISATION, 'api_keys': list(keys)}],
    }


def _route(name: str, kind: str, service: str) -> dict[str, Any]:
    is_stream = kind == 'streaming'
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 25000 if is_stream else 5000,
        'target_latency_ms': 4500 if is_stream else 125,
        'service': service,
        'max_attempts': 1 if kind == 'non_idempotent' else 5,
        'anonymous': False,
        'stream_resumption': is_stream,
        'gap_target_ms': 700 if is_stream else None,
    }
