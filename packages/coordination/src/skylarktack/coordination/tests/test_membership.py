"""Tests of the membership with a simulated clock and in-memory links."""

from collections.abc import Callable
import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import membership

SETTINGS = state.PeerSettings(state.Address('127.0.0.1', 0))


def start_fleet(
    count: int, seed: int, settings: state.PeerSettings = SETTINGS
) -> fakes.MemberFleet:
    """Return a fleet whose member tables have converged."""
    fleet = fakes.MemberFleet(settings, seed)
    if count < 20:
        # Sequential starts, so that no join depends on rejoin rounds.
        for index in range(count):
            fleet.start(f'instance-{index:03}')
            fleet.run(2.0)
    else:
        fleet.start_all(count)
    fleet.run(8.0)
    assert fleet.agrees()
    return fleet


def false_removal_count(fleet: fakes.MemberFleet) -> int:
    """Return how often live instances were declared dead by peers."""
    return fleet.metrics.counts['membership.false_removals']


def lose_messages(fleet: fakes.MemberFleet) -> bool:
    """Drop 20 % of all messages for a minute."""
    for name in fleet.tables:
        fleet.hub.set_loss(name, 0.2)
    fleet.run(60.0)
    fleet.hub.heal()
    fleet.run(10.0)
    return fleet.agrees() and false_removal_count(fleet) == 0


def overload(fleet: fakes.MemberFleet) -> bool:
    """Let one instance read messages only every 4 s while its tasks run."""
    fleet.hub.block_reads('instance-004')
    false_deaths = 0
    for index in range(60):
        fleet.step()
        if index % 8 == 7:
            fleet.hub.deliver_waiting('instance-004')
        false_deaths += false_death_count(fleet, 'instance-004')
    fleet.hub.heal()
    fleet.run(30.0)
    return false_deaths == 0 and fleet.agrees()


def false_death_count(fleet: fakes.MemberFleet, name: str) -> int:
    """Return how many running instances one instance has as dead."""
    return len(set(fleet.tables) - fleet.live(name))


def pause(fleet: fakes.MemberFleet, duration_s: float = 12.0) -> bool:
    """Pause an instance with a suspicion that is refuted meanwhile."""
    fleet.hub.pause('instance-002')
    table = fleet.tables['instance-001']
    for _ in range(20):
        fleet.step()
        member = table.get(state.InstanceName('instance-002'))
        assert member is not None
        if member.state == state.MemberState.SUSPECT:
            break
    fleet.hub.resume('instance-002')
    fleet.hub.pause('instance-001')
    fleet.run(duration_s)
    fleet.hub.resume('instance-001')
    # Worst case: its tasks run before it reads the queued messages.
    before = fleet.metrics.counts['membership.removals']
    fleet.run_one('instance-001')
    false_deaths = fleet.metrics.counts['membership.removals'] > before
    fleet.hub.deliver_waiting('instance-001')
    fleet.run(20.0)
    return not false_deaths and fleet.agrees()


def pause_briefly(fleet: fakes.MemberFleet) -> bool:
    """Pause an instance for little longer than a suspicion lasts."""
    return pause(fleet, 1.5)


def cut_one_way(fleet: fakes.MemberFleet) -> bool:
    """Cut one direction between two instances that others reach."""
    fleet.hub.cut('instance-001', 'instance-005')
    before = fleet.metrics.counts['membership.became_suspect']
    fleet.run(30.0)
    suspected = fleet.metrics.counts['membership.became_suspect'] - before
    return fleet.agrees() and suspected == 0


def partition(fleet: fakes.MemberFleet) -> bool:
    """Partition the fleet for a minute; both sides work, then merge."""
    names = sorted(fleet.tables)
    fleet.cut_between(names[:4], names[4:])
    fleet.run(60.0)
    assert fleet.live(names[0]) == set(names[:4])
    assert fleet.live(names[8]) == set(names[4:])
    fleet.hub.heal()
    fleet.run(30.0)
    return fleet.agrees() and fleet.is_connected()


def restart_same_address(fleet: fakes.MemberFleet) -> bool:
    """Restart an instance at its address before its failure is detected."""
    fleet.start('instance-002', port=10_003)
    fleet.run(6.0)
    return fleet.agrees() and false_removal_count(fleet) == 0


def restart_after_death(fleet: fakes.MemberFleet) -> bool:
    """Restart an instance declared dead, with the clock set back."""
    fleet.kill('instance-002')
    fleet.run(10.0)
    assert not fleet.unaware('instance-002')
    fleet.clock.jump_wall(-3600.0)
    fleet.start('instance-002', port=12_000)
    fleet.run(10.0)
    return fleet.agrees()


