"""Planned moves of real processes."""

import dataclasses
import time
from typing import Any

from skylarktack import emulator
from skylarktack import state
from skylarktack import transport

_KEY = emulator.organisation_key('small')

#: Few requests decide, so that the test needs no heavy traffic.
_MOVE = {
    'shares': [0.5, 0.7],
    'unjudged_share': 0.5,
    'judged_attempt_count': 8,
    'stage_floor_ms': 300,
    'soak_ratio': 0.001,
    'stage_ratio': 0.001,
    'step_ms': 100,
}


def _document() -> state.ConfigurationDocument:
    """Return a document with a move for each of two routes."""
    document = emulator.default_document()
    version = state.VersionName('model-2')
    now_s = time.time()
    digest = document.routes[0]
    summary = dataclasses.replace(digest, name=state.RouteName('summary'))
    moves: list[state.Move] = []
    for route in (digest, summary):
        moves.append(
            state.Move(
                name=f'{route.name}-2',
                route=route.name,
                from_version=digest.version,
                to_version=version,
                start_s=now_s,
                deadline_s=now_s + 900,
            )
        )
    return dataclasses.replace(
        document,
        routes=(*document.routes, summary),
        versions=(
            *document.versions,
            state.Version(
                version, state.RouteKind.GENERATION, 'model-2', 1_000_000
            ),
        ),
        moves=tuple(moves),
    )


def _record(deployment: emulator.Deployment, name: str) -> dict[str, Any]:
    path = f'/objects/moves/{name}'
    read = transport.http_call(
        deployment.object_api.address, 'GET', path, None, {}, 5.0
    )
    if read.is_error() or read.ok.status != 200:
        return {'phase': 'planned'}
    found: dict[str, Any] = deployment.object_api.read_json(path)
    return found


def _generate(
    deployment: emulator.Deployment, route: str, number: int
) -> emulator.ReceivedAnswer:
    instance = deployment.instances[number % len(deployment.instances)]
    return emulator.generate(
        instance.address,
        route,
        _KEY,
        {'prompt': f'prompt {number}', 'max_tokens': 4},
    )


def _serve_until_ended(
    deployment: emulator.Deployment, route: str
) -> tuple[dict[str, Any], int]:
    """Send requests until the route's move ends; count failed ones."""
    failed = 0
    for number in range(2000):
        if number % 10 == 0:
            deployment.publish_list()
        answer = _generate(deployment, route, number)
        if answer.error is not None:
            failed += 1
        else:
            assert answer.text == emulator.expected_text(f'prompt {number}', 4)
        record = _record(deployment, f'{route}-2')
        if record['phase'] in ('completed', 'rolled_back'):
            return record, failed
    raise AssertionError('the move did not end')


def _check_served(deployment: emulator.Deployment, route: str) -> None:
    """Wait until all instances serve the version that works."""
    served = 0
    for number in range(5000, 7000):
        answer = _generate(deployment, route, number)
        served = served + 1 if answer.error is None else 0
        if served == 20:
            return
    raise AssertionError('the end of the move is not in effect')


class TestMoves:
    """Guards against moves that work in one process only."""

    def test_bad_then_good(self) -> None:
        """Engines load model-2 by order; while it fails, the move of one
        route is rolled back; once it works, that of the other completes.
        """
        shape = emulator.DeploymentShape(
            instance_count=2,
            engine_count=2,
            service_count=0,
            step_ms=5.0,
            overrides={'move': _MOVE},
        )
        with emulator.Deployment(shape, _document()) as deployment:
            deployment.lists_loads = True
            for engine in deployment.engines:
                engine.control(fail_version='model-2')
            record, _ = _serve_until_ended(deployment, 'digest')
            assert record['phase'] == 'rolled_back'
            assert record['verdict'] == 'bad'
            _check_served(deployment, 'digest')
            for engine in deployment.engines:
                engine.control(fail_version='')
            record, failed = _serve_until_ended(deployment, 'summary')
            assert record['phase'] == 'completed'
            assert record['verdict'] == 'good'
            assert failed == 0
            for engine in deployment.engines:
                orders = engine.read_json('/control/orders')
                assert ['model-2', 1] in orders
                engine.control(fail_version='model-1')
            _check_served(deployment, 'summary')
