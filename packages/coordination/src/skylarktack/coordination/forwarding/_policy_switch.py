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
        if load.slowdown is None or target.service in self._reporting:
            return
        with self._lock:
            is_new = not self.is_on(target.service)
            self._reporting |= {target.service}
        if is_new:
            self._record(target.service, True, SLOWDOWN_CAUSE)

    def follow(self, configuration: data.ForwardingConfiguration) -> None:
        """Use the routes of a configuration."""
        if configuration is self._configuration:
            return
        differing = _services_of_differing_routes(configuration)
        with self._lock:
            self._configuration = configuration
            before = self.services()
            self._differing = differing
            after = self.services()
        for service in sorted(after - before):
            self._record(service, True, ROUTES_CAUSE)
        for service in sorted(before - after):
            self._record(service, False, ROUTES_ALIKE_CAUSE)

    def _record(self, service: str, is_forecast: bool, cause: str) -> None:
        self._log.record(
            _engine_events.EngineForecastChanged(service, is_forecast, cause)
        )


def _services_of_differing_routes(
    configuration: data.ForwardingConfiguration,
) -> frozenset[str]:
    """Return services whose routes of streams differ in what they need."""
    needs_by_service: dict[str, set[tuple[int, float]]] = {}
    for route in configuration.routes:
        if route.kind is not data.RequestKind.STREAM:
            continue
        for share in route.services:
            if share.weight > 0:
                needs = needs_by_service.setdefault(share.service, set())
                needs.add((route.priority, route.latency_objective_ms))
    return frozenset(
        service
        for service, needs in needs_by_service.items()
        if len(needs) > 1
    )
