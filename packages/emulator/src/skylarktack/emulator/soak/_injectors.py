"""Carries out the schedule, from outside the instances."""

from collections.abc import Callable
import signal
import threading
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _schedule
from skylarktack.emulator.soak import _signals

_Kind = _schedule.InjectionKind

_LINK_MODES = {
    _Kind.LINK_DELAY: platform.ProxyMode.DELAY,
    _Kind.LINK_RESET: platform.ProxyMode.RESET,
    _Kind.LINK_SILENCE: platform.ProxyMode.SILENCE,
    _Kind.LINK_CUT_OUT: platform.ProxyMode.CUT_OUT,
    _Kind.LINK_CUT_BACK: platform.ProxyMode.CUT_BACK,
}

_STORE_MODES = {
    _Kind.STORE_BUSY: platform.StoreMode.BUSY,
    _Kind.STORE_RESET: platform.StoreMode.RESET,
    _Kind.STORE_SILENT: platform.StoreMode.SILENT,
}

#: Delay of each call to a slow store.
SLOW_STORE_S = 0.3

#: Time within which a move has to end.
MOVE_S = 4.0

#: Time for which a leaving target serves on.
DRAIN_S = 2.5


class Injector:
    """Injects faults and takes them back."""

    def __init__(
        self,
        deployment: platform.PlatformDeployment,
        editor: _configuration.ConfigurationEditor,
    ) -> None:
        self._deployment = deployment
        self._editor = editor
        self._lock = threading.Lock()
        self._timers: list[threading.Timer] = []
        self._restarting: set[str] = set()
        self._move_count = 0
        self.signals = _signals.SignalSender(deployment)

    def inject(self, injection: _schedule.Injection) -> None:
        """Start one fault; it ends by itself."""
        kind = injection.kind
        if kind in _LINK_MODES:
            self._harm_link(injection, _LINK_MODES[kind])
        elif kind in _STORE_MODES:
            self._deployment.store.set_mode(_STORE_MODES[kind])
            self._later(injection.for_s, self._mend_store)
        elif kind is _Kind.STORE_RESTART:
            self._restart_store(injection.for_s / 3)
        elif kind.value.startswith('store'):
            self._harm_store(injection)
        elif kind is _Kind.ENGINE_SILENCES:
            self._later(0.0, lambda: self.signals.freeze_engines(injection))
        elif kind.value.startswith('instance') or kind is _Kind.ALL_KILL:
            self._harm_instance(injection)
        elif kind is _Kind.CONFIGURATION:
            self._editor.add_route()
        elif kind in (_Kind.MOVE_TO_GOOD, _Kind.MOVE_TO_BAD):
            self._order_move(is_bad=kind is _Kind.MOVE_TO_BAD)
        else:
            self._harm_target(injection)

    def restart(
        self,
        instance: platform.PlatformInstance,
        number: int,
        after_s: float,
    ) -> None:
        """Stop an instance and start it again, unless that is under way.

        :param number: signal that stops it.
        :param after_s: time between the end of the process and the start.
        """

        def _end() -> None:
            instance.signal(signal.SIGCONT)
            instance.signal(number)
            instance.wait_ended()

        self._cycle(instance, _end, after_s)

    def mend(self) -> None:
        """Take all faults back and wait until all instances run."""
        for timer in self._timers:
            timer.join()
        self._mend_store()
        self._deployment.store.delay_s = 0.0
        for proxy in self._deployment.proxies.values():
            proxy.set_mode(platform.ProxyMode.PASS)
        for target in self._deployment.engines + self._deployment.services:
            target.behaviour = platform.TargetBehaviour()
            if not target.is_running:
                self._deployment.restart(target)
        for instance in self._deployment.instances:
            if not instance.is_running:
                instance.start()

    def _harm_link(
        self, injection: _schedule.Injection, mode: platform.ProxyMode
    ) -> None:
        proxies = list(self._deployment.proxies.values())
        proxy = proxies[injection.index % len(proxies)]
        proxy.set_mode(mode)
        self._later(
            injection.for_s, lambda: proxy.set_mode(platform.ProxyMode.PASS)
        )

    def _harm_store(self, injection: _schedule.Injection) -> None:
        store = self._deployment.store
        if injection.kind is _Kind.STORE_FORGETS:
            store.forget_history()
            return
        if injection.kind is _Kind.STORE_SLOW:
            store.delay_s = SLOW_STORE_S
            self._later(injection.for_s, lambda: self._set_delay(0.0))
            return
        proxies = self._deployment.store_proxies
        proxy = proxies[injection.index % len(proxies)]
        proxy.set_mode(platform.ProxyMode.SILENCE)
        proxy.set_mode(platform.ProxyMode.PASS)

    def _restart_store(self, after_s: float) -> None:
        """Reset all calls to the store for a time, and drop its history."""
        store = self._deployment.store
        store.set_mode(platform.StoreMode.RESET)
        store.forget_history()
        self._later(after_s, self._mend_store)

    def _harm_instance(self, injection: _schedule.Injection) -> None:
        instances = self._deployment.instances
        if injection.kind is _Kind.ALL_KILL:
            for instance in instances:
                self.restart(instance, signal.SIGKILL, injection.for_s / 3)
            return
        instance = instances[injection.index % len(instances)]
        if injection.kind is _Kind.INSTANCE_RELOAD:
            instance.signal(signal.SIGHUP)
        elif injection.kind is _Kind.INSTANCE_PAUSE:
            self.signals.record_pause(instance.name, injection.for_s)
            instance.signal(signal.SIGSTOP)
            self._later(
                injection.for_s, lambda: instance.signal(signal.SIGCONT)
            )
        elif injection.kind is _Kind.INSTANCE_STOP:
            self.restart(instance, signal.SIGTERM, 0.0)
        elif injection.kind is _Kind.INSTANCE_SIGNALS:
            self._cycle(
                instance,
                lambda: self.signals.send_series(instance, injection),
                0.0,
            )
        else:
            self.restart(instance, signal.SIGKILL, injection.for_s / 3)

    def _harm_target(self, injection: _schedule.Injection) -> None:
        kind = injection.kind
        is_engine = kind.value.startswith(('engine', 'domain'))
        targets = self._deployment.services
        if is_engine:
            targets = self._deployment.engines
        target = targets[injection.index % len(targets)]
        if kind is _Kind.TARGET_LEAVES:
            self._leave(target)
            return
        if kind is _Kind.DOMAIN_CRASH:
            for other in targets:
                if other.domain == target.domain:
                    self._crash(other, injection.for_s)
            return
        if kind in (_Kind.ENGINE_CRASH, _Kind.SERVICE_CRASH):
            self._crash(target, injection.for_s)
            return
        behaviour = target.behaviour
        if kind is _Kind.ENGINE_FREEZE:
            behaviour.is_frozen = True
        elif kind is _Kind.SERVICE_FAILS:
            behaviour.fails = True
        elif kind is _Kind.SERVICE_LOSES_ANSWERS:
            behaviour.loses_answers = True
        else:
            behaviour.is_full = True
        self._later(injection.for_s, lambda: _mend(behaviour))

    def _crash(self, target: platform.PlatformTarget, for_s: float) -> None:
        with self._lock:
            if not target.is_running:
                return
            self._deployment.crash(target)
        self._later(for_s, lambda: self._start(target))

    def _leave(self, target: platform.PlatformTarget) -> None:
        target.is_leaving = True
        self._deployment.enter(target)
        self._later(DRAIN_S, lambda: self._crash(target, 0.2))

    def _start(self, target: platform.PlatformTarget) -> None:
        with self._lock:
            if not target.is_running:
                self._deployment.restart(target)

    def _cycle(
        self,
        instance: platform.PlatformInstance,
        end: Callable[[], None],
        after_s: float,
    ) -> None:
        """End an instance and start it again, unless that is under way."""
        with self._lock:
            if instance.name in self._restarting or not instance.is_running:
                return
            self._restarting.add(instance.name)

        def _end_and_start() -> None:
            end()
            time.sleep(after_s)
            instance.start()
            with self._lock:
                self._restarting.discard(instance.name)

        self._later(0.0, _end_and_start)

    def _order_move(self, is_bad: bool) -> None:
        """Order a move of the plain services; it replaces an earlier one."""
        with self._lock:
            self._move_count += 1
            version = f'v{self._move_count + 1}'
        self._deployment.order_move('desk', version, MOVE_S)
        self._deployment.add_service_target(version, is_bad)

    def _mend_store(self) -> None:
        self._deployment.store.set_mode(platform.StoreMode.GOOD)

    def _set_delay(self, delay_s: float) -> None:
        self._deployment.store.delay_s = delay_s

    def _later(self, after_s: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(after_s, action)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()


def _mend(behaviour: platform.TargetBehaviour) -> None:
    behaviour.is_frozen = False
    behaviour.fails = False
    behaviour.loses_answers = False
    behaviour.is_full = False
