"""Acceptance and distribution of the configuration under faults.

The cases use the real codec, which lives in this layer.
"""

import dataclasses
import hashlib
import threading

import pytest

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.coordination import fakes
from skylarktack.coordination import ports

_CODEC = protocol.JsonConfigurationCodec()


def _document(name: str) -> state.ConfigurationDocument:
    return state.ConfigurationDocument(
        organisations=(
            state.Organisation(
                name=state.OrganisationName(name), key_sha256=()
            ),
        )
    )


def _change(
    name: str, base_revision: int, change_id: str | None = None
) -> state.ConfigurationChange:
    return state.ConfigurationChange(
        document=_document(name),
        base_revision=base_revision,
        author='operator',
        change_id=change_id or name,
    )


def _publisher(
    store: ports.ObjectStore,
) -> configuration.ConfigurationPublisher:
    return configuration.ConfigurationPublisher(
        store, _CODEC, fakes.ManualClock()
    )


class TestPublisher:
    """Guards against lost, doubled and reverted changes."""

    def test_racing_operators(self) -> None:
        """One of two changes from the same base wins; the other is told."""
        store = fakes.MemoryObjectStore()
        assert _publisher(store).apply(_change('first', 0)).is_ok()
        lost = _publisher(store).apply(_change('second', 0))
        assert lost.error.kind is configuration.ChangeFaultKind.CONFLICT
        assert lost.error.current is not None
        assert lost.error.current.document == _document('first')

    @pytest.mark.parametrize('lost_count', [1, 2])
    def test_lost_answer(self, lost_count: int) -> None:
        """A submission repeated after lost answers is applied once."""
        store = fakes.MemoryObjectStore()
        publisher = _publisher(store)
        assert publisher.apply(_change('first', 0)).ok.revision == 1
        store.set_faults(
            fakes.StoreFaults(lose_write_answers_count=lost_count)
        )
        publisher.apply(_change('second', 1, 'same'))
        repeated = publisher.apply(_change('second', 1, 'same'))
        assert repeated.ok.revision == 2
        history = publisher.history(10).ok
        assert [record.revision for record in history] == [2, 1]

    def test_lost_write(self) -> None:
        """A write that was lost on its way is reported and can be repeated."""
        store = fakes.MemoryObjectStore()
        publisher = _publisher(store)
        store.set_faults(fakes.StoreFaults(lose_writes_count=1))
        lost = publisher.apply(_change('first', 0))
        assert lost.error.kind is configuration.ChangeFaultKind.UNKNOWN
        assert publisher.apply(_change('first', 0)).ok.revision == 1

    def test_repeat_after_other_change(self) -> None:
        """A late repetition does not undo a change accepted meanwhile."""
        store = fakes.MemoryObjectStore()
        publisher = _publisher(store)
        publisher.apply(_change('first', 0))
        publisher.apply(_change('second', 1))
        late = publisher.apply(_change('first', 0))
        assert late.ok.document == _document('second')
        assert late.ok.revision == 2

    def test_store_down(self) -> None:
        """Nothing is accepted while the object API is down."""
        store = fakes.MemoryObjectStore()
        store.set_faults(fakes.StoreFaults(down=True))
        lost = _publisher(store).apply(_change('first', 0))
        assert lost.error.kind is configuration.ChangeFaultKind.UNAVAILABLE

    def test_rollback_raises_the_revision(self) -> None:
        """The way back is a new revision with the old document."""
        store = fakes.MemoryObjectStore()
        publisher = _publisher(store)
        publisher.apply(_change('first', 0))
        publisher.apply(_change('second', 1))
        back = publisher.roll_back(1, 'operator', 'back').ok
        assert back.revision == 3
        assert back.document == _document('first')

    def test_large_document(self) -> None:
        """A document of 13,000 organisations fits into one object."""
        organisations: list[state.Organisation] = []
        for index in range(13_000):
            key = hashlib.sha256(f'key {index}'.encode()).hexdigest()
            organisations.append(
                state.Organisation(
                    name=state.OrganisationName(f'organisation-{index}'),
                    key_sha256=(key,),
                )
            )
        document = state.ConfigurationDocument(tuple(organisations))
        change = dataclasses.replace(_change('large', 0), document=document)
        accepted = _publisher(fakes.MemoryObjectStore()).apply(change)
        assert accepted.is_ok(), accepted.error.message


class _UncheckedHolder(configuration.ConfigurationHolder):
    """Takes any revision, newer or not."""

    def is_newer(self, revision: int) -> bool:
        """Accept every revision."""
        return True


