"""The configuration of a run and its changes."""

from collections.abc import Iterator
import contextlib
import dataclasses
import random
import threading
import time
from typing import Any

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _schedule

#: Size of a body that every configuration allows.
MIN_BODY_LIMIT_BYTES = 4 * 1024 * 1024

#: Values between which a change draws.
_IDLE_TIMEOUTS_MS = (1000, 1500, 2500, 4000, 6000)
_BODY_LIMITS_BYTES = (
    MIN_BODY_LIMIT_BYTES,
    MIN_BODY_LIMIT_BYTES + 512 * 1024,
    MIN_BODY_LIMIT_BYTES + 1024 * 1024,
)
_HEADER_LIMITS_BYTES = (8192, 16_384, 32_768)
_HEADER_TIMEOUTS_MS = (2000, 3000, 6000)
_ROUTE_TIMEOUTS_MS = (2000, 5000, 8000)
_CONNECTION_LIMITS_COUNT = (60, 100, 150)
_MORE_KEYS = ('key-1', 'key-2', 'key-3')


@dataclasses.dataclass(frozen=True)
class ConfigurationOptions:
    """What changes of the configuration set, beside the routes they add."""

    idle_timeout_ms: int = 15_000
    header_timeout_ms: int = 3000
    max_header_bytes: int = 16_384
    max_body_bytes: int = MIN_BODY_LIMIT_BYTES

    #: Timeout of the routes for calls.
    route_timeout_ms: int = 5000

    #: Connections that a plain service takes.
    connection_limit_count: int = 100

    #: Keys beside the one that callers use.
    more_keys: tuple[str, ...] = ()

    #: Whether there is a service without targets, with a route of its own.
    has_spare_service: bool = False


class ConfigurationEditor:
    """Writes each new configuration to the store, one after another."""

    def __init__(self, deployment: platform.PlatformDeployment) -> None:
        self._deployment = deployment
        self._changed = threading.Condition()
        self._options = ConfigurationOptions()
        self._confirmed_at_s: dict[str, float] = {}

    @property
    def options(self) -> ConfigurationOptions:
        """Return the newest options that the store has acknowledged."""
        return self._options

    def confirmed_at_s(self) -> dict[str, float]:
        """Return when the store acknowledged each route that was added."""
        with self._changed:
            return dict(self._confirmed_at_s)

    def wait_changed(
        self, options: ConfigurationOptions, wait_s: float
    ) -> None:
        """Wait until other options are acknowledged, or for the time."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._options is not options, wait_s
            )

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Apply no configuration meanwhile, as the store is away."""
        with self._changed:
            yield

    def add_route(self, more_routes: tuple[str, ...] = ()) -> None:
        """Apply a configuration with one more route.

        :param more_routes: routes that only this configuration has.
        """
        with self._changed:
            self._apply(self._options, more_routes)

    def change_limits(self, draw: random.Random) -> None:
        """Change the limits on callers; the idle timeout always changes."""
        with self._changed:
            idle_timeouts_ms = [
                each
                for each in _IDLE_TIMEOUTS_MS
                if each != self._options.idle_timeout_ms
            ]
            options = dataclasses.replace(
                self._options,
                idle_timeout_ms=draw.choice(idle_timeouts_ms),
                header_timeout_ms=draw.choice(_HEADER_TIMEOUTS_MS),
                max_header_bytes=draw.choice(_HEADER_LIMITS_BYTES),
                max_body_bytes=draw.choice(_BODY_LIMITS_BYTES),
            )
            self._apply(options)

    def change_routes(self, draw: random.Random) -> None:
        """Change routes, services and keys."""
        with self._changed:
            key_count = draw.randrange(len(_MORE_KEYS) + 1)
            options = dataclasses.replace(
                self._options,
                route_timeout_ms=draw.choice(_ROUTE_TIMEOUTS_MS),
                connection_limit_count=draw.choice(_CONNECTION_LIMITS_COUNT),
                more_keys=tuple(draw.sample(_MORE_KEYS, key_count)),
                has_spare_service=draw.random() < 0.5,
            )
            self._apply(options)

    def _apply(
        self, options: ConfigurationOptions, more_routes: tuple[str, ...] = ()
    ) -> None:
        version = self._deployment.version + 1
        routes = _schedule.routes_of(version) + more_routes
        self._deployment.apply(_manifest_of(version, options, routes))
        self._confirmed_at_s[f'r{version}'] = time.monotonic()
        self._options = options
        self._changed.notify_all()


def _manifest_of(
    version: int, options: ConfigurationOptions, routes: tuple[str, ...]
) -> dict[str, Any]:
    if options.has_spare_service:
        routes += ('spare',)
    manifest = platform.manifest(
        version, (platform.KEY, *options.more_keys), routes
    )
    manifest['limits'] = {
        'max_header_bytes': options.max_header_bytes,
        'max_body_bytes': options.max_body_bytes,
        'header_timeout_ms': options.header_timeout_ms,
        'idle_timeout_ms': options.idle_timeout_ms,
    }
    for service in manifest['services']:
        if service['name'] == 'desk':
            service['connection_limit'] = options.connection_limit_count
    if options.has_spare_service:
        manifest['services'].append({'name': 'spare', 'connection_limit': 100})
    for route in manifest['routes']:
        if route['route_kind'] != 'streaming':
            route['timeout_ms'] = options.route_timeout_ms
        if route['name'] == 'spare':
            route['service'] = 'spare'
    return manifest
