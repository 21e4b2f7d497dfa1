"""Runs ``skylarktackd`` with one step that fails or never returns.

Run: ``python failing_main.py SETTINGS STEP``; the process receives SIGTERM
once it has started.
"""

import os
import signal
import sys
import threading

from skylarktack import daemon
from skylarktack import transport
from skylarktack.coordination import moves
from skylarktack.daemon import _instance

#: Classes and methods of the steps.
STEPS: dict[str, tuple[type, str]] = {
    'start of servers': (transport.WsgiServer, 'start'),
    'stop of moves': (moves.MoveCoordinator, 'stop'),
    'endless stop of moves': (moves.MoveCoordinator, 'stop'),
}


def _fail(*arguments: object) -> None:
    raise RuntimeError("can't start new thread")


def _hang(*arguments: object) -> None:
    threading.Event().wait()


class _SignalledInstance(daemon.Instance):
    """Orders its own stop once it has started."""

    def start(self) -> None:
        """Start, then signal this process."""
        super().start()
        os.kill(os.getpid(), signal.SIGTERM)


if __name__ == '__main__':
    owner, method = STEPS[sys.argv[2]]
    is_endless = sys.argv[2].startswith('endless')
    setattr(owner, method, _hang if is_endless else _fail)
    _instance.Instance = _SignalledInstance  # type: ignore[misc]
    daemon.run(sys.argv[1])
