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
class _StoreHarness:
    """One implementation and its switches."""

    #: The store.
    store: ports.ObjectStore

    #: Takes the store down or up again.
    set_down: Callable[[bool], None]

    #: Loses the answer of the next write that takes effect.
    lose_answer: Callable[[], None]

    #: Takes the copy that a restore brings back.
    take_copy: Callable[[], None]

    #: Brings the copy back.
    restore: Callable[[], None]


@pytest.fixture(params=['memory', 'http'])
def harness(request: pytest.FixtureRequest) -> Iterator[_StoreHarness]:
    """Provide each implementation in turn."""
    if request.param == 'memory':
        memory = fakes.MemoryObjectStore()
        yield _StoreHarness(
            memory,
            lambda down: memory.set_faults(fakes.StoreFaults(down=down)),
            lambda: memory.set_faults(
                fakes.StoreFaults(lose_write_answers_count=1)
            ),
            memory.take_copy,
            memory.restore,
        )
        return
    server = emulator.ObjectApiServer(state.Address('127.0.0.1', 0))
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    client = transport.HttpObjectStore(
        state.StoreSettings(emulator.address_of(server))
    )
    yield _StoreHarness(
        client,
        lambda down: setattr(
            server.api, 'faults', emulator.ObjectApiFaults(down=down)
        ),
        lambda: setattr(
            server.api,
            'faults',
            emulator.ObjectApiFaults(lose_write_answers_count=1),
        ),
        server.api.take_copy,
        server.api.restore,
    )
    client.close()
    server.shutdown()
    server.server_close()


class TestObjectStoreContract:
    """Guards against a fake that is kinder than the service."""

    def test_conditional_writes(self, harness: _StoreHarness) -> None:
        """A write takes effect only on the expected version."""
        store = harness.store
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

    def test_watch_and_list(self, harness: _StoreHarness) -> None:
        """A watch ends with the changes after its version."""
        store = harness.store
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

    def test_outage(self, harness: _StoreHarness) -> None:
        """Calls fail as typed faults and work again afterwards."""
        harness.set_down(True)
        kinds = (
            harness.store.get('a').error.kind,
            harness.store.put('a', b'one', None).error.kind,
            harness.store.list('a').error.kind,
            harness.store.platform_list().error.kind,
        )
        assert set(kinds) == {state.StoreFaultKind.UNAVAILABLE}
        harness.set_down(False)
        assert harness.store.put('a', b'one', None).is_ok()

    def test_lost_answer(self, harness: _StoreHarness) -> None:
        """A write whose answer is lost may have taken effect."""
        harness.lose_answer()
        lost = harness.store.put('a', b'one', None)
        assert lost.error.kind is state.StoreFaultKind.ANSWER_LOST
        assert harness.store.get('a').ok.value == b'one'

    def test_restore_takes_acknowledged_writes_back(
        self, harness: _StoreHarness
    ) -> None:
        """Guards against a store that loses writes within one era."""
        store = harness.store
        kept = store.put('a/1', b'kept', None).ok
        harness.take_copy()
        lost = store.put('a/1', b'lost', kept.version).ok
        assert store.era == 0
        harness.restore()
        assert store.get('a/1').ok.value == b'kept'
        assert store.era == 1
        again = store.put('a/1', b'again', kept.version).ok
        assert again.version == lost.version

    def test_restore_ends_a_watch_and_reports_the_era(
        self, harness: _StoreHarness
    ) -> None:
        """Guards against a watcher that waits in an era that has ended."""
        store = harness.store
        last = store.put('a/1', b'one', None).ok
        watcher = threading.Thread(
            target=store.watch,
            args=('a/', last.version, 30.0),
            daemon=True,
        )
        watcher.start()
        # The watch may not have reached the store at the first restore.
        for _ in range(100):
            harness.restore()
            watcher.join(0.05)
            if not watcher.is_alive():
                break
        assert not watcher.is_alive()
        assert store.era > 0
