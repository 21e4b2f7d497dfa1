"""The operators' console: forms that edit one document, without scripts.

The draft travels in the form itself, so that any instance can answer the
next request and nothing is kept between two of them.
"""

import dataclasses
import difflib
import enum
import json
import types
import typing
from typing import Any

import jinja2

from skylarktack import state

#: Sections of a document, with the type of their entries.
SECTIONS: dict[str, type] = {
    'organisations': state.Organisation,
    'routes': state.Route,
    'versions': state.Version,
    'moves': state.Move,
}

#: Most entries of a section that are listed at once.
LISTED_COUNT = 100

_TEMPLATES = jinja2.Environment(
    loader=jinja2.PackageLoader('skylarktack.protocol', 'templates'),
    autoescape=True,
    trim_blocks=True,
    lstrip_blocks=True,
)


@dataclasses.dataclass(frozen=True)
class ConsoleField:
    """One input of a form."""

    #: Name in the form, such as ``limits.rate_per_s``.
    name: str

    #: Kind of input: ``text``, ``lines``, ``check`` or ``select``.
    kind: str

    #: Present value as text.
    value: str

    #: Values to choose from.
    options: tuple[str, ...] = ()

    #: What is wrong with the value.
    messages: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ConsolePage:
    """Everything that one page of the console shows."""

    #: Draft document as JSON.
    draft: str

    #: Revision that the draft started from.
    base_revision: int

    #: Identifier of the change.
    change_id: str

    #: Code that ties the form to this deployment's operators.
    form_code: str

    #: Section of the edited entry, or empty.
    section: str = ''

    #: Index of the edited entry.
    index: int = 0

    #: Text that listed names must contain.
    search: str = ''

    #: All findings of the draft.
    findings: tuple[state.Finding, ...] = ()

    #: Lines of the difference to the document in effect.
    difference: tuple[str, ...] = ()

    #: One line about what has just happened.
    notice: str = ''

    #: Difference between the base and a racing change, if one came first.
    conflict: tuple[str, ...] = ()


def render_console(page: ConsolePage) -> str:
    """Return the HTML of one page."""
    plain = json.loads(page.draft)
    listed: dict[str, list[tuple[int, str]]] = {}
    for section in SECTIONS:
        listed[section] = []
        for index, entry in enumerate(plain.get(section, [])):
            name = str(entry.get('name', ''))
            if page.search and page.search not in name:
                continue
            if len(listed[section]) < LISTED_COUNT:
                listed[section].append((index, name))
    fields: tuple[ConsoleField, ...] = ()
    entries = plain.get(page.section, [])
    if page.section in SECTIONS and 0 <= page.index < len(entries):
        fields = _fields(page, entries[page.index])
    return _TEMPLATES.get_template('console.html').render(
        page=page, listed=listed, fields=fields
    )


def new_entry(section: str) -> dict[str, Any]:
    """Return the plain JSON of an entry with defaults only."""
    entry: dict[str, Any] = {}
    for field in dataclasses.fields(SECTIONS[section]):
        if field.default is not dataclasses.MISSING:
            entry[field.name] = _plain_default(field.default)
            continue
        if field.default_factory is not dataclasses.MISSING:
            continue
        entry[field.name] = ''
    return entry


def read_entry(section: str, form: dict[str, str]) -> dict[str, Any]:
    """Return the plain JSON of the entry that a form holds."""
    return _read(SECTIONS[section], form, 'field.')


def document_difference(
    before: str, after: str, before_name: str, after_name: str
) -> tuple[str, ...]:
    """Return the lines of a unified difference of two JSON documents."""
    return tuple(
        difflib.unified_diff(
            _sorted(before),
            _sorted(after),
            before_name,
            after_name,
            lineterm='',
        )
    )


def _sorted(text: str) -> list[str]:
    return json.dumps(json.loads(text), indent=2, sort_keys=True).split('\n')


def _plain_default(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value


def _read(kind: type, form: dict[str, str], prefix: str) -> dict[str, Any]:
    entry: dict[str, Any] = {}
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        name = f'{prefix}{field.name}'
        if dataclasses.is_dataclass(hint) and isinstance(hint, type):
            entry[field.name] = _read(hint, form, f'{name}.')
            continue
        entry[field.name] = _read_value(hint, form.get(name, '').strip())
    return entry


def _read_value(hint: Any, text: str) -> Any:
    if hint is bool:
        return text == 'on'
    if typing.get_origin(hint) is tuple:
        return [line.strip() for line in text.splitlines() if line.strip()]
    kinds = _alternatives(hint)
    if type(None) in kinds and not text:
        return None
    for number in (int, float):
        if number not in kinds:
            continue
        try:
            return number(text)
        except ValueError:
            # The validation of the whole document reports the text.
            return text
    return text


def _alternatives(hint: Any) -> tuple[Any, ...]:
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        return typing.get_args(hint)
    return (hint,)


def _fields(
    page: ConsolePage, entry: dict[str, Any]
) -> tuple[ConsoleField, ...]:
    found: list[ConsoleField] = []
    place = f'{page.section}[{page.index}].'
    _collect(SECTIONS[page.section], entry, '', place, page.findings, found)
    return tuple(found)


def _collect(
    kind: type,
    entry: dict[str, Any],
    prefix: str,
    place: str,
    findings: tuple[state.Finding, ...],
    found: list[ConsoleField],
) -> None:
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        name = f'{prefix}{field.name}'
        value = entry.get(field.name)
        if dataclasses.is_dataclass(hint) and isinstance(hint, type):
            _collect(hint, value or {}, f'{name}.', place, findings, found)
            continue
        messages: list[str] = []
        for finding in findings:
            at = finding.place.removeprefix(place)
            if finding.place.startswith(place) and (
                at == name or at.startswith((f'{name}[', f'{name}.'))
            ):
                messages.append(finding.message)
        found.append(_field(name, hint, value, tuple(messages)))


def _field(
    name: str, hint: Any, value: Any, messages: tuple[str, ...]
) -> ConsoleField:
    if hint is bool:
        return ConsoleField(name, 'check', 'on' if value else '', (), messages)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        options = tuple(str(option.value) for option in hint)
        return ConsoleField(name, 'select', str(value), options, messages)
    if typing.get_origin(hint) is tuple:
        lines = '\n'.join(str(item) for item in value or ())
        return ConsoleField(name, 'lines', lines, (), messages)
    text = '' if value is None else str(value)
    return ConsoleField(name, 'text', text, (), messages)
