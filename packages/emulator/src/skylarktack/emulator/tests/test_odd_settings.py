"""Settings files that cannot be read, while an instance serves callers."""

from collections.abc import Callable
from concurrent import futures
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from skylarktack import daemon
from skylarktack.emulator import platform
from skylarktack.platform import PATH_VARIABLE

#: Time of the call that is in progress during the stop.
WORK_S = 1.5

#: Longest wait for an instance to act on a signal.
REACTION_S = 5.0

#: Longest wait for a process that cannot start to end.
START_S = 30.0

#: Size of a line, of a file and of a number that are too long.
LINE_CHARS = 500_000
FILE_BYTES = 64 * 1024 * 1024
DIGIT_COUNT = 10_000

#: Number of components of a name that is too deep.
DEPTH_COUNT = 100_000


def _append(path: pathlib.Path, content: bytes) -> None:
    path.write_bytes(path.read_bytes() + content)


def _replace_with_folder(path: pathlib.Path) -> None:
    path.unlink()
    path.mkdir()


def _replace_with_pipe(path: pathlib.Path) -> None:
    path.unlink()
    os.mkfifo(path)


def _replace_with_loop(path: pathlib.Path) -> None:
    path.unlink()
    path.symlink_to(path)


def _fill(path: pathlib.Path) -> None:
    with path.open('ab') as file:
        file.truncate(FILE_BYTES)


CHANGES: dict[str, Callable[[pathlib.Path], object]] = {
    'comment not UTF-8': lambda path: _append(path, b'# \xff\n'),
    'value not UTF-8': lambda path: _append(path, b'node_name=\xc3\x28\n'),
    'UTF-16': lambda path: path.write_bytes('node_name=a\n'.encode('utf-16')),
    'NUL bytes': lambda path: _append(path, b'ip_address=\0\0\n'),
    'long line': lambda path: _append(path, b'x' * LINE_CHARS),
    'long value': lambda path: _append(
        path, b'node_name=' + b'x' * LINE_CHARS
    ),
    'long number': lambda path: _append(
        path, b'bounds.grace_period_s=' + b'9' * DIGIT_COUNT
    ),
    'endless number': lambda path: _append(path, b'bounds.grace_period_s=inf'),
    'no number': lambda path: _append(path, b'limits.file_descriptors=nan'),
    'deep name': lambda path: _append(path, b'a.' * DEPTH_COUNT + b'=1\n'),
    'huge file': _fill,
    'empty': lambda path: path.write_bytes(b''),
    'folder': _replace_with_folder,
    'pipe': _replace_with_pipe,
    'loop of links': _replace_with_loop,
    'unreadable': lambda path: path.chmod(0),
    'removed': lambda path: path.unlink(),
}


def _wait_for_reload(instance: platform.PlatformInstance) -> None:
    """Wait until the instance has acted on SIGHUP; the test goes on anyway."""
    end_s = time.monotonic() + REACTION_S
    while time.monotonic() < end_s:
        for line in list(instance.lines):
            if line['event'] == 'settings reloaded':
                return
        time.sleep(0.02)


class TestOddSettings:
    """SIGHUP with a settings file that cannot be read, then SIGTERM."""

    @pytest.mark.parametrize('change', CHANGES)
    def test_later_stop_answers_its_calls(self, change: str) -> None:
        """Guards against a main thread that ends and cuts calls at a kill."""
        with (
            platform.PlatformDeployment(instance_count=1) as deployment,
            futures.ThreadPoolExecutor(1) as tasks,
        ):
            instance = deployment.instances[0]
            for service in deployment.services:
                service.behaviour.work_s = WORK_S
            CHANGES[change](pathlib.Path(instance.settings_path))
            instance.signal(signal.SIGHUP)
            _wait_for_reload(instance)
            attempt = platform.Attempt('book', platform.new_attempt_id())
            call = tasks.submit(platform.call, instance.address, attempt)
            end_s = time.monotonic() + REACTION_S
            while not deployment.runs() and time.monotonic() < end_s:
                time.sleep(0.01)
            assert deployment.runs()
            instance.signal(signal.SIGTERM)
            answer = call.result(REACTION_S + WORK_S)
            instance.wait_for_line('instance', 'stopping')
            instance.wait_ended()
            assert answer.status == 200
            assert instance.process is not None
            assert instance.process.returncode == 0


class TestOddSettingsAtStart:
    """A start with a settings file that cannot be read."""

    @pytest.mark.parametrize('change', CHANGES)
    def test_start_fails_with_findings(
        self, change: str, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a traceback or a start that never ends."""
        path = tmp_path / 'node.conf'
        path.write_bytes(b'# settings\n')
        CHANGES[change](path)
        completed = subprocess.run(
            [sys.executable, '-m', platform.INSTANCE_MODULE],
            env={**os.environ, PATH_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=START_S,
        )
        assert completed.returncode == daemon.EXIT_INVALID_SETTINGS
        assert str(path) in completed.stderr
        assert 'Traceback' not in completed.stderr
