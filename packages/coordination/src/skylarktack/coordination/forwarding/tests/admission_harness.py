"""Plays a load on servers behind many instances, in memory."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

INSTANCE_COUNT = 58
SERVER_COUNT = 4
SLOT_COUNT = 6
WORK_S = 0.08
LIMIT_S = 1.6
OBJECTIVE_S = 0.38
REPORT_INTERVAL_S = 2.85

#: One organisation sends a fifth of the usual load, which is a third of the
#: capacity, and twelve times as much during the burst.
OTHER_COUNT = 23
HOT = 'hot'
HOT_PER_S = 25.0
OTHER_PER_S = 3.8
BURST_FACTOR = 12
BURST_BEGIN_S = 8.0
BURST_END_S = 22.0
END_S = 30.0
LAST_ARRIVAL_S = END_S - 2


@dataclasses.dataclass
class FixedTargets:
    """Targets that never change, as one instance sees them."""

    observations: _target_observations.TargetObservations
    listed: tuple[data.ListedTarget, ...]

    def usable_targets(self, service: str) -> tuple[data.ListedTarget, ...]:
        """Return the targets of the service."""
        return tuple(one for one in self.listed if one.service == service)


@dataclasses.dataclass
class Instance:
    """One instance: its view of the fleet and its admission."""

    fleet: forwarding.FleetView
    targets: FixedTargets
    admission: forwarding.ServiceAdmission


def servers() -> tuple[data.ListedTarget, ...]:
    """Return the servers of the service ``pool``."""
    return tuple(
        dataclasses.replace(
            harness.target(f's{number}'), slot_count=SLOT_COUNT
        )
        for number in range(SERVER_COUNT)
    )


def make_instance(
    clock: fakes.SteppingClock,
    name: str,
    log: fakes.RecordingLog | None = None,
    draw: Callable[[], float] | None = None,
    listed: tuple[data.ListedTarget, ...] = (),
) -> Instance:
    """Return an instance in front of targets, by default the servers."""
    log = log or fakes.RecordingLog()
    draw = draw or random.Random(5).random
    number = sum(name.encode())
    fleet = forwarding.FleetView(
        clock, log, name, data.Address('10.2.0.1', number)
    )
    observations = _target_observations.TargetObservations(clock)
    fleet.set_observations(observations)
    targets = FixedTargets(observations, listed or servers())
    admission = forwarding.ServiceAdmission(
        clock, log, targets, fleet, forwarding.ErrorRecorder(clock, log), draw
    )
    return Instance(fleet, targets, admission)


def admitted(
    clock: fakes.SteppingClock,
    organisation: str | None,
    priority: int = 1,
    route: data.ForwardingRoute | None = None,
) -> forwarding.AdmittedRequest:
    """Return a request for the service ``pool``."""
    now_s = clock.monotonic_s()
    route = route or dataclasses.replace(
        harness.route(), latency_objective_ms=1000 * OBJECTIVE_S
    )
    return forwarding.AdmittedRequest(
        request=harness.request(time_limit_ms=1000 * LIMIT_S),
        route=route,
        service='pool',
        version_rule=forwarding.ANY_VERSION,
        engine=data.EngineCapacity(55_000, has_standby_copies=False),
        organisation=organisation,
        caller=fakes.ScriptedCaller(clock),
        started_at_s=now_s,
        deadline_s=now_s + LIMIT_S,
        trace=forwarding.RequestTrace(now_s),
        priority=priority,
    )


@dataclasses.dataclass
class _Call:
    organisation: str
    priority: int
    group: tuple[str, str]
    instance: Instance
    sent_at_s: float
    is_retry: bool = False


@dataclasses.dataclass
class _Server:
    target: data.ListedTarget
    running: int = 0
    waiting: collections.deque[_Call] = dataclasses.field(
        default_factory=collections.deque
    )

    def load(self) -> data.TargetLoad:
        return data.TargetLoad(self.running, len(self.waiting), SLOT_COUNT)


@dataclasses.dataclass
class Totals:
    """Counts of callers and of their responses."""

    sent: int = 0
    in_time: int = 0
    refusals: int = 0
    refused_twice: int = 0
    retry_after_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Return the share of the callers who were served in time."""
        return self.in_time / max(1, self.sent)


