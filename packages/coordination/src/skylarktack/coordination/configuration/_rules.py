"""Validation of a configuration document across its sections."""

from collections.abc import Sequence
import math
import re

from skylarktack import state

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
_SHA256 = re.compile(r'[0-9a-f]{64}')

#: Minimum time between the start and the deadline of a move (a planned
#: rollout). A shorter one leaves no time to load and judge the version.
MOVE_DURATION_MIN_S = 30.0

#: Upper bound of queue deadlines, call timeouts and retention times.
WAIT_LIMIT_MS = 600_000


def check_document(
    document: state.ConfigurationDocument,
) -> tuple[state.Finding, ...]:
    """Return all findings of a document; empty if it is valid."""
    findings: list[state.Finding] = []
    _check_names('organisations', document.organisations, findings)
    _check_names('routes', document.routes, findings)
    _check_names('versions', document.versions, findings)
    _check_names('moves', document.moves, findings)
    _check_organisations(document, findings)
    _check_routes(document, findings)
    _check_versions(document, findings)
    _check_moves(document, findings)
    return tuple(findings)


def _check_names(
    section: str,
    entries: Sequence[
        state.Organisation | state.Route | state.Version | state.Move
    ],
    findings: list[state.Finding],
) -> None:
    first_indexes: dict[str, int] = {}
    for index, entry in enumerate(entries):
        place = f'{section}[{index}].name'
        if _NAME.fullmatch(entry.name) is None:
            findings.append(
                state.Finding(
                    place,
                    'Use 1 to 63 lower case letters, digits, ".", "_" or "-".',
                )
            )
        first = first_indexes.setdefault(entry.name, index)
        if first != index:
            findings.append(
                state.Finding(
                    place, f'{entry.name!r} is already {section}[{first}].'
                )
            )


def _check_organisations(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    owners: dict[str, str] = {}
    for index, organisation in enumerate(document.organisations):
        place = f'organisations[{index}]'
        _check_finite(f'{place}.weight', organisation.weight, findings)
        if organisation.weight <= 0:
            findings.append(
                state.Finding(f'{place}.weight', 'Must be greater than 0.')
            )
        _check_limits(f'{place}.limits', organisation.limits, findings)
        for position, key_hash in enumerate(organisation.key_sha256):
            key_place = f'{place}.key_sha256[{position}]'
            if _SHA256.fullmatch(key_hash) is None:
                findings.append(
                    state.Finding(key_place, 'Must be 64 hexadecimal digits.')
                )
                continue
            owner = owners.setdefault(key_hash, organisation.name)
            if owner != organisation.name:
                findings.append(
                    state.Finding(
                        key_place, f'The key already belongs to {owner!r}.'
                    )
                )


def _check_routes(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    versions = {version.name: version for version in document.versions}
    organisations = {entry.name for entry in document.organisations}
    for index, route in enumerate(document.routes):
        place = f'routes[{index}]'
        _check_version_kind(
            f'{place}.version', route.version, route, versions, findings
        )
        for position, name in enumerate(route.organisations):
            if name not in organisations:
                findings.append(
                    state.Finding(
                        f'{place}.organisations[{position}]',
                        f'Unknown organisation {name!r}.',
                    )
                )
        _check_limits(f'{place}.limits', route.limits, findings)
        for field in ('queue_deadline_ms', 'call_timeout_ms', 'retention_ms'):
            value: int = getattr(route, field)
            minimum = 1 if field == 'call_timeout_ms' else 0
            if not minimum <= value <= WAIT_LIMIT_MS:
                findings.append(
                    state.Finding(
                        f'{place}.{field}',
                        f'Must be from {minimum} to {WAIT_LIMIT_MS}.',
                    )
                )


def _check_versions(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    for index, version in enumerate(document.versions):
        place = f'versions[{index}]'
        if version.weights_bytes < 0:
            findings.append(
                state.Finding(f'{place}.weights_bytes', 'Must not be below 0.')
            )
        if any(map(_is_surrogate, version.weights)):
            # A record is UTF-8, which has none.
            findings.append(
                state.Finding(f'{place}.weights', 'Must be valid Unicode.')
            )
        if version.kind is state.RouteKind.SERVICE and version.weights:
            findings.append(
                state.Finding(f'{place}.weights', 'A service has no weights.')
            )


def _check_moves(
    document: state.ConfigurationDocument, findings: list[state.Finding]
) -> None:
    routes = {route.name: route for route in document.routes}
    versions = {version.name: version for version in document.versions}
    moves_by_route: dict[str, str] = {}
    for index, move in enumerate(document.moves):
        place = f'moves[{index}]'
        _check_finite(f'{place}.start_s', move.start_s, findings)
        _check_finite(f'{place}.deadline_s', move.deadline_s, findings)
        if move.deadline_s < move.start_s + MOVE_DURATION_MIN_S:
            findings.append(
                state.Finding(
                    f'{place}.deadline_s',
                    f'Must be at least {MOVE_DURATION_MIN_S:.0f} s after '
                    'start_s.',
                )
            )
        if move.from_version == move.to_version:
            findings.append(
                state.Finding(
                    f'{place}.to_version', 'Must differ from from_version.'
                )
            )
        route = routes.get(move.route)
        if route is None:
            findings.append(
                state.Finding(
                    f'{place}.route', f'Unknown route {move.route!r}.'
                )
            )
            continue
        for field in ('from_version', 'to_version'):
            _check_version_kind(
                f'{place}.{field}',
                getattr(move, field),
                route,
                versions,
                findings,
            )
        if move.cancelled:
            continue
        other_move = moves_by_route.setdefault(move.route, move.name)
        if other_move != move.name:
            findings.append(
                state.Finding(
                    f'{place}.route',
                    f'The route is already part of move {other_move!r}.',
                )
            )


def _check_version_kind(
    place: str,
    name: state.VersionName,
    route: state.Route,
    versions: dict[state.VersionName, state.Version],
    findings: list[state.Finding],
) -> None:
    version = versions.get(name)
    if version is None:
        findings.append(state.Finding(place, f'Unknown version {name!r}.'))
        return
    if version.kind is not route.kind:
        findings.append(
            state.Finding(
                place,
                f'Version {name!r} is of kind {version.kind.value!r}, the '
                f'route of kind {route.kind.value!r}.',
            )
        )


def _check_limits(
    place: str, limits: state.Limits, findings: list[state.Finding]
) -> None:
    count = limits.concurrency_count
    if count is not None and count < 0:
        findings.append(
            state.Finding(f'{place}.concurrency_count', 'Must not be below 0.')
        )
    if limits.rate_per_s is None:
        return
    _check_finite(f'{place}.rate_per_s', limits.rate_per_s, findings)
    if limits.rate_per_s < 0:
        findings.append(
            state.Finding(f'{place}.rate_per_s', 'Must not be below 0.')
        )


def _check_finite(
    place: str, number: float, findings: list[state.Finding]
) -> None:
    """Check that a number is kept by a record, where others become null."""
    if not math.isfinite(number):
        findings.append(state.Finding(place, 'Must be a finite number.'))


def _is_surrogate(character: str) -> bool:
    return '\ud800' <= character <= '\udfff'
