"""Restores of the store from a copy, with changes and pauses around them."""

import dataclasses
import random
import signal
import threading
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _checkers
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _injection_tasks
from skylarktack.emulator.soak import _injectors
from skylarktack.emulator.soak import _schedule

#: Values between which a restore draws.
_LOST_CHANGE_COUNTS = (0, 1, 3)
_EARLY_CHANGE_COUNTS = (0, 1, 2)
_LATE_CHANGE_COUNTS = (0, 0, 1)
_AGES_S = (0.2, 2.0)
_AWAY_TIMES_S = (0.1, 0.8)
_WRITE_DELAYS_S = (0.1, 3.0)
_FREEZE_LEADS_S = (0.0, 0.5)
_CONTINUE_DELAYS_S = (0.0, 1.5)

#: Share of restores after which the store passes the revisions that it lost
#: before the frozen instances continue.
_PASSED_SHARE = 0.6


#: Time for which callers go on after the last restore, so that a change that
#: an instance has missed shows.
SETTLE_S = 4.0


@dataclasses.dataclass(frozen=True)
class RestorePlan:
    """What is done before and after one restore."""

    #: Time between the copy and the outage, and length of the outage.
    age_s: float
    away_s: float

    #: Changes of the configuration between the copy and the outage; between
    #: the restore and the time when what is lost is written again; and after
    #: all instances continue.
    lost_change_count: int
    early_change_count: int
    late_change_count: int

    #: Time after the restore at which what is lost is written again.
    write_delay_s: float

    #: Instances that are paused, how long before the outage that begins, and
    #: how long after the last write it ends.
    frozen_count: int
    freeze_lead_s: float
    continue_delay_s: float

    #: Whether the store passes the lost revisions before they continue.
    passes_revision: bool

    @property
    def frozen_s(self) -> float:
        """Return the least time for which instances are paused."""
        return (
            self.freeze_lead_s
            + self.away_s
            + self.write_delay_s
            + self.continue_delay_s
        )


def draw_plan(draw: random.Random, instance_count: int) -> RestorePlan:
    """Draw one restore; at least one instance is not paused."""
    return RestorePlan(
        age_s=draw.uniform(*_AGES_S),
        away_s=draw.uniform(*_AWAY_TIMES_S),
        lost_change_count=draw.choice(_LOST_CHANGE_COUNTS),
        early_change_count=draw.choice(_EARLY_CHANGE_COUNTS),
        late_change_count=draw.choice(_LATE_CHANGE_COUNTS),
        write_delay_s=draw.uniform(*_WRITE_DELAYS_S),
        frozen_count=draw.randrange(instance_count),
        freeze_lead_s=draw.uniform(*_FREEZE_LEADS_S),
        continue_delay_s=draw.uniform(*_CONTINUE_DELAYS_S),
        passes_revision=draw.random() < _PASSED_SHARE,
    )


class RestoreInjector:
    """Restores the store as the schedule says, one restore at a time."""

    def __init__(
        self,
        deployment: platform.PlatformDeployment,
        editor: _configuration.ConfigurationEditor,
        injector: _injectors.Injector,
    ) -> None:
        self._deployment = deployment
        self._editor = editor
        self._injector = injector
        self._lock = threading.Lock()
        self._tasks = _injection_tasks.InjectionTasks()
        self.unknown_times: list[_checkers.UnknownTime] = []

    def start(self, injection: _schedule.Injection) -> None:
        """Start one restore; it ends by itself."""
        self._tasks.start(lambda: self._restore(injection))

    def wait_ended(self) -> None:
        """Wait until all is written again, and then for calls."""
        self._tasks.wait_ended()
        if not self._tasks.is_empty:
            time.sleep(SETTLE_S)

    def _restore(self, injection: _schedule.Injection) -> None:
        draw = random.Random(injection.at_s)
        instances = self._deployment.instances
        plan = draw_plan(draw, len(instances))
        frozen = draw.sample(instances, plan.frozen_count)
        store = self._deployment.store
        with self._lock:
            with self._editor.hold():
                copy = store.snapshot()
                routes = self._editor.confirmed_at_s().keys()
            self._change(plan.lost_change_count)
            time.sleep(plan.age_s)
            for instance in frozen:
                self._injector.signals.record_pause(
                    instance.name, plan.frozen_s
                )
                instance.signal(signal.SIGSTOP)
            time.sleep(plan.freeze_lead_s)
            with self._editor.hold():
                store.set_mode(platform.StoreMode.RESET)
                time.sleep(plan.away_s)
                lost_revision = store.revision
                lost_routes = self._editor.confirmed_at_s().keys() - routes
                processes = [each.process for each in instances]
                restored_at_s = time.monotonic()
                store.restore(copy)
                store.set_mode(platform.StoreMode.GOOD)
            self._change(plan.early_change_count)
            time.sleep(plan.write_delay_s)
            store.write_again()
            if not any(
                instance.is_running and instance.process is process
                for instance, process in zip(instances, processes, strict=True)
            ):
                self.unknown_times.append(
                    _checkers.UnknownTime(
                        frozenset(lost_routes),
                        restored_at_s,
                        time.monotonic(),
                    )
                )
            if plan.passes_revision:
                self._pass_revision(lost_revision)
            time.sleep(plan.continue_delay_s)
            for instance in frozen:
                instance.signal(signal.SIGCONT)
            self._change(plan.late_change_count)

    def _change(self, count: int) -> None:
        for _ in range(count):
            self._editor.add_route()

    def _pass_revision(self, revision: int) -> None:
        """Change objects that nobody reads until the revision has passed."""
        store = self._deployment.store
        while store.revision <= revision:
            store.put('notes', 'main', store.revision)
