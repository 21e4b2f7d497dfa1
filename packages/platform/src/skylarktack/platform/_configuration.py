"""The platform's manifest as a configuration of the front end."""

from skylarktack import state
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

_KIND_BY_WORD = {
    'idempotent': data.RequestKind.IDEMPOTENT,
    'non_idempotent': data.RequestKind.NON_IDEMPOTENT,
    'streaming': data.RequestKind.STREAM,
}


def decode_configuration(
    place: str, decoded: object
) -> data.ForwardingConfiguration:
    """Return the configuration of a manifest.

    :param place: name of the object, for findings.
    :param decoded: the manifest as JSON decodes it.
    :raises MalformedError: if it cannot be read, with all findings.
    """
    findings: list[state.Finding] = []
    reader = _fields.FieldReader.of(place, decoded, findings)
    configuration = data.ForwardingConfiguration(
        version=reader.whole('version'),
        routes=tuple(_decode_route(part) for part in reader.parts('routes')),
        services=tuple(
            _decode_service(part) for part in reader.parts('services')
        ),
        limits=_decode_limits(reader.part('limits')),
        organisations=_decode_organisations(reader),
    )
    reader.check()
    return configuration


def _decode_route(reader: _fields.FieldReader) -> data.ForwardingRoute:
    word = reader.text('route_kind')
    kind = _KIND_BY_WORD.get(word)
    if kind is None:
        reader.reject('route_kind', f'is unknown: {word!r}')
        kind = data.RequestKind.NON_IDEMPOTENT
    return data.ForwardingRoute(
        name=reader.text('name'),
        host=reader.text('hostname').lower(),
        path_prefix=reader.text('path_prefix'),
        kind=kind,
        services=_decode_services_of_route(reader),
        timeout_ms=reader.number('timeout_ms'),
        latency_objective_ms=reader.number('target_latency_ms'),
        max_attempts=reader.optional_whole('max_attempts') or 1,
        priority=reader.optional_whole('priority') or 0,
        is_anonymous=reader.flag('anonymous'),
        is_resumable=reader.flag('stream_resumption'),
        longest_pause_ms=reader.optional_number('gap_target_ms'),
    )


def _decode_services_of_route(
    reader: _fields.FieldReader,
) -> tuple[data.WeightedService, ...]:
    shares = []
    for part in reader.parts('traffic_split'):
        shares.append(
            data.WeightedService(part.text('service'), part.number('weight'))
        )
    if shares:
        return tuple(shares)
    return (data.WeightedService(reader.text('service'), 1.0),)


def _decode_service(reader: _fields.FieldReader) -> data.ServiceDescription:
    engine = None
    if reader.table.get('inference_engine') is not None:
        part = reader.part('inference_engine')
        engine = data.EngineCapacity(
            kv_cache_tokens=part.whole('kv_capacity_tokens'),
            has_standby_copies=part.flag('backups'),
        )
    return data.ServiceDescription(
        name=reader.text('name'),
        connection_limit=reader.optional_whole('connection_limit') or 0,
        engine=engine,
    )


def _decode_limits(reader: _fields.FieldReader) -> data.FrontLimits:
    return data.FrontLimits(
        max_header_bytes=reader.whole('max_header_bytes'),
        max_body_bytes=reader.whole('max_body_bytes'),
        header_timeout_ms=reader.number('header_timeout_ms'),
        idle_timeout_ms=reader.number('idle_timeout_ms'),
    )


def _decode_organisations(
    reader: _fields.FieldReader,
) -> tuple[data.OrganisationKeys, ...] | None:
    if reader.table.get('tenants') is None:
        return None
    holders = []
    for part in reader.parts('tenants'):
        holders.append(
            data.OrganisationKeys(
                organisation=part.text('name'),
                keys=part.texts('api_keys'),
                priority=part.optional_whole('priority'),
            )
        )
    return tuple(holders)
