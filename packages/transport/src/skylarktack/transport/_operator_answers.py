"""Answers of the operators' interface."""

import base64
import binascii
import dataclasses
import json

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration

_STATUS_BY_KIND = {
    configuration.ChangeFaultKind.INVALID: 422,
    configuration.ChangeFaultKind.CONFLICT: 409,
    configuration.ChangeFaultKind.UNAVAILABLE: 503,
    configuration.ChangeFaultKind.UNKNOWN: 504,
    configuration.ChangeFaultKind.MISSING: 404,
}


@dataclasses.dataclass(frozen=True)
class OperatorAnswer:
    """One answer."""

    #: HTTP status.
    status: int

    #: Body.
    body: bytes

    #: Content type.
    content_type: str = 'application/json'

    #: Further headers.
    headers: tuple[tuple[str, str], ...] = ()


def json_answer(value: object, status: int = 200) -> OperatorAnswer:
    """Return a value as JSON."""
    return OperatorAnswer(status, json.dumps(value).encode())


def json_error(
    status: int,
    code: str,
    message: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> OperatorAnswer:
    """Return an error in the form of all errors."""
    body = json.dumps({'error': {'code': code, 'message': message}})
    return OperatorAnswer(status, body.encode(), headers=headers)


def change_fault(fault: configuration.ChangeFault) -> OperatorAnswer:
    """Return why a change was not accepted."""
    status = _STATUS_BY_KIND[fault.kind]
    if fault.findings:
        return OperatorAnswer(status, protocol.encode_findings(fault.findings))
    fields: dict[str, object] = {
        'code': fault.kind.value,
        'message': fault.message,
    }
    if fault.current is not None:
        fields['current'] = record_summary(fault.current)
    return json_answer({'error': fields}, status)


def record_summary(record: state.ConfigurationRecord) -> dict[str, object]:
    """Return a record without its document."""
    return {
        'revision': record.revision,
        'author': record.author,
        'accepted_s': record.accepted_s,
        'change_id': record.change_id,
        'comment': record.comment,
    }


def token_of(header: str) -> str:
    """Return the token of a Bearer header or the password of a Basic one."""
    scheme, _, value = header.partition(' ')
    if scheme.lower() == 'bearer':
        return value.strip()
    if scheme.lower() != 'basic':
        return ''
    try:
        decoded = base64.b64decode(value.strip()).decode()
    except (binascii.Error, UnicodeDecodeError):
        return ''
    return decoded.partition(':')[2]
