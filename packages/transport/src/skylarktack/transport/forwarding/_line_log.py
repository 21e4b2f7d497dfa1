"""Structured log lines on standard output that never hold up a request.

Lines are JSON, written by a task of their own from a bounded queue. The
library for structured logs takes a third of a second of processor time to
import, more than the rest of the start, so lines are encoded here.
"""

import dataclasses
import json
import os
import queue
import threading
import time

from skylarktack.coordination import forwarding

#: Lines that wait to be written; more are dropped and counted.
QUEUE_LIMIT_COUNT = 2000

#: Descriptor of standard output.
STANDARD_OUTPUT = 1


class LineLog:
    """Writes one JSON line for each event."""

    def __init__(
        self, instance: str, descriptor: int = STANDARD_OUTPUT
    ) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUE_LIMIT_COUNT)
        self._dropped_count = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()

    def record(self, event: forwarding.LogEvent) -> None:
        """Queue one line without waiting."""
        try:
            self._lines.put_nowait(self._encode(event))
        except queue.Full:
            with self._lock:
                self._dropped_count += 1

    def run(self) -> None:
        """Write queued lines until the log is closed."""
        while True:
            line = self._lines.get()
            if line is None:
                break
            with self._lock:
                dropped_count = self._dropped_count
                self._dropped_count = 0
            if dropped_count:
                self._write(
                    self._encode(forwarding.LogLinesDropped(dropped_count))
                )
            self._write(line)
        self._ended.set()

    def close(self, timeout_s: float) -> None:
        """Write what is queued, as far as the reader takes it in time."""
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
                # Nobody reads the log any more; serving goes on.
                return
