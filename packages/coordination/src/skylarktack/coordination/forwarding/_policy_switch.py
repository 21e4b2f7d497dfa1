"""Tells for which services engines are chosen by predicted times."""

import threading

from skylarktack.coordination.forwarding import _engine_events
from skylarktack.coordination.forwarding import _events
from skylarktack.state import forwarding as data

SLOWDOWN_CAUSE = 'a target reports its slowdown'
ROUTES_CAUSE = 'routes differ in priority or objective'
ROUTES_ALIKE_CAUSE = 'routes no longer differ'


class PolicySwitch:
    """Follows the reports of targets and the configuration in force."""

    def __init__(self, log: _events.EventLog) -> None:
        self._log = log
        self._lock = threading.Lock()
        self._reporting: frozenset[str] = frozenset()
        self._differing: frozenset[str] = frozenset()
        #: Services that no route of streams uses.
        self._for_calls: frozenset[str] = frozenset()
        self._configuration: data.ForwardingConfiguration | None = None

    def is_on(self, service: str) -> bool:
        """Return whether predicted times decide for a service."""
        return service in self._reporting or service in self._differing

    def services(self) -> frozenset[str]:
        """Return the services for which predicted times decide."""
        return self._reporting | self._differing

    def record_load(
        self, target: data.ListedTarget, load: data.TargetLoad
    ) -> None:
        """Switch to predicted times where targets report a slowdown."""
        service = target.service
        if load.slowdown is None or service in self._reporting:
            return
        if service in self._for_calls:
            return
        with self._lock:
            is_new = not self.is_on(service)
            self._reporting |= {service}
        if is_new:
            self._record(service, True, SLOWDOWN_CAUSE)

    def follow(self, configuration: data.ForwardingConfiguration) -> None:
        """Use the routes of a configuration."""
        if configuration is self._configuration:
            return
        needs_by_service = _stream_needs(configuration)
        listed = {service.name for service in configuration.services}
        differing = {
            service
            for service, needs in needs_by_service.items()
            if len(needs) > 1
        }
        with self._lock:
            self._configuration = configuration
            before = self.services()
            self._differing = frozenset(differing)
            self._for_calls = frozenset(listed - needs_by_service.keys())
            after = self.services()
        for service in sorted(after - before):
            self._record(service, True, ROUTES_CAUSE)
        for service in sorted(before - after):
            self._record(service, False, ROUTES_ALIKE_CAUSE)

    def _record(self, service: str, is_forecast: bool, cause: str) -> None:
        self._log.record(
            _engine_events.EngineForecastChanged(service, is_forecast, cause)
        )


def _stream_needs(
    configuration: data.ForwardingConfiguration,
) -> dict[str, set[tuple[int, float]]]:
    """Return priorities and objectives of the stream routes by service."""
    needs_by_service: dict[str, set[tuple[int, float]]] = {}
    for route in configuration.routes:
        if route.kind is not data.RequestKind.STREAM:
            continue
        for share in route.services:
            if share.weight > 0:
                needs = needs_by_service.setdefault(share.service, set())
                needs.add((route.priority, route.latency_objective_ms))
    return needs_by_service
