"""Entries of a valid document that have no effect, and limits that conflict.

Instances accept such a document. An operator most likely meant another one.
"""

from collections.abc import Callable
from collections.abc import Sequence

from skylarktack import state


def find_entries_without_effect(
    document: state.ConfigurationDocument,
) -> tuple[state.Finding, ...]:
    """Return the entries that no request can ever meet."""
    findings: list[state.Finding] = []
    _find_unusable_organisations(document, findings)
    _find_unreachable_routes(document, findings)
    _find_unused_versions(document, findings)
    _find_foreign_moves(document, findings)
    return tuple(findings)


def find_conflicting_limits(
    document: state.ConfigurationDocument,
) -> tuple[state.Finding, ...]:
    """Return the limits that another limit makes unreachable."""
    findings: list[state.Finding] = []
    for index, organisation in enumerate(document.organisations):
        place = f'organisations[{index}].limits'
        routes = [
            route
            for route in document.routes
            if not route.organisations
            or organisation.name in route.organisations
        ]
        _compare(
            f'{place}.concurrency_count',
            organisation.limits,
            routes,
            lambda limits: limits.concurrency_count,
            findings,
        )
        _compare(
            f'{place}.rate_per_s',
            organisation.limits,
            routes,
            lambda limits: limits.rate_per_s,
            findings,
        )
    return tuple(findings)


def _find_unusable_organisations(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    for index, organisation in enumerate(document.organisations):
        place = f'organisations[{index}]'
        if not organisation.key_sha256:
            findings.append(
                state.Finding(
                    f'{place}.key_sha256', 'Without a key it has no callers.'
                )
            )
        for position, key_hash in enumerate(organisation.key_sha256):
            if key_hash in organisation.key_sha256[:position]:
                findings.append(
                    state.Finding(
                        f'{place}.key_sha256[{position}]',
                        'The key is already listed.',
                    )
                )
        _find_closed_limits(f'{place}.limits', organisation.limits, findings)


def _find_unreachable_routes(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    with_keys = {
        organisation.name
        for organisation in document.organisations
        if organisation.key_sha256
    }
    for index, route in enumerate(document.routes):
        place = f'routes[{index}]'
        allowed = set(route.organisations) or with_keys
        if not allowed & with_keys:
            findings.append(
                state.Finding(
                    f'{place}.organisations',
                    'No organisation that may use the route has a key.',
                )
            )
        _find_closed_limits(f'{place}.limits', route.limits, findings)


def _find_closed_limits(
    place: str, limits: state.Limits, findings: list[state.Finding]
) -> None:
    for field in ('concurrency_count', 'rate_per_s'):
        if getattr(limits, field) == 0:
            findings.append(
                state.Finding(f'{place}.{field}', '0 admits no request.')
            )


def _find_unused_versions(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    used = {route.version for route in document.routes}
    for move in document.moves:
        if not move.cancelled:
            used |= {move.from_version, move.to_version}
    for index, version in enumerate(document.versions):
        place = f'versions[{index}]'
        if version.name not in used:
            findings.append(
                state.Finding(place, 'No route or move uses the version.')
            )


def _find_foreign_moves(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    versions = {route.name: route.version for route in document.routes}
    for index, move in enumerate(document.moves):
        version = versions.get(move.route)
        if move.cancelled or version is None:
            continue
        if version not in (move.from_version, move.to_version):
            findings.append(
                state.Finding(
                    f'moves[{index}].from_version',
                    f'The version of the route is {version!r}, which the '
                    'move does not name.',
                )
            )


def _compare(
    place: str,
    limits: state.Limits,
    routes: Sequence[state.Route],
    read: Callable[[state.Limits], float | None],
    findings: list[state.Finding],
) -> None:
    """Compare the limit of an organisation with those of all its routes."""
    limit = read(limits)
    if limit is None or not routes:
        return
    total = 0.0
    for route in routes:
        route_limit = read(route.limits)
        if route_limit is None:
            return
        total += route_limit
    if limit > total:
        findings.append(
            state.Finding(
                place,
                f'{limit:g} is above the limits of its routes, which admit '
                f'{total:g} together.',
            )
        )
