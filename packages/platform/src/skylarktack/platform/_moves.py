"""Move orders and their recorded phases, in objects of kind ``rollouts``.

The platform orders a move, a planned rollout of a service to a version, with
such an object; the system records the phase of the move in its status.
"""

import json
from typing import Any
from urllib import parse

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.platform import _fields
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

KIND = 'rollouts'

_PHASE_BY_VALUE = {
    'in_progress': state.MovePhase.SHIFTING,
    'completed': state.MovePhase.COMPLETED,
    'reverted': state.MovePhase.ROLLED_BACK,
}

_VALUE_BY_PHASE = {phase: value for value, phase in _PHASE_BY_VALUE.items()}

_SUCCESS_STATUSES = frozenset((200, 201))
_CONFLICT_STATUS = 409
_NOT_FOUND_STATUS = 404


class MoveReader(_store.KindReader[data.MoveChange]):
    """Lists and watches move orders."""

    kind = KIND

    def decode(
        self, item: dict[str, Any], is_deleted: bool
    ) -> data.MoveChange | None:
        """Return the move order of an object; a malformed one is no order."""
        return decode_move(item, is_deleted, self._findings)


class StoreMoveWriter:
    """Records phases of moves in the status of their objects."""

    def __init__(
        self, client: forwarding.StoreClient, log: forwarding.EventLog
    ) -> None:
        self._client = client
        self._findings = _store.FindingLog(log)

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        """Record a phase unless the order has changed in the meantime.

        On a conflict the store responds with the current object, which holds
        the phase that another instance has recorded.
        """
        body = json.dumps(
            {
                'metadata': {
                    'name': order.service,
                    'revision': order.revision,
                },
                'status': {
                    'state': _VALUE_BY_PHASE[phase],
                    'target': order.to_version,
                },
            }
        ).encode()
        name = parse.quote(order.service, safe='')
        response = self._client.call(
            'PUT',
            f'/objects/{KIND}/{name}/status',
            body,
            _store.CALL_TIMEOUT_S,
        )
        if isinstance(response, forwarding.ExchangeFault):
            return _store.unavailable_fault(response.detail)
        if response.status == _NOT_FOUND_STATUS:
            return data.MoveChange(order.service, None)
        if response.status not in _SUCCESS_STATUSES | {_CONFLICT_STATUS}:
            return _store.unavailable_fault(
                f'store responded with status {response.status}'
            )
        decoded = _store.decode_object(response.body)
        if isinstance(decoded, forwarding.StoreFault):
            return decoded
        return decode_move(decoded, False, self._findings)


def decode_move(
    item: dict[str, Any], is_deleted: bool, log: _store.FindingLog
) -> data.MoveChange:
    """Return the move order of an object; a malformed one is no order."""
    service = _store.name_of(item)
    if is_deleted:
        return data.MoveChange(service, None)
    findings: list[state.Finding] = []
    place = f'{KIND}/{service}'
    reader = _fields.FieldReader.from_document(
        place, item.get('specification'), findings
    )
    metadata = _fields.FieldReader.from_decoded(
        f'{place}.metadata', item.get('metadata'), findings
    )
    order = data.MoveOrder(
        service=reader.text('service'),
        # ``target`` is a version here, not a target of requests.
        to_version=reader.text('target'),
        duration_s=reader.number('duration_s'),
        revision=metadata.integer('revision'),
        phase=_decode_phase(item),
    )
    if findings:
        log.record(tuple(findings))
        return data.MoveChange(service, None)
    return data.MoveChange(order.service, order)


def _decode_phase(item: dict[str, Any]) -> state.MovePhase:
    """Return the recorded phase, if it belongs to the ordered version.

    The status of an earlier order, for another version, counts as planned.
    """
    status = item.get('status')
    specification = item.get('specification')
    if not isinstance(status, dict) or not isinstance(specification, dict):
        return state.MovePhase.PLANNED
    if status.get('target') != specification.get('target'):
        return state.MovePhase.PLANNED
    value = status.get('state')
    if not isinstance(value, str):
        return state.MovePhase.PLANNED
    return _PHASE_BY_VALUE.get(value, state.MovePhase.PLANNED)
