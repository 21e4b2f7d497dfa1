"""Plays calls of many instances to servers that may be cold or broken."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import TypeVar

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

SLOT_COUNT = 6
CALL_S = 0.045
OBJECTIVE_S = 0.264

_Event = TypeVar('_Event', bound=_events.LogEvent)


def server(
    name: str,
    version: str = 'v1',
    models: tuple[str, ...] = (),
    slots: int = SLOT_COUNT,
    started_at_ms: int | None = None,
) -> data.ListedTarget:
    """Return a listed server, or an engine if it has models."""
    return dataclasses.replace(
        harness.target(name),
        version=version,
        slot_count=slots,
        models=models,
        started_at_ms=started_at_ms,
    )


@dataclasses.dataclass
class Instance:
    """One instance without its front."""

    fleet: forwarding.FleetView
    targets: forwarding.TargetTable


class PlayedServer:
    """Serves calls in its slots; the rest waits in order."""

    def __init__(self, target: data.ListedTarget, born_at_s: float) -> None:
        self.target = target
        self.born_at_s = born_at_s
        #: Factor of the time of each call, by the age of the server.
        self.factor: Callable[[float], float] = lambda age_s: 1.0
        #: Whether it drops connections, by its age.
        self.is_broken: Callable[[float], bool] = lambda age_s: False
        self.running_count = 0
        self.waiting: list[Callable[[], None]] = []
        #: Time and number of requests there after each arrival.
        self.depths: list[tuple[float, int]] = []

    def peak(self, from_s: float, to_s: float) -> int:
        """Return the largest number of requests there between two times."""
        depths = [
            depth for at_s, depth in self.depths if from_s <= at_s < to_s
        ]
        return max(depths, default=0)

    def arrivals(self, from_s: float, to_s: float) -> int:
        """Return the number of requests that arrived between two times."""
        return sum(from_s <= at_s < to_s for at_s, _ in self.depths)


@dataclasses.dataclass(frozen=True)
class PlayedCall:
    """A call that was answered."""

    sent_at_s: float
    latency_s: float
    server: str


class Play:
    """A fleet in front of servers, on one clock; times count from 0."""

    def __init__(
        self,
        mode: data.RampMode,
        instance_count: int,
        names: str = 'abc',
        is_cut_off: bool = False,
        seed: int = 1,
    ) -> None:
        self._clock = fakes.SteppingClock()
        self._is_cut_off = is_cut_off
        self._random = random.Random(seed)
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.log = fakes.RecordingLog()
        self.calls: list[PlayedCall] = []
        self.failed_sends: list[tuple[float, str]] = []
        self.servers: dict[str, PlayedServer] = {}
        self.instances = []
        for number in range(instance_count):
            self.instances.append(self._instance(number, mode))
        listed = [server(name) for name in names]
        for target in listed:
            self.servers[target.name] = PlayedServer(target, -100.0)
        self._start_s = self._clock.monotonic_s()
        peers = [
            data.ListedPeer(
                f'instance-{number}', data.Address('10.1.0.1', 7200 + number)
            )
            for number in range(instance_count)
        ]
        for instance in self.instances:
            instance.targets.replace(tuple(listed), after_outage=False)
            instance.fleet.add_peers(tuple(peers))
        for instance in self.instances:
            interval_s = instance.fleet.report_interval_s()
            self.at(
                interval_s * self._random.random(),
                lambda one=instance: self._report(one),  # type: ignore[misc]
            )

    @property
    def now_s(self) -> float:
        """Return the time since the start of the play."""
        return self._clock.monotonic_s() - self._start_s

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def add(
        self,
        name: str,
        at_s: float,
        factor: Callable[[float], float] = lambda age_s: 1.0,
        replaces: str | None = None,
    ) -> PlayedServer:
        """Add a new server to the list at a time."""
        played = PlayedServer(server(name), at_s)
        played.factor = factor
        self.servers[name] = played

        def apply() -> None:
            for instance in self.instances:
                if replaces is not None:
                    instance.targets.apply(data.TargetChange(replaces, None))
                instance.targets.apply(data.TargetChange(name, played.target))

        self.at(at_s, apply)
        return played

    def call_evenly(self, rate: float, until_s: float) -> None:
        """Add calls at random times and instances."""
        at_s = 0.0
        while at_s < until_s:
            at_s += self._random.expovariate(rate)
            instance = self._random.choice(self.instances)
            self.at(
                at_s,
                lambda one=instance: self._call(one),  # type: ignore[misc]
            )

    def run(self, until_s: float) -> None:
        """Play until a time."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at_s - self.now_s))
            action()
        self._clock.advance(max(0.0, until_s - self.now_s))

    def late_share(self, from_s: float, to_s: float, name: str = '') -> float:
        """Return the share of calls, of one server or all, that were late."""
        late = []
        for call in self.calls:
            if from_s <= call.sent_at_s < to_s and name in ('', call.server):
                late.append(call.latency_s > OBJECTIVE_S)
        return sum(late) / max(1, len(late))

    def events(self, kind: type[_Event]) -> list[_Event]:
        """Return the log events of a type, of all instances."""
        return [event for event in self.log.events if isinstance(event, kind)]

    def _instance(self, number: int, mode: data.RampMode) -> Instance:
        fleet = forwarding.FleetView(
            self._clock,
            self.log,
            f'instance-{number}',
            data.Address('10.1.0.1', 7200 + number),
        )
        move_table = forwarding.MoveTable(
            self._clock,
            self.log,
            forwarding.ExposureLimits(0.1, 50.0),
            moves.SequentialJudge(state.MoveSettings()),
        )
        move_table.is_synced.set()
        targets = forwarding.TargetTable(
            self._clock,
            self.log,
            'domain-a',
            fleet,
            move_table,
            forwarding.ErrorRecorder(self._clock, self.log),
            fakes.ScriptedSuspensions(),
            mode,
        )
        return Instance(fleet, targets)

    def _report(self, instance: Instance) -> None:
        self._deliver(instance, instance.fleet.full_report())
        self.at(
            self.now_s + instance.fleet.report_interval_s(),
            lambda: self._report(instance),
        )

    def _deliver(
        self, sender: Instance, report: data.InstanceReport | None
    ) -> None:
        if self._is_cut_off or report is None:
            return
        for instance in self.instances:
            if instance is not sender:
                instance.fleet.receive(report)

    def _call(
        self, instance: Instance, tried: frozenset[str] = frozenset()
    ) -> None:
        target = instance.targets.choose_for_call('pool', tried)
        if target is None:
            return
        played = self.servers[target.name]
        sent_at_s = self.now_s
        instance.targets.begin_request(target)
        if played.is_broken(sent_at_s - played.born_at_s):
            self.failed_sends.append((sent_at_s, target.name))
            instance.targets.end_request(target)
            instance.targets.report_failure(
                target, 'route', 'reset', is_loss=True
            )
            self._deliver(instance, instance.fleet.change_report())
            self._call(instance, tried | {target.name})
            return

        def serve() -> None:
            played.running_count += 1
            age_s = self.now_s - played.born_at_s
            self.at(self.now_s + CALL_S * played.factor(age_s), finish)

        def finish() -> None:
            played.running_count -= 1
            if played.waiting:
                played.waiting.pop(0)()
            self._answer(instance, played, sent_at_s)

        if played.running_count < SLOT_COUNT:
            serve()
        else:
            played.waiting.append(serve)
        depth = played.running_count + len(played.waiting)
        played.depths.append((sent_at_s, depth))

    def _answer(
        self, instance: Instance, played: PlayedServer, sent_at_s: float
    ) -> None:
        latency_s = self.now_s - sent_at_s
        target = played.target
        self.calls.append(PlayedCall(sent_at_s, latency_s, target.name))
        instance.targets.end_request(target)
        load = data.TargetLoad(
            played.running_count, len(played.waiting), SLOT_COUNT, 1.0
        )
        instance.targets.report_head(
            target, dataclasses.replace(harness.head(), load=load)
        )
        instance.targets.observations.record_unit_time(target, latency_s)
        instance.targets.report_response(
            target, 'route', 1000 * latency_s, is_error=False
        )
