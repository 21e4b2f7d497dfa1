"""Runs the main loop of an instance with SIGTERM at each of its lines.

Prints for each line of the main loop whether the instance stopped. The loop
and all that it calls count, so that the signal also arrives within the
primitives of the standard library.

Run: ``python signalled_main.py LINE_COUNT SIGNAL...``; all signals but the
last are raised before the loop starts.
"""

import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from types import FrameType
from typing import Any

from skylarktack.coordination import forwarding
from skylarktack.coordination import ports
from skylarktack.daemon.forwarding import _instance
from skylarktack.daemon.forwarding import _main
from skylarktack.platform import PATH_VARIABLE
from skylarktack.transport import forwarding as transport

SETTINGS = """\
node_name=instance-0
ip_address=127.0.0.1
availability_zone=domain-a
listen_addresses.frontend=127.0.0.1:0
limits.file_descriptors=4100
bounds.grace_period_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.8
bounds.budget_window_s=10
bounds.retry_budget_extra=150
contracts=base,platform
platform.address=127.0.0.1:9
"""

#: Longest wait for a signal that an instance acts on. A lost one is lost for
#: good; on a busy machine a process may react after seconds.
REACTION_S = 30.0

#: Lines at which the signal was lost, after which the rest is left out.
MAX_DEAF_COUNT = 3

#: Longest wait for a signal in the main loop, so that it runs several times.
SIGNAL_CHECK_S = 0.01

STOPPED_CODE = 7


class _SignalAtLine:
    """Trace function that raises a signal at one line."""

    def __init__(self, number: signal.Signals, line_count: int) -> None:
        self._number = number
        self._line_count = line_count

    def __call__(self, frame: FrameType, event: str, argument: Any) -> Any:
        """Count one line."""
        if event == 'line':
            self._line_count -= 1
            if self._line_count == 0:
                sys.settrace(None)
                signal.raise_signal(self._number)
        return self


class _Instance:
    """Stands in for the instance, whose tasks do not matter here."""

    first: tuple[signal.Signals, ...] = ()
    last = signal.SIGTERM
    line_count = 0

    def __init__(self, *arguments: object) -> None:
        """Take what an instance takes."""
        clock = ports.SystemClock()
        log = transport.LineLog('instance-0')
        self.errors = forwarding.ErrorRecorder(clock, log)

    def start(self) -> None:
        """Do nothing."""

    def record_start(self) -> None:
        """Raise signals, one of them at a later line of the loop."""
        for number in self.first:
            signal.raise_signal(number)
        trace = _SignalAtLine(self.last, self.line_count)
        frame = sys._getframe(1)
        frame.f_trace = trace
        sys.settrace(trace)

    def stop(self, *arguments: object) -> None:
        """End the process."""
        os._exit(STOPPED_CODE)


def _ends(process_id: int) -> bool:
    """Wait for the end of a child; return whether it stopped by itself."""
    end_s = time.monotonic() + REACTION_S
    while time.monotonic() < end_s:
        ended_id, status = os.waitpid(process_id, os.WNOHANG)
        if ended_id:
            return os.waitstatus_to_exitcode(status) == STOPPED_CODE
        time.sleep(0.002)
    os.kill(process_id, signal.SIGKILL)
    os.waitpid(process_id, 0)
    return False


def main(line_count: int, numbers: list[signal.Signals]) -> None:
    """Print the lines at which the last signal did not stop the instance."""
    _instance.ForwardingInstance = _Instance  # type: ignore
    _main.SIGNAL_CHECK_S = SIGNAL_CHECK_S
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings'
        path.write_text(SETTINGS, encoding='utf-8')
        os.environ[PATH_VARIABLE] = str(path)
        sys.argv = sys.argv[:1]
        _Instance.first = tuple(numbers[:-1])
        _Instance.last = numbers[-1]
        deaf_lines = []
        for line in range(1, line_count + 1):
            _Instance.line_count = line
            process_id = os.fork()
            if process_id == 0:
                _main.main()
            if not _ends(process_id):
                deaf_lines.append(line)
            if len(deaf_lines) >= MAX_DEAF_COUNT:
                break
    print(json.dumps(deaf_lines))


if __name__ == '__main__':
    main(int(sys.argv[1]), [signal.Signals[name] for name in sys.argv[2:]])
