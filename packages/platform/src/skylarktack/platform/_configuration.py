"""Decoding of the platform's manifest to a configuration."""

from skylarktack import state
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

_KIND_BY_VALUE = {
    'idempotent': data.RequestKind.IDEMPOTENT,
    'non_idempotent': data.RequestKind.NON_IDEMPOTENT,
    'streaming': data.RequestKind.STREAM,
}


def decode_configuration(
    place: str, decoded: object
) -> data.ForwardingConfiguration:
    """Return the configuration that a manifest describes.

    A manifest is decoded completely or not at all.

    :param place: path of the object, used in findings.
    :param decoded: the manifest, as decoded from JSON.
    :raises MalformedError: if it is malformed, with all findings.
    """
    findings: list[state.Finding] = []
    reader = _fields.FieldReader.from_document(place, decoded, findings)
    configuration = data.ForwardingConfiguration(
        version=reader.integer('version'),
        routes=tuple(
            _decode_route(nested) for nested in reader.nested_list('routes')
        ),
        services=tuple(
            _decode_service(nested)
            for nested in reader.nested_list('services')
        ),
        limits=_decode_limits(reader.nested('limits')),
        organisations=_decode_organisations(reader),
    )
    reader.raise_on_findings()
    return configuration


def _decode_route(reader: _fields.FieldReader) -> data.ForwardingRoute:
    value = reader.text('route_kind')
    kind = _KIND_BY_VALUE.get(value)
    if kind is None:
        reader.add_finding('route_kind', f'has the unknown value {value!r}')
        kind = data.RequestKind.NON_IDEMPOTENT
    return data.ForwardingRoute(
        name=reader.text('name'),
        host=reader.text('hostname').lower(),
        path_prefix=reader.text('path_prefix'),
        kind=kind,
        services=_decode_weighted_services(reader),
        timeout_ms=reader.number('timeout_ms'),
        latency_objective_ms=reader.number('target_latency_ms'),
        max_attempts=reader.optional_integer('max_attempts') or 1,
        priority=reader.optional_integer('priority') or 0,
        is_anonymous=reader.flag('anonymous'),
        is_resumable=reader.flag('stream_resumption'),
        longest_pause_ms=reader.optional_number('gap_target_ms'),
    )


def _decode_weighted_services(
    reader: _fields.FieldReader,
) -> tuple[data.WeightedService, ...]:
    weighted_services = []
    for nested in reader.nested_list('traffic_split'):
        weighted_services.append(
            data.WeightedService(
                nested.text('service'), nested.number('weight')
            )
        )
    if weighted_services:
        return tuple(weighted_services)
    return (data.WeightedService(reader.text('service'), 1.0),)


def _decode_service(reader: _fields.FieldReader) -> data.ServiceDescription:
    engine = None
    if reader.fields.get('inference_engine') is not None:
        nested = reader.nested('inference_engine')
        engine = data.EngineCapacity(
            kv_cache_tokens=nested.integer('kv_capacity_tokens'),
            has_standby_copies=nested.flag('backups'),
        )
    return data.ServiceDescription(
        name=reader.text('name'),
        connection_limit=reader.optional_integer('connection_limit') or 0,
        engine=engine,
    )


def _decode_limits(reader: _fields.FieldReader) -> data.FrontLimits:
    return data.FrontLimits(
        max_header_bytes=reader.integer('max_header_bytes'),
        max_body_bytes=reader.integer('max_body_bytes'),
        header_timeout_ms=reader.number('header_timeout_ms'),
        idle_timeout_ms=reader.number('idle_timeout_ms'),
    )


def _decode_organisations(
    reader: _fields.FieldReader,
) -> tuple[data.OrganisationKeys, ...] | None:
    if reader.fields.get('tenants') is None:
        return None
    organisation_keys = []
    for nested in reader.nested_list('tenants'):
        organisation_keys.append(
            data.OrganisationKeys(
                organisation=nested.text('name'),
                keys=nested.texts('api_keys'),
                priority=nested.optional_integer('priority'),
            )
        )
    return tuple(organisation_keys)
