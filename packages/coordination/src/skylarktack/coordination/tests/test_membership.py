"""Membership decisions with a controlled clock and links in memory."""

from collections.abc import Callable
import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import membership

SETTINGS = state.PeerSettings(state.Address('127.0.0.1', 0))


def fleet(
    count: int, seed: int, settings: state.PeerSettings = SETTINGS
) -> fakes.MemberFleet:
    """Return a fleet whose instances know each other."""
    made = fakes.MemberFleet(settings, seed)
    if count < 20:
        # One after the other, so that none depends on reunions.
        for index in range(count):
            made.start(f'instance-{index:03}')
            made.run(2.0)
    else:
        made.start_all(count)
    made.run(8.0)
    assert made.agrees()
    return made


def removed(made: fakes.MemberFleet) -> int:
    """Return how often live instances learnt that they were removed."""
    return made.metrics.counts['membership.false_removals']


def lose_messages(made: fakes.MemberFleet) -> bool:
    """Lose a fifth of all messages for a minute."""
    for name in made.tables:
        made.hub.set_loss(name, 0.2)
    made.run(60.0)
    made.hub.heal()
    made.run(10.0)
    return made.agrees() and removed(made) == 0


def overload(made: fakes.MemberFleet) -> bool:
    """Let one instance read only every 4 s while its own tasks run."""
    made.hub.deafen('instance-004')
    accused = 0
    for index in range(60):
        made.step()
        if index % 8 == 7:
            made.hub.deliver_waiting('instance-004')
        accused += wrongly_dead(made, 'instance-004')
    made.hub.heal()
    made.run(30.0)
    return accused == 0 and made.agrees()


def wrongly_dead(made: fakes.MemberFleet, name: str) -> int:
    """Return how many running instances one instance believes dead."""
    return len(set(made.tables) - made.live(name))


def pause(made: fakes.MemberFleet) -> bool:
    """Pause an instance that holds a suspicion refuted meanwhile."""
    made.hub.pause('instance-002')
    table = made.tables['instance-001']
    for _ in range(20):
        made.step()
        doubted = table.get(state.InstanceName('instance-002'))
        assert doubted is not None
        if doubted.state == state.MemberState.SUSPECT:
            break
    made.hub.resume('instance-002')
    made.hub.pause('instance-001')
    made.run(12.0)
    made.hub.resume('instance-001')
    # The worst order: its own tasks run before what waited is read.
    before = made.metrics.counts['membership.removals']
    made.run_one('instance-001')
    accused = made.metrics.counts['membership.removals'] > before
    made.hub.deliver_waiting('instance-001')
    made.run(20.0)
    return not accused and made.agrees()


def cut_one_way(made: fakes.MemberFleet) -> bool:
    """Cut two instances in one direction; all others reach both."""
    made.hub.cut('instance-001', 'instance-005')
    before = made.metrics.counts['membership.became_suspect']
    made.run(30.0)
    suspected = made.metrics.counts['membership.became_suspect'] - before
    return made.agrees() and suspected == 0


def partition(made: fakes.MemberFleet) -> bool:
    """Partition the fleet for a minute; both sides serve, then merge."""
    names = sorted(made.tables)
    made.cut_between(names[:4], names[4:])
    made.run(60.0)
    assert made.live(names[0]) == set(names[:4])
    assert made.live(names[8]) == set(names[4:])
    made.hub.heal()
    made.run(30.0)
    return made.agrees() and made.is_connected()


def restart_same_address(made: fakes.MemberFleet) -> bool:
    """Restart an instance with its name and address before it is missed."""
    made.start('instance-002', port=10_003)
    made.run(6.0)
    return made.agrees() and removed(made) == 0


def restart_after_death(made: fakes.MemberFleet) -> bool:
    """Restart an instance with the clock set back, after its death."""
    made.kill('instance-002')
    made.run(10.0)
    assert not made.unaware('instance-002')
    made.clock.jump_wall(-3600.0)
    made.start('instance-002', port=12_000)
    made.run(10.0)
    return made.agrees()


def jump_clocks(made: fakes.MemberFleet) -> bool:
    """Set the wall clock back and forth by an hour."""
    made.clock.jump_wall(-3600.0)
    made.run(5.0)
    made.clock.jump_wall(7200.0)
    made.run(5.0)
    return made.agrees() and removed(made) == 0


def lag_list(made: fakes.MemberFleet) -> bool:
    """Start an instance while the list names only dead and old ones."""
    made.kill('instance-000')
    made.run(10.0)
    made.freeze_list()
    made.start('instance-009', port=13_000)
    made.run(10.0)
    return made.agrees() and made.live('instance-009') == set(made.tables)


def kill_one(made: fakes.MemberFleet) -> bool:
    """Kill an instance; all know within 5 s of the fleet's own time."""
    made.kill('instance-007')
    made.run(5.0)
    return not made.unaware('instance-007') and made.agrees()


def leave(made: fakes.MemberFleet) -> bool:
    """Stop an instance as planned; nobody has to suspect it."""
    made.memberships['instance-003'].leave()
    made.kill('instance-003')
    made.run(1.0)
    suspected = made.metrics.counts['membership.became_suspect']
    return not made.unaware('instance-003') and suspected == 0


def replace_rack(made: fakes.MemberFleet) -> bool:
    """Replace 25 instances at once under their old names."""
    made.run(0.0)
    for index in range(25):
        made.kill(f'instance-{index:03}')
    for index in range(25):
        made.start(f'instance-{index:03}')
    made.run(10.0)
    return made.agrees() and made.is_connected()


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """One row of the fault table."""

    #: The fault and its moment; returns whether the outcome is as expected.
    fault: Callable[[fakes.MemberFleet], bool]

    #: Instances of the fleet.
    count: int

    #: Seed of all random choices.
    seed: int

    #: Settings that switch the mechanism off which the row proves; empty
    #: for rows that several mechanisms carry.
    switched_off: dict[str, object] = dataclasses.field(default_factory=dict)


