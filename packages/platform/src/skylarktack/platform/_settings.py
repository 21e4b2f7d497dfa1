"""Decoding of the platform's settings file to settings of an instance.

Each line has the form ``a.b=value``; items of a list are separated by commas.
Unknown names are ignored, so that the platform can add settings.
"""

import math
import re

from skylarktack import state
from skylarktack.platform import _entries
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

BYTES_PER_MB = 1024 * 1024

_PORT = re.compile(r'[0-9]{1,5}')


def decode_settings(
    place: str, text: str, metrics_port: int | None = None
) -> data.ForwardingSettings:
    """Return the settings in the text of a settings file.

    :param place: path of the file, for findings.
    :param metrics_port: port that serves metrics, or None for no metrics.
    :raises MalformedError: if it is malformed, with all findings.
    """
    findings: list[state.Finding] = []
    values: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith('#'):
            continue
        name, separator, value = line.partition('=')
        if not separator:
            findings.append(
                state.Finding(
                    f'{place}:{number}', 'is not of the form name=value'
                )
            )
            continue
        values[name.strip()] = value.strip()
    reader = _fields.FieldReader(place, values, findings)
    readiness = None
    if 'listen_addresses.ready' in values:
        readiness = _entries.decode_listen_address(
            reader, 'listen_addresses.ready'
        )
    metrics = None
    if metrics_port is not None:
        metrics = data.Address(reader.text('ip_address'), metrics_port)
    has_moves = 'rollout' in values.get('contracts', '').split(',')
    settings = data.ForwardingSettings(
        instance=reader.text('node_name'),
        failure_domain=reader.text('availability_zone'),
        front=_entries.decode_listen_address(
            reader, 'listen_addresses.frontend'
        ),
        readiness=readiness,
        peer=_decode_peer_address(reader),
        metrics=metrics,
        store=_entries.decode_address(reader, 'platform.address'),
        grace_ms=1000 * _parse_number(reader, 'bounds.grace_period_s'),
        configuration_lag_ms=_parse_number(reader, 'bounds.config_apply_ms'),
        retry_ratio=_parse_number(reader, 'bounds.retry_budget_ratio'),
        retry_allowance_count=_parse_number(
            reader, 'bounds.retry_budget_extra'
        ),
        retry_window_ms=1000 * _parse_number(reader, 'bounds.budget_window_s'),
        has_moves=has_moves,
        exposure_fraction=(
            _parse_number(reader, 'bounds.exposure_fraction')
            if has_moves
            else 0.0
        ),
        exposure_allowance_count=(
            _parse_number(reader, 'bounds.exposure_tolerance')
            if has_moves
            else 0.0
        ),
        descriptor_limit=int(_parse_number(reader, 'limits.file_descriptors')),
        memory_limit_bytes=_parse_memory_limit(reader),
        target_ramp=_parse_ramp_mode(reader),
    )
    reader.raise_on_findings()
    return settings


def _decode_peer_address(reader: _fields.FieldReader) -> data.Address | None:
    if reader.fields.get('internal_port_range') is None:
        return None
    first, _, _ = reader.text('internal_port_range').partition(',')
    if _PORT.fullmatch(first) and int(first) <= _entries.MAX_PORT:
        return data.Address(reader.text('ip_address'), int(first))
    reader.add_finding(
        'internal_port_range', 'is not two ports separated by a comma'
    )
    return None


def _parse_memory_limit(reader: _fields.FieldReader) -> int | None:
    if reader.fields.get('limits.memory_limit_mb') is None:
        return None
    limit_mb = _parse_number(reader, 'limits.memory_limit_mb')
    limit_bytes = int(limit_mb * BYTES_PER_MB)
    # The configuration is not known yet; its limit may differ from the
    # default one, which is checked when the configuration is applied.
    max_body_bytes = data.FrontLimits().max_body_bytes
    needed_bytes = data.needed_memory_bytes(max_body_bytes)
    if 0 < limit_bytes < needed_bytes:
        needed_mb = math.ceil(needed_bytes / BYTES_PER_MB)
        reader.add_finding(
            'limits.memory_limit_mb',
            f'is too small for one request body of {max_body_bytes} bytes, '
            f'the default of max_body_bytes; {needed_mb} or more fits',
        )
    return limit_bytes or None


def _parse_ramp_mode(reader: _fields.FieldReader) -> data.RampMode:
    text = reader.optional_text('target_ramp')
    if text is None:
        return data.RampMode.AUTO
    try:
        return data.RampMode(text)
    except ValueError:
        modes = ', '.join(mode.value for mode in data.RampMode)
        reader.add_finding('target_ramp', f'is none of {modes}')
        return data.RampMode.AUTO


def _parse_number(reader: _fields.FieldReader, name: str) -> float:
    text = reader.text(name)
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if _fields.is_number(number):
        return number
    if text:
        reader.add_finding(name, 'is not a number in range')
    return 0.0
