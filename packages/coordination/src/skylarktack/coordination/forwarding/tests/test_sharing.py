"""Who asks the store in a large fleet, and how often in an outage."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

INSTANCE_COUNT = 60
KINDS = ('configuration', 'targets', 'moves')
STEP_S = 0.05

ASK = forwarding.StoreRole.ASK
LISTEN = forwarding.StoreRole.LISTEN
WAIT = forwarding.StoreRole.WAIT


class _Instance:
    """What one instance decides about its calls to the store."""

    def __init__(self, clock: fakes.SteppingClock, name: str) -> None:
        self.name = name
        self.clock = clock
        self.link = harness.RecordingLink()
        self.view = forwarding.FleetView(
            clock, fakes.RecordingLog(), name, data.Address('h', 1)
        )
        self.sharing = forwarding.SharedWatch(clock, self.view, self.link)
        self.health = forwarding.StoreHealth(clock)

    def step(self, answered_kinds: tuple[str, ...]) -> int:
        """Ask the store wherever it is this instance's turn."""
        call_count = 0
        for kind in KINDS:
            if self.sharing.role(kind) is not ASK:
                continue
            if not self.health.claim_call(kind):
                continue
            self.sharing.take_turn()
            call_count += 1
            if kind not in answered_kinds:
                self.health.note_fault(kind, 0.6)
                continue
            self.health.note_answer()
            self.sharing.note_answer(data.ConfirmedKind(kind, 5))
        return call_count


class _Fleet:
    """Instances that hear each other without delay."""

    def __init__(self, count: int = INSTANCE_COUNT) -> None:
        self.clock = fakes.SteppingClock()
        names = [f'instance-{number}' for number in range(count)]
        self.instances = [_Instance(self.clock, name) for name in names]
        self.instances.sort(key=lambda one: one.view.rank())
        self._hear_each_other()
        self.instances.sort(key=lambda one: one.view.rank())
        self._ticks = 0

    def _hear_each_other(self) -> None:
        for instance in self.instances:
            for number, other in enumerate(self.instances):
                if other is not instance:
                    instance.view.receive(
                        harness.peer_report(other.name, number)
                    )

    def play(
        self,
        span_s: float,
        up_ranks: frozenset[int] = frozenset(),
        partly_up_ranks: frozenset[int] = frozenset(),
    ) -> int:
        """Pass time; return the calls to the store.

        :param up_ranks: ranks of the instances that the store answers.
        :param partly_up_ranks: the same for calls of the first kind only.
        """
        call_count = 0
        for _ in range(round(span_s / STEP_S)):
            self.clock.advance(STEP_S)
            self._ticks += 1
            for rank, instance in enumerate(self.instances):
                answered_kinds: tuple[str, ...] = ()
                if rank in up_ranks:
                    answered_kinds = KINDS
                if rank in partly_up_ranks:
                    answered_kinds = KINDS[:1]
                call_count += instance.step(answered_kinds)
            if self._ticks % 8 == 0:
                self._beat()
        return call_count

    def _beat(self) -> None:
        for instance in self.instances:
            beat = instance.sharing.beat()
            if beat is None:
                continue
            for other in self.instances:
                if other is not instance:
                    other.sharing.receive_heartbeat(beat)

    def roles(self, kind: str = KINDS[0]) -> list[forwarding.StoreRole]:
        """Return the roles of all instances by rank."""
        return [one.sharing.role(kind) for one in self.instances]


