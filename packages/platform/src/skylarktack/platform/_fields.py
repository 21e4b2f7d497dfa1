"""Typed reading of decoded fields that collects errors as findings."""

from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import TypeGuard

from skylarktack import protocol
from skylarktack import state

#: Largest number that is accepted; JSON does not keep larger ones exactly.
MAX_NUMBER = 2**53

#: Longest string that is accepted. Names and addresses are far shorter.
MAX_TEXT_CHARS = 4096


class MalformedError(Exception):
    """A document is malformed; ``findings`` holds each path and error."""

    def __init__(self, findings: tuple[state.Finding, ...]) -> None:
        super().__init__('; '.join(str(finding) for finding in findings))
        self.findings = findings


@dataclasses.dataclass
class FieldReader:
    """Reads the fields of one decoded object.

    A field of the wrong type adds a finding and returns an empty value, so
    that one pass over a document reports all of its errors.
    """

    #: Path of the object within the document, used in findings.
    place: str

    #: Decoded values by field name.
    fields: Mapping[str, Any]

    #: Errors found so far; shared with the readers of nested objects.
    findings: list[state.Finding] = dataclasses.field(default_factory=list)

    @classmethod
    def from_document(
        cls, place: str, decoded: object, findings: list[state.Finding]
    ) -> 'FieldReader':
        """Return a reader of a whole document that another program wrote.

        A document with an unreadable value anywhere adds a finding and is
        read as an empty object.
        """
        cause = protocol.unreadable_cause(decoded)
        if cause is None:
            return cls.from_decoded(place, decoded, findings)
        findings.append(state.Finding(place, cause))
        return cls(place, {}, findings)

    @classmethod
    def from_decoded(
        cls, place: str, decoded: object, findings: list[state.Finding]
    ) -> 'FieldReader':
        """Return a reader of a value that should be an object.

        Any other value adds a finding and is read as an empty object.
        """
        if isinstance(decoded, dict):
            return cls(place, decoded, findings)
        findings.append(state.Finding(place, 'is not an object'))
        return cls(place, {}, findings)

    def nested(self, name: str) -> 'FieldReader':
        """Return a reader of the object in a field of this one."""
        return FieldReader.from_decoded(
            f'{self.place}.{name}', self.fields.get(name), self.findings
        )

    def nested_list(self, name: str) -> list['FieldReader']:
        """Return readers of a list of objects; a missing list is empty."""
        value = self.fields.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            self._add_finding(name, 'is not a list')
            return []
        readers = []
        for index, item in enumerate(value):
            readers.append(
                FieldReader.from_decoded(
                    f'{self.place}.{name}[{index}]', item, self.findings
                )
            )
        return readers

    def text(self, name: str) -> str:
        """Return a required, non-empty string of printable characters."""
        value = self.fields.get(name)
        if isinstance(value, str) and is_clean_text(value):
            return value
        self._add_finding(name, 'is missing or not a printable string')
        return ''

    def optional_text(self, name: str) -> str | None:
        """Return a string, or None if the field is missing or null."""
        if self.fields.get(name) is None:
            return None
        return self.text(name)

    def number(self, name: str) -> float:
        """Return a required number, which is finite and not negative."""
        value = self.fields.get(name)
        if is_number(value):
            return float(value)
        self._add_finding(name, 'is missing or not a number in range')
        return 0.0

    def optional_number(self, name: str) -> float | None:
        """Return a number, or None if the field is missing or null."""
        if self.fields.get(name) is None:
            return None
        return self.number(name)

    def integer(self, name: str) -> int:
        """Return a required integer, which is not negative.

        A float with an integer value counts.
        """
        value = self.fields.get(name)
        if is_number(value) and value == int(value):
            return int(value)
        self._add_finding(name, 'is missing or not an integer in range')
        return 0

    def optional_integer(self, name: str) -> int | None:
        """Return an integer, or None if the field is missing or null."""
        if self.fields.get(name) is None:
            return None
        return self.integer(name)

    def flag(self, name: str) -> bool:
        """Return a boolean; a missing one is false."""
        value = self.fields.get(name)
        if value is None or isinstance(value, bool):
            return bool(value)
        self._add_finding(name, 'is not a boolean')
        return False

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; a missing list is empty."""
        value = self.fields.get(name)
        if value is None:
            return ()
        if not isinstance(value, list):
            self._add_finding(name, 'is not a list')
            return ()
        texts = []
        for item in value:
            if isinstance(item, str) and is_clean_text(item):
                texts.append(item)
                continue
            self._add_finding(name, 'has an item that is no printable string')
        return tuple(texts)

    def add_finding(self, name: str, message: str) -> None:
        """Record an error of a field that the caller found."""
        self._add_finding(name, message)

    def raise_on_findings(self) -> None:
        """Raise if there are findings.

        :raises MalformedError: with all findings.
        """
        if self.findings:
            raise MalformedError(tuple(self.findings))

    def _add_finding(self, name: str, message: str) -> None:
        self.findings.append(state.Finding(f'{self.place}.{name}', message))


def is_number(value: Any) -> TypeGuard[int | float]:
    """Return whether a decoded value is a number in the accepted range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    # The comparison is false for NaN.
    return 0 <= value <= MAX_NUMBER


def is_clean_text(value: str) -> bool:
    """Return whether a string is non-empty, printable and of a sane length.

    Line breaks would start a new header field, and lone surrogates cannot be
    encoded.
    """
    return 0 < len(value) <= MAX_TEXT_CHARS and value.isprintable()
