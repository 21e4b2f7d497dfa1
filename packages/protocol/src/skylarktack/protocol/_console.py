"""Operators' console: HTML forms that edit a configuration document.

The pages use no scripts. The draft is part of the form, so that any instance
can handle the next request and none keeps state between requests.
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

#: Type of the entries by section of the document.
SECTIONS: dict[str, type] = {
    'organisations': state.Organisation,
    'routes': state.Route,
    'versions': state.Version,
    'moves': state.Move,
}

#: Maximum number of entries of a section that one page lists.
LISTED_COUNT = 100

_TEMPLATES = jinja2.Environment(
    loader=jinja2.PackageLoader('skylarktack.protocol', 'templates'),
    autoescape=True,
    trim_blocks=True,
    lstrip_blocks=True,
)


@dataclasses.dataclass(frozen=True)
class ConsoleField:
    """One input element of a form."""

    #: Path of the field in the entry, such as ``limits.rate_per_s``.
    name: str

    #: Kind of input: ``text``, ``lines``, ``check`` or ``select``.
    kind: str

    #: Current value as text.
    value: str

    #: Choices of a ``select``.
    options: tuple[str, ...] = ()

    #: Findings about the value.
    messages: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ConsolePage:
    """Data that one page of the console is rendered from."""

    #: Draft document as JSON.
    draft: str

    #: Revision that the draft started from.
    base_revision: int

    #: Identifier of the change, which makes a resubmission harmless.
    change_id: str

    #: CSRF token; pages of other sites cannot know it.
    form_code: str

    #: Section of the edited entry; empty if none is edited.
    section: str = ''

    #: Index of the edited entry in its section.
    index: int = 0

    #: Only entries whose name contains this text are listed.
    search: str = ''

    #: Validation findings about the draft.
    findings: tuple[state.Finding, ...] = ()

    #: Lines of the diff against the document in effect.
    difference: tuple[str, ...] = ()

    #: One line about the outcome of the last action.
    notice: str = ''

    #: Diff between the base and a concurrent change that was accepted first.
    conflict: tuple[str, ...] = ()


def render_console(page: ConsolePage) -> str:
    """Return a page as HTML."""
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
        fields = _form_fields(page, entries[page.index])
    return _TEMPLATES.get_template('console.html').render(
        page=page, listed=listed, fields=fields
    )


def new_entry(section: str) -> dict[str, Any]:
    """Return a new entry as plain JSON values.

    Fields without a default are empty strings; those with a default factory
    are left out.
    """
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
    """Return the submitted entry as plain JSON values.

    :param form: values by input name; those of the entry start with
        ``field.``.
    """
    return _read_dataclass(SECTIONS[section], form, 'field.')


def document_difference(
    before: str, after: str, before_name: str, after_name: str
) -> tuple[str, ...]:
    """Return the lines of a unified diff of two JSON documents."""
    return tuple(
        difflib.unified_diff(
            _sorted_lines(before),
            _sorted_lines(after),
            before_name,
            after_name,
            lineterm='',
        )
    )


def _sorted_lines(text: str) -> list[str]:
    return json.dumps(json.loads(text), indent=2, sort_keys=True).split('\n')


def _plain_default(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value


def _read_dataclass(
    kind: type, form: dict[str, str], prefix: str
) -> dict[str, Any]:
    entry: dict[str, Any] = {}
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        name = f'{prefix}{field.name}'
        if dataclasses.is_dataclass(hint) and isinstance(hint, type):
            entry[field.name] = _read_dataclass(hint, form, f'{name}.')
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
            # The validation of the document reports the invalid text.
            return text
    return text


def _alternatives(hint: Any) -> tuple[Any, ...]:
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        return typing.get_args(hint)
    return (hint,)


def _form_fields(
    page: ConsolePage, entry: dict[str, Any]
) -> tuple[ConsoleField, ...]:
    found: list[ConsoleField] = []
    path_prefix = f'{page.section}[{page.index}].'
    _collect_fields(
        SECTIONS[page.section], entry, '', path_prefix, page.findings, found
    )
    return tuple(found)


def _collect_fields(
    kind: type,
    entry: dict[str, Any],
    prefix: str,
    path_prefix: str,
    findings: tuple[state.Finding, ...],
    found: list[ConsoleField],
) -> None:
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        name = f'{prefix}{field.name}'
        value = entry.get(field.name)
        if dataclasses.is_dataclass(hint) and isinstance(hint, type):
            _collect_fields(
                hint, value or {}, f'{name}.', path_prefix, findings, found
            )
            continue
        messages: list[str] = []
        for finding in findings:
            path = finding.place.removeprefix(path_prefix)
            if finding.place.startswith(path_prefix) and (
                path == name or path.startswith((f'{name}[', f'{name}.'))
            ):
                messages.append(finding.message)
        found.append(_form_field(name, hint, value, tuple(messages)))


def _form_field(
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
