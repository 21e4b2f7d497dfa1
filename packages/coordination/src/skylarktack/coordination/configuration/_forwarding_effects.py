"""What has no effect or conflicts in a configuration of forwarding instances.

Instances accept such a configuration. An operator most likely meant another
one. Fields have the names of ``ForwardingConfiguration``.
"""

from skylarktack import state
from skylarktack.state import forwarding as data


def find_forwarding_entries_without_effect(
    configuration: data.ForwardingConfiguration,
) -> tuple[state.Finding, ...]:
    """Return the entries that no request can ever meet.

    A route behind one with a shorter prefix is not among them: the longest
    prefix decides, whatever the order.
    """
    findings: list[state.Finding] = []
    _find_hidden_routes(configuration, findings)
    _find_unreachable_services(configuration, findings)
    _find_unusable_keys(configuration, findings)
    return tuple(findings)


def find_conflicting_forwarding_limits(
    configuration: data.ForwardingConfiguration,
) -> tuple[state.Finding, ...]:
    """Return the limits that contradict another limit or forbid all use."""
    findings: list[state.Finding] = []
    limits = configuration.limits
    for field in (
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    ):
        if getattr(limits, field) == 0:
            findings.append(
                state.Finding(f'limits.{field}', '0 serves no request.')
            )
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        findings.append(
            state.Finding(
                'limits.idle_timeout_ms',
                f'{limits.idle_timeout_ms:g} is below the header timeout of '
                f'{limits.header_timeout_ms:g}.',
            )
        )
    for index, route in enumerate(configuration.routes):
        _check_route_limits(f'routes[{index}]', route, findings)
    return tuple(findings)


def _check_route_limits(
    place: str, route: data.ForwardingRoute, findings: list[state.Finding]
) -> None:
    if route.timeout_ms == 0:
        findings.append(
            state.Finding(f'{place}.timeout_ms', '0 serves no request.')
        )
    objective_ms = route.latency_objective_ms
    if objective_ms > route.timeout_ms:
        findings.append(
            state.Finding(
                f'{place}.latency_objective_ms',
                f'{objective_ms:g} is above the timeout of '
                f'{route.timeout_ms:g}.',
            )
        )
    pause_ms = route.longest_pause_ms
    if route.kind is data.RequestKind.STREAM and pause_ms is not None:
        if objective_ms < pause_ms:
            findings.append(
                state.Finding(
                    f'{place}.latency_objective_ms',
                    f'{objective_ms:g} is below the longest pause between '
                    f'events of {pause_ms:g}.',
                )
            )


def _find_hidden_routes(
    configuration: data.ForwardingConfiguration,
    findings: list[state.Finding],
) -> None:
    first_indexes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        place = f'routes[{index}]'
        first = first_indexes.setdefault(
            (route.host, route.path_prefix), index
        )
        if first != index:
            findings.append(
                state.Finding(
                    f'{place}.path_prefix',
                    f'Never matches: routes[{first}] has the same host and '
                    'prefix and comes first.',
                )
            )
        if route.host.rpartition(':')[2].isdigit() and ':' in route.host:
            findings.append(
                state.Finding(
                    f'{place}.host',
                    'Never matches: the port of a request is left out.',
                )
            )
        if not route.path_prefix.startswith('/'):
            findings.append(
                state.Finding(
                    f'{place}.path_prefix',
                    'Never matches: a path begins with "/".',
                )
            )
        elif not route.path_prefix.isascii():
            findings.append(
                state.Finding(
                    f'{place}.path_prefix',
                    'Never matches: a path is ASCII.',
                )
            )
        if not route.path_prefix.endswith('/'):
            findings.append(
                state.Finding(
                    f'{place}.path_prefix',
                    'Does not end with "/", so longer names match too.',
                )
            )


def _find_unreachable_services(
    configuration: data.ForwardingConfiguration,
    findings: list[state.Finding],
) -> None:
    named = set()
    for index, route in enumerate(configuration.routes):
        for position, share in enumerate(route.services):
            named.add(share.service)
            if share.weight == 0:
                findings.append(
                    state.Finding(
                        f'routes[{index}].services[{position}].weight',
                        f'0 sends no request to {share.service!r}.',
                    )
                )
    first_indexes: dict[str, int] = {}
    for index, service in enumerate(configuration.services):
        if service.name not in named:
            findings.append(
                state.Finding(
                    f'services[{index}]',
                    f'No route names {service.name!r}.',
                )
            )
        first = first_indexes.setdefault(service.name, index)
        if first != index:
            findings.append(
                state.Finding(
                    f'services[{index}].name',
                    f'Replaces services[{first}] of the same name.',
                )
            )


def _find_unusable_keys(
    configuration: data.ForwardingConfiguration,
    findings: list[state.Finding],
) -> None:
    """Find keys of two organisations and those without any.

    Keys are secret, so no finding has one.
    """
    if configuration.organisations is None:
        return
    owners: dict[str, int] = {}
    for index, organisation in enumerate(configuration.organisations):
        place = f'organisations[{index}].keys'
        if not organisation.keys:
            findings.append(
                state.Finding(place, 'Without a key it has no callers.')
            )
        for position, key in enumerate(organisation.keys):
            first = owners.setdefault(key, index)
            if first != index:
                findings.append(
                    state.Finding(
                        f'{place}[{position}]',
                        'The key is also one of '
                        f'organisations[{first}], which it is taken from.',
                    )
                )
    if owners:
        return
    for index, route in enumerate(configuration.routes):
        if not route.is_anonymous:
            findings.append(
                state.Finding(
                    f'routes[{index}].is_anonymous',
                    'Never used: no organisation has a key.',
                )
            )
