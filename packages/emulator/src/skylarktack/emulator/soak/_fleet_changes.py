"""Changes of the configuration beside several instances that stop or start."""

import dataclasses
import random
import signal
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _injection_tasks
from skylarktack.emulator.soak import _injectors
from skylarktack.emulator.soak import _schedule

#: Values between which a change draws. Instances stop at once or in turn, and
#: start again at once or late; a start takes about a second.
_TURNS_S = (0.0, 0.0, 0.3, 1.0)
_DOWN_TIMES_S = (0.0, 0.3, 1.5)
_CHANGE_COUNTS = (1, 2, 4)
_CHANGE_GAPS_S = (0.0, 0.1, 0.6)

#: Latest time of the first change after the first stop.
_MAX_LEAD_S = 2.5

#: Signals that stop instances. A request of a killed process is not judged.
_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM, signal.SIGKILL)


@dataclasses.dataclass(frozen=True)
class FleetChangePlan:
    """Which instances stop beside which changes."""

    #: Indexes of the instances in the order of their stops.
    instance_indexes: tuple[int, ...]

    #: Signal that each of them gets.
    signals: tuple[signal.Signals, ...]

    #: Time between two stops.
    turn_s: float

    #: Time between the end of a process and its next start.
    down_s: float

    #: Time of the first change after the first stop, the number of changes,
    #: and the time between them.
    lead_s: float
    change_count: int
    change_gap_s: float


def draw_plan(draw: random.Random, instance_count: int) -> FleetChangePlan:
    """Draw one series of changes, beside at least two instances that stop."""
    count = draw.randint(min(2, instance_count), instance_count)
    return FleetChangePlan(
        instance_indexes=tuple(draw.sample(range(instance_count), count)),
        signals=tuple(draw.choice(_SIGNALS) for _ in range(count)),
        turn_s=draw.choice(_TURNS_S),
        down_s=draw.choice(_DOWN_TIMES_S),
        lead_s=draw.uniform(0.0, _MAX_LEAD_S),
        change_count=draw.choice(_CHANGE_COUNTS),
        change_gap_s=draw.choice(_CHANGE_GAPS_S),
    )


class FleetChangeInjector:
    """Changes the configuration while several instances stop and start."""

    def __init__(
        self,
        deployment: platform.PlatformDeployment,
        editor: _configuration.ConfigurationEditor,
        injector: _injectors.Injector,
    ) -> None:
        self._deployment = deployment
        self._editor = editor
        self._injector = injector
        self._tasks = _injection_tasks.InjectionTasks()

    def start(self, injection: _schedule.Injection) -> None:
        """Start one series of changes; it ends by itself."""
        draw = random.Random(injection.at_s)
        plan = draw_plan(draw, len(self._deployment.instances))
        self._tasks.start(lambda: self._stop_instances(plan))
        self._tasks.start(lambda: self._change(draw, plan))

    def wait_ended(self) -> None:
        """Wait until all signals are sent and all changes acknowledged."""
        self._tasks.wait_ended()

    def _stop_instances(self, plan: FleetChangePlan) -> None:
        for index, number in zip(
            plan.instance_indexes, plan.signals, strict=True
        ):
            instance = self._deployment.instances[index]
            self._injector.restart(instance, number, plan.down_s)
            time.sleep(plan.turn_s)

    def _change(self, draw: random.Random, plan: FleetChangePlan) -> None:
        time.sleep(plan.lead_s)
        for _ in range(plan.change_count):
            if draw.random() < 0.5:
                self._editor.change_limits(draw)
            else:
                self._editor.change_routes(draw)
            time.sleep(plan.change_gap_s)
