"""Tests of watching the store together with other instances."""

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import watcher_harness
from skylarktack.state import forwarding as data


def _heartbeat(revision: int) -> data.WatchHeartbeat:
    return data.WatchHeartbeat('x', (data.ConfirmedKind('kind', revision),))


class _SharedHarness:
    """A watcher of an instance in a large fleet."""

    def __init__(
        self,
        is_watcher: bool,
        *results: watcher_harness.StoreResult,
        is_list_shorter: bool = False,
    ) -> None:
        self.clock = fakes.SteppingClock()
        self.link = harness.RecordingLink()
        self.source = watcher_harness.ScriptedSource(*results)
        self.handler = watcher_harness.RecordingHandler()
        self.health = forwarding.StoreHealth(self.clock)
        self.shared_watch = self._shared_watch_of_rank(is_watcher)
        self.watcher = forwarding.StoreWatcher(
            self.clock,
            self.source,
            self.handler,
            fakes.RecordingLog(),
            forwarding.WatchSettings('kind', 3.0, 0.0, is_list_shorter),
            self.health,
            self.source.era,
            self.shared_watch,
        )
        self.source.watcher = self.watcher

    def advance_while_waiting(self) -> None:
        """Advance the clock while the watcher waits for a change."""
        original = self.shared_watch.next_change

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            self.clock.advance(timeout_s)
            return original(kind, 0.0)

        self.shared_watch.next_change = _next  # type: ignore[method-assign]

    def _shared_watch_of_rank(
        self, is_watcher: bool
    ) -> forwarding.SharedWatch:
        names = [f'instance-{number}' for number in range(20)]
        for own in names:
            view = forwarding.FleetView(
                self.clock, fakes.RecordingLog(), own, data.Address('h', 1)
            )
            for number, name in enumerate(names):
                if name != own:
                    view.receive(harness.peer_report(name, number))
            shared_watch = forwarding.SharedWatch(
                self.clock, view, self.link, self.source.era
            )
            asks = shared_watch.role('kind') is forwarding.WatchRole.WATCH
            # Rank 2 asks at first as well, since it receives no heartbeat.
            if asks == is_watcher and (view.rank() < 2) == is_watcher:
                return shared_watch
        raise AssertionError(f'no instance with is_watcher={is_watcher}')


