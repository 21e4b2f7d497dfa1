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
        self, item: dict[str, Any], is_deleted: bool, era: int
    ) -> data.MoveChange | None:
        """Return the move order of an object; a malformed one is no order."""
        return decode_move(item, is_deleted, era, self._findings)


class StoreMoveWriter:
    """Records phases of moves in the status of their objects."""

    def __init__(
        self,
        client: forwarding.StoreClient,
        log: forwarding.EventLog,
        era: forwarding.StoreEra,
    ) -> None:
        self._client = client
        self._era = era
        self._findings = _store.FindingLog(log)

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        """Record a phase unless the order has changed in the meantime.

        On a conflict the store responds with the current object, which holds
        the phase that another instance has recorded.

        The write is conditional on a revision, which a restored store may
        have given out again. So an order that was read before a restore is
        not written to. If the store is restored during the call, or if the
        response is lost, the write may still be executed, even seconds later,
        provided that the same object has the same revision again. It replaces
        nothing but the status, which names the version, so that it does not
        count for an order for another version. For the same version it may
        replace a phase that was recorded since the restore; instances that
        know a phase that the restored store lacks record it again.
        """
        if order.position.era < self._era.current:
            return _restored_fault()
        body = json.dumps(
            {
                'metadata': {
                    'name': order.service,
                    'revision': order.position.revision,
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
        is_restored = order.position.era < response.era
        if is_restored and response.status == _NOT_FOUND_STATUS:
            # The operator writes a missing order again.
            return _restored_fault()
        if response.status == _NOT_FOUND_STATUS:
            return data.MoveChange(order.service, None)
        if response.status not in _SUCCESS_STATUSES | {_CONFLICT_STATUS}:
            return _store.unavailable_fault(
                f'store responded with status {response.status}'
            )
        decoded = _store.decode_object(response.body)
        if isinstance(decoded, forwarding.StoreFault):
            return decoded
        return decode_move(decoded, False, response.era, self._findings)


def _restored_fault() -> forwarding.StoreFault:
    return _store.unavailable_fault(
        'the order was read before the store was restored'
    )


def decode_move(
    item: dict[str, Any], is_deleted: bool, era: int, log: _store.FindingLog
) -> data.MoveChange:
    """Return the move order of an object; a malformed one is no order.

    :param era: era of the store to which the object's revision belongs.
    """
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
        position=data.StorePosition(era, metadata.integer('revision')),
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
