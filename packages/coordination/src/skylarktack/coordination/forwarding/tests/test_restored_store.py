"""Tests of watchers when the store comes back from a copy."""

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import watcher_harness


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
