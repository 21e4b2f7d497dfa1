"""Entries of the platform's kind ``servers`` as targets."""

from skylarktack import state
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

_IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}


def decode_target(name: str, decoded: object) -> data.ListedTarget:
    """Return the target of an entry.

    :param name: name of the entry, which is the target's identifier.
    :param decoded: the entry as JSON decodes it.
    :raises MalformedError: if it cannot be read, with all findings.
    """
    findings: list[state.Finding] = []
    reader = _fields.FieldReader.of(f'servers/{name}', decoded, findings)
    word = reader.text('state')
    is_leaving = _IS_LEAVING_BY_STATE.get(word)
    if is_leaving is None:
        reader.reject('state', f'is unknown: {word!r}')
    models = []
    for part in reader.parts('models'):
        models.append(part.text('name'))
    target = data.ListedTarget(
        name=name,
        service=reader.text('service'),
        endpoint=decode_address(reader, 'address'),
        failure_domain=reader.text('availability_zone'),
        version=reader.text('version'),
        slot_count=reader.whole('capacity_slots'),
        is_leaving=bool(is_leaving),
        models=tuple(models),
        # ``born`` is a time of day, not a date of creation of the entry.
        started_at_ms=reader.optional_whole('born'),
    )
    reader.check()
    return target


def decode_address(reader: _fields.FieldReader, name: str) -> data.Address:
    """Return an address and a port from a text with a colon between."""
    text = reader.text(name)
    host, separator, port = text.rpartition(':')
    if separator and host and port.isdigit():
        return data.Address(host, int(port))
    reader.reject(name, 'is not an address and a port')
    return data.Address('', 0)
