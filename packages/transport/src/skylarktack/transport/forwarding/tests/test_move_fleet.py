"""Moves (planned rollouts) in a large fleet: exposure, verdict, bytes."""

import dataclasses
import random

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.protocol import forwarding as codec
from skylarktack.state import forwarding as data

DURATION_S = 40.0
STEP_S = 0.25
LIMITS = forwarding.ExposureLimits(0.1, 50.0)

ROUTES = ('book', 'peek', 'review')

#: Budget of control traffic per instance, for each direction.
CONTROL_BYTES_PER_S = 14000.0

#: Fraction of the requests that the bad version fails.
BAD_FRACTION = 0.4

#: Fraction of the requests that the slow version delays, and by what factor.
SLOW_FRACTION = 0.5
SLOWDOWN = 6.0


class _Store:
    """Stores the order and accepts the first write to each revision."""

    def __init__(self) -> None:
        self.call_count = 0
        self.order = data.MoveOrder(
            'pool', 'v2', DURATION_S, data.StorePosition(0, 5)
        )

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        self.call_count += 1
        if order.position == self.order.position:
            self.order = dataclasses.replace(
                self.order,
                phase=phase,
                position=move_harness.following(order.position),
            )
        return data.MoveChange('pool', self.order)


class _Instance:
    """Move components of one instance, with their traffic counters."""

    def __init__(self, number: int, simulation: '_FleetSimulation') -> None:
        self.name = f'instance-{number}'
        self.endpoint = data.Address(f'10.1.{number // 250}.{number % 250}', 1)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.simulation = simulation
        self.is_alive = True
        log = fakes.RecordingLog()
        self.fleet = forwarding.FleetView(
            simulation.clock, log, self.name, self.endpoint
        )
        self.table = forwarding.MoveTable(
            simulation.clock,
            log,
            LIMITS,
            moves.SequentialJudge(state.MoveSettings()),
            draw=simulation.random.random,
        )
        self.table.is_synced.set()
        self.table.trials.restore(())
        self.driver = forwarding.MoveDriver(
            simulation.clock,
            log,
            self.table,
            self.fleet,
            self,
            simulation.store,
            fakes.ScriptedSuspensions(),
        )

    def send(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Deliver a message to each peer."""
        size = len(codec.encode_message(message))
        self.sent_bytes += size * len(peers)
        for endpoint in peers:
            peer = self.simulation.by_endpoint[endpoint]
            if not peer.is_alive:
                continue
            peer.received_bytes += size
            assert isinstance(message, data.MoveReport)
            peer.table.apply_report(message)
        return size * len(peers)

    def broadcast(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Deliver a message; account the relayed bytes to the peers."""
        previous_bytes = self.sent_bytes
        cost_bytes = self.send(message, peers)
        self.sent_bytes = previous_bytes
        for endpoint in peers:
            # On average each instance relays a message once.
            peer = self.simulation.by_endpoint[endpoint]
            peer.sent_bytes += cost_bytes // len(peers)
        return cost_bytes


class _FleetSimulation:
    """A fleet that serves one service during a move."""

    def __init__(
        self, instance_count: int, domain_count: int, rate_per_s: float
    ) -> None:
        self.clock = fakes.SteppingClock()
        self.random = random.Random(1)
        self.store = _Store()
        self.by_endpoint: dict[data.Address, _Instance] = {}
        self.instances: list[_Instance] = []
        self.request_count = 0
        self.sent_count = 0
        self.bad_response_count = 0
        self.sent_after_count = 0
        self._rate_per_s = rate_per_s
        self._due_count = 0.0
        self._is_slow = False
        self._domains = [f'domain-{each}' for each in range(domain_count)]
        for number in range(instance_count):
            instance = _Instance(number, self)
            self.instances.append(instance)
            self.by_endpoint[instance.endpoint] = instance
        for instance in self.instances:
            instance.fleet.add_peers(())
            for peer in self.instances:
                if peer is not instance:
                    instance.fleet.receive(_first_report(peer))
        for instance in self.instances:
            instance.table.apply(data.MoveChange('pool', self.store.order))

    def run(
        self,
        is_bad: bool,
        until_s: float = DURATION_S,
        is_slow: bool = False,
    ) -> None:
        """Serve requests until the move has ended or time is up."""
        self._is_slow = is_slow
        started_s = self.clock.monotonic_s()
        while self.clock.monotonic_s() - started_s < until_s:
            for instance in self.instances:
                if instance.is_alive:
                    has_updates = instance.table.has_updates.is_set()
                    instance.table.has_updates.clear()
                    instance.driver.step(has_updates)
            self._due_count += self._rate_per_s * STEP_S
            while self._due_count >= 1:
                self._due_count -= 1
                self._serve(self.random.choice(self.instances), is_bad)
            self.clock.advance(STEP_S)
            if self.store.order.has_ended:
                for instance in self.instances:
                    change = data.MoveChange('pool', self.store.order)
                    instance.table.apply(change)
                return

    def _serve(self, instance: _Instance, is_bad: bool) -> None:
        if not instance.is_alive:
            return
        self.request_count += 1
        rule = instance.table.choose_versions('pool')
        version = 'v2' if rule.preferred == 'v2' else 'v1'
        domain = self.random.choice(self._domains)
        target = dataclasses.replace(
            harness.target(f'{version}-{domain}', domain), version=version
        )
        instance.table.record_send(target)
        kind = state.OutcomeKind.SUCCESS
        latency_ms = 20.0 + self.random.random()
        if version == 'v2':
            self.sent_count += 1
            if self.bad_response_count >= LIMITS.allowance_count:
                self.sent_after_count += 1
            if is_bad and self.random.random() < BAD_FRACTION:
                kind = state.OutcomeKind.ERROR
                self.bad_response_count += 1
            if self._is_slow and self.random.random() < SLOW_FRACTION:
                latency_ms *= SLOWDOWN
                self.bad_response_count += 1
        route = self.random.choice(ROUTES)
        instance.table.record_outcome(target, route, kind, latency_ms)

    def restore(self) -> None:
        """Bring the store back from a copy without a phase."""
        self.store.call_count = 0
        self.store.order = dataclasses.replace(
            self.store.order,
            phase=state.MovePhase.PLANNED,
            position=data.StorePosition(1, 4),
        )
        for instance in self.instances:
            instance.table.record_restore()
            instance.table.replace(
                (data.MoveChange('pool', self.store.order),)
            )

    def leader(self) -> _Instance:
        """Return the instance with the lowest rank."""
        return min(self.instances, key=lambda each: each.fleet.rank())


def _first_report(peer: _Instance) -> data.InstanceReport:
    report = harness.peer_report(peer.name, 1)
    return dataclasses.replace(report, endpoint=peer.endpoint)


class TestLargeFleet:
    """The fleet judges one version from shared evidence."""

    @pytest.mark.parametrize('is_slow', (False, True))
    @pytest.mark.parametrize('instance_count', (9, 91))
    def test_the_exposure_of_a_bad_version(
        self, instance_count: int, is_slow: bool
    ) -> None:
        """Guards against each instance using the full allowance."""
        simulation = _FleetSimulation(instance_count, 4, rate_per_s=100.0)
        simulation.run(is_bad=not is_slow, is_slow=is_slow)
        assert simulation.store.order.phase is state.MovePhase.ROLLED_BACK
        limit_count = LIMITS.fraction * simulation.request_count
        assert simulation.sent_count <= limit_count + LIMITS.allowance_count
        assert simulation.sent_after_count == 0

    def test_a_good_version_is_completed(self) -> None:
        """Guards against evidence that reaches no judge."""
        simulation = _FleetSimulation(91, 4, rate_per_s=100.0)
        simulation.run(is_bad=False)
        assert simulation.store.order.phase is state.MovePhase.COMPLETED

    @pytest.mark.parametrize('instance_count', (9, 91))
    @pytest.mark.parametrize('is_bad', (True, False))
    def test_a_lost_phase_is_recorded_once(
        self, is_bad: bool, instance_count: int
    ) -> None:
        """Guards against a write from each instance after a restore."""
        simulation = _FleetSimulation(instance_count, 4, rate_per_s=100.0)
        simulation.run(is_bad)
        phase = simulation.store.order.phase
        sent_count = simulation.sent_count
        # Longer than the delays by rank of all instances.
        simulation.clock.advance(60.0)
        simulation.restore()
        simulation.run(is_bad, until_s=3.0)
        assert simulation.store.order.phase is phase
        assert simulation.store.call_count == 1
        if is_bad:
            assert simulation.sent_count == sent_count

    @pytest.mark.parametrize('is_bad', (True, False))
    def test_a_verdict_after_the_leader_failed(self, is_bad: bool) -> None:
        """Guards against evidence that is lost with its aggregator."""
        simulation = _FleetSimulation(91, 4, rate_per_s=100.0)
        simulation.leader().is_alive = False
        simulation.run(is_bad)
        expected = state.MovePhase.COMPLETED
        if is_bad:
            expected = state.MovePhase.ROLLED_BACK
        assert simulation.store.order.phase is expected

    def test_control_traffic_stays_within_the_budget(self) -> None:
        """Guards against reports that exceed the control traffic budget.

        Checked at 340 instances and 13 failure domains.
        """
        simulation = _FleetSimulation(340, 13, rate_per_s=2000.0)
        until_s = 15.0
        simulation.run(is_bad=False, until_s=until_s)
        for instance in simulation.instances:
            assert instance.sent_bytes <= CONTROL_BYTES_PER_S * until_s
            assert instance.received_bytes <= CONTROL_BYTES_PER_S * until_s
