"""Plays calls of many instances to a few servers, in memory."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from skylarktack.coordination import fakes
from skylarktack.coordination.forwarding import _call_choice
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

OBJECTIVE_S = 0.264
DEADLINE_S = 0.8
CONNECTION_LIMIT = 100

#: Delay of a datagram that an instance sends at once.
DATAGRAM_S = 0.01


@dataclasses.dataclass
class Server:
    """A server with slots and a queue, which resets beyond its limit."""

    target: data.ListedTarget
    service_s: float = 0.045
    hangs_until_s: float = 0.0
    running: list['PlayedCall'] = dataclasses.field(default_factory=list)
    waiting: list['PlayedCall'] = dataclasses.field(default_factory=list)
    received_count: int = 0
    reset_count: int = 0
    most_connections: int = 0

    @property
    def slot_count(self) -> int:
        """Return the number of calls that it processes at a time."""
        return self.target.slot_count

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.running) + len(self.waiting)


@dataclasses.dataclass(eq=False)
class PlayedCall:
    """A call at a server."""

    env: harness.Harness
    server: Server
    demand: _call_choice.CallDemand
    expectation: _call_choice.CallExpectation
    started_at_s: float
    has_ended: bool = False


class CallLoad:
    """Instances that send calls to servers, by events in order of time."""

    def __init__(
        self,
        instance_count: int,
        servers: tuple[Server, ...],
        report_interval_s: float | None = 0.25,
        seed: int = 1,
    ) -> None:
        """Create the instances.

        :param report_interval_s: time between the reports of an instance;
            None if no report arrives.
        """
        self.clock = fakes.SteppingClock()
        self.clock.advance(60.0)
        self.random = random.Random(seed)
        # The choices draw from the generator of the module.
        random.seed(seed)
        self.servers = {server.target.name: server for server in servers}
        self.report_interval_s = report_interval_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.in_time_count = 0
        self.late_count = 0
        self.lost_count = 0
        self.refusals: list[float] = []
        #: Most open calls of one instance at one server.
        self.most_calls_count = 0
        self._open_counts: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.envs = [
            harness.make_harness(
                *(server.target for server in servers),
                is_warmed_up=False,
                instance=f'peer-{number}',
                shared_clock=self.clock,
            )
            for number in range(instance_count)
        ]
        # The targets have reported how long work takes on their machines.
        slowdown = data.TargetLoad(0, 0, servers[0].slot_count, 1.0)
        head = dataclasses.replace(harness.head(), load=slowdown)
        for env in self.envs:
            env.fleet.add_peers(harness.listed_peers(instance_count))
            env.targets.calls.report_head(servers[0].target, head)
            if report_interval_s is not None:
                delay_s = self.random.random() * report_interval_s
                self.after(delay_s, functools.partial(self._report, env))
                self._deliver(env, env.fleet.full_report())

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        at_s = self.clock.monotonic_s() + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def play(self, duration_s: float, rate: float) -> None:
        """Send calls at a rate for a time, and wait until they have ended."""
        end_s = self.clock.monotonic_s() + duration_s

        def arrive() -> None:
            now_s = self.clock.monotonic_s()
            if now_s < end_s:
                self.after(self.random.expovariate(rate), arrive)
                self._try(self.random.choice(self.envs), now_s)

        self.after(0.0, arrive)
        while self._events and self._events[0][0] < end_s + DEADLINE_S:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.monotonic_s()))
            action()

    def _try(self, env: harness.Harness, started_at_s: float) -> None:
        now_s = self.clock.monotonic_s()
        demand = _call_choice.CallDemand(
            now_s, started_at_s + OBJECTIVE_S, False, CONNECTION_LIMIT
        )
        none: frozenset[str] = frozenset()
        rule = _version_rules.ANY_VERSION
        target = env.targets.choose_for_call('pool', none, rule, demand)
        if target is None:
            wait = env.targets.calls.plan_room_wait('pool', none, rule, demand)
            assert wait is not None
            if wait.is_in_time:
                self.after(wait.wait_s, lambda: self._try(env, started_at_s))
            else:
                self.refusals.append(wait.wait_s)
            return
        server = self.servers[target.name]
        expectation = env.targets.calls.expect(target, demand)
        env.targets.begin_request(target)
        call = PlayedCall(env, server, demand, expectation, started_at_s)
        key = (id(env), target.name)
        self._open_counts[key] += 1
        self.most_calls_count = max(
            self.most_calls_count, self._open_counts[key]
        )
        server.received_count += 1
        if server.connection_count() >= CONNECTION_LIMIT:
            server.reset_count += 1
            self.lost_count += 1
            env.targets.report_failure(target, 'route', 'reset', False)
            self._end(call)
            return
        server.waiting.append(call)
        server.most_connections = max(
            server.most_connections, server.connection_count()
        )
        overdue_s = max(0.45 * OBJECTIVE_S, expectation.overdue_after_s)
        if overdue_s < DEADLINE_S:
            self.after(overdue_s, lambda: self._check_overdue(call))
        self.after(DEADLINE_S, lambda: self._give_up(call))
        self._serve(server)

    def _serve(self, server: Server) -> None:
        if self.clock.monotonic_s() < server.hangs_until_s:
            return
        while server.waiting and len(server.running) < server.slot_count:
            call = server.waiting.pop(0)
            server.running.append(call)
            work_s = server.service_s * self.random.uniform(0.8, 1.2)
            self.after(work_s, functools.partial(self._finish, call))

    def _finish(self, call: PlayedCall) -> None:
        server = call.server
        now_s = self.clock.monotonic_s()
        if call.has_ended or now_s < server.hangs_until_s:
            return
        server.running.remove(call)
        targets = call.env.targets
        load = data.TargetLoad(
            len(server.running), len(server.waiting), server.slot_count, 1.0
        )
        head = dataclasses.replace(harness.head(), load=load)
        targets.report_head(server.target, head)
        sent_at_s = call.demand.at_s
        targets.report_response(
            server.target, 'route', 1000 * (now_s - sent_at_s), False
        )
        if call.expectation.is_trial:
            targets.calls.report_recovery(server.target)
        targets.calls.record_response(
            server.target, head, sent_at_s, call.expectation
        )
        if now_s - call.started_at_s <= OBJECTIVE_S:
            self.in_time_count += 1
        else:
            self.late_count += 1
        self._end(call)
        self._serve(server)

    def _check_overdue(self, call: PlayedCall) -> None:
        if not call.has_ended:
            call.env.targets.calls.report_overdue(
                call.server.target, call.demand.at_s
            )
            self._send_changes(call.env)

    def _give_up(self, call: PlayedCall) -> None:
        if call.has_ended:
            return
        server = call.server
        for calls in (server.running, server.waiting):
            if call in calls:
                calls.remove(call)
        self.lost_count += 1
        call.env.targets.report_timeout(
            server.target, 'route', call.demand.at_s
        )
        self._end(call)
        self._serve(server)

    def _end(self, call: PlayedCall) -> None:
        call.has_ended = True
        self._open_counts[id(call.env), call.server.target.name] -= 1
        call.env.targets.end_request(call.server.target)
        call.env.targets.calls.release(call.server.target, call.demand.at_s)
        self._send_changes(call.env)

    def _send_changes(self, env: harness.Harness) -> None:
        if self.report_interval_s is None or env.fleet.outgoing.is_empty():
            return
        report = env.fleet.change_report()
        if report is not None:
            self.after(DATAGRAM_S, lambda: self._deliver(env, report))

    def _report(self, env: harness.Harness) -> None:
        if self.report_interval_s is not None:
            self._deliver(env, env.fleet.full_report())
            self.after(
                self.report_interval_s, functools.partial(self._report, env)
            )

    def _deliver(
        self, sender: harness.Harness, report: data.InstanceReport
    ) -> None:
        for env in self.envs:
            if env is not sender:
                env.fleet.receive(report)


def servers(*service_times_s: float) -> tuple[Server, ...]:
    """Return servers of 6 slots with the given service times."""
    listed = []
    for number, service_s in enumerate(service_times_s):
        target = harness.target(f'server-{number}')
        target = dataclasses.replace(target, slot_count=6)
        listed.append(Server(target, service_s))
    return tuple(listed)
