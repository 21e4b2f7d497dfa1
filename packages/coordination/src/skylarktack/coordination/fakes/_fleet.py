"""Membership of a whole fleet in one thread, on a manual clock."""

import random

from skylarktack import state
from skylarktack.coordination import membership
from skylarktack.coordination.fakes import _clock
from skylarktack.coordination.fakes import _links
from skylarktack.coordination.fakes import _metrics
from skylarktack.coordination.fakes import _tasks

#: Duration of a step of the fleet, which is the exchange interval.
STEP_S = 0.5

#: Hops that an urgent update travels in one step, at 50 ms each.
HOPS_PER_STEP = 10


class MemberFleet:
    """Runs the real ``Membership`` of all instances, step by step."""

    def __init__(
        self, settings: state.PeerSettings, seed: int, domain_count: int = 4
    ) -> None:
        self.settings = settings
        self.clock = _clock.ManualClock()
        self.hub = _links.MemoryLinkHub(seed)
        self.metrics = _metrics.MemoryMetrics()
        self.tables: dict[str, state.MemberTable] = {}
        self.memberships: dict[str, membership.Membership] = {}
        self._random = random.Random(seed)
        self._domain_count = domain_count
        self._listed: dict[str, state.ListedInstance] = {}
        self._list_is_updated = True
        self._step_count = 0
        self._port = 10_000

    def start(self, name: str, port: int | None = None) -> None:
        """Start an instance, or restart the one with the same name."""
        self._port += 1
        table = state.MemberTable(self._member(name, port or self._port))
        network = self.hub.join(table)
        self.tables[name] = table
        self.memberships[name] = membership.Membership(
            membership.MembershipDependencies(
                settings=self.settings,
                network=network,
                table=table,
                clock=self.clock,
                metrics=self.metrics,
                supervisor=_tasks.DirectTaskRunner(),
                seed=self._random.randrange(2**32),
            )
        )
        self._add_to_list(table.own)

    def start_all(self, count: int) -> list[str]:
        """Start instances and add them to the platform's list."""
        names = [f'instance-{index:03}' for index in range(count)]
        for name in names:
            self.start(name)
        return names

    def kill(self, name: str) -> None:
        """Kill an instance; the platform's list still names it."""
        self.memberships.pop(name).stop()
        del self.tables[name]
        self.hub.leave(name)

    def freeze_list(self) -> None:
        """Stop updating the platform's list."""
        self._list_is_updated = False

    def cut_between(self, one: list[str], other: list[str]) -> None:
        """Drop all messages between two groups of instances."""
        for first in one:
            for second in other:
                self.hub.cut(first, second)
                self.hub.cut(second, first)

    def run(self, duration_s: float) -> None:
        """Run all instances for a duration."""
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def step(self) -> None:
        """Run one round of each instance, then send the urgent updates."""
        self.clock.advance(STEP_S)
        self._step_count += 1
        names = sorted(self.memberships)
        self._random.shuffle(names)
        for name in names:
            self.run_one(name)
        for _ in range(HOPS_PER_STEP):
            for name in names:
                if not self.hub.is_paused(name):
                    self.memberships[name].send_urgent_updates()

    def run_one(self, name: str) -> None:
        """Run one round of one instance unless it is paused.

        An instance probes in every second step and attempts to rejoin in
        every fourth.
        """
        if self.hub.is_paused(name):
            return
        instance = self.memberships[name]
        instance.apply_platform_list(tuple(self._listed.values()))
        instance.exchange_round()
        # Half of the instances probe in each step.
        if (self._step_count + len(name) + int(name[-3:])) % 2 == 0:
            instance.probe_round()
        if (self._step_count + int(name[-3:])) % 4 == 0:
            instance.rejoin_round()

    def live(self, name: str) -> set[str]:
        """Return the members that an instance considers live."""
        return {str(member.name) for member in self.tables[name].live()}

    def agrees(self) -> bool:
        """Return whether every live set is exactly the running instances."""
        running = set(self.memberships)
        return all(self.live(name) == running for name in running)

    def unaware(self, stopped: str) -> list[str]:
        """Return the instances that still consider a stopped one live."""
        return [name for name in self.tables if stopped in self.live(name)]

    def is_connected(self) -> bool:
        """Return whether persistent connections connect all instances."""
        start = min(self.tables)
        found = {start}
        pending = [start]
        while pending:
            network = self.hub.find(state.InstanceName(pending.pop()))
            assert network is not None
            for peer in network.neighbours():
                if peer not in found:
                    found.add(str(peer))
                    pending.append(str(peer))
        return found == set(self.tables)

    def _member(self, name: str, port: int) -> state.Member:
        domain = int(name[-3:]) % self._domain_count
        return state.Member(
            name=state.InstanceName(name),
            address=state.Address('127.0.0.1', port),
            failure_domain=state.FailureDomain(f'domain-{domain}'),
            region='region-1',
            incarnation=int(self.clock.wall_s() * 1000),
            state=state.MemberState.ALIVE,
        )

    def _add_to_list(self, member: state.Member) -> None:
        if not self._list_is_updated:
            return
        self._listed[str(member.name)] = state.ListedInstance(
            name=member.name,
            peer_address=member.address,
            failure_domain=member.failure_domain,
            region=member.region,
        )
