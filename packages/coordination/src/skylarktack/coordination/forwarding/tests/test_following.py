"""Following of the store through its faults."""

import collections

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

UNAVAILABLE = forwarding.StoreFault(
    forwarding.StoreFaultKind.UNAVAILABLE, 'down'
)
GONE = forwarding.StoreFault(
    forwarding.StoreFaultKind.HISTORY_GONE, 'history is gone'
)

Answer = (
    forwarding.Listing[str] | forwarding.Changes[str] | forwarding.StoreFault
)


class _Reader:
    """Answers by script and stops the follower after the last answer."""

    def __init__(self, *answers: Answer) -> None:
        self._answers = collections.deque(answers)
        self.calls: list[str] = []
        self.waits_s: list[float] = []
        self.follower: forwarding.StoreWatcher[str] | None = None

    def list_all(
        self, may_be_stale: bool = False
    ) -> forwarding.Listing[str] | forwarding.StoreFault:
        self.calls.append('stale list' if may_be_stale else 'list')
        answer = self._next()
        assert not isinstance(answer, forwarding.Changes)
        return answer

    def watch(
        self, revision: int, wait_s: float
    ) -> forwarding.Changes[str] | forwarding.StoreFault:
        self.calls.append(f'watch {revision}')
        self.waits_s.append(wait_s)
        answer = self._next()
        assert not isinstance(answer, forwarding.Listing)
        return answer

    def decode_changes(
        self, content: bytes
    ) -> forwarding.Changes[str] | forwarding.StoreFault:
        text = content.decode()
        return forwarding.Changes(tuple(text.split()), 0, content)

    def _next(self) -> Answer:
        answer = self._answers.popleft()
        if not self._answers and self.follower is not None:
            self.follower.stop()
        return answer


class _Belief:
    def __init__(self) -> None:
        self.taken: list[tuple[str, tuple[str, ...], bool]] = []
        self.is_trusted = False

    def replace(self, items: tuple[str, ...], after_outage: bool) -> None:
        self.taken.append(('list', items, after_outage))

    def apply(self, items: tuple[str, ...], after_outage: bool) -> None:
        self.taken.append(('changes', items, after_outage))

    def confirm(self) -> None:
        self.is_trusted = True

    def mark_stale(self) -> None:
        self.is_trusted = False


def _follow(*answers: Answer) -> tuple[_Reader, _Belief, fakes.RecordingLog]:
    clock = fakes.SteppingClock()
    log = fakes.RecordingLog()
    reader = _Reader(*answers)
    belief = _Belief()
    follower = forwarding.StoreWatcher(
        clock,
        reader,
        belief,
        log,
        forwarding.WatchSettings('kind', 3.0, 0.0),
        forwarding.StoreHealth(clock),
    )
    reader.follower = follower
    follower.run()
    return reader, belief, log


class TestFollower:
    """Lists, watches and their faults, in the order of the store."""

    def test_watches_from_where_the_last_answer_ended(self) -> None:
        """Guards against changes that fall between two watches."""
        reader, belief, _ = _follow(
            forwarding.Listing(('a',), 5),
            forwarding.Changes(('b',), 7),
            forwarding.Changes((), 9),
        )
        assert reader.calls == ['stale list', 'watch 5', 'watch 7']
        assert [items for _, items, _ in belief.taken[:2]] == [('a',), ('b',)]

    def test_lists_again_after_lost_history(self) -> None:
        """Guards against missing what happened in lost history."""
        reader, belief, _ = _follow(
            forwarding.Listing((), 5), GONE, forwarding.Listing(('a',), 9)
        )
        assert reader.calls == ['stale list', 'watch 5', 'list']
        assert belief.taken[-1] == ('list', ('a',), False)

    def test_changes_after_an_outage_say_so(self) -> None:
        """Guards against dropping targets that expired in an outage.

        A list would tell the same at the price of a call for each page.
        """
        down = [UNAVAILABLE] * 6
        reader, belief, log = _follow(
            forwarding.Listing(('a',), 5), *down, forwarding.Changes((), 9)
        )
        assert belief.taken[-1] == ('changes', (), True)
        assert reader.calls == ['stale list'] + ['watch 5'] * 7
        assert log.messages('store') == [
            'the store is lost',
            'the store is back',
        ]

    def test_a_list_after_an_outage_says_so(self) -> None:
        """Guards against the same when the history is gone, too."""
        down = [UNAVAILABLE] * 6
        _, belief, _ = _follow(
            forwarding.Listing(('a',), 5),
            *down,
            GONE,
            forwarding.Listing((), 9),
        )
        assert belief.taken[-1] == ('list', (), True)

    def test_a_lost_connection_is_no_outage(self) -> None:
        """Guards against keeping targets that left.

        Entries expire after three intervals of a heartbeat; a store that
        answered half a second ago has let none expire.
        """
        _, belief, _ = _follow(
            forwarding.Listing(('a',), 5),
            UNAVAILABLE,
            forwarding.Changes(('b',), 9),
        )
        assert belief.taken[-1] == ('changes', ('b',), False)

    def test_the_first_list_is_taken_as_it_is(self) -> None:
        """Guards against keeping nothing as if it had expired."""
        _, belief, _ = _follow(UNAVAILABLE, forwarding.Listing(('a',), 5))
        assert belief.taken == [('list', ('a',), False)]

    def test_a_stale_list_confirms_nothing(self) -> None:
        """Guards against final refusals on a list that is seconds old.

        At 300 instances a start of all read each page of the list against
        the store's rate and took 8.5 s; stale reads do not count.
        """
        _, belief, _ = _follow(forwarding.Listing(('a',), 5))
        assert belief.taken == [('list', ('a',), False)]
        assert not belief.is_trusted
        _, caught_up, _ = _follow(
            forwarding.Listing(('a',), 5), forwarding.Changes(('b',), 7)
        )
        assert caught_up.is_trusted

    def test_catches_up_at_once_after_a_stale_list(self) -> None:
        """Guards against old beliefs for the whole wait of a watch."""
        reader, _, _ = _follow(
            forwarding.Listing(('a',), 5),
            forwarding.Changes((), 5),
            forwarding.Changes((), 5),
        )
        assert reader.waits_s[0] < 0.1 < reader.waits_s[1]

    def test_a_fault_withdraws_the_confirmation(self) -> None:
        """Guards against final refusals while the store is away."""
        _, belief, _ = _follow(
            forwarding.Listing((), 5), forwarding.Changes((), 5), UNAVAILABLE
        )
        assert not belief.is_trusted