class _Instance:
    """One instance that follows the configuration in a thread."""

    def __init__(
        self,
        name: str,
        hub: fakes.LocalPeerHub,
        store: fakes.MemoryObjectStore,
        holder: configuration.ConfigurationHolder | None = None,
    ) -> None:
        self.network = hub.join(name)
        self.holder = holder or configuration.ConfigurationHolder(
            ports.SystemClock()
        )
        self.follower = configuration.ConfigurationFollower(
            configuration.FollowerDependencies(
                store=store,
                peers=self.network,
                codec=_CODEC,
                holder=self.holder,
                clock=ports.SystemClock(),
                metrics=fakes.MemoryMetrics(),
            )
        )
        self._thread = threading.Thread(
            target=self.follower.follow, daemon=True
        )

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; a watch ends with its time."""
        self.follower.stop()

    def wait_revision(self, revision: int) -> int:
        """Wait until a revision is in effect and return the one that is."""
        waiting = threading.Event()
        for _ in range(500):
            if self.holder.current().revision >= revision:
                break
            waiting.wait(0.01)
        return self.holder.current().revision


class TestDistribution:
    """Guards against instances that miss a revision or go back."""

    @staticmethod
    def _fleet(
        count: int,
    ) -> tuple[fakes.LocalPeerHub, fakes.MemoryObjectStore, list[_Instance]]:
        hub = fakes.LocalPeerHub()
        store = fakes.MemoryObjectStore()
        _publisher(store).apply(_change('first', 0))
        instances = [
            _Instance(f'instance-{index}', hub, store)
            for index in range(count)
        ]
        for instance in instances:
            instance.start()
        return hub, store, instances

    def test_all_learn_from_few_watchers(self) -> None:
        """Nine instances take a change; three of them hold a watch."""
        _, store, instances = self._fleet(9)
        for instance in instances:
            assert instance.wait_revision(1) == 1
        _publisher(store).apply(_change('second', 1))
        for instance in instances:
            assert instance.wait_revision(2) == 2
        watchers = [one for one in instances if one.follower.is_watcher()]
        assert len(watchers) == configuration.WATCHER_COUNT
        for instance in instances:
            instance.stop()

    def test_store_down_after_acceptance(self) -> None:
        """One instance that saw the revision brings it to all others."""
        hub, store, instances = self._fleet(5)
        for instance in instances:
            instance.wait_revision(1)
        store.set_faults(fakes.StoreFaults(down=True))
        record = state.ConfigurationRecord(
            2, _document('second'), 'operator', 0.0, 'second'
        )
        stranger = hub.join('instance-late')
        stranger.broadcast(state.ConfigurationOffer(2, _CODEC.encode(record)))
        for instance in instances:
            assert instance.wait_revision(2) == 2
            instance.stop()

    def test_start_during_outage(self) -> None:
        """A starting instance takes the newest revision of its peers."""
        hub, store, instances = self._fleet(3)
        for instance in instances:
            instance.wait_revision(1)
        store.set_faults(fakes.StoreFaults(down=True))
        late = _Instance('instance-late', hub, store)
        late.start()
        assert late.wait_revision(1) == 1
        late.stop()
        for instance in instances:
            instance.stop()

    def test_start_alone_during_outage(self) -> None:
        """An instance that reaches neither store nor peers stays without."""
        hub = fakes.LocalPeerHub()
        store = fakes.MemoryObjectStore()
        _publisher(store).apply(_change('first', 0))
        store.set_faults(fakes.StoreFaults(down=True))
        alone = _Instance('instance-0', hub, store)
        alone.start()
        waiting = threading.Event()
        waiting.wait(0.2)
        assert alone.holder.current().revision == 0
        store.set_faults(fakes.StoreFaults())
        assert alone.wait_revision(1) == 1
        alone.stop()

    def test_older_record_is_refused(self) -> None:
        """A late or restored older record does not revert an instance."""
        hub, store, instances = self._fleet(2)
        for instance in instances:
            instance.wait_revision(1)
        _publisher(store).apply(_change('second', 1))
        for instance in instances:
            assert instance.wait_revision(2) == 2
        old = state.ConfigurationRecord(
            1, _document('first'), 'operator', 0.0, 'first'
        )
        hub.join('instance-late').broadcast(
            state.ConfigurationOffer(1, _CODEC.encode(old))
        )
        for instance in instances:
            assert instance.holder.current().revision == 2
            instance.stop()

    @pytest.mark.parametrize('checked', [True, False])
    def test_late_offer(self, checked: bool) -> None:
        """Without the check of the revision, a late offer reverts."""
        hub = fakes.LocalPeerHub()
        store = fakes.MemoryObjectStore()
        _publisher(store).apply(_change('first', 0))
        _publisher(store).apply(_change('second', 1))
        holder = None if checked else _UncheckedHolder(ports.SystemClock())
        instance = _Instance('instance-0', hub, store, holder)
        instance.start()
        assert instance.wait_revision(2) == 2
        old = state.ConfigurationRecord(
            1, _document('first'), 'operator', 0.0, 'first'
        )
        # Handlers run in the sender's thread, so the offer has been handled.
        instance.network.receive(
            state.InstanceName('late'),
            state.ConfigurationOffer(1, _CODEC.encode(old)),
        )
        expected = 2 if checked else 1
        assert instance.holder.current().revision == expected
        instance.stop()

    def test_hint_after_lost_offer(self) -> None:
        """The revision on the exchanges makes up for a lost offer."""
        hub, store, instances = self._fleet(2)
        for instance in instances:
            instance.wait_revision(1)
        store.set_faults(fakes.StoreFaults(down=True))
        record = state.ConfigurationRecord(
            2, _document('second'), 'operator', 0.0, 'second'
        )
        hub.cut('instance-0', 'instance-1')
        hub.join('instance-late').send(
            instances[0].network.name,
            state.ConfigurationOffer(2, _CODEC.encode(record)),
        )
        hub.leave('instance-late')
        assert instances[0].wait_revision(2) == 2
        assert instances[1].holder.current().revision == 1
        hub.heal()
        topic = configuration.RevisionTopic(
            instances[0].holder, instances[0].follower
        )
        payload = topic.outgoing(instances[1].network.name, 100)
        assert payload is not None
        configuration.RevisionTopic(
            instances[1].holder, instances[1].follower
        ).receive(instances[0].network.name, payload)
        assert instances[1].wait_revision(2) == 2
        for instance in instances:
            instance.stop()
