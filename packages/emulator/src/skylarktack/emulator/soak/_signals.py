"""Signals in quick succession, while engines freeze for a short time."""

import dataclasses
import random
import signal
import threading
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _checkers
from skylarktack.emulator.soak import _schedule

#: Signals before the one that stops the instance, and after it. The moments at
#: which a signal could be lost are short, so there are many.
RELOAD_COUNTS = (50, 400)
LAST_SIGNALS = (None, signal.SIGTERM, signal.SIGHUP)

#: Longest pause between two signals of a series.
MAX_PAUSE_S = 0.0003

#: Grace period in the settings of the instances, and the time for which the
#: end of a process may go unseen.
GRACE_S = 8.0
CHECK_S = 0.5

#: Range of the time for which a healthy engine freezes.
FREEZE_RANGE_S = (0.6, 1.2)


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """An instance that got a signal to stop."""

    instance: str

    #: Whether it ended by itself within its grace period.
    has_ended: bool


class SignalSender:
    """Sends series of signals, and notes which instances do not stop."""

    def __init__(self, deployment: platform.PlatformDeployment) -> None:
        self._deployment = deployment
        self._lock = threading.Lock()
        self._paused: dict[str, float] = {}
        self.stops: list[PlannedStop] = []

    def record_pause(self, instance: str, for_s: float) -> None:
        """Note that an instance is paused from now on."""
        with self._lock:
            paused_s = self._paused.get(instance, 0.0)
            self._paused[instance] = paused_s + for_s

    def send_series(
        self,
        instance: platform.PlatformInstance,
        injection: _schedule.Injection,
    ) -> None:
        """Send a series of signals and wait for the end of the process."""
        draw = random.Random(injection.at_s)
        numbers = [signal.SIGHUP] * draw.randint(*RELOAD_COUNTS)
        numbers.append(signal.SIGTERM)
        last = draw.choice(LAST_SIGNALS)
        if last is not None:
            numbers.append(last)
        paused_before_s = self._paused_s(instance)
        instance.signal(signal.SIGCONT)
        for number in numbers:
            instance.signal(number)
            time.sleep(draw.uniform(0.0, MAX_PAUSE_S))
        began_at_s = time.monotonic()
        while instance.is_running:
            paused_s = self._paused_s(instance) - paused_before_s
            if time.monotonic() > began_at_s + GRACE_S + CHECK_S + paused_s:
                break
            time.sleep(0.02)
        self.stops.append(
            PlannedStop(instance.name, has_ended=not instance.is_running)
        )
        instance.kill()

    def freeze_engines(self, injection: _schedule.Injection) -> None:
        """Freeze one engine after the other, each for a short time."""
        draw = random.Random(injection.at_s)
        engines = self._deployment.engines
        index = injection.index
        end_s = time.monotonic() + injection.for_s
        while time.monotonic() < end_s:
            behaviour = engines[index % len(engines)].behaviour
            behaviour.is_frozen = True
            time.sleep(draw.uniform(*FREEZE_RANGE_S))
            behaviour.is_frozen = False
            index += 1

    def check(self) -> _checkers.Promise:
        """Return whether each instance with a signal to stop has ended."""
        promise = _checkers.Promise('an instance stops when it is told to')
        for stop in self.stops:
            promise.check(
                stop.has_ended, f'{stop.instance} ran on after its grace'
            )
        return promise

    def _paused_s(self, instance: platform.PlatformInstance) -> float:
        with self._lock:
            return self._paused.get(instance.name, 0.0)
