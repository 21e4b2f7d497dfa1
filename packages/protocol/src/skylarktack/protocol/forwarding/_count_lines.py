"""Reads log lines with counts of finished requests."""

import dataclasses
from typing import Any
from typing import TypeGuard

from skylarktack import state
from skylarktack.protocol.forwarding import _log_lines

#: Message of the lines, and of those at the start and the end of a process.
COUNT_EVENT = 'requests counted'
START_EVENT = 'started'
STOP_EVENT = 'stopped'

#: Message of the line that tells how many lines were lost.
DROPPED_EVENT = 'log lines dropped'

#: Fields of a row, in order: texts, then numbers.
_TEXT_COUNT = 4
_ROW_LENGTH = 11


@dataclasses.dataclass(frozen=True)
class CountRow:
    """Finished requests of one route, organisation, result and cause."""

    route: str
    organisation: str
    result: str
    cause: str

    request_count: int

    #: Sends beyond the first of each request.
    extra_send_count: int

    #: Prompt tokens that engines were sent again without a copy.
    reread_tokens: int

    #: Time until the first send, until the first event or the response, and
    #: from the first to the last event.
    queued_ms: int
    waited_ms: int
    streamed_ms: int

    event_count: int


@dataclasses.dataclass(frozen=True)
class CountLine:
    """Requests that one instance finished since its last such line."""

    time_s: float
    instance: str
    domain: str

    #: Requests in progress when the line was written.
    active_streams: int
    active_calls: int

    rows: tuple[CountRow, ...]


def read_counts(
    place: str, line: _log_lines.LogLine
) -> CountLine | state.Finding:
    """Return the counts in a line, or a finding if they are malformed.

    :param place: file and line number, for findings.
    """
    rows = []
    listed = line.fields.get('rows')
    if not isinstance(listed, list):
        return state.Finding(place, 'has no list of rows')
    for fields in listed:
        if not _is_row(fields):
            return state.Finding(place, 'has a malformed row')
        rows.append(CountRow(*fields))
    active_streams = line.fields.get('active_streams')
    active_calls = line.fields.get('active_calls')
    if not _is_count(active_streams) or not _is_count(active_calls):
        return state.Finding(place, 'has no number of active requests')
    return CountLine(
        line.time_s,
        line.instance,
        str(line.fields.get('domain', '')),
        active_streams,
        active_calls,
        tuple(rows),
    )


def _is_row(fields: Any) -> bool:
    if not isinstance(fields, list) or len(fields) != _ROW_LENGTH:
        return False
    for index, value in enumerate(fields):
        if index < _TEXT_COUNT:
            if not isinstance(value, str):
                return False
            continue
        if not _is_count(value):
            return False
    return True


def _is_count(value: Any) -> TypeGuard[int]:
    return type(value) is int and value >= 0
