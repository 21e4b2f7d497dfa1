"""The process of ``skylarktackd`` when one of its steps fails or lasts."""

import json
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from skylarktack import daemon
from skylarktack import state
from skylarktack import transport
from skylarktack.daemon import _start
from skylarktack.daemon.forwarding import _stopping

SCRIPT = pathlib.Path(__file__).with_name('failing_main.py')

PATIENCE_S = 30.0

#: The shortest grace period for the drain time of these tests.
GRACE_MS = 8100

#: Time for the start of a process, also on a busy machine.
START_S = 10.0

#: Time by which a stop without generations has drained them.
STEP_S = 1.0

_ANY_PORT = {'host': '127.0.0.1', 'port': 0}


@pytest.fixture(name='settings')
def _settings(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'settings.json'
    document = {
        'name': 'entry-1',
        'failure_domain': 'domain-0',
        'region': 'region-1',
        'listen': _ANY_PORT,
        'operator_listen': _ANY_PORT,
        'secret': 'secret of the test',
        'operator_token_sha256': '0' * 64,
        'store': {'address': {'host': '127.0.0.1', 'port': 9}},
        'peer': {'listen': _ANY_PORT},
        'generation': {'drain_ms': 100},
        'stop': {'accept_ms': 0, 'grace_ms': GRACE_MS},
    }
    path.write_text(json.dumps(document))
    return path


def _run(
    settings: pathlib.Path, step: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(SCRIPT), str(settings), step],
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
    )


def _status(address: state.Address, path: str) -> int:
    """Return the status of a request on a new connection; 0 if refused."""
    answered = transport.http_call(address, 'GET', path, None, {}, PATIENCE_S)
    return answered.ok.status if answered.is_ok() else 0


class TestStart:
    """A start that fails after some of its tasks have begun."""

    def test_process_ends(self, settings: pathlib.Path) -> None:
        """Guards against a process that takes connections for nobody."""
        completed = _run(settings, 'start of servers')
        assert completed.returncode == _start.EXIT_NOT_STARTED
        assert "can't start new thread" in completed.stderr


class TestStop:
    """A planned stop by SIGTERM, one step of which fails or never ends."""

    def test_process_ends(self, settings: pathlib.Path) -> None:
        """Guards against a process that stays until it is killed."""
        completed = _run(settings, 'stop of moves')
        assert completed.returncode == 0
        assert 'unexpected error' in completed.stderr

    def test_process_ends_within_its_grace_period(
        self, settings: pathlib.Path
    ) -> None:
        """Guards against a process that a step keeps until it is killed."""
        began_s = time.monotonic()
        completed = _run(settings, 'endless stop of moves')
        assert completed.returncode == _stopping.EXIT_CUT_OFF
        assert time.monotonic() - began_s < GRACE_MS / 1000 + START_S

    def test_caller_after_the_signal_is_answered(
        self, settings: pathlib.Path
    ) -> None:
        """Guards against refused connections before the balancer knows."""
        document = json.loads(settings.read_text())
        document['stop'] = {'accept_ms': 20_000}
        settings.write_text(json.dumps(document))
        with subprocess.Popen(
            [
                sys.executable,
                '-m',
                'skylarktack.daemon',
                f'--settings={settings}',
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        ) as process:
            try:
                assert process.stdout is not None
                announced = json.loads(process.stdout.readline())
                address = state.Address(announced['host'], announced['port'])
                process.send_signal(signal.SIGTERM)
                time.sleep(STEP_S)
                statuses = [
                    _status(address, path)
                    for path in ('/healthz', '/readyz', '/healthz', '/readyz')
                ]
                assert statuses == [200, 503, 200, 503]
                assert process.wait(PATIENCE_S / 2) == 0
            finally:
                process.kill()


class TestSettings:
    """Settings of the planned stop that contradict each other."""

    def test_short_grace_period_exits_with_a_finding(
        self, settings: pathlib.Path
    ) -> None:
        """Guards against stops that are always cut off."""
        document = json.loads(settings.read_text())
        document['stop'] = {'grace_ms': 1000}
        settings.write_text(json.dumps(document))
        completed = _run(settings, 'stop of moves')
        assert completed.returncode == daemon.EXIT_INVALID_SETTINGS
        assert 'stop.grace_ms: Must be at least 11000' in completed.stderr
