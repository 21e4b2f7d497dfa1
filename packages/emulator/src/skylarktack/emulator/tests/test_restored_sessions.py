"""Sessions of real instances whose store is restored from a copy."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import signal
import threading
import time

import pytest

from skylarktack.emulator import platform

#: Longest wait for something that has to happen.
PATIENCE_S = 20.0

#: Time for which the store is away before it comes back from the copy.
AWAY_S = 0.4

#: Changes of other objects since the copy, so that its revision is passed by
#: far.
OTHER_CHANGE_COUNT = 20

INSTANCE_COUNT = 3

#: Line of an instance that has noticed a restore.
RESTORED_EVENT = 'store restored from a copy; reading everything again'


@pytest.fixture(name='deployment')
def _deployment() -> Iterator[platform.PlatformDeployment]:
    with platform.PlatformDeployment(INSTANCE_COUNT) as deployment:
        yield deployment


def _call(route: str) -> platform.Attempt:
    return platform.Attempt(route, platform.new_attempt_id())


def _statuses_until_served(
    instance: platform.PlatformInstance, route: str
) -> list[int]:
    """Call until the route is served; return all statuses."""
    statuses: list[int] = []
    end_s = time.monotonic() + PATIENCE_S
    while not statuses or statuses[-1] != 200:
        assert time.monotonic() < end_s, f'{instance.name}: {statuses[-5:]}'
        answer = platform.call(instance.address, _call(route))
        statuses.append(answer.status)
        time.sleep(0.02)
    return statuses


def _wait_in_force(
    instances: list[platform.PlatformInstance], *routes: str
) -> None:
    for instance in instances:
        for route in routes:
            _statuses_until_served(instance, route)


def _write_others(store: platform.PlatformStore, above_revision: int) -> None:
    """Change other objects until the store has passed a revision."""
    while store.revision <= above_revision:
        store.put('notes', 'main', store.revision)


def _restore(store: platform.PlatformStore, copy: platform.StoreCopy) -> None:
    """Take the store away and bring it back from a copy."""
    store.set_mode(platform.StoreMode.RESET)
    time.sleep(AWAY_S)
    store.restore(copy)
    store.set_mode(platform.StoreMode.GOOD)


@contextlib.contextmanager
def _frozen(instance: platform.PlatformInstance) -> Iterator[None]:
    instance.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        instance.signal(signal.SIGCONT)


class TestConfirmedConfiguration:
    """What was confirmed is in force everywhere after a restore."""

    def test_an_added_route_stays_served(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against an instance that goes back to the copy."""
        store = deployment.store
        copy = store.snapshot()
        deployment.apply(platform.manifest(2, more_routes=('added',)))
        _wait_in_force(deployment.instances, 'added')
        _restore(store, copy)
        for instance in deployment.instances:
            instance.wait_for_line('store', RESTORED_EVENT, era=2)
        statuses = set()
        for _ in range(20):
            for instance in deployment.instances:
                answer = platform.call(instance.address, _call('added'))
                statuses.add(answer.status)
            time.sleep(0.05)
        store.write_again()
        for instance in deployment.instances:
            answer = platform.call(instance.address, _call('added'))
            statuses.add(answer.status)
        assert statuses == {200}

    def test_a_change_that_was_lost_unseen_is_in_force(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a change that was confirmed and never applied."""
        store = deployment.store
        copy = store.snapshot()
        store.set_mode(platform.StoreMode.RESET)
        deployment.apply(platform.manifest(2, more_routes=('added',)))
        _restore(store, copy)
        store.write_again()
        _wait_in_force(deployment.instances, 'added')

    def test_changes_go_on_in_revisions_that_are_given_out_again(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a change that is taken for one that was seen."""
        store = deployment.store
        copy = store.snapshot()
        _write_others(store, copy.revision + OTHER_CHANGE_COUNT)
        deployment.apply(platform.manifest(2, more_routes=('first',)))
        _wait_in_force(deployment.instances, 'first')
        last_revision = store.revision
        _restore(store, copy)
        routes = ('first', 'second')
        deployment.apply(platform.manifest(3, more_routes=routes))
        assert store.revision < last_revision
        _wait_in_force(deployment.instances, *routes)
        store.write_again()
        _write_others(store, last_revision)
        deployment.apply(platform.manifest(4, more_routes=(*routes, 'third')))
        _wait_in_force(deployment.instances, *routes, 'third')

    def test_the_old_revision_has_passed_before_anyone_asks(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against instances that all miss the same change."""
        store = deployment.store
        copy = store.snapshot()
        _write_others(store, copy.revision + OTHER_CHANGE_COUNT)
        deployment.apply(platform.manifest(2, more_routes=('first',)))
        _wait_in_force(deployment.instances, 'first')
        last_revision = store.revision
        store.set_mode(platform.StoreMode.RESET)
        time.sleep(AWAY_S)
        store.restore(copy)
        routes = ('first', 'second')
        deployment.apply(platform.manifest(3, more_routes=routes))
        assert store.revision < last_revision
        _write_others(store, last_revision + 1)
        store.set_mode(platform.StoreMode.GOOD)
        _wait_in_force(deployment.instances, *routes)

    def test_a_frozen_instance_asks_after_the_old_revision_has_passed(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a watch that goes on from a lost revision."""
        store = deployment.store
        frozen, *others = deployment.instances
        copy = store.snapshot()
        _write_others(store, copy.revision + OTHER_CHANGE_COUNT)
        deployment.apply(platform.manifest(2, more_routes=('first',)))
        _wait_in_force(deployment.instances, 'first')
        last_revision = store.revision
        with _frozen(frozen):
            _restore(store, copy)
            routes = ('first', 'second')
            deployment.apply(platform.manifest(3, more_routes=routes))
            assert store.revision < last_revision
            _wait_in_force(others, *routes)
            store.write_again()
            _write_others(store, last_revision + 1)
        statuses = _statuses_until_served(frozen, 'second')
        assert set(statuses) <= {200, 503}
        _wait_in_force(deployment.instances, *routes)

    def test_an_instance_starts_before_the_operator_writes_again(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a 404 from an instance that knows only the copy."""
        store = deployment.store
        starting, *others = deployment.instances
        copy = store.snapshot()
        deployment.apply(platform.manifest(2, more_routes=('added',)))
        _wait_in_force(deployment.instances, 'added')
        starting.kill()
        _restore(store, copy)
        starting.start()
        statuses = []
        end_s = time.monotonic() + 2.0
        while time.monotonic() < end_s:
            answer = platform.call(starting.address, _call('added'))
            statuses.append(answer.status)
            time.sleep(0.02)
        store.write_again()
        statuses += _statuses_until_served(starting, 'added')
        assert set(statuses) <= {200, 503}
        _wait_in_force(others, 'added')

    def test_changes_go_on_in_unexpected_eras(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a store that is ignored after its era fell."""
        routes: list[str] = []
        for version, era in enumerate((40, 3, 1), 2):
            deployment.store.set_era(era)
            routes.append(f'era-{era}')
            deployment.apply(
                platform.manifest(version, more_routes=tuple(routes))
            )
            _wait_in_force(deployment.instances, *routes)


class TestRequests:
    """Requests do not notice a restore."""

    def test_requests_and_streams_beside_a_restore_are_answered(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a request that ends with its store."""
        store = deployment.store
        event_count = 200
        copy = store.snapshot()
        deployment.apply(platform.manifest(2, more_routes=('added',)))
        _wait_in_force(deployment.instances, 'added')
        _write_others(store, copy.revision + OTHER_CHANGE_COUNT)
        restored = threading.Event()

        def _call_on(instance: platform.PlatformInstance) -> set[int]:
            statuses = set()
            while not restored.is_set():
                for route in ('book', 'peek', 'added'):
                    answer = platform.call(instance.address, _call(route))
                    statuses.add(answer.status)
            return statuses

        def _read(
            instance: platform.PlatformInstance, subject: str
        ) -> list[object]:
            attempt = platform.Attempt(
                'digest',
                platform.new_attempt_id(),
                subject=subject,
                event_count=event_count,
            )
            return list(platform.read_stream(instance.address, attempt))

        with futures.ThreadPoolExecutor(2 * INSTANCE_COUNT) as tasks:
            streams = {
                instance.name: tasks.submit(_read, instance, instance.name)
                for instance in deployment.instances
            }
            calls = [
                tasks.submit(_call_on, instance)
                for instance in deployment.instances
            ]
            try:
                time.sleep(0.3)
                _restore(store, copy)
                time.sleep(AWAY_S)
                store.write_again()
                time.sleep(AWAY_S)
            finally:
                restored.set()
            for subject, stream in streams.items():
                assert stream.result(PATIENCE_S) == [
                    platform.event_text(subject, number)
                    for number in range(1, event_count + 1)
                ]
            for task in calls:
                assert task.result(PATIENCE_S) == {200}
