"""Decoding of the platform's ``servers`` objects to targets.

A target in the state ``draining`` is leaving: it takes no new requests.
"""

from skylarktack import state
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

_IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}


def decode_target(name: str, decoded: object) -> data.ListedTarget:
    """Return the target that a ``servers`` object describes.

    :param name: name of the object, which identifies the target.
    :param decoded: its specification, as decoded from JSON.
    :raises MalformedError: if it is malformed, with all findings.
    """
    findings: list[state.Finding] = []
    reader = _fields.FieldReader.from_decoded(
        f'servers/{name}', decoded, findings
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
        slot_count=reader.integer('capacity_slots'),
        is_leaving=bool(is_leaving),
        models=tuple(models),
        # ``born`` is when the target started, in ms since the epoch,
        # not when the object was created.
        started_at_ms=reader.optional_integer('born'),
    )
    reader.raise_on_findings()
    return target


def decode_address(reader: _fields.FieldReader, name: str) -> data.Address:
    """Return the address in a field of the form ``host:port``."""
    text = reader.text(name)
    host, separator, port = text.rpartition(':')
    if separator and host and port.isdigit():
        return data.Address(host, int(port))
    reader.add_finding(name, 'is not of the form host:port')
    return data.Address('', 0)
