"""Following of the store through its faults."""

import collections

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding

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
        self.follower: forwarding.Follower[str] | None = None

    def list_all(self) -> forwarding.Listing[str] | forwarding.StoreFault:
        self.calls.append('list')
        answer = self._next()
        assert not isinstance(answer, forwarding.Changes)
        return answer

    def watch(
        self, revision: int, wait_s: float
    ) -> forwarding.Changes[str] | forwarding.StoreFault:
        self.calls.append(f'watch {revision}')
        answer = self._next()
        assert not isinstance(answer, forwarding.Listing)
        return answer

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

    def apply(self, items: tuple[str, ...]) -> None:
        self.taken.append(('changes', items, False))

    def confirm(self) -> None:
        self.is_trusted = True

    def doubt(self) -> None:
        self.is_trusted = False


def _follow(*answers: Answer) -> tuple[_Reader, _Belief, fakes.RecordingLog]:
    clock = fakes.SteppingClock()
    log = fakes.RecordingLog()
    reader = _Reader(*answers)
    belief = _Belief()
    follower = forwarding.Follower(
        clock,
        reader,
        belief,
        log,
        forwarding.FollowSettings('kind', 3.0, 0.0),
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
        assert reader.calls == ['list', 'watch 5', 'watch 7']
        assert [items for _, items, _ in belief.taken[:2]] == [('a',), ('b',)]

    def test_lists_again_after_lost_history(self) -> None:
        """Guards against missing what happened in lost history."""
        reader, belief, _ = _follow(
            forwarding.Listing((), 5), GONE, forwarding.Listing(('a',), 9)
        )
        assert reader.calls == ['list', 'watch 5', 'list']
        assert belief.taken[-1] == ('list', ('a',), False)

    def test_a_list_after_an_outage_says_so(self) -> None:
        """Guards against dropping targets that expired in an outage."""
        _, belief, log = _follow(
            forwarding.Listing(('a',), 5),
            UNAVAILABLE,
            forwarding.Listing((), 9),
        )
        assert belief.taken[-1] == ('list', (), True)
        assert log.messages('store') == [
            'the store is lost',
            'the store is back',
        ]

    def test_the_first_list_is_taken_as_it_is(self) -> None:
        """Guards against keeping nothing as if it had expired."""
        _, belief, _ = _follow(UNAVAILABLE, forwarding.Listing(('a',), 5))
        assert belief.taken == [('list', ('a',), False)]

    def test_a_fault_withdraws_the_confirmation(self) -> None:
        """Guards against final refusals while the store is away."""
        _, belief, _ = _follow(forwarding.Listing((), 5), UNAVAILABLE)
        assert not belief.is_trusted
