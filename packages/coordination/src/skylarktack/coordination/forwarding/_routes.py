"""Routes, services and API keys of one configuration, indexed for lookup."""

from collections.abc import Callable

from skylarktack.coordination.forwarding import _urgency
from skylarktack.state import forwarding as data


class RouteTable:
    """Looks up routes, services and organisations of one configuration."""

    def __init__(self, configuration: data.ForwardingConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[data.ForwardingRoute]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._organisation_by_key: dict[str, data.OrganisationKeys] = {}
        for organisation_keys in configuration.organisations or ():
            for key in organisation_keys.keys:
                self._organisation_by_key[key] = organisation_keys
        #: Ranks of the priorities that requests may have.
        self.urgencies = _urgency.ServiceUrgencies(configuration)
        self._services = {
            service.name: service for service in configuration.services
        }

    def find_route(
        self, host: str, path: bytes
    ) -> data.ForwardingRoute | None:
        """Return the route of the host with the longest matching prefix."""
        text = path.decode('latin-1')
        for route in self._routes_by_host.get(host, ()):
            if text.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> data.OrganisationKeys | None:
        """Return the organisation to which the API key belongs."""
        return self._organisation_by_key.get(key)

    def find_service(self, name: str) -> data.ServiceDescription | None:
        """Return the service's description, or None if it is not listed."""
        return self._services.get(name)

    def needs_key(self, route: data.ForwardingRoute) -> bool:
        """Return whether requests of the route must carry an API key."""
        if self.configuration.organisations is None:
            return False
        return not route.is_anonymous


def choose_service(
    route: data.ForwardingRoute, draw: Callable[[], float]
) -> str | None:
    """Return one of the route's services at random, by weight.

    :param draw: returns a random number in [0, 1).
    :return: None if no service has a positive weight.
    """
    total = sum(max(0.0, share.weight) for share in route.services)
    if total <= 0:
        return None
    remainder = draw() * total
    chosen = None
    for share in route.services:
        if share.weight <= 0:
            continue
        chosen = share.service
        remainder -= share.weight
        if remainder < 0:
            break
    return chosen
