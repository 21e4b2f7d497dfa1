"""Signals at any moment of an instance's main loop."""

import json
import pathlib
import subprocess
import sys

import pytest

SCRIPT = pathlib.Path(__file__).with_name('signalled_main.py')

#: Lines of the main loop at which the last signal arrives.
LINE_COUNT = 60

PATIENCE_S = 300.0


class TestMainLoop:
    """The main loop acts on a signal wherever it is interrupted."""

    @pytest.mark.parametrize(
        'names', ['SIGTERM', 'SIGINT', 'SIGHUP SIGTERM', 'SIGTERM SIGHUP']
    )
    def test_signal_at_any_line_stops_the_instance(self, names: str) -> None:
        """Guards against an instance that is killed with requests open."""
        command = [sys.executable, str(SCRIPT), str(LINE_COUNT)]
        output = subprocess.run(
            [*command, *names.split()],
            stdout=subprocess.PIPE,
            timeout=PATIENCE_S,
            check=True,
        ).stdout
        assert json.loads(output) == []
