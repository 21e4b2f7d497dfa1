"""Tests of the shared watch, of broadcasts and of the store's health."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

INSTANCE_COUNT = 60
KINDS = ('configuration', 'targets', 'moves')
STEP_S = 0.05

WATCH = forwarding.WatchRole.WATCH
RECEIVE = forwarding.WatchRole.RECEIVE
WAIT = forwarding.WatchRole.WAIT


class _Instance:
    """One instance that decides when to call the store."""

    def __init__(self, clock: fakes.SteppingClock, name: str) -> None:
        self.name = name
        self.clock = clock
        self.link = harness.RecordingLink()
        self.view = forwarding.FleetView(
            clock, fakes.RecordingLog(), name, data.Address('h', 1)
        )
        self.era = forwarding.StoreEra(fakes.RecordingLog())
        self.shared_watch = forwarding.SharedWatch(
            clock, self.view, self.link, self.era
        )
        self.health = forwarding.StoreHealth(clock)

    def step(self, available_kinds: tuple[str, ...]) -> int:
        """Call the store for each kind if this instance may ask.

        :param available_kinds: kinds for which the store responds.
        :return: number of calls.
        """
        call_count = 0
        for kind in KINDS:
            if self.shared_watch.role(kind) is not WATCH:
                continue
            if not self.health.claim_call(kind):
                continue
            self.shared_watch.record_call()
            call_count += 1
            if kind not in available_kinds:
                self.health.record_fault(kind, 0.6)
                continue
            self.health.record_response()
            self.shared_watch.record_response(data.ConfirmedKind(kind, 5))
        return call_count


class _Fleet:
    """Instances that receive each other's messages without delay."""

    def __init__(self, count: int = INSTANCE_COUNT) -> None:
        self.clock = fakes.SteppingClock()
        names = [f'instance-{number}' for number in range(count)]
        self.instances = [_Instance(self.clock, name) for name in names]
        self.instances.sort(key=lambda one: one.view.rank())
        self._exchange_reports()
        self.instances.sort(key=lambda one: one.view.rank())
        self._ticks = 0

    def _exchange_reports(self) -> None:
        for instance in self.instances:
            for number, other in enumerate(self.instances):
                if other is not instance:
                    instance.view.receive(
                        harness.peer_report(other.name, number)
                    )

    def run(
        self,
        span_s: float,
        served_ranks: frozenset[int] = frozenset(),
        partly_served_ranks: frozenset[int] = frozenset(),
    ) -> int:
        """Let time pass; return the number of calls to the store.

        :param served_ranks: ranks of the instances to which the store
            responds.
        :param partly_served_ranks: ranks of the instances to which the store
            responds for the first kind only.
        """
        call_count = 0
        for _ in range(round(span_s / STEP_S)):
            self.clock.advance(STEP_S)
            self._ticks += 1
            for rank, instance in enumerate(self.instances):
                available_kinds: tuple[str, ...] = ()
                if rank in served_ranks:
                    available_kinds = KINDS
                if rank in partly_served_ranks:
                    available_kinds = KINDS[:1]
                call_count += instance.step(available_kinds)
            if self._ticks % 8 == 0:
                self._exchange_heartbeats()
        return call_count

    def _exchange_heartbeats(self) -> None:
        for instance in self.instances:
            heartbeat = instance.shared_watch.heartbeat()
            if heartbeat is None:
                continue
            for other in self.instances:
                if other is not instance:
                    other.shared_watch.receive_heartbeat(heartbeat)

    def roles(self, kind: str = KINDS[0]) -> list[forwarding.WatchRole]:
        """Return the roles of all instances by rank."""
        return [one.shared_watch.role(kind) for one in self.instances]


