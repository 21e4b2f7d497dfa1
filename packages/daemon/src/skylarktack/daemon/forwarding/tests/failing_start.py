"""Runs a forwarding instance on a system without enough threads.

Run: ``python failing_start.py THREAD_COUNT``, with the settings' path in the
environment.
"""

import sys
import threading

from skylarktack.daemon.forwarding import _main


def main(thread_count: int) -> None:
    """Run the instance; threads above a number fail to start."""
    original = threading.Thread.start
    started: list[threading.Thread] = []

    def start(thread: threading.Thread) -> None:
        if len(started) >= thread_count:
            raise RuntimeError("can't start new thread")
        started.append(thread)
        original(thread)

    threading.Thread.start = start  # type: ignore
    _main.main()


if __name__ == '__main__':
    main(int(sys.argv.pop()))
