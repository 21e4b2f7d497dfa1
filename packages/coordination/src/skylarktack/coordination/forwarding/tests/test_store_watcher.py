"""Tests of watching the store by itself."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import watcher_harness


def _run_watcher(
    *results: watcher_harness.StoreResult,
    is_list_shorter: bool = False,
    counted: tuple[bool, ...] = (),
) -> tuple[
    watcher_harness.ScriptedSource,
    watcher_harness.RecordingHandler,
    fakes.RecordingLog,
]:
    clock = fakes.SteppingClock()
    log = fakes.RecordingLog()
    source = watcher_harness.ScriptedSource(*results)
    handler = watcher_harness.RecordingHandler()
    handler.counted.extend(counted)
    watcher = forwarding.StoreWatcher(
        clock,
        source,
        handler,
        log,
        forwarding.WatchSettings('kind', 3.0, 0.0, is_list_shorter),
        forwarding.StoreHealth(clock),
        source.era,
    )
    source.watcher = watcher
    watcher.run()
    return source, handler, log


class TestStoreWatcher:
    """A watcher that lists and watches by itself."""

    def test_watches_from_the_last_revision(self) -> None:
        """Guards against losing changes made between two watches."""
        source, handler, _ = _run_watcher(
            forwarding.Listing(('a',), 5),
            forwarding.Changes(('b',), 7),
            forwarding.Changes((), 9),
        )
        assert source.calls == ['stale list', 'watch 5', 'watch 7']
        assert [items for _, items, _ in handler.applied[:2]] == [
            ('a',),
            ('b',),
        ]

    def test_lists_again_after_compaction(self) -> None:
        """Guards against missing changes that the store has compacted."""
        source, handler, _ = _run_watcher(
            forwarding.Listing((), 5),
            watcher_harness.COMPACTED,
            forwarding.Listing(('a',), 9),
        )
        assert source.calls == ['stale list', 'watch 5', 'list']
        assert handler.applied[-1] == ('list', ('a',), False)

    def test_lists_again_after_an_unreadable_response(self) -> None:
        """Guards against asking for the same long response for ever."""
        source, handler, log = _run_watcher(
            forwarding.Listing((), 5),
            watcher_harness.UNREADABLE,
            forwarding.Listing(('a',), 9),
        )
        assert source.calls == ['stale list', 'watch 5', 'list']
        assert handler.applied[-1] == ('list', ('a',), False)
        assert handler.is_current
        assert 'watch response unreadable; listing again' in log.messages(
            'store'
        )

    def test_changes_after_an_outage_are_marked(self) -> None:
        """Guards against removing targets whose entries expired in an outage.

        Watching again avoids a list, which costs a call for each page.
        """
        down = [watcher_harness.UNAVAILABLE] * 6
        source, handler, log = _run_watcher(
            forwarding.Listing(('a',), 5), *down, forwarding.Changes((), 9)
        )
        assert handler.applied[-1] == ('changes', (), True)
        assert source.calls == ['stale list'] + ['watch 5'] * 7
        assert log.messages('store') == [
            'store unavailable',
            'store available again',
        ]

    def test_a_list_after_an_outage_is_marked(self) -> None:
        """Guards against removing expired targets by a list after an outage.

        The list is needed because the revision was compacted.
        """
        down = [watcher_harness.UNAVAILABLE] * 6
        _, handler, _ = _run_watcher(
            forwarding.Listing(('a',), 5),
            *down,
            watcher_harness.COMPACTED,
            forwarding.Listing((), 9),
        )
        assert handler.applied[-1] == ('list', (), True)

    def test_a_short_failure_is_no_outage(self) -> None:
        """Guards against keeping removed targets after a short failure.

        Entries expire after three heartbeat intervals, so none can have
        expired if the store responded half a second ago.
        """
        _, handler, _ = _run_watcher(
            forwarding.Listing(('a',), 5),
            watcher_harness.UNAVAILABLE,
            forwarding.Changes(('b',), 9),
        )
        assert handler.applied[-1] == ('changes', ('b',), False)

    def test_the_first_list_is_not_marked_as_after_an_outage(self) -> None:
        """Guards against treating the first list as one after an outage."""
        _, handler, _ = _run_watcher(
            watcher_harness.UNAVAILABLE, forwarding.Listing(('a',), 5)
        )
        assert handler.applied == [('list', ('a',), False)]

    def test_a_stale_list_does_not_confirm(self) -> None:
        """Guards against rejecting requests by a list that is seconds old.

        The first list may be stale because only current reads count against
        the store's rate limit: a start of 300 instances that read current
        lists took 8.5 s.
        """
        _, handler, _ = _run_watcher(forwarding.Listing(('a',), 5))
        assert handler.applied == [('list', ('a',), False)]
        assert not handler.is_current
        _, caught_up, _ = _run_watcher(
            forwarding.Listing(('a',), 5), forwarding.Changes(('b',), 7)
        )
        assert caught_up.is_current

    def test_catches_up_at_once_after_a_stale_list(self) -> None:
        """Guards against using stale data for the whole wait of a watch."""
        source, _, _ = _run_watcher(
            forwarding.Listing(('a',), 5),
            forwarding.Changes((), 5),
            forwarding.Changes((), 5),
        )
        assert source.waits_s[0] < 0.1 < source.waits_s[1]

    def test_catches_up_at_once_after_a_suspension(self) -> None:
        """Guards against 503 for the whole wait of the next watch."""
        source, _, _ = _run_watcher(
            forwarding.Listing((), 5),
            *[forwarding.Changes((), 5)] * 4,
            counted=(True, False),
        )
        assert source.waits_s == [0.05, 3.0, 0.05, 3.0]

    def test_a_fault_marks_the_cache_stale(self) -> None:
        """Guards against rejecting requests while the store is unavailable."""
        _, handler, _ = _run_watcher(
            forwarding.Listing((), 5),
            forwarding.Changes((), 5),
            watcher_harness.UNAVAILABLE,
        )
        assert not handler.is_current


class TestWatchWithoutResponse:
    """The changes after a revision may take longer to send than a watch."""

    def test_lists_if_the_list_is_shorter(self) -> None:
        """Guards against asking for 19 MB of replaced configurations again."""
        source, handler, log = _run_watcher(
            forwarding.Listing((), 5),
            watcher_harness.TIMED_OUT,
            watcher_harness.TIMED_OUT,
            forwarding.Listing(('a',), 9),
            forwarding.Changes((), 9),
            is_list_shorter=True,
        )
        assert source.calls == [
            'stale list',
            'watch 5',
            'list',
            'list',
            'watch 9',
        ]
        assert handler.applied[1][1] == ('a',)
        assert handler.is_current
        not_answered = 'watch not answered in time; listing again'
        assert log.messages('store').count(not_answered) == 1

    def test_watches_again_if_the_store_answers_nothing(self) -> None:
        """Guards against a list of many pages after each outage."""
        source, handler, _ = _run_watcher(
            forwarding.Listing(('a',), 5),
            *[watcher_harness.TIMED_OUT] * 6,
            forwarding.Changes((), 9),
        )
        assert source.calls == ['stale list'] + ['watch 5'] * 7
        assert handler.applied[-1] == ('changes', (), True)

    def test_lists_if_the_store_answers_other_calls(self) -> None:
        """Guards against watching for ever what the store cannot send."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        source = watcher_harness.ScriptedSource(
            forwarding.Listing((), 5),
            watcher_harness.TIMED_OUT,
            watcher_harness.TIMED_OUT,
            forwarding.Listing(('a',), 9),
        )
        handler = watcher_harness.RecordingHandler()
        watcher = forwarding.StoreWatcher(
            clock,
            source,
            handler,
            fakes.RecordingLog(),
            forwarding.WatchSettings('kind', 3.0, 0.0),
            health,
            source.era,
        )
        source.watcher = watcher
        # Another kind is answered after the first watch got no response.
        clock.schedule(clock.monotonic_s() + 0.02, health.record_response)
        watcher.run()
        assert source.calls == ['stale list', 'watch 5', 'watch 5', 'list']
        assert handler.applied[-1][1] == ('a',)

    def test_a_refused_watch_is_repeated(self) -> None:
        """Guards against a list from a store that refuses all calls."""
        source, _, _ = _run_watcher(
            forwarding.Listing((), 5),
            watcher_harness.UNAVAILABLE,
            forwarding.Changes((), 9),
            is_list_shorter=True,
        )
        assert source.calls == ['stale list', 'watch 5', 'watch 5']