class TestStoreSharing:
    """Turns of instances that hear nobody, and how they end."""

    def test_two_watch_and_all_others_listen(self) -> None:
        """Guards against calls that grow with the fleet."""
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        assert fleet.roles() == [ASK, ASK] + [LISTEN] * (INSTANCE_COUNT - 2)

    def test_an_outage_costs_a_few_calls_a_second(self) -> None:
        """Guards against a fleet that asks a lost store all the time.

        On a grown deployment 91 instances made 3,840 calls for 3 kinds in an
        outage of 8 s, half of all calls of the day.
        """
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        span_s = 10.0
        call_count = fleet.play(span_s)
        # Each instance once at first, ten calls a second of all after that,
        # and those of the two that watch at the rate of a lost store.
        watching_count = 2 * span_s / 0.3
        assert call_count <= INSTANCE_COUNT + 10 * span_s + watching_count

    def test_the_first_that_is_answered_watches_for_all(self) -> None:
        """Guards against a store that turns the watching instances away."""
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        fleet.play(4.0, up_ranks=frozenset(range(20, INSTANCE_COUNT)))
        roles = fleet.roles()
        assert roles[20:].count(ASK) == 1
        assert WAIT not in roles

    def test_an_acting_instance_yields_to_one_before_it(self) -> None:
        """Guards against more and more watches after each fault."""
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        fleet.play(4.0, up_ranks=frozenset(range(20, INSTANCE_COUNT)))
        fleet.play(4.0, up_ranks=frozenset(range(INSTANCE_COUNT)))
        assert fleet.roles() == [ASK, ASK] + [LISTEN] * (INSTANCE_COUNT - 2)

    def test_dead_watchers_are_replaced_within_a_second(self) -> None:
        """Guards against a configuration that is late after a kill.

        A beat counts for 0.9 s and the next instance asks at once.
        """
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        del fleet.instances[:2]
        fleet.play(2.0, up_ranks=frozenset(range(INSTANCE_COUNT)))
        roles = fleet.roles()
        assert roles.count(ASK) == 1
        assert WAIT not in roles

    def test_watchers_that_are_cut_off_are_replaced_in_time(self) -> None:
        """Guards against a leaving target that gets requests for too long.

        The store cuts the two that watch off right after it answered them. A
        target that leaves then may get requests for two seconds.
        """
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        others = frozenset(range(2, INSTANCE_COUNT))
        waited_s = 0.0
        while fleet.roles('targets')[2:].count(ASK) == 0:
            fleet.play(STEP_S, up_ranks=others)
            waited_s += STEP_S
        assert waited_s < 2.0

    def test_all_kinds_follow_when_one_is_answered(self) -> None:
        """Guards against a kind that waits for a turn of its own."""
        fleet = _Fleet()
        fleet.play(12.0)
        fleet.play(1.5, up_ranks=frozenset(range(INSTANCE_COUNT)))
        for kind in KINDS:
            assert WAIT not in fleet.roles(kind)

    def test_a_watcher_that_is_answered_for_one_kind_only(self) -> None:
        """Guards against a kind that nobody passes on.

        The store refused many calls of the watching instances, not all. The
        one that was answered for the targets heard them for the
        configuration and told nobody; 68 of 88 instances did not learn that
        a target left (scale-2 of the grown Hanginan, DRAIN broken).
        """
        fleet = _Fleet()
        fleet.play(
            4.0, up_ranks=frozenset((5,)), partly_up_ranks=frozenset((0, 1))
        )
        for kind in KINDS:
            assert set(fleet.roles(kind)[6:]) == {LISTEN}, kind
        answered = fleet.instances[5]
        for kind, is_told in zip(KINDS, (False, True, True), strict=True):
            change = data.StoreChange(kind, 5, 6, b'')
            answered.sharing.publish(change)
            assert (change in answered.link.sent) is is_told

    def test_a_starting_instance_waits_to_hear_the_others(self) -> None:
        """Guards against a call of each instance when all start together."""
        clock = fakes.SteppingClock()
        instance = _Instance(clock, 'own')
        assert instance.sharing.role('targets') is WAIT
        clock.advance(1.1)
        assert instance.sharing.role('targets') is ASK

    def test_a_starting_instance_of_a_small_fleet_asks_at_once(self) -> None:
        """Guards against a slow start where a call costs little."""
        instance = _Instance(fakes.SteppingClock(), 'own')
        instance.view.add_peers(
            (data.ListedPeer('other', data.Address('h', 2)),)
        )
        assert instance.sharing.role('targets') is ASK

    def test_only_the_first_passes_changes_on(self) -> None:
        """Guards against the same change sent to all by several."""
        fleet = _Fleet()
        fleet.play(2.0, up_ranks=frozenset((0, 1)))
        change = data.StoreChange('targets', 5, 6, b'')
        for instance in fleet.instances:
            instance.sharing.publish(change)
        sent = [change in one.link.sent for one in fleet.instances]
        assert sent == [True] + [False] * (INSTANCE_COUNT - 1)


class TestSpreadGroups:
    """Messages that reach all over few datagrams of each."""

    def test_each_is_reached_once_and_nobody_sends_many(self) -> None:
        """Guards against bursts that a slow link loses.

        Of 90 datagrams of a few KB that one instance sent at once over
        5 Mbit/s, a third to nine tenths were lost.
        """
        for count in (0, 1, 7, 8, 9, 90, 339):
            peers = tuple(data.Address('h', port) for port in range(count))
            reached: list[data.Address] = []
            waiting = [(peers, 0)]
            while waiting:
                group_of, depth = waiting.pop()
                groups = forwarding.broadcast_groups(group_of)
                assert len(groups) <= 8
                assert depth < 3 or not groups
                for group in groups:
                    reached.append(group[0])
                    waiting.append((group[1:], depth + 1))
            assert sorted(reached, key=str) == sorted(peers, key=str)


class TestStoreHealth:
    """Turns of the tasks of one instance while the store is lost."""

    def test_one_task_asks_at_a_time(self) -> None:
        """Guards against a price for each kind in an outage."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        for kind in KINDS:
            assert health.claim_call(kind)
        for kind in KINDS:
            health.note_fault(kind, 0.6)
        clock.advance(0.6)
        assert [health.claim_call(kind) for kind in KINDS].count(True) == 1

    def test_an_answer_lets_all_go_on(self) -> None:
        """Guards against kinds that learn late that the store is back."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        health.note_fault('targets', 0.6)
        clock.advance(0.6)
        assert health.claim_call('moves')
        health.note_answer()
        assert all(health.claim_call(kind) for kind in KINDS)

    def test_a_kind_that_fails_alone_does_not_hold_the_others(self) -> None:
        """Guards against a store whose answers for one kind are bad."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        for _ in range(10):
            health.note_fault('moves', 0.6)
            clock.advance(0.1)
            assert not health.claim_call('moves')
            assert health.claim_call('targets')
            health.note_answer()

    def test_a_call_that_never_ends_gives_the_turn_up(self) -> None:
        """Guards against an instance that never asks again."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        health.note_fault('targets', 0.6)
        clock.advance(0.6)
        assert health.claim_call('moves')
        assert not health.claim_call('targets')
        clock.advance(6.1)
        assert health.claim_call('targets')

    def test_each_kind_learns_of_an_outage(self) -> None:
        """Guards against targets dropped since another kind asked first."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        failed_at_s = clock.monotonic_s()
        health.note_fault('targets', 0.6)
        clock.advance(4.0)
        assert health.claim_call('moves')
        health.note_answer()
        assert health.may_have_lapsed(failed_at_s)
        clock.advance(1.0)
        assert not health.may_have_lapsed(clock.monotonic_s())
