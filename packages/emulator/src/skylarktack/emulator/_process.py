"""One process of an emulated deployment, from its start to its end."""

import json
import os
import signal
import subprocess
import sys
import threading
from typing import Any

from skylarktack import state
from skylarktack import transport

#: Longest wait for a process to announce its port.
ANNOUNCE_TIMEOUT_S = 30.0

#: Longest wait for a process to end after it was told to stop.
STOP_TIMEOUT_S = 40.0


class EmulatedProcess:
    """One process that announced where it listens."""

    def __init__(self, name: str, arguments: list[str]) -> None:
        self.name = name
        # Its own session keeps an interrupt at the terminal from reaching
        # it before the deployment stops it.
        self._process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL
            if not os.environ.get('SKYLARKTACK_EMULATOR_LOGS')
            else None,
            start_new_session=True,
        )
        self.announced: dict[str, Any] = {}

    def wait_announced(self) -> None:
        """Wait until the process printed where it listens.

        :raises RuntimeError: if it ended or took too long.
        """
        timer = threading.Timer(ANNOUNCE_TIMEOUT_S, self._process.kill)
        timer.start()
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        timer.cancel()
        if not line:
            raise RuntimeError(f'{self.name} did not start')
        self.announced = json.loads(line)

    @property
    def address(self) -> state.Address:
        """Where it listens."""
        return state.Address(self.announced['host'], self.announced['port'])

    @property
    def operator_address(self) -> state.Address:
        """Where an entry instance accepts operators."""
        return state.Address(
            self.announced['host'], self.announced['operator_port']
        )

    @property
    def process_id(self) -> int:
        """Identifier of the operating system."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process without warning."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def stop(self) -> None:
        """Ask the process to stop, then end it if it does not."""
        # A paused process does not see the request.
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait_stopped(self) -> int:
        """Wait until the process ended and return its exit code."""
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.wait()
        finally:
            if self._process.stdout is not None:
                self._process.stdout.close()

    def control(self, path: str = '/control', **fields: Any) -> None:
        """Switch faults of a stand-in."""
        transport.http_call(
            self.address,
            'POST',
            path,
            json.dumps(fields).encode(),
            {},
            5.0,
        )

    def read_json(self, path: str) -> Any:
        """Read a control endpoint of a stand-in."""
        answered = transport.http_call(
            self.address, 'GET', path, None, {}, 5.0
        )
        return json.loads(answered.ok.body)


def wait_ready(process: EmulatedProcess) -> None:
    """Wait until an instance serves callers.

    :raises RuntimeError: if it does not become ready.
    """
    waiting = threading.Event()
    for _ in range(600):
        answered = transport.http_call(
            process.address, 'GET', '/readyz', None, {}, 5.0
        )
        if answered.is_ok() and answered.ok.status == 200:
            return
        waiting.wait(0.05)
    raise RuntimeError(f'{process.name} did not become ready')