class TestSharedWatch:
    """Roles of the instances in a fleet and their calls in an outage."""

    def test_two_watch_and_all_others_receive(self) -> None:
        """Guards against a number of calls that grows with the fleet."""
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        assert fleet.roles() == [WATCH, WATCH] + [RECEIVE] * (
            INSTANCE_COUNT - 2
        )

    def test_an_outage_costs_a_few_calls_a_second(self) -> None:
        """Guards against a fleet that keeps calling an unavailable store.

        In an outage of 8 s, 91 instances made 3,840 calls for 3 kinds, half
        of all calls of the day.
        """
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        span_s = 10.0
        call_count = fleet.run(span_s)
        # One first call of each instance, then ten calls a second of the
        # fleet, and the calls of the two watchers with their backoff.
        watcher_call_count = 2 * span_s / 0.3
        assert call_count <= INSTANCE_COUNT + 10 * span_s + watcher_call_count

    def test_the_first_that_gets_a_response_watches_for_all(self) -> None:
        """Guards against losing changes if the store rejects the watchers."""
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        fleet.run(4.0, served_ranks=frozenset(range(20, INSTANCE_COUNT)))
        roles = fleet.roles()
        assert roles[20:].count(WATCH) == 1
        assert WAIT not in roles

    def test_a_substitute_yields_to_a_lower_rank(self) -> None:
        """Guards against a number of watchers that grows with each failure."""
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        fleet.run(4.0, served_ranks=frozenset(range(20, INSTANCE_COUNT)))
        fleet.run(4.0, served_ranks=frozenset(range(INSTANCE_COUNT)))
        assert fleet.roles() == [WATCH, WATCH] + [RECEIVE] * (
            INSTANCE_COUNT - 2
        )

    def test_crashed_watchers_are_replaced_within_a_second(self) -> None:
        """Guards against a late configuration after both watchers crashed.

        A heartbeat is valid for 0.9 s; then the next instance asks at once.
        """
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        del fleet.instances[:2]
        fleet.run(2.0, served_ranks=frozenset(range(INSTANCE_COUNT)))
        roles = fleet.roles()
        assert roles.count(WATCH) == 1
        assert WAIT not in roles

    def test_watchers_that_lose_the_store_are_replaced_in_time(self) -> None:
        """Guards against requests to a target that has long been draining.

        The two watchers lose the store right after a response. A draining
        target may still receive requests for two seconds.
        """
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        others = frozenset(range(2, INSTANCE_COUNT))
        waited_s = 0.0
        while fleet.roles('targets')[2:].count(WATCH) == 0:
            fleet.run(STEP_S, served_ranks=others)
            waited_s += STEP_S
        assert waited_s < 2.0

    def test_all_kinds_recover_when_one_does(self) -> None:
        """Guards against waiting for each kind again after an outage."""
        fleet = _Fleet()
        fleet.run(12.0)
        fleet.run(1.5, served_ranks=frozenset(range(INSTANCE_COUNT)))
        for kind in KINDS:
            assert WAIT not in fleet.roles(kind)

    def test_watchers_that_can_read_one_kind_only(self) -> None:
        """Guards against a kind whose changes no instance forwards.

        The store rejected many calls of the watchers, but not all. Another
        instance got responses for the targets, but did not forward them
        because it received the watchers' heartbeats for the configuration:
        68 of 88 instances missed that a target was draining.
        """
        fleet = _Fleet()
        fleet.run(
            4.0,
            served_ranks=frozenset((5,)),
            partly_served_ranks=frozenset((0, 1)),
        )
        for kind in KINDS:
            assert set(fleet.roles(kind)[6:]) == {RECEIVE}, kind
        substitute = fleet.instances[5]
        for kind, is_forwarded in zip(KINDS, (False, True, True), strict=True):
            change = data.StoreChange(kind, 5, 6, b'')
            substitute.shared_watch.publish(change)
            assert (change in substitute.link.sent) is is_forwarded

    def test_a_starting_instance_waits_for_heartbeats(self) -> None:
        """Guards against calls of all instances when they start together."""
        clock = fakes.SteppingClock()
        instance = _Instance(clock, 'own')
        assert instance.shared_watch.role('targets') is WAIT
        clock.advance(1.1)
        assert instance.shared_watch.role('targets') is WATCH

    def test_a_starting_instance_of_a_small_fleet_asks_at_once(self) -> None:
        """Guards against a slow start of a fleet whose calls cost little."""
        instance = _Instance(fakes.SteppingClock(), 'own')
        instance.view.add_peers(
            (data.ListedPeer('other', data.Address('h', 2)),)
        )
        assert instance.shared_watch.role('targets') is WATCH

    def test_only_the_first_watcher_broadcasts_changes(self) -> None:
        """Guards against several broadcasts of the same change."""
        fleet = _Fleet()
        fleet.run(2.0, served_ranks=frozenset((0, 1)))
        change = data.StoreChange('targets', 5, 6, b'')
        for instance in fleet.instances:
            instance.shared_watch.publish(change)
        sent = [change in one.link.sent for one in fleet.instances]
        assert sent == [True] + [False] * (INSTANCE_COUNT - 1)


class TestBroadcastGroups:
    """A broadcast reaches all peers with few datagrams from each."""

    def test_each_peer_is_reached_once_with_few_datagrams(self) -> None:
        """Guards against bursts of datagrams that a slow link drops.

        When one instance sent 90 datagrams of a few KB at once over 5 Mbit/s,
        between a third and nine tenths of them were lost.
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
    """Calls of the tasks of one instance while the store is unavailable."""

    def test_one_task_calls_at_a_time(self) -> None:
        """Guards against the cost of calls for each kind in an outage."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        for kind in KINDS:
            assert health.claim_call(kind)
        for kind in KINDS:
            health.record_fault(kind, 0.6)
        clock.advance(0.6)
        assert [health.claim_call(kind) for kind in KINDS].count(True) == 1

    def test_a_response_ends_the_backoff_of_all_kinds(self) -> None:
        """Guards against kinds that stay in backoff after an outage."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        health.record_fault('targets', 0.6)
        clock.advance(0.6)
        assert health.claim_call('moves')
        health.record_response()
        assert all(health.claim_call(kind) for kind in KINDS)

    def test_a_kind_that_fails_alone_does_not_block_the_others(self) -> None:
        """Guards against blocking all kinds when calls for one kind fail."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        for _ in range(10):
            health.record_fault('moves', 0.6)
            clock.advance(0.1)
            assert not health.claim_call('moves')
            assert health.claim_call('targets')
            health.record_response()

    def test_a_call_that_never_ends_lets_others_ask(self) -> None:
        """Guards against an instance that never calls the store again."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        health.record_fault('targets', 0.6)
        clock.advance(0.6)
        assert health.claim_call('moves')
        assert not health.claim_call('targets')
        clock.advance(6.1)
        assert health.claim_call('targets')

    def test_each_kind_detects_an_outage(self) -> None:
        """Guards against removing targets when another kind recovers first."""
        clock = fakes.SteppingClock()
        health = forwarding.StoreHealth(clock)
        failed_at_s = clock.monotonic_s()
        health.record_fault('targets', 0.6)
        clock.advance(4.0)
        assert health.claim_call('moves')
        health.record_response()
        assert health.may_have_expired(failed_at_s)
        clock.advance(1.0)
        assert not health.may_have_expired(clock.monotonic_s())
