"""Objects of the kind ``rollouts`` as orders of moves, and their status."""

import json
from typing import Any
from urllib import parse

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.platform import _fields
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

KIND = 'rollouts'

_PHASE_BY_WORD = {
    'in_progress': state.MovePhase.SHIFTING,
    'completed': state.MovePhase.COMPLETED,
    'reverted': state.MovePhase.ROLLED_BACK,
}

_WORD_BY_PHASE = {phase: word for word, phase in _PHASE_BY_WORD.items()}

_DONE_STATUSES = frozenset((200, 201))
_CONFLICT_STATUS = 409
_MISSING_STATUS = 404


class MoveReader(_store.KindReader[data.MoveChange]):
    """Reads the orders of moves."""

    kind = KIND

    def decode(
        self, item: dict[str, Any], is_gone: bool
    ) -> data.MoveChange | None:
        """Return the order of an object; a malformed one orders nothing."""
        return decode_move(item, is_gone, self._log)


class StoreMoveWriter:
    """Writes phases of moves into the status of their objects."""

    def __init__(
        self, calls: forwarding.StoreClient, log: forwarding.EventLog
    ) -> None:
        self._calls = calls
        self._log = log

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        """Record a phase unless the order has changed meanwhile.

        A conflict is answered with the object as it is, which tells the
        phase that another instance has recorded.
        """
        body = json.dumps(
            {
                'metadata': {
                    'name': order.service,
                    'revision': order.revision,
                },
                'status': {
                    'state': _WORD_BY_PHASE[phase],
                    'target': order.to_version,
                },
            }
        ).encode()
        name = parse.quote(order.service, safe='')
        answer = self._calls.call(
            'PUT',
            f'/objects/{KIND}/{name}/status',
            body,
            _store.CALL_TIMEOUT_S,
        )
        if isinstance(answer, forwarding.ExchangeFault):
            return _store.unavailable(answer.detail)
        if answer.status == _MISSING_STATUS:
            return data.MoveChange(order.service, None)
        if answer.status not in _DONE_STATUSES | {_CONFLICT_STATUS}:
            return _store.unavailable(f'the store answered {answer.status}')
        decoded = _store.decode_table(answer.body)
        if isinstance(decoded, forwarding.StoreFault):
            return decoded
        return decode_move(decoded, False, self._log)


def decode_move(
    item: dict[str, Any], is_gone: bool, log: forwarding.EventLog
) -> data.MoveChange:
    """Return the order of an object; a malformed one orders nothing."""
    service = _store.name_of(item)
    if is_gone:
        return data.MoveChange(service, None)
    findings: list[state.Finding] = []
    place = f'{KIND}/{service}'
    reader = _fields.FieldReader.of(place, item.get('specification'), findings)
    metadata = _fields.FieldReader.of(
        f'{place}.metadata', item.get('metadata'), findings
    )
    order = data.MoveOrder(
        service=reader.text('service'),
        # ``target`` is a version here, not a replica.
        to_version=reader.text('target'),
        duration_s=reader.number('duration_s'),
        revision=metadata.whole('revision'),
        phase=_decode_phase(item),
    )
    if findings:
        _store.record_findings(log, tuple(findings))
        return data.MoveChange(service, None)
    return data.MoveChange(order.service, order)


def _decode_phase(item: dict[str, Any]) -> state.MovePhase:
    """Return the recorded phase of the version that is ordered now."""
    status = item.get('status')
    specification = item.get('specification')
    if not isinstance(status, dict) or not isinstance(specification, dict):
        return state.MovePhase.PLANNED
    if status.get('target') != specification.get('target'):
        return state.MovePhase.PLANNED
    word = status.get('state')
    if not isinstance(word, str):
        return state.MovePhase.PLANNED
    return _PHASE_BY_WORD.get(word, state.MovePhase.PLANNED)
