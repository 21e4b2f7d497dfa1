"""Whole sessions of real instances over the platform's stand-ins."""

from collections.abc import Iterator
from concurrent import futures
import http.client
import os
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time

import h11
import pytest

from skylarktack.emulator import platform
from skylarktack.platform import PATH_VARIABLE

#: Longest wait for something that has to happen.
PATIENCE_S = 60.0


@pytest.fixture(name='deployment')
def _deployment() -> Iterator[platform.PlatformDeployment]:
    with platform.PlatformDeployment() as deployment:
        yield deployment


def _whole(subject: str, count: int, first: int = 1) -> list[str]:
    return [
        platform.event_text(subject, number)
        for number in range(first, count + 1)
    ]


def _stream(
    subject: str, count: int, last_event_id: int = 0
) -> platform.Attempt:
    return platform.Attempt(
        'digest',
        platform.new_attempt_id(),
        subject=subject,
        event_count=count,
        last_event_id=last_event_id,
    )


def _call(route: str, key: str = platform.KEY) -> platform.Attempt:
    return platform.Attempt(route, platform.new_attempt_id(), key=key)


def _eventually(
    deployment: platform.PlatformDeployment,
    attempt_of: str,
    status: int,
    key: str = platform.KEY,
) -> None:
    """Wait until every instance gives the status."""
    end_s = time.monotonic() + PATIENCE_S
    for instance in deployment.instances:
        while True:
            answer = platform.call(instance.address, _call(attempt_of, key))
            if answer.status == status:
                break
            assert time.monotonic() < end_s
            time.sleep(0.05)