def _beat(revision: int) -> data.WatchHeartbeat:
    return data.WatchHeartbeat('x', (data.ConfirmedKind('kind', revision),))


class _SharedBed:
    """A follower in a fleet of many instances."""

    def __init__(self, is_watcher: bool, *answers: Answer) -> None:
        self.clock = fakes.SteppingClock()
        self.link = harness.RecordingLink()
        self.reader = _Reader(*answers)
        self.belief = _Belief()
        self.sharing = self._sharing_of_rank(is_watcher)
        self.follower = forwarding.StoreWatcher(
            self.clock,
            self.reader,
            self.belief,
            fakes.RecordingLog(),
            forwarding.WatchSettings('kind', 3.0, 0.0),
            forwarding.StoreHealth(self.clock),
            self.sharing,
        )
        self.reader.follower = self.follower

    def pass_time_while_listening(self) -> None:
        """Let the clock move while the follower waits for a change."""
        original = self.sharing.next_change

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            self.clock.advance(timeout_s)
            return original(kind, 0.0)

        self.sharing.next_change = _next  # type: ignore[method-assign]

    def _sharing_of_rank(self, is_watcher: bool) -> forwarding.SharedWatch:
        names = [f'instance-{number}' for number in range(20)]
        for own in names:
            view = forwarding.FleetView(
                self.clock, fakes.RecordingLog(), own, data.Address('h', 1)
            )
            for number, name in enumerate(names):
                if name != own:
                    view.receive(harness.peer_report(name, number))
            sharing = forwarding.SharedWatch(self.clock, view, self.link)
            asks = sharing.role('kind') is forwarding.StoreRole.ASK
            # The third asks at first as well, since it hears nobody.
            if asks == is_watcher and (view.rank() < 2) == is_watcher:
                return sharing
        raise AssertionError('no such instance')