class Play:
    """Callers, instances and servers on one clock."""

    def __init__(
        self,
        is_on: bool = True,
        report_age_s: float = 0.02,
        is_cut_off: bool = False,
        urgent_share: float = 0.0,
        other_per_s: float = OTHER_PER_S,
        burst_factor: float = BURST_FACTOR,
        has_returns: bool = True,
        seed: int = 1,
    ) -> None:
        """Prepare a play.

        :param is_on: whether requests are refused by the admission.
        :param report_age_s: time that a report takes.
        :param is_cut_off: whether no report arrives.
        :param urgent_share: share of the requests with priority 0.
        :param other_per_s: requests a second of each other organisation.
        :param burst_factor: traffic of the hot one during the burst.
        :param has_returns: whether callers return after a refusal.
        """
        self._is_on = is_on
        self._report_age_s = report_age_s
        self._is_cut_off = is_cut_off
        self._urgent_share = urgent_share
        self._other_per_s = other_per_s
        self._burst_factor = burst_factor
        self._has_returns = has_returns
        self._random = random.Random(seed)
        self._clock = fakes.SteppingClock()
        self._began_s = self._clock.monotonic_s()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._instances = [
            make_instance(self._clock, f'i{number}', None, self._random.random)
            for number in range(INSTANCE_COUNT)
        ]
        self._servers = [_Server(target) for target in servers()]
        #: By group of callers and phase, and by priority in the burst.
        self.totals: dict[object, Totals] = collections.defaultdict(Totals)

    def run(self) -> None:
        """Play the whole load."""
        peers = tuple(
            data.ListedPeer(
                one.fleet.instance, data.Address('10.2.0.2', number)
            )
            for number, one in enumerate(self._instances)
        )
        for one in self._instances:
            one.fleet.add_peers(peers)
            self._at(
                self._random.random(), functools.partial(self._report, one)
            )
            self._at(
                self._random.random() / 4, functools.partial(self._change, one)
            )
        self._arrive(HOT)
        for number in range(OTHER_COUNT):
            self._arrive(f'other-{number}')
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            if at_s > END_S:
                return
            self._clock.advance(max(0.0, at_s - self._now_s()))
            action()

    def _now_s(self) -> float:
        return self._clock.monotonic_s() - self._began_s

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self._now_s() + delay_s, action)

    def _arrive(self, organisation: str) -> None:
        """Send a request of the organisation, and plan its next one."""
        now_s = self._now_s()
        if now_s > LAST_ARRIVAL_S:
            return
        is_burst = BURST_BEGIN_S <= now_s < BURST_END_S
        rate = self._other_per_s
        if organisation == HOT:
            rate = HOT_PER_S * (self._burst_factor if is_burst else 1)
        phase = 'burst' if is_burst else 'before'
        if now_s >= BURST_END_S:
            phase = 'end' if now_s < BURST_END_S + 3 else 'after'
        group = (organisation if organisation == HOT else 'others', phase)
        priority = 0 if self._random.random() < self._urgent_share else 1
        if now_s > 0:
            self._count(group, priority, 'sent')
            self._send(organisation, priority, group, is_retry=False)
        next_s = self._random.expovariate(rate)
        if organisation == HOT and now_s < BURST_BEGIN_S < now_s + next_s:
            next_s = BURST_BEGIN_S - now_s
        self._after(next_s, lambda: self._arrive(organisation))

    def _count(self, group: tuple[str, str], priority: int, name: str) -> None:
        for key in (group, (group, priority)):
            totals = self.totals[key]
            setattr(totals, name, getattr(totals, name) + 1)

    def _send(
        self,
        organisation: str,
        priority: int,
        group: tuple[str, str],
        is_retry: bool,
    ) -> None:
        instance = self._random.choice(self._instances)
        work = admitted(self._clock, organisation, priority)
        refusal = instance.admission.check(work) if self._is_on else None
        call = _Call(
            organisation, priority, group, instance, self._now_s(), is_retry
        )
        if refusal is None:
            one, other = self._random.sample(self._servers, 2)
            if sum(_counts(other)) < sum(_counts(one)):
                one = other
            one.waiting.append(call)
            self._start_waiting(one)
            return
        self._count(group, priority, 'refusals')
        delay_s = refusal.retry_after_s or 0.0
        self.totals[group].retry_after_s.append(delay_s)
        if not self._has_returns:
            return
        if is_retry:
            self._count(group, priority, 'refused_twice')
            return
        self._after(
            delay_s, lambda: self._send(organisation, priority, group, True)
        )

    def _start_waiting(self, server: _Server) -> None:
        while server.waiting and server.running < SLOT_COUNT:
            call = server.waiting.popleft()
            if self._now_s() > call.sent_at_s + LIMIT_S:
                continue
            server.running += 1
            self._after(
                WORK_S, functools.partial(self._end_call, server, call)
            )

    def _end_call(self, server: _Server, call: _Call) -> None:
        server.running -= 1
        self._start_waiting(server)
        latency_s = self._now_s() - call.sent_at_s
        observations = call.instance.targets.observations
        observations.record_unit_time(server.target, latency_s)
        observations.record_load(server.target, server.load())
        if latency_s <= OBJECTIVE_S:
            self._count(call.group, call.priority, 'in_time')

    def _report(self, sender: Instance) -> None:
        self._deliver(sender, sender.fleet.full_report())
        self._after(
            REPORT_INTERVAL_S * (0.75 + self._random.random() / 2),
            lambda: self._report(sender),
        )

    def _change(self, sender: Instance) -> None:
        report = sender.fleet.change_report()
        if report is not None:
            self._deliver(sender, report)
        self._after(0.25, lambda: self._change(sender))

    def _deliver(self, sender: Instance, report: data.InstanceReport) -> None:
        if self._is_cut_off:
            return

        def _receive() -> None:
            for one in self._instances:
                if one is not sender:
                    one.fleet.receive(report)

        self._after(self._report_age_s, _receive)


def _counts(server: _Server) -> tuple[int, int]:
    return server.running, len(server.waiting)
