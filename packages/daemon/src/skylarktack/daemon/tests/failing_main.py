"""Runs ``skylarktackd`` with one step that fails.

Run: ``python failing_main.py SETTINGS STEP``; the process receives SIGTERM
once it has started.
"""

import os
import signal
import sys

from skylarktack import daemon
from skylarktack import transport
from skylarktack.coordination import moves
from skylarktack.daemon import _instance

#: Classes and methods of the steps.
STEPS: dict[str, tuple[type, str]] = {
    'start of servers': (transport.WsgiServer, 'start'),
    'stop of moves': (moves.MoveCoordinator, 'stop'),
}


def _fail(*arguments: object) -> None:
    raise RuntimeError("can't start new thread")


class _SignalledInstance(daemon.Instance):
    """Orders its own stop once it has started."""

    def start(self) -> None:
        """Start, then signal this process."""
        super().start()
        os.kill(os.getpid(), signal.SIGTERM)


if __name__ == '__main__':
    owner, method = STEPS[sys.argv[2]]
    setattr(owner, method, _fail)
    _instance.Instance = _SignalledInstance  # type: ignore[misc]
    daemon.run(sys.argv[1])