class TestSharedWatches:
    """In a large fleet a few instances watch for all."""

    def test_a_watcher_passes_changes_on(self) -> None:
        """Guards against a store that each instance asks by itself."""
        shared = _SharedBed(
            True,
            forwarding.Listing((), 5),
            forwarding.Changes(('b',), 9, b'b'),
        )
        shared.follower.run()
        assert data.StoreChange('kind', 5, 9, b'b') in shared.link.sent
        beat = shared.sharing.beat()
        assert beat is not None
        assert beat.kinds == (data.ConfirmedKind('kind', 9),)

    def test_a_watcher_that_no_longer_hears_the_store_is_silent(self) -> None:
        """Guards against instances that rely on one that is cut off."""
        shared = _SharedBed(
            True, forwarding.Listing((), 5), forwarding.Changes((), 5)
        )
        shared.follower.run()
        assert shared.sharing.beat() is not None
        shared.clock.advance(1.5)
        assert shared.sharing.beat() is None

    def test_a_listener_takes_changes_without_a_call(self) -> None:
        """Guards against the price of a call at each instance."""
        shared = _SharedBed(
            False, forwarding.Listing((), 5), forwarding.Changes((), 5)
        )
        shared.reader.follower = None
        shared.sharing.receive_heartbeat(_beat(5))
        shared.sharing.receive_change(data.StoreChange('kind', 5, 9, b'b c'))
        original = shared.belief.apply

        def _apply(items: tuple[str, ...], after_outage: bool) -> None:
            original(items, after_outage)
            if items:
                shared.follower.stop()

        shared.belief.apply = _apply  # type: ignore[method-assign]
        shared.follower.run()
        # The change completes the stale list as well.
        assert shared.reader.calls == ['stale list']
        assert shared.belief.taken[-1] == ('changes', ('b', 'c'), False)

    def test_a_listener_that_misses_a_change_asks_the_store(self) -> None:
        """Guards against a datagram that was lost."""
        shared = _SharedBed(
            False,
            forwarding.Listing((), 5),
            forwarding.Changes(('b', 'c'), 9, b'b c'),
        )
        shared.sharing.receive_change(data.StoreChange('kind', 7, 9, b'c'))
        original = shared.sharing.next_change

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            shared.clock.advance(timeout_s)
            shared.sharing.receive_heartbeat(_beat(9))
            return original(kind, 0.001)

        shared.sharing.next_change = _next  # type: ignore[method-assign]
        shared.sharing.receive_heartbeat(_beat(9))
        reader_next = shared.reader.list_all

        def _list(
            may_be_stale: bool = False,
        ) -> forwarding.Listing[str] | forwarding.StoreFault:
            answer = reader_next(may_be_stale)
            shared.sharing.receive_heartbeat(_beat(9))
            return answer

        shared.reader.list_all = _list  # type: ignore[method-assign]
        shared.follower.run()
        assert shared.reader.calls == ['stale list', 'watch 5']
        assert shared.belief.taken == [
            ('list', (), False),
            ('changes', ('b', 'c'), False),
        ]

    def test_a_listener_asks_for_what_a_watch_did_not_show(self) -> None:
        """Guards against a change that is missed for good.

        While a store drops its history its watches may show nothing and
        still name a newer revision. The list that the watching instance
        reads then names the same revision.
        """
        shared = _SharedBed(
            False, forwarding.Listing((), 5), forwarding.Changes(('b',), 80)
        )
        shared.pass_time_while_listening()
        told = shared.sharing.heard

        def _heard(kind: str) -> data.ConfirmedKind | None:
            changed = 5 if shared.clock.monotonic_s() < 1001.0 else 80
            quiet = data.ConfirmedKind('kind', changed)
            shared.sharing.receive_heartbeat(
                data.WatchHeartbeat('x', (quiet,))
            )
            return told(kind)

        shared.sharing.heard = _heard  # type: ignore[method-assign]
        _heard('kind')
        shared.follower.run()
        assert shared.belief.taken[-1] == ('changes', ('b',), False)
        # Long before the peers of the bed count as silent.
        assert shared.clock.monotonic_s() < 1010.0

    def test_a_listener_is_told_of_an_outage(self) -> None:
        """Guards against dropping targets that expired in an outage."""
        shared = _SharedBed(False, forwarding.Listing((), 5))
        shared.reader.follower = None
        shared.sharing.receive_heartbeat(_beat(5))
        shared.sharing.receive_change(
            data.StoreChange('kind', 5, 9, b'b', follows_outage=True)
        )
        original = shared.belief.apply

        def _apply(items: tuple[str, ...], after_outage: bool) -> None:
            original(items, after_outage)
            shared.follower.stop()

        shared.belief.apply = _apply  # type: ignore[method-assign]
        shared.follower.run()
        assert shared.belief.taken[-1] == ('changes', ('b',), True)

    def test_what_others_pass_on_counts_while_the_store_is_lost(self) -> None:
        """Guards against an instance that waits for its own call to succeed
        although another one has told it what changed.
        """
        shared = _SharedBed(True, forwarding.Listing((), 5), UNAVAILABLE)
        shared.sharing.receive_change(data.StoreChange('kind', 5, 9, b'b'))
        original = shared.belief.apply

        def _apply(items: tuple[str, ...], after_outage: bool) -> None:
            original(items, after_outage)
            shared.follower.stop()

        shared.belief.apply = _apply  # type: ignore[method-assign]
        shared.reader.follower = None
        shared.follower.run()
        assert shared.belief.taken[-1] == ('changes', ('b',), False)

    def test_a_listener_without_beats_watches_itself(self) -> None:
        """Guards against an old configuration after all watchers died."""
        shared = _SharedBed(
            False,
            forwarding.Listing((), 5),
            forwarding.Changes((), 6),
            forwarding.Changes((), 7),
        )
        shared.pass_time_while_listening()
        shared.sharing.receive_heartbeat(_beat(5))
        shared.clock.advance(1.0)
        shared.follower.run()
        assert shared.reader.calls == ['stale list', 'watch 5', 'watch 6']
        assert shared.sharing.beat() is not None

    def test_a_small_fleet_watches_freely(self) -> None:
        """Guards against delays where a call costs next to nothing."""
        clock = fakes.SteppingClock()
        view = forwarding.FleetView(
            clock, fakes.RecordingLog(), 'own', data.Address('h', 1)
        )
        sharing = forwarding.SharedWatch(clock, view, harness.RecordingLink())
        sharing.receive_heartbeat(_beat(5))
        clock.advance(1.1)
        assert sharing.role('kind') is forwarding.StoreRole.ASK
