"""Explains the outcome of a request from the log lines of all instances."""

from collections.abc import Iterable
from typing import Any

from skylarktack import state
from skylarktack.protocol import forwarding as messages

#: Changes of the store and the instance are shown if they were logged at
#: most this long before the request; changes of its targets always are.
MAX_STATE_CHANGE_AGE_S = 30.0

#: Explanations of the reasons for which an instance refuses requests. The
#: keys are the reason codes of log lines.
_EXPLANATION_BY_REASON = {
    'no_configuration': (
        'The instance knew no configuration, or could not tell whether its '
        'own was current, so it asked the caller to come back.'
    ),
    'no_route': 'No route of the configuration in force matches the request.',
    'unknown_key': 'No organisation of the configuration in force has the '
    'key.',
    'bad_request': 'The request is not valid HTTP.',
    'header_too_large': 'The header of the request exceeds the size limit.',
    'body_too_large': 'The body of the request exceeds the size limit.',
    'read_timeout': 'The caller did not send the request within the time '
    'limit.',
    'no_target': 'No target accepted the request; it was not executed.',
    'prompt_quarantined': 'A part of the prompt is quarantined, because '
    'engines crashed under it; the request was not executed.',
    'over_share': 'The demand for the service exceeded its capacity, and the '
    'organisation asked for more than its fair share; the request was not '
    'executed.',
    'stopping': 'The instance was stopping; the caller should retry at '
    'another one.',
    'time_up_not_run': 'The time limit expired before a target accepted the '
    'request.',
    'time_up': 'The time limit expired while a target processed the request.',
    'target_failed': 'The target failed while it worked on the request, and '
    'no other could go on.',
    'internal_error': 'The instance failed with an unexpected error; its log '
    'has the traceback.',
    'internal_error_not_run': 'The instance failed with an unexpected error '
    'before it sent the request to a target; its log has the traceback.',
}


#: Part of the lines about bounds that were reached.
_BOUND_PART = 'bound'

#: Explanations of the bounds for which an instance refuses a request before
#: it is read whole. The keys are the bounds of log lines.
_EXPLANATION_BY_REFUSING_BOUND = {
    'request_head': _EXPLANATION_BY_REASON['header_too_large'],
    'request_body': _EXPLANATION_BY_REASON['body_too_large'],
    'request_read_time': _EXPLANATION_BY_REASON['read_timeout'],
    'request_memory': 'The bodies of other requests took all memory that the '
    'instance has for them; the request was not executed.',
}

#: The same for those that end a request after it was read.
_EXPLANATION_BY_BOUND = {
    'response_memory': 'The response had to wait for memory.',
    'response_size': 'A response of a target exceeded a size limit.',
    'response_write_time': 'The caller did not read the response within the '
    'time limit.',
}

#: Meaning of steps whose name does not tell it.
_MEANING_BY_STEP = {
    'target_ramp': 'new or back, so it gets few requests at first',
}

_SERVED_OUTCOMES = frozenset(('answered', 'streamed'))