CASES = (
    FaultCase(lose_messages, 9, 1, {'refutes': False}),
    FaultCase(overload, 9, 2, {'health_limit_count': 0}),
    FaultCase(pause, 9, 3, {'guards_pauses': False}),
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


def _title(case: FaultCase) -> str:
    return f'{case.fault.__name__}-{case.count}'


class TestFaultTable:
    """Guards against wrong tables after faults."""

    @pytest.mark.parametrize('case', CASES, ids=_title)
    def test_outcome(self, case: FaultCase) -> None:
        """The fault has the expected outcome."""
        assert case.fault(fleet(case.count, case.seed))

    @pytest.mark.parametrize(
        'case', [case for case in CASES if case.switched_off], ids=_title
    )
    def test_mechanism_matters(self, case: FaultCase) -> None:
        """The outcome is missed without the mechanism."""
        settings = dataclasses.replace(
            SETTINGS,
            **case.switched_off,  # type: ignore[arg-type]
        )
        assert not case.fault(fleet(case.count, case.seed, settings))


class TestPlannedStop:
    """Guards against a planned stop that is taken for a failure."""

    @pytest.mark.parametrize('seed', range(8))
    def test_newcomer_without_links(self, seed: int) -> None:
        """An instance that the farewell did not reach suspects nobody.

        An instance that has just joined has no neighbour yet, so the
        farewell of another one does not reach it, and its first probe of
        that one fails. The seed decides whom it probes first.
        """
        made, joining = self._joining(seed)
        made.memberships['instance-003'].leave()
        made.kill('instance-003')
        for _ in range(4):
            joining.probe_round()
        assert made.metrics.counts['membership.became_suspect'] == 0
        assert not made.unaware('instance-003')

    @pytest.mark.parametrize('seed', range(8))
    def test_helpers_answer_at_once(self, seed: int) -> None:
        """Guards against helpers that probe an instance they know has left.

        While its process ends it accepts connections and answers nothing,
        so the helpers' findings came too late.
        """
        made, joining = self._joining(seed)
        made.memberships['instance-003'].leave()
        made.hub.pause('instance-003')
        probed_by: list[str] = []

        def _observe(receiver: str, message: object) -> None:
            if receiver != 'instance-003':
                return
            if isinstance(message, membership.Probe):
                probed_by.append(message.sender.name)

        made.hub.observe = _observe
        for _ in range(4):
            joining.probe_round()
        assert set(probed_by) <= {'instance-004'}
        assert made.metrics.counts['membership.became_suspect'] == 0

    def test_asker_of_an_earlier_release(self) -> None:
        """Guards against an instance that came back and is suspected.

        A helper that missed its return cannot tell whether an asker that
        sends no incarnation knows of it, so it probes.
        """
        made = fleet(4, 1)
        made.memberships['instance-003'].leave()
        probed: list[str] = []
        made.hub.observe = lambda receiver, message: probed.append(receiver)
        helper = made.hub.find(state.InstanceName('instance-000'))
        assert helper is not None
        answer = helper.receive(
            state.InstanceName('instance-001'),
            membership.IndirectProbe(state.InstanceName('instance-003'), 500),
        )
        assert 'instance-003' in probed
        assert answer.reached

    def _joining(
        self, seed: int
    ) -> tuple[fakes.MemberFleet, membership.Membership]:
        """Return a fleet and an instance that has no neighbour yet."""
        made = fleet(4, seed)
        made.start('instance-004')
        joining = made.memberships['instance-004']
        joining.apply_platform_list(
            tuple(
                state.ListedInstance(
                    name=table.own.name,
                    peer_address=table.own.address,
                    failure_domain=table.own.failure_domain,
                    region=table.own.region,
                )
                for table in made.tables.values()
            )
        )
        joining.rejoin_round()
        assert made.live('instance-004') == set(made.tables)
        return made, joining


class TestNeighbours:
    """Guards against a graph that falls apart or stays in one domain."""

    def test_connected_at_full_size(self) -> None:
        """340 instances with bounded neighbours form one graph."""
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
    """A topic that offers a fixed content."""

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
        """Keep the content."""
        self.received.add(payload)


class TestGossipTopics:
    """Guards against topics that starve each other or break the budget."""

    def test_topics_share_the_budget(self) -> None:
        """Two topics that each fill the budget both arrive."""
        made = fleet(3, 1)
        topics: dict[str, list[_Topic]] = {}
        for name, part in made.memberships.items():
            topics[name] = [
                _Topic(kind, f'{kind} of {name}'.encode() * 20)
                for kind in ('one', 'two')
            ]
            for topic in topics[name]:
                part.add_topic(topic)
        made.run(10.0)
        for pair in topics.values():
            for topic in pair:
                assert len(topic.received) == 2

    def test_failing_topic_stops_no_other(self) -> None:
        """A fault of one topic does not stop the membership."""
        made = fleet(3, 1)

        class _Failing(_Topic):
            def receive(
                self, peer: state.InstanceName, payload: bytes
            ) -> None:
                raise ValueError(payload)

        for part in made.memberships.values():
            part.add_topic(_Failing('bad', b'x'))
        made.run(5.0)
        assert made.metrics.counts['membership.topic_errors']
        assert made.agrees()
