"""Fields that an object of a JSON text has more than once.

The decoders keep the last one, so the others have no effect.
"""

from collections.abc import Iterable
import json
from typing import Any

import json5

from skylarktack import state


class _Fields(dict[str, Any]):
    """Fields of an object, and the names that were repeated."""

    repeated: tuple[str, ...] = ()


def find_repeated_fields(text: str) -> tuple[state.Finding, ...]:
    """Return a finding for each repeated field of a readable JSON text."""
    try:
        plain = json.loads(text, object_pairs_hook=_collect)
    except ValueError:
        plain = json5.loads(text, object_pairs_hook=_collect)
    findings: list[state.Finding] = []
    _walk(plain, '', findings)
    return tuple(findings)


def _collect(pairs: Iterable[tuple[str, Any]]) -> _Fields:
    fields = _Fields()
    repeated = []
    for name, value in pairs:
        if name in fields:
            repeated.append(name)
        fields[name] = value
    fields.repeated = tuple(repeated)
    return fields


def _walk(value: Any, place: str, findings: list[state.Finding]) -> None:
    if isinstance(value, list):
        for index, item in enumerate(value):
            _walk(item, f'{place}[{index}]', findings)
    if not isinstance(value, _Fields):
        return
    prefix = f'{place}.' if place else ''
    for name in value.repeated:
        findings.append(
            state.Finding(
                f'{prefix}{name}',
                'The field is repeated; the last one counts.',
            )
        )
    for name, item in value.items():
        _walk(item, f'{prefix}{name}', findings)
