"""Settings that an instance rejects at its start."""

import pathlib

import pytest

from skylarktack import daemon


class TestSettings:
    """Guards against an instance that starts with bad settings."""

    def test_findings(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """All findings are printed with their place; the exit code is 2."""
        path = tmp_path / 'settings.json'
        path.write_text(
            '{"name": "one", "unknown": 1, "peer": {"listen": {"port": "x"}}}'
        )
        with pytest.raises(SystemExit) as ended:
            daemon.run(str(path))
        assert ended.value.code == daemon.EXIT_INVALID_SETTINGS
        shown = capsys.readouterr().err
        for place in ('unknown', 'peer.listen.host', 'peer.listen.port'):
            assert place in shown
