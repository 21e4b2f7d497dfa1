"""Command ``check``: its output and exit codes."""

import json
import pathlib
from typing import Any

from expression import Ok
from expression import Result
import pytest

from skylarktack import cli
from skylarktack.cli import _check_report
from skylarktack.cli import _operator_client
from skylarktack.cli.tests import test_check


def _run(file: str, **named: Any) -> int:
    """Run the command and return its exit code."""
    try:
        cli.Commands().check(file, **named)
    except SystemExit as exited:
        assert isinstance(exited.code, int)
        return exited.code
    return 0


class TestCommand:
    """Output and exit codes."""

    def _write(self, path: pathlib.Path, name: str, text: str) -> str:
        (path / name).write_text(text)
        return str(path / name)

    def test_document_with_comments_is_valid(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against rejecting a document for its comments."""
        file = self._write(tmp_path, 'a', '{"organisations": [] /* none */}')
        assert _run(file) == 0
        assert capsys.readouterr().out.endswith('valid\n')

    def test_all_findings_are_printed(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against invalid documents that pass, or lost findings."""
        file = self._write(
            tmp_path, 'a', '{"routes": [{"name": 5, "colour": 1}]}'
        )
        assert _run(file) == _check_report.EXIT_FINDINGS
        output = capsys.readouterr().out
        for place in ('routes[0].name', 'routes[0].colour', 'routes[0].kind'):
            assert f'{file}: {place}: ' in output
        assert not output.endswith('valid\n')

    @pytest.mark.parametrize(
        'text', ['{"routes": [', '[]', '5', '', '[' * 100_000]
    )
    def test_unreadable_file(
        self,
        text: str,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against a trace, or a text that counts as checked."""
        file = self._write(tmp_path, 'a', text)
        assert _run(file) == _check_report.EXIT_UNREADABLE
        assert capsys.readouterr().err.startswith(f'{file}: ')
        assert _run(file, json=True) == _check_report.EXIT_UNREADABLE
        assert json.loads(capsys.readouterr().out)['unreadable']

    def test_missing_and_binary_file(self, tmp_path: pathlib.Path) -> None:
        """Guards against a trace."""
        assert _run(str(tmp_path / 'none')) == _check_report.EXIT_UNREADABLE
        (tmp_path / 'a').write_bytes(b'\xff')
        assert _run(str(tmp_path / 'a')) == _check_report.EXIT_UNREADABLE

    def test_differences_alone_are_no_findings(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a check that fails for each intended change."""
        before = self._write(tmp_path, 'a', json.dumps(test_check.DOCUMENT))
        after = self._write(
            tmp_path,
            'b',
            json.dumps(test_check.in_document('organisations.0.priority', 3)),
        )
        assert _run(after, against=before, json=True) == 0
        printed = json.loads(capsys.readouterr().out)
        assert printed['findings'] == []
        assert printed['differences'] == [
            {
                'place': 'organisations[shops].priority',
                'before': '10',
                'after': '3',
            }
        ]

    def test_version_of_a_manifest(self, tmp_path: pathlib.Path) -> None:
        """Guards against a changed manifest that instances ignore."""
        before = self._write(tmp_path, 'a', json.dumps(test_check.manifest()))
        changed = test_check.in_manifest('routes.0.priority', 2)
        after = self._write(tmp_path, 'b', json.dumps(changed))
        assert _run(after, against=before) == _check_report.EXIT_FINDINGS
        changed['version'] += 1
        after = self._write(tmp_path, 'b', json.dumps(changed))
        assert _run(after, against=before) == 0

    def test_against_another_kind(self, tmp_path: pathlib.Path) -> None:
        """Guards against a comparison of a document with a manifest."""
        before = self._write(tmp_path, 'a', json.dumps(test_check.manifest()))
        after = self._write(tmp_path, 'b', json.dumps(test_check.DOCUMENT))
        assert _run(after, against=before) == _check_report.EXIT_UNREADABLE

    def test_findings_stay_if_the_other_is_unreadable(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against findings that are lost with the comparison."""
        plain, _ = test_check.CASES['unused version']
        file = self._write(tmp_path, 'a', json.dumps(plain))
        none = str(tmp_path / 'none')
        assert _run(file, against=none) == _check_report.EXIT_UNREADABLE
        assert 'versions[2]' in capsys.readouterr().out

    def test_against_the_revision_in_effect(
        self,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a comparison with something else."""

        def call(
            client: object, method: str, path: str
        ) -> Result[Any, _operator_client.OperatorFault]:
            assert (method, path) == ('GET', '/operator/configuration')
            return Ok({'revision': 7, 'document': test_check.DOCUMENT})

        monkeypatch.setattr(_operator_client.OperatorClient, 'call', call)
        file = self._write(tmp_path, 'a', json.dumps(test_check.DOCUMENT))
        assert _run(file, against='in-force') == 0
        assert 'no difference from in-force' in capsys.readouterr().out

    def test_no_instance_to_ask(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a check that passes without its comparison."""
        monkeypatch.delenv(_operator_client.ADDRESS_VARIABLE, raising=False)
        file = self._write(tmp_path, 'a', json.dumps(test_check.DOCUMENT))
        code = _run(file, against='in-force')
        assert code == _check_report.EXIT_UNREADABLE
