"""Structured log on standard output that never blocks a request.

A dedicated task writes JSON lines from a bounded queue. Lines are encoded
here because importing the structured logging library takes a third of a
second of CPU time, more than the rest of the startup.
"""

import dataclasses
import json
import os
import queue
import threading
import time

from skylarktack.coordination import forwarding

#: Maximum number of queued lines; further ones are dropped and counted.
QUEUE_LIMIT_COUNT = 2000

STANDARD_OUTPUT_FD = 1


class LineLog:
    """Writes one JSON line for each event."""

    def __init__(
        self, instance: str, descriptor: int = STANDARD_OUTPUT_FD
    ) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUE_LIMIT_COUNT)
        #: Lines dropped since the start, and those that a line has named.
        self._dropped_count = 0
        self._reported_count = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()

    def record(self, event: forwarding.LogEvent) -> None:
        """Queue one line without blocking; drop it if the queue is full."""
        try:
            self._lines.put_nowait(self._encode(event))
        except queue.Full:
            with self._lock:
                self._dropped_count += 1

    def dropped_count(self) -> int:
        """Return the number of dropped lines since the start."""
        with self._lock:
            return self._dropped_count

    def run(self) -> None:
        """Write queued lines until the log is closed."""
        while True:
            line = self._lines.get()
            if line is None:
                break
            with self._lock:
                dropped_count = self._dropped_count - self._reported_count
                self._reported_count = self._dropped_count
            if dropped_count:
                self._write(
                    self._encode(forwarding.LogLinesDropped(dropped_count))
                )
            self._write(line)
        self._ended.set()

    def close(self, timeout_s: float) -> None:
        """Stop after the queued lines are written.

        Waits at most the timeout each for room in the queue and for the
        writer; if the queue stays full, the writer is not stopped.
        """
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._ended.wait(timeout_s)

    def _encode(self, event: forwarding.LogEvent) -> str:
        line: dict[str, object] = {
            'time_s': round(time.time(), 3),
            'instance': self._instance,
            'part': event.part,
            'event': event.message,
        }
        for field in dataclasses.fields(event):
            line[field.name] = getattr(event, field.name)
        return json.dumps(line, default=str, separators=(',', ':'))

    def _write(self, line: str) -> None:
        outgoing = memoryview(line.encode() + b'\n')
        while outgoing:
            try:
                outgoing = outgoing[os.write(self._descriptor, outgoing) :]
            except OSError:
                # The log reader closed the pipe; requests are still served.
                return
