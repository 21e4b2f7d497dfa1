"""Finds the route of a caller's request."""

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.transport import _answers


def find_route(
    document: state.ConfigurationDocument,
    name: str,
    kind: state.RouteKind,
    organisation: state.Organisation,
) -> Result[state.Route, state.Refusal]:
    """Return the route of that name if the organisation may use it."""
    for route in document.routes:
        if route.name != name or route.kind is not kind:
            continue
        if not may_use(route, organisation):
            return Error(
                _answers.not_run(
                    state.RefusalCode.FORBIDDEN,
                    'The organisation may not use this route.',
                )
            )
        return Ok(route)
    return Error(
        _answers.not_run(state.RefusalCode.UNKNOWN_ROUTE, 'No such route.')
    )


def find_generation_route(
    document: state.ConfigurationDocument,
    name: str,
    version: state.VersionName,
    organisation: state.Organisation,
) -> state.Route | None:
    """Return the route of a generation by its name, else by its version.

    An event id names the version and not the route. Any route of that
    version serves, since it only decides about retention and loss policy.
    """
    fallback: state.Route | None = None
    for route in document.routes:
        if route.kind is not state.RouteKind.GENERATION:
            continue
        if not may_use(route, organisation):
            continue
        if route.name == name:
            return route
        if fallback is None or route.version == version:
            fallback = route
    return fallback


def may_use(route: state.Route, organisation: state.Organisation) -> bool:
    """Return whether callers of the organisation may use the route."""
    return not route.organisations or organisation.name in route.organisations
