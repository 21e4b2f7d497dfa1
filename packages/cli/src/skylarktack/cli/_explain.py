"""Explains one request from the log lines of all instances."""

from collections.abc import Iterable
from typing import Any

from skylarktack import state
from skylarktack.protocol import forwarding as messages

#: Longest time before a request in which a change of belief is shown.
BELIEF_AGE_S = 30.0

#: Sentences for the reasons of the instance's own refusals.
_SENTENCE_BY_REASON = {
    'no_configuration': (
        'The instance knew no configuration, or could not tell whether its '
        'own was current, so it asked the caller to come back.'
    ),
    'no_route': 'No route of the configuration in force matches the request.',
    'unknown_key': 'No organisation holds the key in the configuration in '
    'force.',
    'bad_request': 'The request is not proper HTTP.',
    'header_too_large': 'The head of the request is larger than allowed.',
    'body_too_large': 'The body of the request is larger than allowed.',
    'read_timeout': 'The caller did not send its request in time.',
    'no_target': 'No target took the request; it has not run.',
    'stopping': 'The instance was stopping and sent the caller elsewhere.',
    'time_up_not_run': 'The time ended before a target took the request.',
    'time_up': 'The time ended while a target worked on the request.',
    'target_failed': 'The target failed while it worked on the request, and '
    'no other could go on.',
}


