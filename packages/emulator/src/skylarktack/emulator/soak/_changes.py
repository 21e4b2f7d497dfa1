"""Changes of the configuration, alone or beside something else."""

from collections.abc import Callable
import dataclasses
import random
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _injection_tasks
from skylarktack.emulator.soak import _injectors
from skylarktack.emulator.soak import _schedule

_Kind = _schedule.InjectionKind

#: What happens beside a change. Kinds that stand several times are drawn more
#: often.
_KINDS_BESIDE = {
    _Kind.CHANGE_BESIDE_INSTANCE: (
        _Kind.INSTANCE_STOP,
        _Kind.INSTANCE_STOP,
        _Kind.INSTANCE_STOP,
        _Kind.INSTANCE_KILL,
        _Kind.INSTANCE_PAUSE,
        _Kind.INSTANCE_RELOAD,
        _Kind.INSTANCE_SIGNALS,
    ),
    _Kind.CHANGE_BESIDE_STORE: (
        _Kind.STORE_BUSY,
        _Kind.STORE_RESET,
        _Kind.STORE_SILENT,
        _Kind.STORE_SLOW,
        _Kind.STORE_FORGETS,
        _Kind.STORE_RESTART,
    ),
}

#: How an instance is cut off from the store.
_CUT_MODES = (
    platform.ProxyMode.DELAY,
    platform.ProxyMode.RESET,
    platform.ProxyMode.SILENCE,
    platform.ProxyMode.CUT_OUT,
    platform.ProxyMode.CUT_BACK,
)

#: Earliest and latest time of a change after what happens beside it. An
#: instance takes about a second to start.
BESIDE_S = (-0.5, 1.5)


class ChangeInjector:
    """Changes the configuration as the schedule says."""

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
        """Start one change; it ends by itself."""
        self._tasks.start(lambda: self._change(injection))

    def wait_ended(self) -> None:
        """Wait until all changes are acknowledged."""
        self._tasks.wait_ended()

    def _change(self, injection: _schedule.Injection) -> None:
        draw = random.Random(injection.at_s)
        if injection.kind is _Kind.LIMITS_CHANGE:
            self._editor.change_limits(draw)
            return
        if injection.kind is _Kind.ROUTES_CHANGE:
            self._editor.change_routes(draw)
            return
        if injection.kind is _Kind.CHANGE_BESIDE_CUT:
            self._cut_store(injection, draw)
            return
        kind = draw.choice(_KINDS_BESIDE[injection.kind])
        beside = dataclasses.replace(injection, kind=kind)
        self._change_beside(draw, lambda: self._injector.inject(beside))

    def _change_beside(
        self, draw: random.Random, inject: Callable[[], None]
    ) -> None:
        after_s = draw.uniform(*BESIDE_S)
        if after_s < 0:
            self._editor.change_limits(draw)
            time.sleep(-after_s)
            inject()
            return
        inject()
        time.sleep(after_s)
        self._editor.change_limits(draw)

    def _cut_store(
        self, injection: _schedule.Injection, draw: random.Random
    ) -> None:
        """Cut one instance off from the store, and change the limits."""
        proxies = self._deployment.store_proxies
        proxy = proxies[injection.index % len(proxies)]
        mode = draw.choice(_CUT_MODES)
        began_at_s = time.monotonic()
        self._change_beside(draw, lambda: proxy.set_mode(mode))
        time.sleep(max(0.0, began_at_s + injection.for_s - time.monotonic()))
        proxy.set_mode(platform.ProxyMode.PASS)