def jump_clocks(fleet: fakes.MemberFleet) -> bool:
    """Set the wall clock back and forth by an hour."""
    fleet.clock.jump_wall(-3600.0)
    fleet.run(5.0)
    fleet.clock.jump_wall(7200.0)
    fleet.run(5.0)
    return fleet.agrees() and false_removal_count(fleet) == 0


def lag_list(fleet: fakes.MemberFleet) -> bool:
    """Start an instance while the platform's list is outdated."""
    fleet.kill('instance-000')
    fleet.run(10.0)
    fleet.freeze_list()
    fleet.start('instance-009', port=13_000)
    fleet.run(10.0)
    return fleet.agrees() and fleet.live('instance-009') == set(fleet.tables)


def kill_one(fleet: fakes.MemberFleet) -> bool:
    """Kill an instance; all detect it within 5 s of simulated time."""
    fleet.kill('instance-007')
    fleet.run(5.0)
    return not fleet.unaware('instance-007') and fleet.agrees()


def leave(fleet: fakes.MemberFleet) -> bool:
    """Stop an instance gracefully; no instance suspects it."""
    fleet.memberships['instance-003'].leave()
    fleet.kill('instance-003')
    fleet.run(1.0)
    suspected = fleet.metrics.counts['membership.became_suspect']
    return not fleet.unaware('instance-003') and suspected == 0


def replace_rack(fleet: fakes.MemberFleet) -> bool:
    """Restart 25 instances at once under their old names."""
    fleet.run(0.0)
    for index in range(25):
        fleet.kill(f'instance-{index:03}')
    for index in range(25):
        fleet.start(f'instance-{index:03}')
    fleet.run(10.0)
    return fleet.agrees() and fleet.is_connected()


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """One row of the fault table."""

    #: Injects the fault; returns whether the outcome is as expected.
    fault: Callable[[fakes.MemberFleet], bool]

    #: Number of instances.
    count: int

    seed: int

    #: Settings that disable the mechanism under test, without which the
    #: outcome must be missed; empty where several mechanisms suffice.
    switched_off: dict[str, object] = dataclasses.field(default_factory=dict)


CASES = (
    FaultCase(lose_messages, 9, 1, {'refutes': False}),
    FaultCase(overload, 9, 2, {'health_limit_count': 0}),
    FaultCase(pause, 9, 3, {'guards_pauses': False}),
    FaultCase(pause_briefly, 9, 3, {'guards_pauses': False}),
    FaultCase(cut_one_way, 9, 4, {'helper_count': 0}),
    FaultCase(partition, 9, 5, {'reunites': False}),
    FaultCase(restart_same_address, 9, 6),
    FaultCase(restart_after_death, 9, 7, {'refutes': False}),
    FaultCase(jump_clocks, 9, 8),
    FaultCase(lag_list, 9, 9),
    FaultCase(kill_one, 9, 10, {'suspicion_ms': 60_000}),
    FaultCase(kill_one, 60, 11),
    FaultCase(leave, 9, 12),
    FaultCase(replace_rack, 60, 13),
)


def _case_id(case: FaultCase) -> str:
    return f'{case.fault.__name__}-{case.count}'


class TestFaultTable:
    """Guards against member tables that stay wrong after a fault."""

    @pytest.mark.parametrize('case', CASES, ids=_case_id)
    def test_member_tables_after_fault(self, case: FaultCase) -> None:
        """The member tables recover from the fault as expected."""
        assert case.fault(start_fleet(case.count, case.seed))

    @pytest.mark.parametrize(
        'case', [case for case in CASES if case.switched_off], ids=_case_id
    )
    def test_outcome_needs_mechanism(self, case: FaultCase) -> None:
        """The expected outcome is missed with the mechanism disabled."""
        settings = dataclasses.replace(
            SETTINGS,
            **case.switched_off,  # type: ignore[arg-type]
        )
        assert not case.fault(start_fleet(case.count, case.seed, settings))