def explain_request(
    request: str, lines: Iterable[messages.LogLine]
) -> list[str]:
    """Return text lines that tell what became of a request.

    Lines of several instances are put in order of time; clocks of instances
    may differ by some milliseconds.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    about = [line for line in ordered if line.request == request]
    if not about:
        return [f'No line is about the request {request}.']
    shown = []
    for line in about:
        started_s = line.time_s - _number(line, 'duration_ms') / 1000
        shown.extend(_beliefs(line, started_s, ordered))
        shown.append(
            f'{started_s:.3f} {line.instance} request: begins on route '
            f'{line.fields.get("route")} '
            f'({line.fields.get("kind")}) {line.fields.get("host", "")}'
            f'{line.fields.get("path", "")} for '
            f'{line.fields.get("organisation")}{_terms(line)}'
        )
        shown.extend(_steps(line, started_s))
        shown.append(
            f'{line.time_s:.3f} {line.instance} request: '
            f'{line.fields.get("outcome")} after '
            f'{line.fields.get("duration_ms")} ms'
        )
    shown.append(f'Cause: {cause_of(about[-1])}')
    return shown


def cause_of(line: messages.LogLine) -> str:
    """Return in one sentence why the request ended as it did."""
    outcome = str(line.fields.get('outcome'))
    cause = str(line.fields.get('cause'))
    last_fault = _last_fault(line)
    if outcome == 'refused':
        reason, _, detail = cause.partition(': ')
        sentence = _SENTENCE_BY_REASON.get(reason, f'Refused: {reason}.')
        detail = detail or last_fault
        return f'{sentence} ({detail})' if detail else sentence
    if outcome == 'target_failure':
        return f'Each target that could be asked failed by itself ({cause}).'
    if outcome == 'broken':
        faults = f'; last fault: {last_fault}' if last_fault else ''
        return f'The stream was broken off: {cause}{faults}.'
    if outcome == 'caller_left':
        waited = line.fields.get('duration_ms')
        faults = f' Last fault: {last_fault}.' if last_fault else ''
        limit_ms = line.fields.get('time_limit_ms')
        allowed = '' if limit_ms is None else f'; it had allowed {limit_ms} ms'
        return (
            f'The caller closed the connection after {waited} ms{allowed}.'
            f'{faults}'
        )
    if line.event == 'a request was late':
        return f'Served late: {_slowest(line)}.'
    if last_fault:
        return f'Served in spite of: {last_fault}.'
    return 'Served.'


def check_lines(
    file: str, texts: Iterable[str]
) -> tuple[list[messages.LogLine], list[state.Finding]]:
    """Return the lines of a file and what cannot be read."""
    lines = []
    findings = []
    for number, text in enumerate(texts, start=1):
        decoded = messages.decode_log_line(f'{file}:{number}', text)
        if isinstance(decoded, state.Finding):
            findings.append(decoded)
        elif decoded is not None:
            lines.append(decoded)
    return lines, findings


def _beliefs(
    line: messages.LogLine,
    started_s: float,
    ordered: list[messages.LogLine],
) -> list[str]:
    """Return what the instance believed when the request began."""
    current = 'confirmed' if line.fields.get('is_current') else 'not confirmed'
    shown = [
        f'{started_s:.3f} {line.instance} configuration: version '
        f'{line.fields.get("configuration")}, {current} by the store'
    ]
    targets = {step.get('target') for step in _step_list(line)}
    latest: dict[tuple[str, object], messages.LogLine] = {}
    for other in ordered:
        if other.time_s > line.time_s:
            break
        if other.instance != line.instance:
            continue
        if other.part == 'target' and other.fields.get('target') in targets:
            latest[('target', other.fields.get('target'))] = other
        if other.part in ('store', 'instance'):
            latest[(other.part, other.fields.get('kind'))] = other
    for other in sorted(latest.values(), key=lambda found: found.time_s):
        age_s = started_s - other.time_s
        if age_s > BELIEF_AGE_S and other.part != 'target':
            continue
        fields = ', '.join(
            f'{name}={value}' for name, value in other.fields.items()
        )
        shown.append(
            f'{other.time_s:.3f} {other.instance} {other.part}: '
            f'{other.event} ({fields})'
        )
    return shown


def _terms(line: messages.LogLine) -> str:
    """Return from where the caller goes on and how long it waits."""
    after_event = line.fields.get('after_event')
    limit_ms = line.fields.get('time_limit_ms')
    terms = '' if after_event is None else f' after event {after_event}'
    return terms if limit_ms is None else f'{terms}, allowing {limit_ms} ms'


def _steps(line: messages.LogLine, started_s: float) -> list[str]:
    shown = []
    for step in _step_list(line):
        inputs = ', '.join(
            f'{name}={value}'
            for name, value in step.items()
            if name not in ('at_ms', 'step')
        )
        at_s = started_s + float(step.get('at_ms', 0)) / 1000
        shown.append(
            f'{at_s:.3f} {line.instance} request: {step.get("step")} '
            f'({inputs})'
        )
    return shown


def _last_fault(line: messages.LogLine) -> str:
    last = ''
    for step in _step_list(line):
        name = step.get('step')
        if name in ('fault', 'silence'):
            last = f'{step.get("detail")} at {step.get("target")}'
        if name == 'answer' and _is_failure(step.get('status')):
            last = f'status {step.get("status")} from {step.get("target")}'
        if name == 'budget_spent':
            last = 'the budget of repeats was spent'
    return last


def _slowest(line: messages.LogLine) -> str:
    """Return between which steps the most time went by."""
    steps = [
        *_step_list(line),
        {'step': 'the end', 'at_ms': _number(line, 'duration_ms')},
    ]
    longest_ms = -1.0
    slowest = ''
    before: dict[str, Any] = {'step': 'the start', 'at_ms': 0.0}
    for step in steps:
        took_ms = float(step['at_ms']) - float(before['at_ms'])
        if took_ms > longest_ms:
            longest_ms = took_ms
            where = before.get('target') or step.get('target') or 'no target'
            slowest = (
                f'{took_ms:.0f} ms from {before["step"]} to {step["step"]} '
                f'at {where}'
            )
        before = step
    return slowest


def _is_failure(status: object) -> bool:
    return isinstance(status, int) and status >= 400


def _step_list(line: messages.LogLine) -> list[dict[str, Any]]:
    steps = line.fields.get('steps')
    if not isinstance(steps, list):
        return []
    return [step for step in steps if isinstance(step, dict)]


def _number(line: messages.LogLine, name: str) -> float:
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
