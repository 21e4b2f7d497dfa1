"""Rejection of invalid settings at start-up."""

import pathlib
import subprocess
import sys

import pytest

from skylarktack import daemon


class TestSettings:
    """Guards against an instance that starts with invalid settings."""

    def test_invalid_settings_exit_with_findings(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Each finding is printed with its place; the exit code is 2."""
        path = tmp_path / 'settings.json'
        path.write_text(
            '{"name": "one", "unknown": 1, "peer": {"listen": {"port": "x"}}}'
        )
        # Runs in a process of its own, because the daemon configures the logs
        # of the whole process.
        completed = subprocess.run(
            [sys.executable, '-m', 'skylarktack.daemon', f'--settings={path}'],
            capture_output=True,
            text=True,
        )
        assert completed.returncode == daemon.EXIT_INVALID_SETTINGS
        output = completed.stderr
        for place in ('unknown', 'peer.listen.host', 'peer.listen.port'):
            assert place in output

    @pytest.mark.parametrize('content', [b'// \xff\n{}', None])
    def test_unreadable_settings_exit_with_a_finding(
        self, content: bytes | None, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a traceback for a file that cannot be read."""
        path = tmp_path / 'settings.json'
        if content is not None:
            path.write_bytes(content)
        completed = subprocess.run(
            [sys.executable, '-m', 'skylarktack.daemon', f'--settings={path}'],
            capture_output=True,
            text=True,
        )
        assert completed.returncode == daemon.EXIT_INVALID_SETTINGS
        assert str(path) in completed.stderr
        assert 'Traceback' not in completed.stderr
