"""Signals at any moment of an instance's start and main loop."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from skylarktack import platform
from skylarktack.daemon.forwarding import _main

SCRIPT = pathlib.Path(__file__).with_name('signalled_main.py')

#: Lines of the main loop at which the last signal arrives.
LINE_COUNT = 60

PATIENCE_S = 300.0

#: Starts an instance that receives SIGHUP at each import of the project.
START_PROGRAM = """
import runpy
import signal
import sys
import skylarktack.daemon.forwarding

def raise_signal(event, arguments):
    if event == 'import' and arguments[0].startswith('skylarktack.'):
        signal.raise_signal(signal.SIGHUP)

sys.addaudithook(raise_signal)
runpy.run_module('skylarktack.daemon.forwarding', run_name='__main__')
"""


class TestStart:
    """The process handles signals before it imports the instance."""

    def test_reload_signal_does_not_end_the_start(self) -> None:
        """Guards against an instance that a reload of all settings kills."""
        environment = {**os.environ, platform.PATH_VARIABLE: ''}
        started = subprocess.run(
            [sys.executable, '-c', START_PROGRAM],
            env=environment,
            timeout=PATIENCE_S,
        )
        assert started.returncode == _main.EXIT_INVALID_SETTINGS


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
