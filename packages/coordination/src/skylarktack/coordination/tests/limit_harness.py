"""Test harness for limits: organisations, routes and configurations."""

import dataclasses

from skylarktack import state


def organisation(
    name: str = 'large', weight: float = 1.0, count: int | None = None
) -> state.Organisation:
    """Return an organisation, unlimited by default."""
    return state.Organisation(
        state.OrganisationName(name),
        (),
        weight=weight,
        limits=state.Limits(concurrency_count=count),
    )


def route(
    count: int | None = None,
    deadline_ms: int = 2000,
    rate: float | None = None,
) -> state.Route:
    """Return a route, unlimited by default."""
    return state.Route(
        state.RouteName('digest'),
        state.RouteKind.GENERATION,
        state.VersionName('model-1'),
        queue_deadline_ms=deadline_ms,
        limits=state.Limits(concurrency_count=count, rate_per_s=rate),
    )


@dataclasses.dataclass
class Configuration:
    """Configuration source whose configuration tests can replace."""

    active: state.ActiveConfiguration

    def current(self) -> state.ActiveConfiguration:
        """Return the active configuration."""
        return self.active


def configured(
    *organisations: state.Organisation, routes: tuple[state.Route, ...] = ()
) -> Configuration:
    """Return a source with the organisations and routes configured."""
    document = state.ConfigurationDocument(organisations, routes)
    return Configuration(state.ActiveConfiguration(1, document, 0.0))
