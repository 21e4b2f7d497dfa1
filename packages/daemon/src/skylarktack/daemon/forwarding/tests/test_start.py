"""The process of an instance that cannot start."""

import os
import pathlib
import subprocess
import sys

import pytest

from skylarktack import platform
from skylarktack.daemon import _start
from skylarktack.daemon.forwarding.tests import signalled_main

SCRIPT = pathlib.Path(__file__).with_name('failing_start.py')

PATIENCE_S = 30.0


class TestNoThreads:
    """The system has no more threads while an instance starts."""

    @pytest.mark.parametrize('thread_count', range(6))
    def test_process_ends(
        self, thread_count: int, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a process that takes connections for nobody."""
        path = tmp_path / 'settings'
        path.write_text(signalled_main.SETTINGS)
        completed = subprocess.run(
            [sys.executable, str(SCRIPT), str(thread_count)],
            env={**os.environ, platform.PATH_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
        )
        assert completed.returncode == _start.EXIT_NOT_STARTED
        assert "can't start new thread" in completed.stderr
