"""Settings that an instance rejects at its start."""

import pathlib
import subprocess
import sys

from skylarktack import daemon


class TestSettings:
    """Guards against an instance that starts with bad settings."""

    def test_findings(self, tmp_path: pathlib.Path) -> None:
        """All findings are printed with their place; the exit code is 2."""
        path = tmp_path / 'settings.json'
        path.write_text(
            '{"name": "one", "unknown": 1, "peer": {"listen": {"port": "x"}}}'
        )
        # A process of its own, since the daemon sets up logs for all of one.
        ended = subprocess.run(
            [sys.executable, '-m', 'skylarktack.daemon', f'--settings={path}'],
            capture_output=True,
            text=True,
        )
        assert ended.returncode == daemon.EXIT_INVALID_SETTINGS
        shown = ended.stderr
        for place in ('unknown', 'peer.listen.host', 'peer.listen.port'):
            assert place in shown
