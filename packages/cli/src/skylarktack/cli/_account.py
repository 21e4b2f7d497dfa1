"""Accounts for the requests of a day from the logs of all instances."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Any

from skylarktack import state
from skylarktack.cli import _tables
from skylarktack.protocol import forwarding as messages

#: Maximum number of rows of one table; further ones are added up in a row
#: named ``OTHER``, so that memory does not grow with the logs.
MAX_ROW_COUNT = 2000

OTHER = 'other'

#: Result and cause of requests in progress at an instance that ended without
#: a stop.
FAILED = 'failed'
INSTANCE_ENDED = 'instance ended'

#: Texts of which each line that is read holds one.
_MARKERS = (
    messages.COUNT_EVENT,
    '"part":"instance"',
    messages.DROPPED_EVENT,
)


@dataclasses.dataclass
class Totals:
    """Sums over the requests of one row of a table."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    rejected: int = 0
    extra_sends: int = 0
    reread_tokens: int = 0
    queued_ms: int = 0
    waited_ms: int = 0
    streamed_ms: int = 0
    events: int = 0

    def add(self, row: messages.CountRow) -> None:
        """Add one row of counts."""
        self.add_result(row.result, row.request_count)
        self.extra_sends += row.extra_send_count
        self.reread_tokens += row.reread_tokens
        self.queued_ms += row.queued_ms
        self.waited_ms += row.waited_ms
        self.streamed_ms += row.streamed_ms
        self.events += row.event_count

    def add_result(self, result: str, count: int) -> None:
        """Add requests with a result; an unknown one counts as failed."""
        name = result.replace(' ', '_')
        if name not in ('in_time', 'late', 'refused', 'left', 'rejected'):
            name = FAILED
        setattr(self, name, getattr(self, name) + count)
        self.requests += count


class Table:
    """Totals by one property of requests, with a bounded number of rows."""

    def __init__(self) -> None:
        self.rows: dict[str, Totals] = {}

    def of(self, name: str) -> Totals:
        """Return the totals of a name."""
        totals = self.rows.get(name)
        if totals is not None:
            return totals
        if len(self.rows) >= MAX_ROW_COUNT:
            return self.rows.setdefault(OTHER, Totals())
        totals = Totals()
        self.rows[name] = totals
        return totals


@dataclasses.dataclass
class _InstanceState:
    """The last line of an instance's running process."""

    last: messages.CountLine | None = None


