"""At-most-once calls through real processes under faults."""

import collections
import concurrent.futures
import dataclasses
import json
import signal
import threading

from skylarktack import emulator
from skylarktack import state
from skylarktack import transport

_KEY = emulator.organisation_key('small')


def _book(
    instance: emulator.EmulatedProcess, key: str, body: bytes = b'{}'
) -> tuple[int, str, bytes]:
    """Return status, run state and body; status 0 for a lost connection."""
    answered = transport.http_call(
        instance.address,
        'POST',
        '/v1/call/shipment/book',
        body,
        {'Authorization': f'Bearer {_KEY}', 'Idempotency-Key': key},
        20.0,
    )
    if answered.is_error():
        return 0, '', b''
    fields = json.loads(answered.ok.body)
    run = fields.get('error', {}).get('run', '')
    return answered.ok.status, run, answered.ok.body


def _executions(
    services: list[emulator.EmulatedProcess],
) -> collections.Counter[str]:
    found: collections.Counter[str] = collections.Counter()
    for service in services:
        found.update(service.read_json('/control/executions'))
    return found


def _document() -> state.ConfigurationDocument:
    """Return the default document with a short limit for bookings."""
    document = emulator.default_document()
    routes = [
        dataclasses.replace(route, call_timeout_ms=1500)
        for route in document.routes
    ]
    return dataclasses.replace(document, routes=tuple(routes))


class TestOnceProcesses:
    """Guards against faults that only real sockets and signals show."""

    def test_faults(self) -> None:
        """Kill, pause, lost answers and an outage: one run for each key."""
        shape = emulator.DeploymentShape(
            instance_count=2, engine_count=1, service_count=2
        )
        with emulator.Deployment(shape, _document()) as deployment:
            one, two = deployment.instances
            services = deployment.services
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                together = list(
                    pool.map(
                        lambda index: _book((one, two)[index % 2], 'both'),
                        range(8),
                    )
                )
            assert len({body for _, _, body in together}) == 1
            assert _book(two, 'both', b'other')[0] == 409

            deployment.object_api.control(lose_write_answers_count=1)
            assert _book(one, 'store-answer-lost')[0] == 201

            deployment.object_api.control(down=True)
            assert _book(one, 'store-down')[:2] == (503, 'not_run')
            deployment.object_api.control(down=False)

            for service in services:
                service.control(lose_answers_count=1)
            assert _book(two, 'target-answer-lost')[0] == 201
            for service in services:
                service.control(lose_answers_count=0, hang=True)
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                killed = pool.submit(_book, one, 'instance-killed')
                _wait_executed(services, 'small:instance-killed')
                one.kill()
                assert killed.result()[0] == 0
                for service in services:
                    service.control(hang=False)
                assert _book(two, 'instance-killed')[0] == 201

            two.signal(signal.SIGSTOP)
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                paused = pool.submit(_book, two, 'instance-paused')
                two.signal(signal.SIGCONT)
                assert paused.result()[0] == 201
            found = _executions(services)
        assert found['small:store-down'] == 0
        del found['small:store-down']
        assert set(found.values()) == {1}

    def test_claims_of_a_restored_store(self) -> None:
        """Guards against keys that run again after a restore and a kill."""
        shape = emulator.DeploymentShape(
            instance_count=2, engine_count=1, service_count=1
        )
        keys = [f'lost-{index}' for index in range(8)]
        waiting = threading.Event()
        with emulator.Deployment(shape, _document()) as deployment:
            one, two = deployment.instances
            assert _book(one, 'kept')[0] == 201
            _order(deployment.object_api, 'copy')
            for key in keys:
                assert _book(one, key)[0] == 201
            # Outcomes are written after the answers.
            waiting.wait(1.0)
            _order(deployment.object_api, 'restore')
            # The list of the platform is read each second.
            waiting.wait(4.0)
            one.kill()
            for key in keys:
                _wait_booked(two, key)
            found = _executions(deployment.services)
        assert set(found.values()) == {1}
        assert len(found) == 1 + len(keys)


def _order(object_api: emulator.EmulatedProcess, order: str) -> None:
    """Have the object API take its copy or come back from it."""
    answered = transport.http_call(
        object_api.address, 'POST', f'/control/{order}', b'', {}, 5.0
    )
    assert answered.ok.status == 200


def _wait_booked(instance: emulator.EmulatedProcess, key: str) -> None:
    """Book until the answer is not one of a call that did not run."""
    waiting = threading.Event()
    for _ in range(50):
        status, run, _ = _book(instance, key)
        if run != 'not_run':
            break
        waiting.wait(0.1)
    assert status == 201


def _wait_executed(services: list[emulator.EmulatedProcess], key: str) -> None:
    """Wait until a target executed a key."""
    waiting = threading.Event()
    for _ in range(500):
        if _executions(services)[key]:
            return
        waiting.wait(0.02)
    raise AssertionError(f'{key} did not run')


class TestPlannedStop:
    """A planned stop while bookings are at their target."""

    def test_running_calls_are_answered(self) -> None:
        """Guards against bookings that run and are cut by the stop."""
        shape = emulator.DeploymentShape(
            instance_count=2, engine_count=1, service_count=2
        )
        keys = [f'stopped-{number}' for number in range(4)]
        with emulator.Deployment(shape, _document()) as deployment:
            one, two = deployment.instances
            services = deployment.services
            assert _book(one, 'before')[0] == 201
            for service in services:
                service.control(hang=True)
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                running = [pool.submit(_book, one, key) for key in keys]
                for key in keys:
                    _wait_executed(services, f'small:{key}')
                one.signal(signal.SIGTERM)
                threading.Event().wait(0.5)
                for service in services:
                    service.control(hang=False)
                statuses = [call.result()[0] for call in running]
            assert statuses == [201] * len(keys)
            assert [_book(two, key)[0] for key in keys] == statuses
            found = _executions(services)
        assert set(found.values()) == {1}
