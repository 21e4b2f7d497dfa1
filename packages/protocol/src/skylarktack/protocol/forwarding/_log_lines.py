"""Reads log lines that instances have written.

A log collector may have put a prefix, such as a time and a host name, in
front of the JSON object.
"""

import dataclasses
from typing import Any

from skylarktack import protocol
from skylarktack import state

#: Fields that every line must have.
_COMMON_FIELDS = ('time_s', 'instance', 'part', 'event')


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One decoded log line."""

    #: Wall clock time, in seconds since the epoch.
    time_s: float

    #: Instance that wrote the line.
    instance: str

    #: Component that wrote the line.
    part: str

    #: Message text of the event.
    event: str

    #: All other fields, such as the inputs of a decision.
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """Return the attempt that the line refers to, or None."""
        request = self.fields.get('request')
        return request if isinstance(request, str) else None


def decode_log_line(place: str, text: str) -> LogLine | state.Finding | None:
    """Decode a line; return a finding if malformed and None if empty.

    :param place: file and line number, for findings.
    """
    if not text.strip():
        return None
    start = text.find('{')
    if start < 0:
        return state.Finding(place, 'holds no JSON object')
    try:
        decoded = protocol.decode_json(text[start:])
    except ValueError as error:
        return state.Finding(place, f'is not JSON: {error}')
    cause = protocol.unreadable_cause(decoded)
    if cause is not None:
        return state.Finding(place, cause)
    if not isinstance(decoded, dict):
        return state.Finding(place, 'holds no JSON object')
    for name in _COMMON_FIELDS:
        if name not in decoded:
            return state.Finding(place, f'has no field {name}')
    time_s = decoded['time_s']
    if isinstance(time_s, bool) or not isinstance(time_s, int | float):
        return state.Finding(place, 'time_s is not a number')
    fields = {}
    for name, value in decoded.items():
        if name not in _COMMON_FIELDS:
            fields[name] = value
    return LogLine(
        float(time_s),
        str(decoded['instance']),
        str(decoded['part']),
        str(decoded['event']),
        fields,
    )