class Account:
    """Adds up the counts in log lines, one after the other.

    The lines of one instance have to come in their order; those of several
    instances may be mixed.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._states: dict[str, _InstanceState] = {}
        self.total = Totals()
        self.tables = {
            name: Table()
            for name in ('route', 'organisation', 'domain', 'window')
        }
        #: Requests by result and cause, other than those served in time.
        self.causes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        #: Log lines that the instances could not write.
        self.dropped_lines = 0

    def add(self, place: str, line: messages.LogLine) -> state.Finding | None:
        """Add one line; return a finding if its counts are malformed."""
        if line.event == messages.COUNT_EVENT:
            counts = messages.read_counts(place, line)
            if isinstance(counts, state.Finding):
                return counts
            self._add_counts(counts)
        if line.event == messages.START_EVENT:
            self._end_process(line.instance)
        if line.event == messages.STOP_EVENT:
            self._states.pop(line.instance, None)
        dropped = line.fields.get('count')
        if line.event != messages.DROPPED_EVENT:
            dropped = None
        if isinstance(dropped, int):
            self.dropped_lines += dropped
        return None

    def _add_counts(self, counts: messages.CountLine) -> None:
        self._state_of(counts.instance).last = counts
        window = self._window_of(counts.time_s)
        for row in counts.rows:
            self.total.add(row)
            self.tables['route'].of(row.route).add(row)
            self.tables['organisation'].of(row.organisation).add(row)
            self.tables['domain'].of(counts.domain).add(row)
            self.tables['window'].of(window).add(row)
            if row.cause:
                self._add_cause(row.result, row.cause, row.request_count)

    def _end_process(self, instance: str) -> None:
        """Count what was in progress at a process that did not stop."""
        ended = self._states.pop(instance, _InstanceState()).last
        if ended is None:
            return
        count = ended.active_streams + ended.active_calls
        if not count:
            return
        window = self._window_of(ended.time_s)
        for totals in (
            self.total,
            self.tables['domain'].of(ended.domain),
            self.tables['window'].of(window),
        ):
            totals.add_result(FAILED, count)
        self._add_cause(FAILED, INSTANCE_ENDED, count)

    def _add_cause(self, result: str, cause: str, count: int) -> None:
        key = (result, cause)
        if key not in self.causes and len(self.causes) >= MAX_ROW_COUNT:
            key = (result, OTHER)
        self.causes[key] += count

    def _state_of(self, instance: str) -> _InstanceState:
        known = self._states.get(instance)
        if known is None:
            known = _InstanceState()
            self._states[instance] = known
        return known

    def _window_of(self, time_s: float) -> str:
        start_s = int(time_s // self._window_s * self._window_s)
        return str(start_s)


def add_lines(
    account: Account, file: str, texts: Iterable[str]
) -> list[state.Finding]:
    """Add the lines of a file; return a finding for each malformed one."""
    findings = []
    for number, text in enumerate(texts, start=1):
        place = f'{file}:{number}'
        if not text.strip():
            continue
        if '{' not in text:
            findings.append(state.Finding(place, 'holds no JSON object'))
            continue
        # Most lines hold no counts; decoding them would take most of the time.
        if not any(marker in text for marker in _MARKERS):
            continue
        decoded = messages.decode_log_line(place, text)
        if isinstance(decoded, messages.LogLine):
            finding = account.add(place, decoded)
            if finding is not None:
                findings.append(finding)
        if isinstance(decoded, state.Finding):
            findings.append(decoded)
    return findings


def to_plain(account: Account) -> dict[str, Any]:
    """Return an account as plain values for JSON."""
    causes = []
    for (result, cause), count in account.causes.most_common():
        causes.append({'result': result, 'cause': cause, 'requests': count})
    plain: dict[str, Any] = {
        'total': dataclasses.asdict(account.total),
        'causes': causes,
        'dropped_log_lines': account.dropped_lines,
    }
    for name, table in account.tables.items():
        plain[name] = {
            row: dataclasses.asdict(totals)
            for row, totals in sorted(table.rows.items())
        }
    return plain


def to_text(account: Account) -> str:
    """Return an account as tables."""
    parts = [_totals_table('TOTAL', {'all requests': account.total})]
    causes = [
        (result, cause, str(count))
        for (result, cause), count in account.causes.most_common()
    ]
    parts.append(_tables.columns(('RESULT', 'CAUSE', 'REQUESTS'), causes))
    for name, table in account.tables.items():
        parts.append(_totals_table(name.upper(), table.rows))
    parts.append(_times_table(account.tables['route'].rows))
    if account.dropped_lines:
        parts.append(
            f'{account.dropped_lines} log lines were dropped; the totals may '
            'be too low.'
        )
    return '\n\n'.join(parts)


def _totals_table(heading: str, rows: dict[str, Totals]) -> str:
    cells = []
    for name, totals in sorted(rows.items()):
        cells.append(
            (
                name or '-',
                str(totals.requests),
                str(totals.in_time),
                str(totals.late),
                str(totals.refused),
                str(totals.failed),
                str(totals.left),
                str(totals.rejected),
                str(totals.extra_sends),
                str(totals.reread_tokens),
            )
        )
    return _tables.columns(
        (
            heading,
            'REQUESTS',
            'IN TIME',
            'LATE',
            'REFUSED',
            'FAILED',
            'LEFT',
            'REJECTED',
            'SENT AGAIN',
            'TOKENS READ AGAIN',
        ),
        cells,
    )


def _times_table(rows: dict[str, Totals]) -> str:
    """Return the mean times of each route."""
    cells = []
    for name, totals in sorted(rows.items()):
        served = max(1, totals.requests)
        pace = '-'
        if totals.events:
            pace = f'{totals.streamed_ms / totals.events:.1f}'
        cells.append(
            (
                name or '-',
                f'{totals.queued_ms / served:.0f}',
                f'{totals.waited_ms / served:.0f}',
                f'{totals.streamed_ms / served:.0f}',
                pace,
            )
        )
    return _tables.columns(
        (
            'ROUTE',
            'QUEUED MS',
            'FIRST EVENT OR RESPONSE MS',
            'STREAMED MS',
            'MS AN EVENT',
        ),
        cells,
    )
