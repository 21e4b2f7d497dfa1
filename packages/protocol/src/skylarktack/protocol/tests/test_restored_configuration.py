"""The configuration after its store came back from a copy.

They are in this layer because they use the real codec.
"""

from collections.abc import Callable
import queue
import threading
from unittest import mock

from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.protocol.tests import follower_harness

_CODEC = protocol.JsonConfigurationCodec()
_PEER = state.InstanceName('peer')


class _InterruptedStore(fakes.MemoryObjectStore):
    """Comes back from the copy just before a write takes effect."""

    def __init__(self) -> None:
        super().__init__()
        self.interrupt: Callable[[], None] | None = None

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object, after the interruption if there is one."""
        interrupt, self.interrupt = self.interrupt, None
        if interrupt is not None:
            interrupt()
        return super().put(key, value, expected_version)


class _RecordingQueue:
    """Fetch requests that never come; a number of waits take no time."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.has_waited = threading.Event()
        self.may_go_on = threading.Event()

    def get(self, timeout: float) -> None:
        """Record a wait."""
        self.waits_s.append(timeout)
        if len(self.waits_s) == 8:
            self.has_waited.set()
            self.may_go_on.wait()
        raise queue.Empty

    def get_nowait(self) -> None:
        """Return nothing."""
        raise queue.Empty

    def put(self, peer: state.InstanceName | None) -> None:
        """Ignore a request."""


def _document(name: str) -> state.ConfigurationDocument:
    organisation = state.Organisation(
        name=state.OrganisationName(name), key_sha256=()
    )
    return state.ConfigurationDocument(organisations=(organisation,))


def _record(revision: int, era: int = 0) -> state.ConfigurationRecord:
    name = f'era-{era}-{revision}'
    return state.ConfigurationRecord(
        revision, _document(name), 'operator', 0.0, name, era=era
    )


def _offer(record: state.ConfigurationRecord) -> state.ConfigurationOffer:
    return state.ConfigurationOffer(
        record.revision, _CODEC.encode(record), record.era
    )


def _publish(
    store: ports.ObjectStore,
    base_revision: int,
    change_id: str,
    active: ports.ConfigurationSource | None = None,
) -> Result[state.ConfigurationRecord, configuration.ChangeFault]:
    return configuration.ConfigurationPublisher(
        store, _CODEC, fakes.ManualClock(), active
    ).apply(
        state.ConfigurationChange(
            _document(change_id), base_revision, 'operator', change_id
        )
    )


def _wait_until(condition: Callable[[], bool]) -> bool:
    """Return whether the condition holds within 10 s."""
    waiting = threading.Event()
    for _ in range(1000):
        if condition():
            return True
        waiting.wait(0.01)
    return False


class _Instance(follower_harness.Instance):
    """The only instance of a fleet."""

    def __init__(self, store: ports.ObjectStore) -> None:
        super().__init__('instance-0', fakes.LocalPeerHub(), store)

    def holds(self, change_id: str) -> bool:
        """Return whether the document of a change is in effect."""
        return self.holder.current().document == _document(change_id)


