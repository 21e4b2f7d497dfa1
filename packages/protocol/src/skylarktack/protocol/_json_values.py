"""Decoding of JSON in which single values may be unreadable.

Other programs write to the same store. A value that is nested too deeply or
is out of range must not make the rest of a document unreadable, so it is
replaced by an ``Unreadable`` marker, which no reader accepts as a value.
"""

import dataclasses
import json
import math
import re

#: Nesting depth from which a value is unreadable. Messages nest to a depth of
#: about six; the parser of the standard library fails at about a thousand.
MAX_DEPTH_COUNT = 64

#: Integers with more digits are unreadable: they exceed 64 bits, and Python
#: refuses to convert a few thousand digits.
MAX_DIGITS_COUNT = 18

#: Strings and brackets; all other characters do not affect the depth.
_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """Marks a place in a decoded document whose value cannot be used."""

    #: Why the value cannot be used.
    cause: str


def decode_json(content: bytes | str) -> object:
    """Decode a JSON document.

    Numbers out of range, ``NaN`` and ``Infinity`` become ``Unreadable``, as
    do values that are nested too deeply for the parser. Bytes that are not
    UTF-8 become replacement characters.

    :raises ValueError: if the document is not JSON.
    """
    text = content
    if isinstance(text, bytes):
        text = text.decode('utf-8', errors='replace')
    try:
        return _parse(text)
    except RecursionError:
        return _parse(_without_deep_values(text))


def unreadable_cause(decoded: object) -> str | None:
    """Return why some part of a decoded value is unreadable, or None.

    Values nested more deeply than ``MAX_DEPTH_COUNT`` count as unreadable.
    """
    pending: list[tuple[object, int]] = [(decoded, 0)]
    while pending:
        value, depth = pending.pop()
        if isinstance(value, Unreadable):
            return value.cause
        if not isinstance(value, dict | list):
            continue
        if depth >= MAX_DEPTH_COUNT:
            return 'is nested too deeply'
        nested = value.values() if isinstance(value, dict) else value
        for item in nested:
            pending.append((item, depth + 1))
    return None


def _parse(text: str) -> object:
    return json.loads(
        text,
        parse_int=_parse_integer,
        parse_float=_parse_float,
        parse_constant=_unreadable_number,
    )


def _parse_integer(text: str) -> int | Unreadable:
    if len(text.lstrip('-')) > MAX_DIGITS_COUNT:
        return _unreadable_number(text)
    return int(text)


def _parse_float(text: str) -> float | Unreadable:
    value = float(text)
    return value if math.isfinite(value) else _unreadable_number(text)


def _unreadable_number(text: str) -> Unreadable:
    return Unreadable('has a number out of range')


def _without_deep_values(text: str) -> str:
    """Replace values nested below the maximum depth by ``NaN``.

    The result decodes to the same document with ``Unreadable`` markers.
    """
    kept = []
    depth = 0
    kept_until = 0
    for token in _STRING_OR_BRACKET.finditer(text):
        character = token.group()
        if character in '[{':
            depth += 1
            if depth == MAX_DEPTH_COUNT + 1:
                kept.append(text[kept_until : token.start()])
                kept.append('NaN')
        elif character in ']}':
            depth -= 1
            if depth == MAX_DEPTH_COUNT:
                kept_until = token.end()
    if depth <= MAX_DEPTH_COUNT:
        kept.append(text[kept_until:])
    return ''.join(kept)