class TestStoreWatcherWithSharedWatch:
    """In a large fleet a few instances watch for all others."""

    def test_a_watcher_broadcasts_changes(self) -> None:
        """Guards against each instance watching the store by itself."""
        shared = _SharedHarness(
            True,
            forwarding.Listing((), 5),
            forwarding.Changes(('b',), 9, b'b'),
        )
        shared.watcher.run()
        assert data.StoreChange('kind', 5, 9, b'b') in shared.link.sent
        heartbeat = shared.shared_watch.heartbeat()
        assert heartbeat is not None
        assert heartbeat.kinds == (data.ConfirmedKind('kind', 9),)

    def test_a_watcher_without_store_sends_no_heartbeats(self) -> None:
        """Guards against relying on an instance that lost the store."""
        shared = _SharedHarness(
            True, forwarding.Listing((), 5), forwarding.Changes((), 5)
        )
        shared.watcher.run()
        assert shared.shared_watch.heartbeat() is not None
        shared.clock.advance(1.5)
        assert shared.shared_watch.heartbeat() is None

    def test_a_receiver_applies_changes_without_a_call(self) -> None:
        """Guards against a call of each instance for every change."""
        shared = _SharedHarness(
            False, forwarding.Listing((), 5), forwarding.Changes((), 5)
        )
        shared.source.watcher = None
        shared.shared_watch.receive_heartbeat(_heartbeat(5))
        shared.shared_watch.receive_change(
            data.StoreChange('kind', 5, 9, b'b c')
        )
        original = shared.handler.apply

        def _apply(items: tuple[str, ...], after_outage: bool) -> None:
            original(items, after_outage)
            if items:
                shared.watcher.stop()

        shared.handler.apply = _apply  # type: ignore[method-assign]
        shared.watcher.run()
        # The change also brings the stale list up to date.
        assert shared.source.calls == ['stale list']
        assert shared.handler.applied[-1] == ('changes', ('b', 'c'), False)

    def test_a_receiver_that_misses_a_change_asks_the_store(self) -> None:
        """Guards against missing a change whose datagram was lost."""
        shared = _SharedHarness(
            False,
            forwarding.Listing((), 5),
            forwarding.Changes(('b', 'c'), 9, b'b c'),
        )
        shared.shared_watch.receive_change(
            data.StoreChange('kind', 7, 9, b'c')
        )
        original = shared.shared_watch.next_change

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            shared.clock.advance(timeout_s)
            shared.shared_watch.receive_heartbeat(_heartbeat(9))
            return original(kind, 0.001)

        shared.shared_watch.next_change = _next  # type: ignore[method-assign]
        shared.shared_watch.receive_heartbeat(_heartbeat(9))
        source_list = shared.source.list_all

        def _list(
            may_be_stale: bool = False,
        ) -> forwarding.Listing[str] | forwarding.StoreFault:
            result = source_list(may_be_stale)
            shared.shared_watch.receive_heartbeat(_heartbeat(9))
            return result

        shared.source.list_all = _list  # type: ignore[method-assign]
        shared.watcher.run()
        assert shared.source.calls == ['stale list', 'watch 5']
        assert shared.handler.applied == [
            ('list', (), False),
            ('changes', ('b', 'c'), False),
        ]

    def test_a_receiver_asks_for_a_change_that_a_watch_missed(self) -> None:
        """Guards against missing a change for good.

        While the store compacts revisions, a watch may return no changes but
        a newer revision, and the list that the watching instance then reads
        has the same revision.
        """
        shared = _SharedHarness(
            False, forwarding.Listing((), 5), forwarding.Changes(('b',), 80)
        )
        shared.advance_while_waiting()
        original = shared.shared_watch.reported

        def _report(kind: str) -> data.ConfirmedKind | None:
            changed = 5 if shared.clock.monotonic_s() < 1001.0 else 80
            confirmed = data.ConfirmedKind('kind', changed)
            shared.shared_watch.receive_heartbeat(
                data.WatchHeartbeat('x', (confirmed,))
            )
            return original(kind)

        shared.shared_watch.reported = _report  # type: ignore[method-assign]
        _report('kind')
        shared.watcher.run()
        assert shared.handler.applied[-1] == ('changes', ('b',), False)
        # This is long before the reports of the peers expire.
        assert shared.clock.monotonic_s() < 1010.0

    def test_a_forwarded_change_after_an_outage_is_marked(self) -> None:
        """Guards against removing targets that expired in an outage."""
        shared = _SharedHarness(False, forwarding.Listing((), 5))
        shared.source.watcher = None
        shared.shared_watch.receive_heartbeat(_heartbeat(5))
        shared.shared_watch.receive_change(
            data.StoreChange('kind', 5, 9, b'b', follows_outage=True)
        )
        original = shared.handler.apply

        def _apply(items: tuple[str, ...], after_outage: bool) -> None:
            original(items, after_outage)
            shared.watcher.stop()

        shared.handler.apply = _apply  # type: ignore[method-assign]
        shared.watcher.run()
        assert shared.handler.applied[-1] == ('changes', ('b',), True)

    def test_forwarded_changes_apply_during_an_outage(self) -> None:
        """Guards against waiting for a call although a peer forwarded changes.

        The instance shares the watch but its own call fails.
        """
        shared = _SharedHarness(
            True, forwarding.Listing((), 5), watcher_harness.UNAVAILABLE
        )
        shared.shared_watch.receive_change(
            data.StoreChange('kind', 5, 9, b'b')
        )
        original = shared.handler.apply

        def _apply(items: tuple[str, ...], after_outage: bool) -> None:
            original(items, after_outage)
            shared.watcher.stop()

        shared.handler.apply = _apply  # type: ignore[method-assign]
        shared.source.watcher = None
        shared.watcher.run()
        assert shared.handler.applied[-1] == ('changes', ('b',), False)

    def test_a_silent_store_is_watched_again(self) -> None:
        """Guards against a call of each instance after an outage.

        A list names a newer revision than the instances that receive changes
        have, so that each of them would ask for changes.
        """
        shared = _SharedHarness(
            True,
            forwarding.Listing((), 5),
            watcher_harness.TIMED_OUT,
            watcher_harness.TIMED_OUT,
            forwarding.Changes((), 5),
            is_list_shorter=True,
        )
        shared.advance_while_waiting()
        shared.watcher.run()
        assert shared.source.calls == ['stale list'] + ['watch 5'] * 3

    def test_forwarded_changes_apply_while_a_list_is_due(self) -> None:
        """Guards against stale targets while the store answers no list."""
        shared = _SharedHarness(
            True,
            forwarding.Listing((), 5),
            watcher_harness.TIMED_OUT,
            watcher_harness.TIMED_OUT,
            watcher_harness.TIMED_OUT,
            forwarding.Changes((), 9),
        )
        shared.advance_while_waiting()
        started_at_s = shared.clock.monotonic_s()
        shared.clock.schedule(
            started_at_s + 0.01, shared.health.record_response
        )
        original = shared.source.list_all

        def _list(
            may_be_stale: bool = False,
        ) -> forwarding.Listing[str] | forwarding.StoreFault:
            result = original(may_be_stale)
            if not may_be_stale:
                shared.shared_watch.receive_change(
                    data.StoreChange('kind', 5, 9, b'b')
                )
            return result

        shared.source.list_all = _list  # type: ignore[method-assign]
        shared.watcher.run()
        assert shared.source.calls == [
            'stale list',
            'watch 5',
            'watch 5',
            'list',
            'watch 9',
        ]
        assert ('changes', ('b',), False) in shared.handler.applied

    @pytest.mark.parametrize('era', [0, 1])
    def test_a_suspended_receiver_asks_the_store(self, era: int) -> None:
        """Guards against confirmations that waited for a suspended process.

        Heartbeats from before the suspension are received after it, and are
        taken for new ones.
        """
        results: list[watcher_harness.StoreResult] = [
            forwarding.Changes(('b',), 9, b'b', era=era)
        ]
        if era:
            results.append(forwarding.Listing(('b',), 9, era=era))
        shared = _SharedHarness(False, forwarding.Listing((), 5), *results)
        shared.shared_watch.receive_heartbeat(_heartbeat(5))
        states: list[bool] = []
        watch = shared.source.watch

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            is_suspended = len(states) == 2
            shared.clock.advance(10.0 if is_suspended else timeout_s)
            shared.shared_watch.receive_heartbeat(_heartbeat(5))
            if len(states) > 3:
                shared.watcher.stop()
            states.append(shared.handler.is_current)
            return None

        def _watch(
            revision: int, wait_s: float
        ) -> forwarding.Changes[str] | forwarding.StoreFault:
            states.append(shared.handler.is_current)
            return watch(revision, wait_s)

        shared.shared_watch.next_change = _next  # type: ignore[method-assign]
        shared.source.watch = _watch  # type: ignore[method-assign]
        shared.watcher.run()
        assert states[1:4] == [True, True, False]
        assert shared.source.calls[:2] == ['stale list', 'watch 5']
        assert shared.handler.applied[-1][1] == ('b',)

    def test_a_receiver_without_heartbeats_watches_itself(self) -> None:
        """Guards against a stale configuration after all watchers crashed."""
        shared = _SharedHarness(
            False,
            forwarding.Listing((), 5),
            forwarding.Changes((), 6),
            forwarding.Changes((), 7),
        )
        shared.advance_while_waiting()
        shared.shared_watch.receive_heartbeat(_heartbeat(5))
        shared.clock.advance(1.0)
        shared.watcher.run()
        assert shared.source.calls == ['stale list', 'watch 5', 'watch 6']
        assert shared.shared_watch.heartbeat() is not None

    def test_instances_of_a_small_fleet_watch_themselves(self) -> None:
        """Guards against delays in a fleet whose calls cost little."""
        clock = fakes.SteppingClock()
        view = forwarding.FleetView(
            clock, fakes.RecordingLog(), 'own', data.Address('h', 1)
        )
        shared_watch = forwarding.SharedWatch(
            clock,
            view,
            harness.RecordingLink(),
            forwarding.StoreEra(fakes.RecordingLog()),
        )
        shared_watch.receive_heartbeat(_heartbeat(5))
        clock.advance(1.1)
        assert shared_watch.role('kind') is forwarding.WatchRole.WATCH


