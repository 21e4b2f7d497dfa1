"""Encodings of settings and configuration documents as JSON with comments."""

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
    """Decode an instance's settings file.

    The error lists all findings, not only the first.
    """
    return _decode(text, state.InstanceSettings)


def decode_document(
    text: str,
) -> Result[state.ConfigurationDocument, tuple[state.Finding, ...]]:
    """Decode a configuration document.

    The error lists all findings, not only the first. Only types and field
    names are checked here; the coordination layer checks the rules between
    the sections of a document.
    """
    return _decode(text, state.ConfigurationDocument)


def encode_document(document: state.ConfigurationDocument) -> str:
    """Encode a configuration document as JSON with sorted fields."""
    adapter = _adapter(state.ConfigurationDocument)
    plain = adapter.dump_python(document, mode='json')
    return json.dumps(plain, indent=2, sort_keys=True) + '\n'


def _decode(
    text: str, expected_type: type[T]
) -> Result[T, tuple[state.Finding, ...]]:
    try:
        # json is fast but rejects comments; json5 accepts them but is slow.
        plain = json.loads(text)
    except RecursionError:
        return Error((state.Finding('$', 'Nested too deeply.'),))
    except ValueError:
        try:
            plain = json5.loads(text)
        except RecursionError:
            return Error((state.Finding('$', 'Nested too deeply.'),))
        except ValueError as error:
            return Error((state.Finding('$', f'Not valid JSON: {error}.'),))
    unknown: list[state.Finding] = []
    _find_unknown_fields(plain, expected_type, '', unknown)
    try:
        decoded = _adapter(expected_type).validate_python(plain)
    except pydantic.ValidationError as error:
        return Error((*unknown, *_findings(error)))
    if unknown:
        return Error(tuple(unknown))
    return Ok(decoded)


def _findings(
    error: pydantic.ValidationError,
) -> tuple[state.Finding, ...]:
    findings: list[state.Finding] = []
    for entry in error.errors(include_url=False):
        place = ''
        for part in entry['loc']:
            if isinstance(part, int):
                place += f'[{part}]'
                continue
            place += f'.{part}' if place else str(part)
        findings.append(state.Finding(place or '$', f'{entry["msg"]}.'))
    return tuple(findings)


def _find_unknown_fields(
    plain: Any, expected_type: Any, place: str, findings: list[state.Finding]
) -> None:
    if dataclasses.is_dataclass(expected_type) and isinstance(plain, dict):
        fields = {
            field.name: field.type
            for field in dataclasses.fields(expected_type)
        }
        for name, value in plain.items():
            field_place = f'{place}.{name}' if place else str(name)
            if name not in fields:
                findings.append(state.Finding(field_place, 'Unknown field.'))
                continue
            _find_unknown_fields(value, fields[name], field_place, findings)
        return
    arguments = getattr(expected_type, '__args__', ())
    if isinstance(plain, list) and arguments:
        for index, value in enumerate(plain):
            _find_unknown_fields(
                value, arguments[0], f'{place}[{index}]', findings
            )


_adapters: dict[Any, pydantic.TypeAdapter[Any]] = {}


def _adapter(expected_type: Any) -> pydantic.TypeAdapter[Any]:
    adapter = _adapters.get(expected_type)
    if adapter is None:
        adapter = pydantic.TypeAdapter(expected_type)
        _adapters[expected_type] = adapter
    return adapter
