"""JSON with comments, for settings and the configuration document."""

import dataclasses
import json
from typing import Any
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import json5
import pydantic

from skylarktack import state

T = TypeVar('T')


def decode_settings(
    text: str,
) -> Result[state.InstanceSettings, tuple[state.Finding, ...]]:
    """Decode an instance's settings file; all findings together."""
    return _decode(text, state.InstanceSettings)


def decode_document(
    text: str,
) -> Result[state.ConfigurationDocument, tuple[state.Finding, ...]]:
    """Decode a configuration document; all findings together.

    Only types and field names are checked here; the rules between the parts
    of a document belong to the coordination layer.
    """
    return _decode(text, state.ConfigurationDocument)


def encode_document(document: state.ConfigurationDocument) -> str:
    """Encode a configuration document as JSON with sorted fields."""
    adapter = _adapter(state.ConfigurationDocument)
    plain = adapter.dump_python(document, mode='json')
    return json.dumps(plain, indent=2, sort_keys=True) + '\n'


def _decode(
    text: str, wanted: type[T]
) -> Result[T, tuple[state.Finding, ...]]:
    try:
        # The quick parser takes plain JSON; comments need the slow one.
        plain = json.loads(text)
    except ValueError:
        try:
            plain = json5.loads(text)
        except ValueError as error:
            return Error((state.Finding('$', f'Not valid JSON: {error}.'),))
    unknown: list[state.Finding] = []
    _find_unknown_fields(plain, wanted, '', unknown)
    try:
        decoded = _adapter(wanted).validate_python(plain)
    except pydantic.ValidationError as error:
        return Error((*unknown, *_findings(error)))
    if unknown:
        return Error(tuple(unknown))
    return Ok(decoded)


def _findings(
    error: pydantic.ValidationError,
) -> tuple[state.Finding, ...]:
    found: list[state.Finding] = []
    for entry in error.errors(include_url=False):
        place = ''
        for part in entry['loc']:
            if isinstance(part, int):
                place += f'[{part}]'
                continue
            place += f'.{part}' if place else str(part)
        found.append(state.Finding(place or '$', f'{entry["msg"]}.'))
    return tuple(found)


def _find_unknown_fields(
    plain: Any, wanted: Any, place: str, found: list[state.Finding]
) -> None:
    if dataclasses.is_dataclass(wanted) and isinstance(plain, dict):
        fields = {
            field.name: field.type for field in dataclasses.fields(wanted)
        }
        for name, value in plain.items():
            inner = f'{place}.{name}' if place else str(name)
            if name not in fields:
                found.append(state.Finding(inner, 'Unknown field.'))
                continue
            _find_unknown_fields(value, fields[name], inner, found)
        return
    arguments = getattr(wanted, '__args__', ())
    if isinstance(plain, list) and arguments:
        for index, value in enumerate(plain):
            _find_unknown_fields(
                value, arguments[0], f'{place}[{index}]', found
            )


_adapters: dict[Any, pydantic.TypeAdapter[Any]] = {}


def _adapter(wanted: Any) -> pydantic.TypeAdapter[Any]:
    adapter = _adapters.get(wanted)
    if adapter is None:
        adapter = pydantic.TypeAdapter(wanted)
        _adapters[wanted] = adapter
    return adapter