class TestSharedWatchAfterRestore:
    """Revisions that peers report belong to an era of the store."""

    @pytest.mark.parametrize(
        ('reported', 'is_reported'),
        [
            (data.ConfirmedKind('kind', 9, era=3), False),
            (data.ConfirmedKind('kind', 5, era=4), True),
            (data.ConfirmedKind('kind', 9), False),
        ],
    )
    def test_heartbeats_of_an_earlier_era_are_ignored(
        self, reported: data.ConfirmedKind, is_reported: bool
    ) -> None:
        """Guards against relying on a peer that missed the restore."""
        shared = _SharedHarness(False)
        shared.source.era.record(4)
        heartbeat = data.WatchHeartbeat('x', (reported,))
        shared.shared_watch.receive_heartbeat(heartbeat)
        expected = reported if is_reported else None
        assert shared.shared_watch.reported('kind') == expected

    def test_a_wrong_era_expires(self) -> None:
        """Guards against a peer that makes all others ignored for good."""
        shared = _SharedHarness(False)
        for era in (9, 4):
            confirmed = data.ConfirmedKind('kind', 5, era)
            heartbeat = data.WatchHeartbeat('x', (confirmed,))
            shared.shared_watch.receive_heartbeat(heartbeat)
            shared.clock.advance(1.0)
        shared.shared_watch.receive_heartbeat(heartbeat)
        assert shared.shared_watch.reported('kind') == confirmed

    def test_an_earlier_confirmation_is_not_reported(self) -> None:
        """Guards against peers that rely on a watch of the former history."""
        shared = _SharedHarness(True)
        confirmed = data.ConfirmedKind('kind', 9, era=3)
        shared.source.era.record(3)
        shared.shared_watch.record_response(confirmed)
        assert shared.shared_watch.heartbeat() is not None
        shared.source.era.record(4)
        assert shared.shared_watch.heartbeat() is None

    def test_a_receiver_lists_when_peers_report_a_later_era(self) -> None:
        """Guards against an instance that counts as current for ever.

        The peers report a lower revision, which the instance took for one
        that it knows, and served the configuration from before the restore.
        """
        shared = _SharedHarness(
            False,
            forwarding.Listing(('a',), 9, era=3),
            forwarding.Listing(('b',), 7, era=4),
        )
        later = data.ConfirmedKind('kind', 7, era=4)
        end_s = shared.clock.monotonic_s() + 10.0

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            shared.clock.advance(timeout_s)
            if shared.clock.monotonic_s() > end_s:
                shared.watcher.stop()
            shared.shared_watch.receive_heartbeat(
                data.WatchHeartbeat('x', (later,))
            )
            return None

        shared.shared_watch.next_change = _next  # type: ignore[method-assign]
        shared.shared_watch.receive_heartbeat(
            data.WatchHeartbeat('x', (data.ConfirmedKind('kind', 9, era=3),))
        )
        shared.watcher.run()
        assert shared.source.calls == ['stale list', 'list']
        assert shared.handler.applied[-1] == ('list', ('b',), True)
        assert shared.handler.restore_count == 1

    def test_a_forwarded_change_of_another_era_is_dropped(self) -> None:
        """Guards against a position that mixes two histories."""
        shared = _SharedHarness(
            True,
            forwarding.Listing((), 5, era=3),
            watcher_harness.UNAVAILABLE,
            forwarding.Changes((), 6, era=3),
        )
        shared.advance_while_waiting()
        shared.shared_watch.receive_change(
            data.StoreChange('kind', 5, 9, b'b', era=4)
        )
        shared.watcher.run()
        assert shared.source.calls == ['stale list', 'watch 5', 'watch 5']
        assert ('changes', ('b',), False) not in shared.handler.applied

    def test_a_forwarded_change_is_decoded_with_its_era(self) -> None:
        """Guards against objects that seem to be from before the restore."""
        shared = _SharedHarness(
            True,
            forwarding.Listing((), 5, era=3),
            watcher_harness.UNAVAILABLE,
            forwarding.Changes((), 9, era=3),
        )
        shared.advance_while_waiting()
        shared.shared_watch.receive_change(
            data.StoreChange('kind', 5, 9, b'b', era=3)
        )
        shared.watcher.run()
        assert ('changes', ('b',), False) in shared.handler.applied
        assert shared.source.decoded_eras == [3]
