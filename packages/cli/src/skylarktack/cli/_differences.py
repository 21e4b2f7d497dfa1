"""Differences between two configurations, by the names of their entries."""

import dataclasses
import json
from typing import Any

#: Longest text of a value that is printed.
MAX_TEXT_CHARS = 120


@dataclasses.dataclass(frozen=True)
class Difference:
    """One place at which two configurations differ."""

    #: Path with the names of entries, such as ``routes[digest].priority``.
    place: str

    #: JSON of the value before and after; None if there is none.
    before: str | None

    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f'{self.place}: added: {self.after}'
        if self.after is None:
            return f'{self.place}: removed: {self.before}'
        return f'{self.place}: {self.before} -> {self.after}'


def find_differences(
    before: Any, after: Any, place: str = ''
) -> tuple[Difference, ...]:
    """Return all differences between two plain values.

    Entries with names are compared by them, so that their order and
    position do not count.
    """
    if before == after:
        return ()
    if isinstance(before, dict) and isinstance(after, dict):
        return _of_fields(before, after, f'{place}.' if place else '', '')
    named_before = _by_name(before)
    named_after = _by_name(after)
    if named_before is not None and named_after is not None:
        return _of_fields(named_before, named_after, f'{place}[', ']')
    return (Difference(place, _text(before), _text(after)),)


def _of_fields(
    before: dict[str, Any], after: dict[str, Any], prefix: str, suffix: str
) -> tuple[Difference, ...]:
    differences: list[Difference] = []
    for name in sorted(before.keys() | after.keys()):
        place = f'{prefix}{name}{suffix}'
        if name not in before:
            differences.append(Difference(place, None, _text(after[name])))
            continue
        if name not in after:
            differences.append(Difference(place, _text(before[name]), None))
            continue
        differences.extend(find_differences(before[name], after[name], place))
    return tuple(differences)


def _by_name(value: Any) -> dict[str, Any] | None:
    """Return the entries of a list by their names, if those are unique."""
    if not isinstance(value, list):
        return None
    named: dict[str, Any] = {}
    for entry in value:
        name = entry.get('name') if isinstance(entry, dict) else None
        if not isinstance(name, str) or name in named:
            return None
        named[name] = entry
    return named


def _text(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    if len(text) > MAX_TEXT_CHARS:
        return f'{text[:MAX_TEXT_CHARS]}...'
    return text
