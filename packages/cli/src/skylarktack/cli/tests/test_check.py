"""Command ``check``, which validates a configuration document."""

import pathlib

import pytest

from skylarktack import cli


class TestCheck:
    """Guards against wrong results of the document check."""

    def test_document_with_comments_is_valid(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against rejecting a document for its comments."""
        path = tmp_path / 'document.json'
        path.write_text('{"organisations": [] /* none */}')
        cli.Commands().check(str(path))
        assert capsys.readouterr().out.endswith('valid\n')

    def test_all_findings_are_printed(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against invalid documents that pass, or lost findings.

        The exit code is 2.
        """
        path = tmp_path / 'document.json'
        path.write_text('{"routes": [{"name": 5, "colour": 1}]}')
        with pytest.raises(SystemExit) as exited:
            cli.Commands().check(str(path))
        assert exited.value.code == cli.EXIT_INVALID
        output = capsys.readouterr().out
        for place in ('routes[0].name', 'routes[0].colour', 'routes[0].kind'):
            assert place in output
