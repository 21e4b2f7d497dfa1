"""Decoding of the platform's ``servers`` objects to targets.

A target in the state ``draining`` is leaving: it takes no new requests.
"""

import ipaddress
import re

from skylarktack import state
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

MAX_PORT = 65535

#: Largest number of slots that is accepted of one target.
MAX_SLOT_COUNT = 100000

#: The name of a target is sent in a header field, so it is one word of ASCII.
_NAME = re.compile(r'[!-~]{1,256}')

_ADDRESS = re.compile(r'([0-9.]{7,15}):([0-9]{1,5})')

_IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}


def decode_target(name: str, decoded: object) -> data.ListedTarget:
    """Return the target that a ``servers`` object describes.

    :param name: name of the object, which identifies the target.
    :param decoded: its specification, as decoded from JSON.
    :raises MalformedError: if it is malformed, with all findings.
    """
    findings: list[state.Finding] = []
    reader = _fields.FieldReader.from_document(
        f'servers/{name}', decoded, findings
    )
    if not _NAME.fullmatch(name):
        findings.append(
            state.Finding(f'servers/{name!r}', 'is not a valid name')
        )
    value = reader.text('state')
    is_leaving = _IS_LEAVING_BY_STATE.get(value)
    if is_leaving is None:
        reader.add_finding('state', f'has the unknown value {value!r}')
    models = []
    for nested in reader.nested_list('models'):
        models.append(nested.text('name'))
    target = data.ListedTarget(
        name=name,
        service=reader.text('service'),
        endpoint=decode_address(reader, 'address'),
        failure_domain=reader.text('availability_zone'),
        version=reader.text('version'),
        slot_count=_decode_slot_count(reader),
        is_leaving=bool(is_leaving),
        models=tuple(models),
        # ``born`` is when the target started, in ms since the epoch,
        # not when the object was created.
        started_at_ms=reader.optional_integer('born'),
        sequence_number=reader.optional_integer('sequence_number'),
    )
    reader.raise_on_findings()
    return target


def decode_address(reader: _fields.FieldReader, name: str) -> data.Address:
    """Return the address in a field of the form ``IP:port``."""
    return _decode_address(reader, name, 1)


def decode_listen_address(
    reader: _fields.FieldReader, name: str
) -> data.Address:
    """Return an address to listen at; with port 0 the system assigns one."""
    return _decode_address(reader, name, 0)


def _decode_address(
    reader: _fields.FieldReader, name: str, min_port: int
) -> data.Address:
    matched = _ADDRESS.fullmatch(reader.text(name))
    if matched and _is_ip(matched[1]):
        port = int(matched[2])
        if min_port <= port <= MAX_PORT:
            return data.Address(matched[1], port)
    reader.add_finding(name, 'is not of the form IP:port')
    return data.Address('', 0)


def _decode_slot_count(reader: _fields.FieldReader) -> int:
    slot_count = reader.integer('capacity_slots')
    if slot_count > MAX_SLOT_COUNT:
        reader.add_finding('capacity_slots', 'is out of range')
    return slot_count


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
