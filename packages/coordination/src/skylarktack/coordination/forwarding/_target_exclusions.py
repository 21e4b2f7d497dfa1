"""Targets that asked to receive no requests: leaving or paused ones.

These are the targets' own words, so they hold whatever the store lists, and
no shortage of other targets overrides them.
"""

import dataclasses
import math

from skylarktack.state import forwarding as data

#: Longest pause that is granted to a target, however long it asks for.
MAX_PAUSE_S = 120.0

#: Maximum number of leaving targets that are remembered; the oldest are
#: forgotten first.
MAX_LEAVING_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class _Pause:
    started_at_ms: int | None
    end_s: float


class TargetExclusions:
    """Leaving and paused targets; the owner serialises the calls."""

    def __init__(self) -> None:
        self._leaving: dict[str, int | None] = {}
        self._pauses: dict[str, _Pause] = {}

    def add_leaving(self, leaving: data.LeavingTarget) -> bool:
        """Exclude a target until it starts anew; return whether it is new."""
        if leaving.name in self._leaving:
            known_ms = self._leaving[leaving.name]
            if known_ms == leaving.started_at_ms:
                return False
            if not _is_later(leaving.started_at_ms, known_ms):
                return False
            del self._leaving[leaving.name]
        self._leaving[leaving.name] = leaving.started_at_ms
        while len(self._leaving) > MAX_LEAVING_COUNT:
            del self._leaving[next(iter(self._leaving))]
        return True

    def add_pause(
        self, target: data.ListedTarget, pause_s: float, now_s: float
    ) -> float:
        """Exclude a target for a time; return the end of its pause."""
        end_s = now_s + min(MAX_PAUSE_S, pause_s)
        known = self._pauses.get(target.name)
        if known is not None and known.started_at_ms == target.started_at_ms:
            end_s = max(end_s, known.end_s)
        self._pauses[target.name] = _Pause(target.started_at_ms, end_s)
        return end_s

    def forget_pauses(self, now_s: float) -> None:
        """Drop the pauses that have ended."""
        for name, pause in list(self._pauses.items()):
            if now_s >= pause.end_s:
                del self._pauses[name]

    def is_leaving(self, target: data.ListedTarget) -> bool:
        """Return whether the target, or its successor, said that it leaves.

        A list may still name the process before the one that leaves.
        """
        if target.name not in self._leaving:
            return False
        return not _is_later(target.started_at_ms, self._leaving[target.name])

    def pause_end_s(self, target: data.ListedTarget) -> float:
        """Return when the target's pause ends; -inf if it has none."""
        pause = self._pauses.get(target.name)
        if pause is None or pause.started_at_ms != target.started_at_ms:
            return -math.inf
        return pause.end_s


def _is_later(start_ms: int | None, other_ms: int | None) -> bool:
    """Return whether a start is known to be after another one."""
    if start_ms is None or other_ms is None:
        return False
    return start_ms > other_ms
