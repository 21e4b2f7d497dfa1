"""Output of ``check``: findings, differences and the exit code."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import platform
from skylarktack.cli import _check
from skylarktack.cli import _differences

#: Value of ``--against`` for the revision in effect. A file of this name is
#: given as ``./in-force``.
IN_FORCE = 'in-force'

#: Exit code if there are findings. Differences alone are none.
EXIT_FINDINGS = 1

#: Exit code if one of the configurations is unreadable.
EXIT_UNREADABLE = 2

_SUMMARY = {
    _check.FindingKind.ERROR: 'errors',
    _check.FindingKind.NO_EFFECT: 'entries without effect',
    _check.FindingKind.CONFLICT: 'conflicting limits',
}


@dataclasses.dataclass(frozen=True)
class Report:
    """What ``check`` prints."""

    file: str

    #: None if the file is unreadable.
    checked: _check.CheckedConfiguration | None = None

    #: Name of the other configuration; empty if there is none.
    against: str = ''

    #: None if there is no comparison.
    differences: tuple[_differences.Difference, ...] | None = None

    #: Why something is unreadable; empty if nothing is.
    unreadable: tuple[str, ...] = ()

    @property
    def exit_code(self) -> int:
        """Exit code of the command."""
        if self.unreadable:
            return EXIT_UNREADABLE
        if self.checked is not None and self.checked.findings:
            return EXIT_FINDINGS
        return 0


def report(
    file: str, against: str, read_in_force: Callable[[], Result[str, str]]
) -> Report:
    """Check a file, and compare it with another configuration.

    :param against: path of the other one, ``in-force``, or empty.
    :param read_in_force: returns the document in effect.
    """
    found = read_file(file).bind(_check.check)
    checked = found.ok if found.is_ok() else None
    unreadable: tuple[str, ...] = ()
    if found.is_error():
        unreadable = (f'{file}: {found.error}',)
    if not against:
        return Report(file, checked, unreadable=unreadable)
    text = read_in_force() if against == IN_FORCE else read_file(against)
    other = text.bind(_check.check)
    if other.is_error():
        unreadable += (f'{against}: {other.error}',)
    if checked is None or other.is_error():
        return Report(file, checked, against, unreadable=unreadable)
    return compare(Report(file, checked, against), other.ok)


def compare(single: Report, other: _check.CheckedConfiguration) -> Report:
    """Return the report of a file with its differences from another one."""
    checked = single.checked
    if checked is None:
        return single
    if checked.is_manifest is not other.is_manifest:
        return dataclasses.replace(
            single,
            unreadable=(
                f'{single.against}: is not the same kind of configuration.',
            ),
        )
    if other.plain is None:
        return dataclasses.replace(
            single,
            unreadable=tuple(
                f'{single.against}: {finding.place}: {finding.message}'
                for _, finding in other.findings
            ),
        )
    if checked.plain is None:
        # The findings say why; there is nothing to compare.
        return single
    hider = platform.KeyHider()
    return dataclasses.replace(
        single,
        checked=dataclasses.replace(
            checked,
            findings=(
                *checked.findings,
                *_check.version_finding(checked, other),
            ),
        ),
        differences=_differences.find_differences(
            hider.hide(other.plain), hider.hide(checked.plain)
        ),
    )


def read_file(file: str) -> Result[str, str]:
    """Return the text of a file; the error says why it has none."""
    try:
        return Ok(pathlib.Path(file).read_text(encoding='utf-8'))
    except OSError as error:
        return Error(f'{error.strerror}.')
    except ValueError as error:
        return Error(f'{error}.')


def print_text(printed: Report) -> None:
    """Print a report for people."""
    for message in printed.unreadable:
        print(_printable(message), file=sys.stderr)
    checked = printed.checked
    if checked is None:
        return
    for _, finding in checked.findings:
        text = f'{finding.place}: {finding.message}'
        print(f'{printed.file}: {_printable(text)}')
    for difference in printed.differences or ():
        text = _printable(str(difference))
        print(f'{printed.file}: differs: {text}')
    if printed.differences == ():
        print(f'{printed.file}: no difference from {printed.against}')
    counts = []
    for kind, name in _SUMMARY.items():
        count = sum(kind is found for found, _ in checked.findings)
        if count:
            counts.append(f'{count} {name}')
    if counts:
        print(f'{printed.file}: {", ".join(counts)}')
    if checked.is_accepted:
        print(f'{printed.file}: valid')


def print_json(printed: Report) -> None:
    """Print a report for programs."""
    checked = printed.checked
    findings = () if checked is None else checked.findings
    plain = {
        'file': printed.file,
        'is_accepted': checked is not None and checked.is_accepted,
        'findings': [
            {
                'kind': kind.value,
                'place': finding.place,
                'message': finding.message,
            }
            for kind, finding in findings
        ],
        'unreadable': list(printed.unreadable),
    }
    if printed.differences is not None:
        plain['against'] = printed.against
        plain['differences'] = [
            dataclasses.asdict(difference)
            for difference in printed.differences
        ]
    print(json.dumps(plain, indent=2))


def _printable(text: str) -> str:
    """Return a text in one line; names of fields may hold anything."""
    if text.isprintable():
        return text
    return text.encode('unicode_escape').decode()
