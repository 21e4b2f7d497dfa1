"""The command that checks a document."""

import pathlib

import pytest

from skylarktack import cli


class TestCheck:
    """Guards against documents that pass the check by mistake."""

    def test_valid(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A document with comments is valid."""
        path = tmp_path / 'document.json'
        path.write_text('{"organisations": [] /* none */}')
        cli.Commands().check(str(path))
        assert capsys.readouterr().out.endswith('valid\n')

    def test_findings(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """All findings are printed with their place; the exit code is 2."""
        path = tmp_path / 'document.json'
        path.write_text('{"routes": [{"name": 5, "colour": 1}]}')
        with pytest.raises(SystemExit) as ended:
            cli.Commands().check(str(path))
        assert ended.value.code == cli.EXIT_INVALID
        shown = capsys.readouterr().out
        for place in ('routes[0].name', 'routes[0].colour', 'routes[0].kind'):
            assert place in shown
