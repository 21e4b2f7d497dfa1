"""Contract of the stand-in for the platform's store, met over HTTP."""

from collections.abc import Iterator
from concurrent import futures
import dataclasses
import http.client
import json
import time
from typing import Any

import pytest

from skylarktack.emulator import platform

#: Longest wait for something that has to happen.
PATIENCE_S = 20.0

#: Wait of a watch that a test ends itself, and of one that ends by itself.
LONG_WAIT_MS = 15_000
SHORT_WAIT_MS = 50


@dataclasses.dataclass(frozen=True)
class _Response:
    """A response of the store."""

    status: int
    era: int
    content: Any


@pytest.fixture(name='store')
def _store() -> Iterator[platform.PlatformStore]:
    store = platform.PlatformStore()
    yield store
    store.close()


def _call(
    store: platform.PlatformStore, method: str, path: str, body: Any = None
) -> _Response:
    connection = http.client.HTTPConnection(
        store.address.host, store.address.port, timeout=PATIENCE_S
    )
    try:
        connection.request(
            method, path, None if body is None else json.dumps(body)
        )
        response = connection.getresponse()
        content = json.loads(response.read())
        era = response.headers['Store-Era']
        return _Response(response.status, int(era), content)
    finally:
        connection.close()


def _watch(
    store: platform.PlatformStore, revision: int, wait_ms: int
) -> _Response:
    return _call(
        store,
        'GET',
        f'/objects/config?watch_stream={revision}&wait_timeout_ms={wait_ms}',
    )


def _list(store: platform.PlatformStore) -> _Response:
    return _call(store, 'GET', '/objects/config')


def _specifications(response: _Response) -> list[Any]:
    return [item['specification'] for item in response.content['items']]


class TestStoreEra:
    """Each response names the era."""

    def test_every_kind_of_response_names_the_era(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a response that a reader cannot place."""
        store.put('config', 'main', 1)
        store.restore(store.snapshot())
        item = {'metadata': {'name': 'a'}, 'specification': 1}
        conflict = {'metadata': {'revision': 0}, 'status': 1}
        responses = [
            _list(store),
            _watch(store, store.revision, SHORT_WAIT_MS),
            _watch(store, store.revision + 1, SHORT_WAIT_MS),
            _call(store, 'POST', '/objects/own', item),
            _call(store, 'POST', '/objects/own', item),
            _call(store, 'PUT', '/objects/own/a', item),
            _call(store, 'PUT', '/objects/own/a/status', conflict),
            _call(store, 'PUT', '/objects/own/b/status', conflict),
            _call(store, 'DELETE', '/objects/own/a'),
        ]
        store.set_mode(platform.StoreMode.BUSY)
        responses.append(_list(store))
        statuses = [response.status for response in responses]
        assert statuses == [200, 200, 410, 201, 409, 200, 409, 404, 200, 503]
        assert {response.era for response in responses} == {2}

    def test_rises_by_one_with_each_restore(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a restore that readers do not notice."""
        copy = store.snapshot()
        eras = [_list(store).era]
        for _ in range(2):
            store.restore(copy)
            eras.append(_list(store).era)
        assert eras == [1, 2, 3]


class TestStoreRestore:
    """The store goes back to a copy."""

    def test_loses_what_was_written_since(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a restore that keeps an acknowledged write."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        before = _list(store)
        store.put('config', 'main', 2)
        store.put('config', 'other', 3)
        store.put_status('config', 'main', None, 'seen')
        store.restore(copy)
        assert _list(store).content == before.content

    def test_brings_back_what_was_removed_since(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a copy that changes with the store."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        store.remove('config', 'main')
        store.restore(copy)
        assert _specifications(_list(store)) == [1]
        # A copy can be used more than once.
        store.put('config', 'main', 2)
        store.restore(copy)
        assert _specifications(_list(store)) == [1]

    def test_gives_revisions_out_again(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a stand-in in which a passed revision is unique."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        store.put('config', 'main', 2)
        lost_revision = store.revision
        store.restore(copy)
        store.put('config', 'main', 3)
        assert store.revision == lost_revision
        watched = _watch(store, copy.revision, SHORT_WAIT_MS)
        (event,) = watched.content['events']
        assert event['object']['specification'] == 3
        assert event['object']['metadata']['revision'] == lost_revision

    def test_refuses_a_watch_from_a_revision_that_it_does_not_have(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a watch that waits for a lost revision."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        store.put('config', 'main', 2)
        lost_revision = store.revision
        store.restore(copy)
        assert _watch(store, lost_revision, SHORT_WAIT_MS).status == 410
        store.put('servers', 'a', 1)
        # The revision is one of the new history now.
        watched = _watch(store, lost_revision, SHORT_WAIT_MS)
        assert watched.status == 200
        assert watched.content['events'] == []

    def test_has_the_history_of_the_copy(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against history that was forgotten after the copy."""
        store.put('config', 'main', 1)
        revision = store.revision
        store.put('config', 'main', 2)
        copy = store.snapshot()
        store.forget_history()
        assert _watch(store, revision, SHORT_WAIT_MS).status == 410
        store.restore(copy)
        watched = _watch(store, revision, SHORT_WAIT_MS)
        assert len(watched.content['events']) == 1

    def test_cuts_waiting_watches(self, store: platform.PlatformStore) -> None:
        """Guards against a watch that goes on across a restore."""
        store.put('config', 'main', 1)
        with futures.ThreadPoolExecutor(1) as tasks:
            task = tasks.submit(_watch, store, store.revision, LONG_WAIT_MS)
            end_s = time.monotonic() + PATIENCE_S
            while store.call_count == 0 and time.monotonic() < end_s:
                time.sleep(0.01)
            store.restore(store.snapshot())
            with pytest.raises((OSError, http.client.HTTPException)):
                task.result(PATIENCE_S)

    def test_refuses_a_conditional_write_on_a_lost_revision(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a write that depends on what is gone."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        store.put('config', 'main', 2)
        lost_revision = store.revision
        store.restore(copy)
        refused = _call(
            store,
            'PUT',
            '/objects/config/main/status',
            {'metadata': {'revision': lost_revision}, 'status': 'seen'},
        )
        assert refused.status == 409
        assert refused.content['specification'] == 1


class TestWriteAgain:
    """The operator and the replicas write again what they wrote."""

    def test_writes_the_newest_of_each_object(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against an operator whose newest order stays lost."""
        store.put('config', 'main', 1)
        store.put('config', 'gone', 1)
        copy = store.snapshot()
        store.put('config', 'main', 2)
        store.put('config', 'main', 3)
        store.put('config', 'new', 4)
        store.remove('config', 'gone')
        store.restore(copy)
        store.write_again()
        assert _specifications(_list(store)) == [3, 4]

    def test_keeps_what_was_written_since_the_restore(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against an operator who goes back to an older order."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        store.put('config', 'main', 2)
        store.restore(copy)
        store.put('config', 'main', 3)
        revision = store.revision
        store.write_again()
        assert _specifications(_list(store)) == [3]
        assert store.revision == revision

    def test_leaves_to_the_system_what_the_system_wrote(
        self, store: platform.PlatformStore
    ) -> None:
        """Guards against a stand-in that mends what the system has to."""
        store.put('config', 'main', 1)
        copy = store.snapshot()
        item = {'metadata': {'name': 'a'}, 'specification': 1}
        _call(store, 'POST', '/objects/own', item)
        store.put_status('config', 'main', None, 'seen')
        store.restore(copy)
        store.write_again()
        assert store.names('own') == ()
        assert store.status_of('config', 'main') is None
