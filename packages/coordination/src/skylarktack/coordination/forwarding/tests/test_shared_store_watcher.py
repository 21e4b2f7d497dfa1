"""Tests of watching the store together with other instances."""

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import shared_watch_harness
from skylarktack.coordination.forwarding.tests import watcher_harness
from skylarktack.state import forwarding as data


class TestStoreWatcherWithSharedWatch:
    """In a large fleet a few instances watch for all others."""

    def test_a_watcher_broadcasts_changes(self) -> None:
        """Guards against each instance watching the store by itself."""
        shared = shared_watch_harness.SharedHarness(
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
        shared = shared_watch_harness.SharedHarness(
            True, forwarding.Listing((), 5), forwarding.Changes((), 5)
        )
        shared.watcher.run()
        assert shared.shared_watch.heartbeat() is not None
        shared.clock.advance(1.5)
        assert shared.shared_watch.heartbeat() is None

    def test_a_receiver_applies_changes_without_a_call(self) -> None:
        """Guards against a call of each instance for every change."""
        shared = shared_watch_harness.SharedHarness(
            False, forwarding.Listing((), 5), forwarding.Changes((), 5)
        )
        shared.source.watcher = None
        shared.shared_watch.receive_heartbeat(
            shared_watch_harness.heartbeat(5)
        )
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
        shared = shared_watch_harness.SharedHarness(
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
            shared.shared_watch.receive_heartbeat(
                shared_watch_harness.heartbeat(9)
            )
            return original(kind, 0.001)

        shared.shared_watch.next_change = _next  # type: ignore[method-assign]
        shared.shared_watch.receive_heartbeat(
            shared_watch_harness.heartbeat(9)
        )
        source_list = shared.source.list_all

        def _list(
            may_be_stale: bool = False,
        ) -> forwarding.Listing[str] | forwarding.StoreFault:
            result = source_list(may_be_stale)
            shared.shared_watch.receive_heartbeat(
                shared_watch_harness.heartbeat(9)
            )
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
        shared = shared_watch_harness.SharedHarness(
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
        shared = shared_watch_harness.SharedHarness(
            False, forwarding.Listing((), 5)
        )
        shared.source.watcher = None
        shared.shared_watch.receive_heartbeat(
            shared_watch_harness.heartbeat(5)
        )
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
        shared = shared_watch_harness.SharedHarness(
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

    def test_an_unresponsive_store_is_watched_again(self) -> None:
        """Guards against a call of each instance after an outage.

        A list names a newer revision than the instances that receive changes
        have, so that each of them would ask for changes.
        """
        shared = shared_watch_harness.SharedHarness(
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
        shared = shared_watch_harness.SharedHarness(
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
        shared = shared_watch_harness.SharedHarness(
            False, forwarding.Listing((), 5), *results
        )
        shared.shared_watch.receive_heartbeat(
            shared_watch_harness.heartbeat(5)
        )
        states: list[bool] = []
        watch = shared.source.watch

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            is_suspended = len(states) == 2
            shared.clock.advance(10.0 if is_suspended else timeout_s)
            shared.shared_watch.receive_heartbeat(
                shared_watch_harness.heartbeat(5)
            )
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

    def test_a_heartbeat_that_waited_confirms_nothing_since(self) -> None:
        """Guards against a 404 by a heartbeat from before a resumption."""
        shared = shared_watch_harness.SharedHarness(
            False, forwarding.Listing((), 5)
        )
        shared.source.watcher = None
        resumed_at_s = shared.clock.monotonic_s()
        shared.shared_watch.receive_heartbeat(
            shared_watch_harness.heartbeat(5)
        )
        shared.clock.schedule(resumed_at_s + 0.8, shared.watcher.stop)
        shared.advance_while_waiting()
        shared.watcher.run()
        assert shared.handler.asked_at_s is not None
        assert shared.handler.asked_at_s < resumed_at_s

    def test_a_receiver_without_heartbeats_watches_itself(self) -> None:
        """Guards against a stale configuration after all watchers crashed."""
        shared = shared_watch_harness.SharedHarness(
            False,
            forwarding.Listing((), 5),
            forwarding.Changes((), 6),
            forwarding.Changes((), 7),
        )
        shared.advance_while_waiting()
        shared.shared_watch.receive_heartbeat(
            shared_watch_harness.heartbeat(5)
        )
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
        shared_watch.receive_heartbeat(shared_watch_harness.heartbeat(5))
        clock.advance(1.1)
        assert shared_watch.role('kind') is forwarding.WatchRole.WATCH
