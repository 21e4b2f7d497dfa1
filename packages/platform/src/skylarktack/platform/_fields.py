"""Checked reading of fields; what is wrong becomes findings."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from skylarktack import state


class MalformedError(Exception):
    """An entry cannot be read; ``findings`` tells where and why."""

    def __init__(self, findings: tuple[state.Finding, ...]) -> None:
        super().__init__('; '.join(str(finding) for finding in findings))
        self.findings = findings


@dataclasses.dataclass
class FieldReader:
    """Reads the fields of one table and collects findings."""

    #: Place of the table, for findings.
    place: str

    #: The table as it was decoded.
    table: Mapping[str, Any]

    #: What was wrong so far; shared with the readers of parts.
    findings: list[state.Finding] = dataclasses.field(default_factory=list)

    @classmethod
    def of(
        cls, place: str, decoded: object, findings: list[state.Finding]
    ) -> 'FieldReader':
        """Return a reader of a value that should be a table."""
        if isinstance(decoded, dict):
            return cls(place, decoded, findings)
        findings.append(state.Finding(place, 'is not a table'))
        return cls(place, {}, findings)

    def part(self, name: str) -> 'FieldReader':
        """Return a reader of a table that is a field of this one."""
        return FieldReader.of(
            f'{self.place}.{name}', self.table.get(name), self.findings
        )

    def parts(self, name: str) -> list['FieldReader']:
        """Return readers of a list of tables; a missing list is empty."""
        value = self.table.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            self._report(name, 'is not a list')
            return []
        readers = []
        for index, item in enumerate(value):
            readers.append(
                FieldReader.of(
                    f'{self.place}.{name}[{index}]', item, self.findings
                )
            )
        return readers

    def text(self, name: str) -> str:
        """Return a text that has to be there."""
        value = self.table.get(name)
        if isinstance(value, str) and value:
            return value
        self._report(name, 'is missing or is not a text')
        return ''

    def optional_text(self, name: str) -> str | None:
        """Return a text, or None if there is none."""
        if self.table.get(name) is None:
            return None
        return self.text(name)

    def number(self, name: str) -> float:
        """Return a number that has to be there."""
        value = self.table.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            return float(value)
        self._report(name, 'is missing or is not a number')
        return 0.0

    def optional_number(self, name: str) -> float | None:
        """Return a number, or None if there is none."""
        if self.table.get(name) is None:
            return None
        return self.number(name)

    def whole(self, name: str) -> int:
        """Return a whole number that has to be there."""
        value = self.table.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            if value == int(value):
                return int(value)
        self._report(name, 'is missing or is not a whole number')
        return 0

    def optional_whole(self, name: str) -> int | None:
        """Return a whole number, or None if there is none."""
        if self.table.get(name) is None:
            return None
        return self.whole(name)

    def flag(self, name: str) -> bool:
        """Return a flag; a missing one is false."""
        value = self.table.get(name)
        if value is None or isinstance(value, bool):
            return bool(value)
        self._report(name, 'is not true or false')
        return False

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; a missing list is empty."""
        value = self.table.get(name)
        if value is None:
            return ()
        if not isinstance(value, list):
            self._report(name, 'is not a list')
            return ()
        texts = []
        for item in value:
            if isinstance(item, str):
                texts.append(item)
                continue
            self._report(name, 'holds something that is not a text')
        return tuple(texts)

    def reject(self, name: str, message: str) -> None:
        """Add a finding about a field."""
        self._report(name, message)

    def check(self) -> None:
        """Raise if anything was wrong.

        :raises MalformedError: with all findings.
        """
        if self.findings:
            raise MalformedError(tuple(self.findings))

    def _report(self, name: str, message: str) -> None:
        self.findings.append(state.Finding(f'{self.place}.{name}', message))