class TestRestoredConfiguration:
    """Guards against instances that lose or keep a history after a restore."""

    def test_lost_revision_is_written_again(self) -> None:
        """Guards against an accepted change that the store no longer has."""
        store = fakes.MemoryObjectStore()
        _publish(store, 0, 'first')
        store.take_copy()
        _publish(store, 1, 'second')
        _publish(store, 2, 'third')
        instance = _Instance(store)
        instance.start()
        assert _wait_until(lambda: instance.holds('third'))
        store.restore()

        def is_written_again() -> bool:
            stored = store.get(configuration.CURRENT_KEY).ok
            return _CODEC.decode(stored.value).ok.revision == 3

        assert _wait_until(is_written_again)
        assert instance.holds('third')
        accepted = _publish(store, 3, 'fourth', instance.holder).ok
        assert accepted.position == state.ConfigurationPosition(1, 4)
        assert _wait_until(lambda: instance.holds('fourth'))
        history = configuration.ConfigurationPublisher(
            store, _CODEC, fakes.ManualClock()
        ).history(10)
        assert [record.revision for record in history.ok] == [4, 3, 1]
        instance.stop()

    def test_revision_is_written_again_to_an_empty_store(self) -> None:
        """Guards against a first change that a restore takes back."""
        store = fakes.MemoryObjectStore()
        store.take_copy()
        _publish(store, 0, 'first')
        instance = _Instance(store)
        instance.start()
        assert _wait_until(lambda: instance.holds('first'))
        store.restore()
        assert _wait_until(
            lambda: store.get(configuration.CURRENT_KEY).is_ok()
        )
        instance.stop()

    def test_change_of_a_later_era_with_a_lower_revision(self) -> None:
        """Guards against an instance that keeps a history that has ended."""
        store = fakes.MemoryObjectStore()
        _publish(store, 0, 'first')
        store.take_copy()
        store.restore()
        instance = _Instance(store)
        instance.network.receive(_PEER, _offer(_record(4)))
        assert instance.holds('era-0-4')
        assert _publish(store, 1, 'later').ok.revision == 2
        instance.start()
        assert _wait_until(lambda: instance.holds('later'))
        instance.network.receive(_PEER, _offer(_record(5)))
        assert instance.holds('later')
        instance.stop()

    def test_change_that_an_earlier_release_accepted(self) -> None:
        """Guards against an accepted change that is taken back.

        Earlier releases accept changes on top of those of a later era and
        write them without one.
        """
        store = fakes.MemoryObjectStore()
        _publish(store, 0, 'first')
        store.take_copy()
        store.restore()
        instance = _Instance(store)
        instance.start()
        assert _publish(store, 1, 'second').ok.era == 1
        assert _wait_until(lambda: instance.holds('second'))
        current = store.get(configuration.CURRENT_KEY).ok
        accepted = _CODEC.encode(_record(3))
        assert store.put(current.key, accepted, current.version).is_ok()
        assert _wait_until(lambda: instance.holds('era-0-3'))
        position = state.ConfigurationPosition(1, 3)
        assert instance.holder.current().position == position
        assert store.get(configuration.CURRENT_KEY).ok.value == accepted
        # A revision of the ended era that a peer still has is not newer.
        instance.network.receive(_PEER, _offer(_record(4)))
        assert instance.holds('era-0-3')
        instance.stop()

    def test_reads_of_a_record_that_cannot_be_decoded(self) -> None:
        """Guards against instances that read it twice a second for ever."""
        store = fakes.MemoryObjectStore()
        _publish(store, 0, 'first')
        requests = _RecordingQueue()
        with mock.patch.object(
            queue, 'SimpleQueue', autospec=True, return_value=requests
        ):
            instance = _Instance(store)
        instance.start()
        assert _wait_until(lambda: instance.holds('first'))
        current = store.get(configuration.CURRENT_KEY).ok
        store.put(current.key, b'odd', current.version)
        store.take_copy()
        store.restore()
        assert requests.has_waited.wait(10.0)
        waits_s = requests.waits_s
        assert waits_s[0] <= 1.5
        assert min(waits_s[-4:]) >= 2.5
        assert max(waits_s) <= 7.5
        current = store.get(configuration.CURRENT_KEY).ok
        mended = _CODEC.encode(_record(2, era=1))
        store.put(current.key, mended, current.version)
        requests.may_go_on.set()
        assert _wait_until(lambda: instance.holds('era-1-2'))
        instance.stop()

    def test_no_change_on_top_of_a_copy(self) -> None:
        """Guards against a change that takes an accepted one back unseen."""
        store = fakes.MemoryObjectStore()
        _publish(store, 0, 'first')
        store.take_copy()
        store.restore()
        instance = _Instance(store)
        instance.network.receive(_PEER, _offer(_record(4)))
        refused = _publish(store, 1, 'later', instance.holder)
        assert refused.error.kind is configuration.ChangeFaultKind.UNAVAILABLE

    def test_write_across_a_restore_is_not_confirmed(self) -> None:
        """Guards against a condition on a version that was given out again."""
        store = _InterruptedStore()
        _publish(store, 0, 'first')
        store.take_copy()
        publisher = configuration.ConfigurationPublisher(
            store, _CODEC, fakes.ManualClock()
        )
        store.interrupt = store.restore
        change = state.ConfigurationChange(
            _document('second'), 1, 'operator', 'second'
        )
        written = publisher.apply(change)
        assert written.error.kind is configuration.ChangeFaultKind.UNKNOWN
        assert publisher.apply(change).ok.document == _document('second')


class TestPositions:
    """Guards against revisions of two eras that are compared."""

    def test_index_of_the_same_revision_of_another_era(self) -> None:
        """Guards against lookups in the document of an earlier era."""
        holder = configuration.ConfigurationHolder(ports.SystemClock())
        index = configuration.ConfigurationIndex(holder)
        for era in (0, 1):
            organisation = state.Organisation(
                name=state.OrganisationName(f'era-{era}'), key_sha256=('key',)
            )
            holder.replace_if_newer(
                state.ConfigurationPosition(era, 4),
                state.ConfigurationDocument(organisations=(organisation,)),
            )
            assert index.organisation_by_key('key') == organisation

    def test_gossip_of_a_later_era(self) -> None:
        """Guards against gossip that is compared by its revision only."""
        store = fakes.MemoryObjectStore()
        instance = _Instance(store)
        topic = configuration.PositionTopic(instance.holder, instance.follower)
        assert topic.outgoing(_PEER, 100) is None
        instance.network.receive(_PEER, _offer(_record(2, era=1)))
        sent = topic.outgoing(_PEER, 100)
        assert sent == (1).to_bytes(8, 'big') + (2).to_bytes(8, 'big')
        with mock.patch.object(
            instance.follower, 'request_fetch', autospec=True
        ) as fetch:
            topic.receive(_PEER, bytes(8) + (9).to_bytes(8, 'big'))
            fetch.assert_not_called()
            topic.receive(_PEER, (2).to_bytes(8, 'big') + bytes(8))
            fetch.assert_called_once_with(_PEER)

    def test_gossip_with_earlier_releases(self) -> None:
        """Guards against a fetch for each message of a later release.

        Earlier releases take the whole payload for the revision.
        """
        store = fakes.MemoryObjectStore()
        instance = _Instance(store)
        topic = configuration.RevisionTopic(instance.holder, instance.follower)
        instance.network.receive(_PEER, _offer(_record(2, era=1)))
        sent = topic.outgoing(_PEER, 100)
        assert sent is not None
        assert int.from_bytes(sent, 'big') == 2
        with mock.patch.object(
            instance.follower, 'request_fetch', autospec=True
        ) as fetch:
            topic.receive(_PEER, (9).to_bytes(8, 'big'))
            fetch.assert_not_called()
