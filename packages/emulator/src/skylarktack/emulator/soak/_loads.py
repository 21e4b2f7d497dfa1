"""Loads that reach the bounds of an instance."""

from concurrent import futures
import contextlib
import socket
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _callers
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _injection_tasks
from skylarktack.emulator.soak import _schedule

_Kind = _schedule.InjectionKind

#: Loads that are started here; the injector restarts the store.
KINDS = frozenset(
    (_Kind.LONG_BODIES, _Kind.IDLE_CONNECTIONS, _Kind.LONG_MANIFEST)
)

#: Bodies that are together longer than the memory of an instance.
LONG_BODY = bytes(4 * 1024 * 1024)
LONG_BODY_CALLER_COUNT = 80

#: Connections without a request.
IDLE_CONNECTION_COUNT = 800

#: Routes that a long manifest has beside the others.
MORE_ROUTES = tuple(f'more-{number}' for number in range(2800))


class LoadGenerator:
    """Starts loads; each ends by itself."""

    def __init__(
        self,
        deployment: platform.PlatformDeployment,
        callers: _callers.Callers,
        editor: _configuration.ConfigurationEditor,
    ) -> None:
        self._deployment = deployment
        self._editor = editor
        self._callers = callers
        self._tasks = _injection_tasks.InjectionTasks()

    def start(self, injection: _schedule.Injection) -> None:
        """Start one load."""
        if injection.kind is _Kind.LONG_MANIFEST:
            self._editor.add_route(MORE_ROUTES)
            return
        instances = self._deployment.instances
        instance = instances[injection.index % len(instances)]
        if injection.kind is _Kind.LONG_BODIES:
            self._tasks.start(lambda: self._send_long_bodies(instance))
        else:
            self._tasks.start(lambda: _keep_idle(instance, injection.for_s))

    def wait_ended(self) -> None:
        """Wait until all loads have ended."""
        self._tasks.wait_ended()

    def _send_long_bodies(self, instance: platform.PlatformInstance) -> None:
        with futures.ThreadPoolExecutor(LONG_BODY_CALLER_COUNT) as tasks:
            for _ in range(LONG_BODY_CALLER_COUNT):
                attempt = platform.Attempt(
                    'book',
                    platform.new_attempt_id(),
                    time_limit_ms=3000,
                    body=LONG_BODY,
                )
                tasks.submit(self._callers.call, instance, attempt)


def _keep_idle(instance: platform.PlatformInstance, for_s: float) -> None:
    address = instance.address
    with contextlib.ExitStack() as connections:
        # The instance may be killed meanwhile.
        with contextlib.suppress(OSError):
            for _ in range(IDLE_CONNECTION_COUNT):
                connections.enter_context(
                    socket.create_connection((address.host, address.port), 1.0)
                )
        time.sleep(for_s)
