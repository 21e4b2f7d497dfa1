"""Tests of watchers when the store comes back from a copy."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import shared_watch_harness
from skylarktack.coordination.forwarding.tests import watcher_harness
from skylarktack.state import forwarding as data


class _Watcher:
    """A watcher that asks the store itself."""

    def __init__(self, *results: watcher_harness.StoreResult) -> None:
        clock = fakes.SteppingClock()
        self.source = watcher_harness.ScriptedSource(*results)
        self.handler = watcher_harness.RecordingHandler()
        self.watcher = forwarding.StoreWatcher(
            clock,
            self.source,
            self.handler,
            fakes.RecordingLog(),
            forwarding.WatchSettings('kind', 3.0, 0.0),
            forwarding.StoreHealth(clock),
            self.source.era,
        )
        self.source.watcher = self.watcher


class TestWatchAfterRestore:
    """A store in a later era has given revisions out again."""

    @pytest.mark.parametrize(
        ('result', 'expected_calls'),
        [
            # The store has passed the revision again.
            (
                forwarding.Changes(('c',), 12, era=4),
                ['stale list', 'watch 9', 'list'],
            ),
            (
                forwarding.Changes((), 9, era=4),
                ['stale list', 'watch 9', 'list'],
            ),
            # The store does not have the revision yet.
            (
                watcher_harness.COMPACTED,
                ['stale list', 'watch 9', 'list'],
            ),
            (
                watcher_harness.UNAVAILABLE,
                ['stale list', 'watch 9', 'watch 9', 'list'],
            ),
        ],
    )
    def test_lists_again(
        self,
        result: watcher_harness.StoreResult,
        expected_calls: list[str],
    ) -> None:
        """Guards against missing changes below a revision that is reused."""
        results = [result]
        if result is watcher_harness.UNAVAILABLE:
            results.append(forwarding.Changes((), 9, era=4))
        watcher = _Watcher(
            forwarding.Listing(('a',), 9, era=3),
            *results,
            forwarding.Listing(('b',), 7, era=4),
        )
        watcher.watcher.run()
        assert watcher.source.calls == expected_calls
        assert watcher.handler.restore_count == 1
        assert watcher.handler.is_current
        # The list may lack entries that are written again.
        assert watcher.handler.applied[1:] == [('list', ('b',), True)]

    def test_another_task_learns_of_the_restore(self) -> None:
        """Guards against a kind that is watched on from an old revision."""
        watcher = _Watcher(
            forwarding.Listing(('a',), 9, era=3),
            watcher_harness.UNAVAILABLE,
            forwarding.Listing(('b',), 7, era=4),
        )
        watch = watcher.source.watch

        def _watch(
            revision: int, wait_s: float
        ) -> forwarding.Changes[str] | forwarding.StoreFault:
            result = watch(revision, wait_s)
            watcher.source.era.record(4)
            return result

        watcher.source.watch = _watch  # type: ignore[method-assign]
        watcher.watcher.run()
        assert watcher.source.calls == ['stale list', 'watch 9', 'list']
        assert watcher.handler.restore_count == 1

    def test_same_era_is_no_restore(self) -> None:
        """Guards against a list after each response of the store."""
        watcher = _Watcher(
            forwarding.Listing(('a',), 9, era=3),
            forwarding.Changes(('b',), 12, era=3),
            forwarding.Changes((), 12, era=3),
        )
        watcher.watcher.run()
        assert watcher.source.calls == ['stale list', 'watch 9', 'watch 12']
        assert watcher.handler.restore_count == 0


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
        shared = shared_watch_harness.SharedHarness(False)
        shared.source.era.record(4)
        heartbeat = data.WatchHeartbeat('x', (reported,))
        shared.shared_watch.receive_heartbeat(heartbeat)
        expected = reported if is_reported else None
        assert shared.shared_watch.reported('kind') == expected

    def test_a_wrong_era_expires(self) -> None:
        """Guards against a peer that makes all others ignored for good."""
        shared = shared_watch_harness.SharedHarness(False)
        for era in (9, 4):
            confirmed = data.ConfirmedKind('kind', 5, era)
            heartbeat = data.WatchHeartbeat('x', (confirmed,))
            shared.shared_watch.receive_heartbeat(heartbeat)
            shared.clock.advance(1.0)
        shared.shared_watch.receive_heartbeat(heartbeat)
        assert shared.shared_watch.reported('kind') == confirmed

    def test_an_earlier_confirmation_is_not_reported(self) -> None:
        """Guards against peers that rely on a watch of the former history."""
        shared = shared_watch_harness.SharedHarness(True)
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
        shared = shared_watch_harness.SharedHarness(
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
        shared = shared_watch_harness.SharedHarness(
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
        shared = shared_watch_harness.SharedHarness(
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


def _follow_fall(era: forwarding.StoreEra) -> None:
    """Let the store report era 9 first and era 4 from then on."""
    era.record(9)
    for _ in range(3):
        era.record(4, era.begin_call())


class TestFallenEra:
    """A store whose era falls, at instances that saw it and one that didn't.

    An instance that started since then knows nothing of the higher era.
    """

    def test_heartbeats_name_the_reported_era(self) -> None:
        """Guards against peers that list again with each heartbeat."""
        shared = shared_watch_harness.SharedHarness(True)
        _follow_fall(shared.source.era)
        shared.shared_watch.record_response(
            data.ConfirmedKind('kind', 7, shared.source.era.current)
        )
        heartbeat = shared.shared_watch.heartbeat()
        assert heartbeat is not None
        assert heartbeat.kinds == (data.ConfirmedKind('kind', 7, era=4),)

    def test_heartbeats_of_a_later_instance_count(self) -> None:
        """Guards against asking the store for each change from then on."""
        shared = shared_watch_harness.SharedHarness(False)
        _follow_fall(shared.source.era)
        confirmed = data.ConfirmedKind('kind', 7, era=4)
        shared.shared_watch.receive_heartbeat(
            data.WatchHeartbeat('x', (confirmed,))
        )
        assert shared.shared_watch.reported('kind') == dataclasses.replace(
            confirmed, era=shared.source.era.current
        )

    def test_forwarded_changes_cross(self) -> None:
        """Guards against changes that only instances of one age apply."""
        sender = shared_watch_harness.SharedHarness(True)
        receiver = shared_watch_harness.SharedHarness(False)
        _follow_fall(sender.source.era)
        receiver.source.era.record(4)
        sent = data.StoreChange(
            'kind', 5, 9, b'b', era=sender.source.era.current
        )
        sender.shared_watch.publish(sent)
        (message,) = sender.link.sent
        assert isinstance(message, data.StoreChange)
        receiver.shared_watch.receive_change(message)
        sender.shared_watch.receive_change(message)
        received = receiver.shared_watch.next_change('kind', 0.0)
        assert received == dataclasses.replace(sent, era=4)
        assert sender.shared_watch.next_change('kind', 0.0) == sent

    @pytest.mark.parametrize('reported', (4, 12))
    def test_one_response_suffices_beside_a_peer(self, reported: int) -> None:
        """Guards against a fleet that takes many calls to follow."""
        shared = shared_watch_harness.SharedHarness(False)
        era = shared.source.era
        era.record(9)
        shared.shared_watch.receive_heartbeat(
            data.WatchHeartbeat(
                'x', (data.ConfirmedKind('kind', 7, reported),)
            )
        )
        assert era.current == 9
        assert era.record(reported, era.begin_call()) == max(10, reported)
