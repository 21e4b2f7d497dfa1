"""Planned moves of real processes."""

import dataclasses
import time
from typing import Any

import pytest

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
    document = emulator.default_document()
    version = state.VersionName('model-2')
    now_s = time.time()
    return dataclasses.replace(
        document,
        versions=(
            *document.versions,
            state.Version(
                version, state.RouteKind.GENERATION, 'model-2', 1_000_000
            ),
        ),
        moves=(
            state.Move(
                name='digest-2',
                route=state.RouteName('digest'),
                from_version=state.VersionName('model-1'),
                to_version=version,
                start_s=now_s,
                deadline_s=now_s + 900,
            ),
        ),
    )


def _record(deployment: emulator.Deployment) -> dict[str, Any]:
    read = transport.http_call(
        deployment.object_api.address,
        'GET',
        '/objects/moves/digest-2',
        None,
        {},
        5.0,
    )
    if read.is_error() or read.ok.status != 200:
        return {'phase': 'planned'}
    found: dict[str, Any] = deployment.object_api.read_json(
        '/objects/moves/digest-2'
    )
    return found


def _generate(deployment: emulator.Deployment, number: int) -> Any:
    instance = deployment.instances[number % len(deployment.instances)]
    return emulator.generate(
        instance.address,
        'digest',
        _KEY,
        {'prompt': f'prompt {number}', 'max_tokens': 4},
    )


class TestMoves:
    """Guards against moves that work in one process only."""

    @pytest.mark.parametrize('versions', ('model-1', 'model-1+model-2'))
    def test_good_version(self, versions: str) -> None:
        """A move completes, and then the new version serves the route;
        engines that lack it are ordered to load it.
        """
        with emulator.Deployment(_shape(versions), _document()) as deployment:
            deployment.lists_loads = True
            for number in range(2000):
                answer = _generate(deployment, number)
                assert answer.error is None
                assert answer.text == emulator.expected_text(
                    f'prompt {number}', 4
                )
                if number % 10 == 0:
                    deployment.publish_list()
                if _record(deployment)['phase'] == 'completed':
                    break
            record = _record(deployment)
            assert record['phase'] == 'completed'
            assert record['verdict'] == 'good'
            loads = 0
            for engine in deployment.engines:
                loads += len(engine.read_json('/control/orders'))
                engine.control(fail_version='model-1')
            assert (loads == 2) is (versions == 'model-1')
            self._check_served(deployment)

    def test_failing_version(self) -> None:
        """A version that fails is rolled back, the old one serves on."""
        with emulator.Deployment(
            _shape('model-1+model-2'), _document()
        ) as deployment:
            for engine in deployment.engines:
                engine.control(fail_version='model-2')
            for number in range(2000):
                _generate(deployment, number)
                if _record(deployment)['phase'] == 'rolled_back':
                    break
            record = _record(deployment)
            assert record['phase'] == 'rolled_back'
            assert record['verdict'] == 'bad'
            self._check_served(deployment)

    def _check_served(self, deployment: emulator.Deployment) -> None:
        """Wait until all instances serve the version that works."""
        served = 0
        for number in range(5000, 7000):
            answer = _generate(deployment, number)
            served = served + 1 if answer.error is None else 0
            if served == 20:
                return
        raise AssertionError('the end of the move is not in effect')


def _shape(versions: str) -> emulator.DeploymentShape:
    return emulator.DeploymentShape(
        instance_count=2,
        engine_count=2,
        service_count=0,
        step_ms=5.0,
        engine_versions=versions,
        overrides={'move': _MOVE},
    )
