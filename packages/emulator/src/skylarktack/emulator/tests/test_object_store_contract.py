"""Contract of the object API, for the fake and for the HTTP client."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import threading

import pytest

from skylarktack import emulator
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import fakes
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class _Store:
    """One implementation and its switches."""

    #: The store.
    store: ports.ObjectStore

    #: Takes the store down or up again.
    set_down: Callable[[bool], None]

    #: Loses the answer of the next write that takes effect.
    lose_answer: Callable[[], None]


@pytest.fixture(params=['memory', 'http'])
def bed(request: pytest.FixtureRequest) -> Iterator[_Store]:
    """Provide each implementation in turn."""
    if request.param == 'memory':
        memory = fakes.MemoryObjectStore()
        yield _Store(
            memory,
            lambda down: memory.set_faults(fakes.StoreFaults(down=down)),
            lambda: memory.set_faults(
                fakes.StoreFaults(lose_write_answers_count=1)
            ),
        )
        return
    server = emulator.ObjectApiServer(state.Address('127.0.0.1', 0))
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    client = transport.HttpObjectStore(
        state.StoreSettings(emulator.address_of(server))
    )
    yield _Store(
        client,
        lambda down: setattr(
            server.api, 'faults', emulator.ObjectApiFaults(down=down)
        ),
        lambda: setattr(
            server.api,
            'faults',
            emulator.ObjectApiFaults(lose_write_answers_count=1),
        ),
    )
    client.close()
    server.shutdown()
    server.server_close()


class TestObjectStoreContract:
    """Guards against a fake that is kinder than the service."""

    def test_conditional_writes(self, bed: _Store) -> None:
        """A write takes effect only on the expected version."""
        store = bed.store
        created = store.put('a/1', b'one', None).ok
        assert store.put('a/1', b'two', None).error.kind is (
            state.StoreFaultKind.CONFLICT
        )
        changed = store.put('a/1', b'two', created.version).ok
        assert changed.version > created.version
        stale = store.put('a/1', b'three', created.version)
        assert stale.error.kind is state.StoreFaultKind.CONFLICT
        assert store.get('a/1').ok.value == b'two'
        assert store.get('a/2').error.kind is state.StoreFaultKind.MISSING
        assert store.delete('a/1', created.version).is_error()
        assert store.delete('a/1', changed.version).is_ok()
        assert store.get('a/1').is_error()

    def test_watch_and_list(self, bed: _Store) -> None:
        """A watch ends with the changes after its version."""
        store = bed.store
        first = store.put('a/1', b'one', None).ok
        store.put('b/1', b'other', None)
        batch = store.watch('a/', 0, 1.0).ok
        assert [one.key for one in batch.changed] == ['a/1']
        assert store.watch('a/', batch.version, 0.05).ok.changed == ()
        found: list[state.WatchBatch] = []
        watcher = threading.Thread(
            target=lambda: found.append(
                store.watch('a/', batch.version, 10.0).ok
            )
        )
        watcher.start()
        store.put('a/1', b'two', first.version)
        watcher.join()
        assert [one.value for one in found[0].changed] == [b'two']
        assert [one.key for one in store.list('a/').ok] == ['a/1']

    def test_outage(self, bed: _Store) -> None:
        """Calls fail as typed faults and work again afterwards."""
        bed.set_down(True)
        kinds = (
            bed.store.get('a').error.kind,
            bed.store.put('a', b'one', None).error.kind,
            bed.store.list('a').error.kind,
            bed.store.platform_list().error.kind,
        )
        assert set(kinds) == {state.StoreFaultKind.UNAVAILABLE}
        bed.set_down(False)
        assert bed.store.put('a', b'one', None).is_ok()

    def test_lost_answer(self, bed: _Store) -> None:
        """A write whose answer is lost may have taken effect."""
        bed.lose_answer()
        lost = bed.store.put('a', b'one', None)
        assert lost.error.kind is state.StoreFaultKind.ANSWER_LOST
        assert bed.store.get('a').ok.value == b'one'
