"""Signals of a process, handed to its main thread without a lock.

A handler runs between two steps of whatever the main thread does at that
moment. One that takes a lock, as ``threading.Event.set`` does, waits for
itself forever if the main thread holds that lock.
"""

from collections.abc import Iterable
import dataclasses
import queue
import signal
import time
from types import FrameType

#: Signals that stop a process.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

#: Signals of a forwarding instance, which reads its settings on SIGHUP.
INSTANCE_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


@dataclasses.dataclass(frozen=True)
class ReceivedSignal:
    """A signal that the process has received."""

    number: signal.Signals

    #: Monotonic time at which the handler ran.
    received_at_s: float


class ProcessSignals:
    """Queue from the signal handlers to the main thread."""

    def __init__(self) -> None:
        # The only queue whose put() may interrupt another call of the queue
        # in the same thread.
        self._received: queue.SimpleQueue[ReceivedSignal] = queue.SimpleQueue()

    def install(self, numbers: Iterable[signal.Signals]) -> None:
        """Handle signals from now on; only the main thread may call this."""
        for number in numbers:
            signal.signal(number, self._handle)

    def wait(self, timeout_s: float) -> tuple[ReceivedSignal, ...]:
        """Wait for signals; return the first of each number received.

        :return: in the order received; empty after the timeout.
        """
        first_by_number: dict[signal.Signals, ReceivedSignal] = {}
        try:
            received = self._received.get(timeout=timeout_s)
            while True:
                first_by_number.setdefault(received.number, received)
                received = self._received.get_nowait()
        except queue.Empty:
            return tuple(first_by_number.values())

    def _handle(self, number: int, frame: FrameType | None) -> None:
        self._received.put(
            ReceivedSignal(signal.Signals(number), time.monotonic())
        )