def explain_request(
    request: str, lines: Iterable[messages.LogLine]
) -> list[str]:
    """Return text lines that explain the outcome of a request.

    Lines of several instances are sorted by time. The clocks of instances
    may differ by some milliseconds, so close lines can be out of order.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    request_lines = [line for line in ordered if line.request == request]
    if not request_lines:
        return [f'No line is about the request {request}.']
    output = []
    for line in request_lines:
        if line.part == _BOUND_PART:
            output.append(_bound_line(line))
            continue
        started_s = line.time_s - _float_field(line, 'duration_ms') / 1000
        output.extend(_cached_state(line, started_s, ordered))
        output.append(
            f'{started_s:.3f} {line.instance} request: begins on route '
            f'{line.fields.get("route")} '
            f'({line.fields.get("kind")}) {line.fields.get("host", "")}'
            f'{line.fields.get("path", "")} for '
            f'{line.fields.get("organisation")}{_resumption_and_limit(line)}'
        )
        output.extend(_step_lines(line, started_s))
        output.append(
            f'{line.time_s:.3f} {line.instance} request: '
            f'{line.fields.get("outcome")} after '
            f'{line.fields.get("duration_ms")} ms'
        )
    output.append(f'Cause: {_describe_end(request_lines)}')
    return output


def _describe_end(request_lines: list[messages.LogLine]) -> str:
    """Return why a request ended, with the bound that ended it, if any."""
    bounds = [line for line in request_lines if line.part == _BOUND_PART]
    ends = [line for line in request_lines if line.part != _BOUND_PART]
    if not ends:
        return _describe_refusing_bound(bounds)
    cause = describe_cause(ends[-1])
    for line in reversed(bounds):
        bound = str(line.fields.get('bound'))
        explanation = _EXPLANATION_BY_BOUND.get(bound)
        # A response that nobody reads counts as served when it is sent.
        is_served = ends[-1].fields.get('outcome') in _SERVED_OUTCOMES
        if is_served and bound != 'response_write_time':
            continue
        if explanation is not None:
            return f'{cause} {explanation}'
    return cause


def _describe_refusing_bound(bounds: list[messages.LogLine]) -> str:
    for line in bounds:
        bound = str(line.fields.get('bound'))
        explanation = _EXPLANATION_BY_REFUSING_BOUND.get(bound)
        if explanation is None:
            continue
        detail = line.fields.get('detail')
        return f'{explanation} ({detail})' if detail else explanation
    return 'No line tells how the request ended.'


def _bound_line(line: messages.LogLine) -> str:
    detail = line.fields.get('detail')
    return (
        f'{line.time_s:.3f} {line.instance} bound: '
        f'{line.fields.get("bound")} reached'
        + (f' ({detail})' if detail else '')
    )


def describe_cause(line: messages.LogLine) -> str:
    """Return a human-readable description of why the request ended."""
    outcome = str(line.fields.get('outcome'))
    cause = str(line.fields.get('cause'))
    last_fault = _last_fault(line)
    if outcome == 'refused':
        reason, _, detail = cause.partition(': ')
        explanation = _EXPLANATION_BY_REASON.get(reason, f'Refused: {reason}.')
        detail = detail or last_fault
        return f'{explanation} ({detail})' if detail else explanation
    if outcome == 'target_failure':
        return f'Each available target returned a failure ({cause}).'
    if outcome == 'broken':
        return f'The stream was broken off: {cause}{_fault_note(last_fault)}.'
    if outcome == 'cut':
        return (
            'The grace period of a planned stop ended before the request '
            f'did{_fault_note(last_fault)}.'
        )
    if outcome == 'caller_left':
        duration_ms = line.fields.get('duration_ms')
        fault_note = f' Last fault: {last_fault}.' if last_fault else ''
        limit_ms = line.fields.get('time_limit_ms')
        limit_note = (
            '' if limit_ms is None else f'; it had allowed {limit_ms} ms'
        )
        return (
            f'The caller closed the connection after {duration_ms} ms'
            f'{limit_note}.{fault_note}'
        )
    if line.event == 'a request was late':
        return f'Served late: {_slowest_interval(line)}.'
    if last_fault:
        return f'Served despite a fault: {last_fault}.'
    return 'Served.'


def _fault_note(last_fault: str) -> str:
    return f'; last fault: {last_fault}' if last_fault else ''


def decode_lines(
    file: str, texts: Iterable[str]
) -> tuple[list[messages.LogLine], list[state.Finding]]:
    """Decode the lines of a log file.

    :return: the decoded lines, and a finding for each malformed line.
    """
    lines = []
    findings = []
    for number, text in enumerate(texts, start=1):
        decoded = messages.decode_log_line(f'{file}:{number}', text)
        if isinstance(decoded, state.Finding):
            findings.append(decoded)
        elif decoded is not None:
            lines.append(decoded)
    return lines, findings


def _cached_state(
    line: messages.LogLine,
    started_s: float,
    ordered: list[messages.LogLine],
) -> list[str]:
    """Return the state cached on the instance when the request began."""
    confirmation = (
        'confirmed' if line.fields.get('is_current') else 'not confirmed'
    )
    output = [
        f'{started_s:.3f} {line.instance} configuration: version '
        f'{line.fields.get("configuration")}, {confirmation} by the store'
    ]
    targets = {step.get('target') for step in _trace_steps(line)}
    latest: dict[tuple[str, object], messages.LogLine] = {}
    for other in ordered:
        if other.time_s > line.time_s:
            break
        if other.instance != line.instance:
            continue
        if other.part == 'target' and other.fields.get('target') in targets:
            latest[('target', other.fields.get('target'))] = other
        if other.part == _BOUND_PART and not other.request:
            latest[('bound', other.fields.get('bound'))] = other
        if other.part == 'engine':
            latest[('engine', other.fields.get('service'))] = other
        if other.part in ('store', 'instance'):
            latest[(other.part, other.fields.get('kind'))] = other
    for other in sorted(latest.values(), key=lambda found: found.time_s):
        age_s = started_s - other.time_s
        if age_s > MAX_STATE_CHANGE_AGE_S and other.part != 'target':
            continue
        fields = ', '.join(
            f'{name}={value}' for name, value in other.fields.items()
        )
        output.append(
            f'{other.time_s:.3f} {other.instance} {other.part}: '
            f'{other.event} ({fields})'
        )
    return output


def _resumption_and_limit(line: messages.LogLine) -> str:
    """Return where the caller resumes the stream, and its time limit."""
    after_event = line.fields.get('after_event')
    limit_ms = line.fields.get('time_limit_ms')
    text = '' if after_event is None else f' after event {after_event}'
    return text if limit_ms is None else f'{text}, allowing {limit_ms} ms'


def _step_lines(line: messages.LogLine, started_s: float) -> list[str]:
    output = []
    for step in _trace_steps(line):
        inputs = ', '.join(
            f'{name}={value}'
            for name, value in step.items()
            if name not in ('at_ms', 'step')
        )
        meaning = _MEANING_BY_STEP.get(str(step.get('step')))
        if meaning is not None:
            inputs = f'{inputs}; {meaning}'
        at_s = started_s + float(step.get('at_ms', 0)) / 1000
        output.append(
            f'{at_s:.3f} {line.instance} request: {step.get("step")} '
            f'({inputs})'
        )
    return output


def _last_fault(line: messages.LogLine) -> str:
    last = ''
    for step in _trace_steps(line):
        name = step.get('step')
        if name in ('fault', 'silence', 'overdue'):
            last = f'{step.get("detail")} at {step.get("target")}'
        if name == 'answer' and _is_failure(step.get('status')):
            last = f'status {step.get("status")} from {step.get("target")}'
        if name == 'unresponsive':
            last = f'no answer for long from {step.get("target")}'
        if name == 'no_room':
            last = 'no target had room for another connection'
        if name == 'budget_spent':
            last = 'the budget of repeats was spent'
        if name == 'sends_used':
            last = 'its sends were used up'
    return last


def _slowest_interval(line: messages.LogLine) -> str:
    """Return the pair of consecutive steps with the longest interval."""
    steps = [
        *_trace_steps(line),
        {'step': 'the end', 'at_ms': _float_field(line, 'duration_ms')},
    ]
    longest_ms = -1.0
    slowest = ''
    previous: dict[str, Any] = {'step': 'the start', 'at_ms': 0.0}
    for step in steps:
        interval_ms = float(step['at_ms']) - float(previous['at_ms'])
        if interval_ms > longest_ms:
            longest_ms = interval_ms
            where = previous.get('target') or step.get('target') or 'no target'
            slowest = (
                f'{interval_ms:.0f} ms from {previous["step"]} to '
                f'{step["step"]} at {where}'
            )
        previous = step
    return slowest


def _is_failure(status: object) -> bool:
    return isinstance(status, int) and status >= 400


def _trace_steps(line: messages.LogLine) -> list[dict[str, Any]]:
    steps = line.fields.get('steps')
    if not isinstance(steps, list):
        return []
    return [step for step in steps if isinstance(step, dict)]


def _float_field(line: messages.LogLine, name: str) -> float:
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
