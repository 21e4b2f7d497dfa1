"""The memory that a process keeps of freed buffers."""

import pathlib
import subprocess
import sys
import threading

from skylarktack.daemon.forwarding import _main

THREAD_COUNT = 32

#: Buffers of one thread: below the size that is returned when it is freed.
BUFFER_BYTES = 33_000
BUFFER_COUNT = 120

#: One thread holds 4 MB at a time, and all of them in turn 127 MB.
GROWTH_LIMIT_KB = 16 * 1024


def _resident_kb() -> int:
    status = pathlib.Path('/proc/self/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    raise OSError('the kernel tells no size of the memory')


def _print_growth() -> None:
    """Hold buffers in one thread after the other; print the growth in kB."""
    _main.return_freed_buffers()
    turns = [threading.Lock() for _ in range(THREAD_COUNT + 1)]
    kept = []

    def hold_buffers(number: int) -> None:
        with turns[number]:
            buffers = [bytes(BUFFER_BYTES) for _ in range(BUFFER_COUNT)]
            # Memory below a buffer in use is not returned to the system.
            kept.append(bytes(BUFFER_BYTES))
            buffers.clear()
        turns[number + 1].release()
        # A thread that ends would leave its heap to the next.
        turns[-1].acquire()
        turns[-1].release()

    for turn in turns:
        turn.acquire()
    threads = [
        threading.Thread(target=hold_buffers, args=(number,))
        for number in range(THREAD_COUNT)
    ]
    for thread in threads:
        thread.start()
    before_kb = _resident_kb()
    turns[0].release()
    for thread in threads:
        thread.join()
    print(_resident_kb() - before_kb)


class TestFreedBuffers:
    """Many threads that hold buffers at different times."""

    def test_memory_of_one_thread_serves_the_next(self) -> None:
        """Guards against a peak far above what the memory budget allows."""
        found = subprocess.run(
            [sys.executable, '-m', __name__],
            capture_output=True,
            text=True,
            check=True,
            timeout=60.0,
        )
        assert int(found.stdout) < GROWTH_LIMIT_KB


if __name__ == '__main__':
    _print_growth()
