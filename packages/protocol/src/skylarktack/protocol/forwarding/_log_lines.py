"""Lines of the log as other programs read them.

A line may stand behind a prefix, such as the time and the name that a
collector of logs adds.
"""

import dataclasses
import json
from typing import Any

from skylarktack import state

#: Fields that each line has.
_COMMON_FIELDS = ('time_s', 'instance', 'part', 'event')


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line of the log."""

    #: Wall clock time, in seconds since the epoch.
    time_s: float

    #: Instance that wrote it.
    instance: str

    #: Part of the program.
    part: str

    #: What happened.
    event: str

    #: The inputs of the decision.
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """Return the attempt that the line is about, or None."""
        request = self.fields.get('request')
        return request if isinstance(request, str) else None


def decode_log_line(place: str, text: str) -> LogLine | state.Finding | None:
    """Return the line, what is wrong with it, or None for an empty one.

    :param place: file and number of the line, for findings.
    """
    if not text.strip():
        return None
    start = text.find('{')
    if start < 0:
        return state.Finding(place, 'holds no JSON object')
    try:
        decoded = json.loads(text[start:])
    except ValueError as error:
        return state.Finding(place, f'is not JSON: {error}')
    for name in _COMMON_FIELDS:
        if name not in decoded:
            return state.Finding(place, f'has no field {name}')
    if not isinstance(decoded['time_s'], int | float):
        return state.Finding(place, 'time_s is not a number')
    fields = {}
    for name, value in decoded.items():
        if name not in _COMMON_FIELDS:
            fields[name] = value
    return LogLine(
        float(decoded['time_s']),
        str(decoded['instance']),
        str(decoded['part']),
        str(decoded['event']),
        fields,
    )