class TestSession:
    """Calls and streams through two instances."""

    def test_serves_each_kind(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a path that does not reach from end to end."""
        for instance in deployment.instances:
            for route in ('book', 'peek'):
                attempt = _call(route)
                answer = platform.call(instance.address, attempt)
                assert answer.status == 200
                assert answer.body == f'{attempt.attempt_id} done'.encode()
                assert 'Replica-Signature' in answer.headers
            events = platform.read_stream(
                instance.address, _stream('subject', 20)
            )
            assert list(events) == _whole('subject', 20)
        told = {run.organisation for run in deployment.runs()}
        assert told == {'dealer'}

    def test_an_engine_crashes_in_the_middle(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a stream that ends with its engine."""
        attempt = _stream('long', 200)
        received = []
        for event in platform.read_stream(
            deployment.instances[0].address, attempt
        ):
            received.append(event)
            if len(received) == 50:
                for engine in deployment.engines:
                    working = [
                        run for run in engine.runs if run.ended_at_s is None
                    ]
                    if working:
                        deployment.crash(engine)
        assert received == _whole('long', 200)
        runs = [
            run
            for run in deployment.runs()
            if run.attempt_id == attempt.attempt_id
        ]
        assert len(runs) == 2

    def test_an_engine_falls_silent_in_the_middle(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a stream that hangs with its engine."""
        received = []
        for event in platform.read_stream(
            deployment.instances[0].address, _stream('silent', 100)
        ):
            received.append(event)
            if len(received) != 30:
                continue
            for engine in deployment.engines:
                if any(run.ended_at_s is None for run in engine.runs):
                    engine.behaviour.is_frozen = True
        assert received == _whole('silent', 100)

    def test_a_caller_resumes_at_another_instance(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a stream that is lost with its instance."""
        received = []
        first, second = deployment.instances
        events = platform.read_stream(first.address, _stream('moved', 300))
        with pytest.raises((OSError, h11.RemoteProtocolError)):
            for event in events:
                received.append(event)
                if len(received) == 20:
                    first.kill()
        rest = platform.read_stream(
            second.address, _stream('moved', 300, len(received))
        )
        assert received + list(rest) == _whole('moved', 300)

    def test_a_booking_runs_once_whatever_happens_to_its_answer(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a booking that lands twice."""
        for target in deployment.services:
            target.behaviour.loses_answers = True
        attempt = _call('book')
        answer = platform.call(deployment.instances[0].address, attempt)
        assert answer.status == 502
        runs = [
            run
            for run in deployment.runs()
            if run.attempt_id == attempt.attempt_id
        ]
        assert len(runs) == 1

    def test_a_full_service_is_told_as_not_run(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a 503 for a request that has run."""
        for target in deployment.services:
            target.behaviour.is_full = True
        attempt = _call('book')
        answer = platform.call(deployment.instances[0].address, attempt)
        assert answer.status == 503
        assert float(answer.headers['Retry-After']) > 0
        assert not deployment.runs()


class TestConfiguration:
    """Manifests are in force at each instance and never go back."""

    def test_a_new_route_and_a_withdrawn_key(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against an instance that misses a change."""
        _eventually(deployment, 'new', 404)
        deployment.apply(platform.manifest(2, more_routes=('new',)))
        _eventually(deployment, 'new', 200)
        deployment.apply(
            platform.manifest(3, keys=('other',), more_routes=('new',))
        )
        _eventually(deployment, 'new', 401)
        _eventually(deployment, 'new', 200, key='other')

    def test_lost_history_is_listed_again(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against an instance that watches lost history."""
        deployment.store.forget_history()
        deployment.apply(platform.manifest(2, more_routes=('new',)))
        _eventually(deployment, 'new', 200)


class TestStoreOutage:
    """Instances serve on while the store is away."""

    @pytest.mark.parametrize(
        'mode',
        [
            platform.StoreMode.BUSY,
            platform.StoreMode.RESET,
            platform.StoreMode.SILENT,
        ],
    )
    def test_serves_on_and_denies_nothing(
        self,
        deployment: platform.PlatformDeployment,
        mode: platform.StoreMode,
    ) -> None:
        """Guards against refusals by an instance that cannot know."""
        deployment.store.set_mode(mode)
        instance = deployment.instances[0]
        instance.wait_for_line(
            'store', 'store unavailable', kind='configuration'
        )
        assert platform.call(instance.address, _call('peek')).status == 200
        assert platform.call(instance.address, _call('new')).status == 503
        deployment.store.set_mode(platform.StoreMode.GOOD)
        _eventually(deployment, 'new', 404)

    def test_an_instance_that_starts_meanwhile_asks_to_come_back(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a 404 from an instance that knows nothing."""
        instance = deployment.instances[0]
        instance.kill()
        deployment.store.set_mode(platform.StoreMode.RESET)
        instance.start()
        assert _readiness(instance) == 503
        answer = platform.call(instance.address, _call('peek'))
        assert answer.status == 503
        deployment.store.set_mode(platform.StoreMode.GOOD)
        _eventually(deployment, 'peek', 200)
        assert _readiness(instance) == 200


class TestStop:
    """A planned stop finishes what it has begun."""

    def test_a_stream_is_finished(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against streams that a restart cuts."""
        instance = deployment.instances[0]
        with futures.ThreadPoolExecutor(1) as tasks:
            task = tasks.submit(
                lambda: list(
                    platform.read_stream(
                        instance.address, _stream('stopped', 150)
                    )
                )
            )
            end_s = time.monotonic() + PATIENCE_S
            while not deployment.runs() and time.monotonic() < end_s:
                time.sleep(0.01)
            instance.signal(signal.SIGTERM)
            assert task.result(PATIENCE_S) == _whole('stopped', 150)
        instance.wait_ended()

    def test_is_not_ready_while_it_stops(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against new connections to an instance that ends."""
        instance = deployment.instances[0]
        assert _readiness(instance) == 200
        instance.signal(signal.SIGTERM)
        instance.wait_for_line('instance', 'stopping')
        assert _readiness(instance) == 503

    def test_a_reload_changes_nothing(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a signal that ends the process."""
        instance = deployment.instances[0]
        instance.signal(signal.SIGHUP)
        instance.wait_for_line('instance', 'settings reloaded')
        assert platform.call(instance.address, _call('peek')).status == 200


class TestLog:
    """The log never holds up a request."""

    def test_serves_while_nobody_reads_the_log(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a full pipe that stops the instance."""
        # The process takes the ports of an instance that has ended.
        ended = deployment.instances[0]
        ended.kill()
        with tempfile.TemporaryDirectory() as folder:
            source = pathlib.Path(ended.settings_path)
            path = pathlib.Path(folder) / 'node.conf'
            text = source.read_text(encoding='utf-8')
            with open(path, 'w', encoding='utf-8') as settings:
                settings.write(text.replace('instance-0', 'unread'))
            reading, writing = os.pipe()
            process = subprocess.Popen(
                [sys.executable, '-m', platform.INSTANCE_MODULE],
                stdout=writing,
                env=os.environ | {PATH_VARIABLE: str(path)},
            )
            try:
                line = b''
                while not (
                    b'"event":"started"' in line and line.endswith(b'\n')
                ):
                    assert select.select([reading], (), (), PATIENCE_S)[0]
                    line += os.read(reading, 1)
                address = platform.address_in_line(line)
                statuses = set()
                # Each refused request writes a line of some 300 bytes; the
                # pipe holds 65,536.
                for _ in range(600):
                    attempt = _call('unknown', key='x' * 100)
                    statuses.add(platform.call(address, attempt).status)
                assert statuses <= {404, 503}
                served = platform.call(address, _call('peek'))
                assert served.status == 200
            finally:
                process.kill()
                process.wait(PATIENCE_S)
                os.close(reading)
                os.close(writing)


def _readiness(instance: platform.PlatformInstance) -> int:
    address = instance.ready_address
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=PATIENCE_S
    )
    try:
        connection.request('GET', '/readiness')
        return connection.getresponse().status
    finally:
        connection.close()


class TestMoves:
    """Operators move a service to another version."""

    def test_a_bad_version_is_taken_back(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a bad version that goes on getting requests."""
        deployment.order_move('desk', 'v2', 30.0)
        for instance in deployment.instances:
            instance.wait_for_line(
                'move', 'move phase recorded', service='desk'
            )
        bad = deployment.add_service_target('v2', is_bad=True)
        end_s = time.monotonic() + PATIENCE_S
        request_count = 0
        while True:
            status = deployment.store.status_of('rollouts', 'desk')
            if status is not None and status['state'] == 'reverted':
                break
            assert time.monotonic() < end_s
            for instance in deployment.instances:
                answer = platform.call(instance.address, _call('peek'))
                # A failed trial is repeated at the old version.
                assert answer.status == 200
                request_count += 1
        assert status == {'state': 'reverted', 'target': 'v2'}
        assert len(bad.runs) <= 0.1 * request_count + 50
        for instance in deployment.instances:
            instance.wait_for_line(
                'move',
                'move phase recorded',
                phase='rolled_back',
            )
        run_count = len(bad.runs)
        for _ in range(50):
            for instance in deployment.instances:
                platform.call(instance.address, _call('peek'))
        assert len(bad.runs) == run_count
