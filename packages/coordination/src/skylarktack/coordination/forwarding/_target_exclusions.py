"""Targets that asked to receive no requests: leaving or paused ones.

Targets say this of themselves, so it holds whatever the store lists, and
no shortage of other targets overrides it.
"""

import dataclasses
import math
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Longest pause that is granted to a target, however long it asks for.
MAX_PAUSE_S = 120.0

#: Maximum number of leaving targets that are remembered; the oldest are
#: forgotten first.
MAX_LEAVING_COUNT = 1024

#: A refusal with this status may ask for a pause.
SERVICE_UNAVAILABLE_STATUS = 503


class LeavingReporter(Protocol):
    """Tells the other instances which targets are leaving."""

    def record_leaving_target(self, leaving: data.LeavingTarget) -> None:
        """Report that a target is about to stop."""
        ...


@dataclasses.dataclass(frozen=True)
class _Pause:
    started_at_ms: int | None
    end_s: float


class TargetExclusions:
    """Leaving and paused targets."""

    def __init__(
        self, clock: Clock, log: _events.EventLog, reporter: LeavingReporter
    ) -> None:
        self._clock = clock
        self._log = log
        self._reporter = reporter
        self._lock = threading.Lock()
        self._leaving: dict[str, int | None] = {}
        self._pauses: dict[str, _Pause] = {}

    def report_head(
        self, target: data.ListedTarget, head: data.ResponseHead
    ) -> None:
        """Record what a target says of itself in the head of a response."""
        if head.is_leaving:
            self._record_leaving(target)
        if head.status == SERVICE_UNAVAILABLE_STATUS:
            self._record_pause(target, head.retry_after_s)

    def report_probe(
        self, target: data.ListedTarget, report: data.TargetReport
    ) -> None:
        """Record what a target says of itself in answer to a probe."""
        if report.is_leaving:
            self._record_leaving(target)
        self._record_pause(target, report.retry_after_s)

    def report_leaving(self, leaving: data.LeavingTarget) -> None:
        """Record that a peer heard that a target is leaving."""
        if self._add_leaving(leaving):
            self._log.record(_events.TargetLeaving(leaving.name, True))

    def is_leaving(self, target: data.ListedTarget) -> bool:
        """Return whether the target, or its successor, said that it leaves.

        A list may still name the process before the one that leaves.
        """
        with self._lock:
            if target.name not in self._leaving:
                return False
            leaving_ms = self._leaving[target.name]
        return not is_later_start(target.started_at_ms, leaving_ms)

    def pause_end_s(self, target: data.ListedTarget) -> float:
        """Return when the target's pause ends; -inf if it has none."""
        with self._lock:
            pause = self._pauses.get(target.name)
        if pause is None or pause.started_at_ms != target.started_at_ms:
            return -math.inf
        return pause.end_s

    def is_paused(self, target: data.ListedTarget) -> bool:
        """Return whether the target wants to receive nothing for now."""
        return self._clock.monotonic_s() < self.pause_end_s(target)

    def _record_leaving(self, target: data.ListedTarget) -> None:
        leaving = data.LeavingTarget(target.name, target.started_at_ms)
        if self._add_leaving(leaving):
            self._reporter.record_leaving_target(leaving)
            self._log.record(_events.TargetLeaving(target.name, False))

    def _add_leaving(self, leaving: data.LeavingTarget) -> bool:
        """Exclude a target until it starts anew; return whether it is new."""
        with self._lock:
            if leaving.name in self._leaving:
                known_ms = self._leaving[leaving.name]
                if not is_later_start(leaving.started_at_ms, known_ms):
                    return False
                del self._leaving[leaving.name]
            self._leaving[leaving.name] = leaving.started_at_ms
            while len(self._leaving) > MAX_LEAVING_COUNT:
                del self._leaving[next(iter(self._leaving))]
        return True

    def _record_pause(
        self, target: data.ListedTarget, pause_s: float | None
    ) -> None:
        if pause_s is None:
            return
        now_s = self._clock.monotonic_s()
        end_s = max(
            now_s + min(MAX_PAUSE_S, pause_s), self.pause_end_s(target)
        )
        with self._lock:
            for name, pause in list(self._pauses.items()):
                if now_s >= pause.end_s:
                    del self._pauses[name]
            self._pauses[target.name] = _Pause(target.started_at_ms, end_s)
        self._log.record(
            _events.TargetPaused(target.name, round(1000 * (end_s - now_s)))
        )


def is_later_start(start_ms: int | None, other_ms: int | None) -> bool:
    """Return whether a start is known to be after another one."""
    if start_ms is None or other_ms is None:
        return False
    return start_ms > other_ms