class TestPlannedStop:
    """Guards against a graceful stop that is treated as a failure."""

    @pytest.mark.parametrize('seed', range(8))
    def test_joining_instance_missed_leave_announcement(
        self, seed: int
    ) -> None:
        """Guards against a suspicion after a missed leave announcement.

        An instance that has just joined has no neighbours, so it misses the
        announcement and its probe of the leaving instance fails. The seed
        decides which instance it probes first.
        """
        fleet, joining = self._joining(seed)
        fleet.memberships['instance-003'].leave()
        fleet.kill('instance-003')
        for _ in range(4):
            joining.probe_round()
        assert fleet.metrics.counts['membership.became_suspect'] == 0
        assert not fleet.unaware('instance-003')

    @pytest.mark.parametrize('seed', range(8))
    def test_relays_do_not_probe_left_instance(self, seed: int) -> None:
        """Guards against relays that probe an instance known to have left.

        A process that is ending accepts connections and answers nothing, so
        the relays' responses would come too late.
        """
        fleet, joining = self._joining(seed)
        fleet.memberships['instance-003'].leave()
        fleet.hub.pause('instance-003')
        probed_by: list[str] = []

        def _observe(receiver: str, message: object) -> None:
            if receiver != 'instance-003':
                return
            if isinstance(message, membership.Probe):
                probed_by.append(message.sender.name)

        fleet.hub.observe = _observe
        for _ in range(4):
            joining.probe_round()
        assert set(probed_by) <= {'instance-004'}
        assert fleet.metrics.counts['membership.became_suspect'] == 0

    def test_indirect_probe_from_earlier_release(self) -> None:
        """Guards against a suspicion of a restarted instance.

        A request of an earlier release has no incarnation, so a relay that
        missed the restart cannot tell which start is meant and must probe.
        """
        fleet = start_fleet(4, 1)
        fleet.memberships['instance-003'].leave()
        probed: list[str] = []
        fleet.hub.observe = lambda receiver, message: probed.append(receiver)
        relay = fleet.hub.find(state.InstanceName('instance-000'))
        assert relay is not None
        response = relay.receive(
            state.InstanceName('instance-001'),
            membership.IndirectProbe(state.InstanceName('instance-003'), 500),
        )
        assert 'instance-003' in probed
        assert response.reached

    def _joining(
        self, seed: int
    ) -> tuple[fakes.MemberFleet, membership.Membership]:
        """Return a fleet and a joined instance that has no neighbours."""
        fleet = start_fleet(4, seed)
        fleet.start('instance-004')
        joining = fleet.memberships['instance-004']
        joining.apply_platform_list(
            tuple(
                state.ListedInstance(
                    name=table.own.name,
                    peer_address=table.own.address,
                    failure_domain=table.own.failure_domain,
                    region=table.own.region,
                )
                for table in fleet.tables.values()
            )
        )
        joining.rejoin_round()
        assert fleet.live('instance-004') == set(fleet.tables)
        return fleet, joining


class TestNeighbours:
    """Guards against a partitioned graph or one without other domains."""

    def test_connected_at_full_size(self) -> None:
        """340 instances with a bounded degree form one connected graph."""
        members = tuple(
            state.Member(
                name=state.InstanceName(f'instance-{index}'),
                address=state.Address('127.0.0.1', index),
                failure_domain=state.FailureDomain(f'domain-{index % 13}'),
                region='region-1',
                incarnation=1,
                state=state.MemberState.ALIVE,
            )
            for index in range(340)
        )
        domains = {member.name: member.failure_domain for member in members}
        links: dict[str, set[str]] = {member.name: set() for member in members}
        for member in members:
            chosen = membership.ranked_neighbours(member, members, 4)[:4]
            assert any(
                domains[peer] != member.failure_domain for peer in chosen
            )
            for peer in chosen:
                links[member.name].add(peer)
                links[peer].add(member.name)
        reached = {str(members[0].name)}
        hops = 0
        while len(reached) < len(members):
            reached |= {peer for name in reached for peer in links[name]}
            hops += 1
        assert hops <= 6
        assert max(len(peers) for peers in links.values()) <= 16


class _Topic:
    """Gossip topic with fixed content."""

    def __init__(self, name: str, content: bytes) -> None:
        self.name = name
        self.content = content
        self.received: set[bytes] = set()

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the content if it fits."""
        return self.content if len(self.content) <= limit_bytes else None

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Record the content."""
        self.received.add(payload)


class TestGossipTopics:
    """Guards against topics that starve each other or exceed the budget."""

    def test_topics_share_the_budget(self) -> None:
        """Two topics that each fill the byte budget are both delivered."""
        fleet = start_fleet(3, 1)
        topics: dict[str, list[_Topic]] = {}
        for name, part in fleet.memberships.items():
            topics[name] = [
                _Topic(kind, f'{kind} of {name}'.encode() * 20)
                for kind in ('one', 'two')
            ]
            for topic in topics[name]:
                part.add_topic(topic)
        fleet.run(10.0)
        for pair in topics.values():
            for topic in pair:
                assert len(topic.received) == 2

    def test_failing_topic_stops_no_other(self) -> None:
        """An exception in one topic does not stop the membership."""
        fleet = start_fleet(3, 1)

        class _Failing(_Topic):
            def receive(
                self, peer: state.InstanceName, payload: bytes
            ) -> None:
                raise ValueError(payload)

        for part in fleet.memberships.values():
            part.add_topic(_Failing('bad', b'x'))
        fleet.run(5.0)
        assert fleet.metrics.counts['membership.topic_errors']
        assert fleet.agrees()
