"""Temporary ejection of slow and failing targets from selection."""

import collections
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination import ports

#: Length of the sliding window in which faults are counted.
FAULT_WINDOW_S = 1.0

#: Targets not attempted for this long no longer count as known targets.
_KNOWN_TARGET_TTL_S = 120.0


@dataclasses.dataclass
class _TargetHistory:
    """Recent outcomes and ejection state of one target."""

    faults_s: collections.deque[float]
    recent_success_count: int = 0
    window_start_s: float = 0.0
    last_attempt_s: float = 0.0
    ejected_until_s: float = 0.0
    ejection_count: int = 0


class TargetEjection:
    """Ejects a target after several faults within the fault window.

    A fault is a failed attempt or one slower than the route's p95. At most a
    fixed share of the known targets is ejected at a time, so that a fault
    that affects all of them does not leave the route without targets. An
    ejection ends after its duration; one more fault then ejects the target
    again, for twice as long.
    """

    def __init__(
        self, settings: state.LookupSettings, clock: ports.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._targets: dict[state.TargetName, _TargetHistory] = {}
        self._ejected: tuple[state.TargetName, ...] = ()
        self._ejected_until_s = 0.0

    def ejected(self) -> tuple[state.TargetName, ...]:
        """Return the ejected targets, at most ``eject_share`` of all known."""
        if not self._ejected:
            return ()
        if self._clock.monotonic_s() < self._ejected_until_s:
            return self._ejected
        with self._lock:
            self._refresh(self._clock.monotonic_s())
            return self._ejected

    def record_success(self, target: state.TargetName) -> None:
        """Record a successful attempt that was not slower than the p95."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            history = self._update_history(target, now_s)
            history.recent_success_count += 1
            if now_s >= history.ejected_until_s and not history.faults_s:
                history.ejection_count = 0

    def record_fault(self, target: state.TargetName) -> None:
        """Record a failed attempt or one slower than the route's p95."""
        if not self._settings.ejects:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            history = self._update_history(target, now_s)
            history.faults_s.append(now_s)
            if now_s < history.ejected_until_s:
                return
            if not self._should_eject(history):
                return
            if not self._may_eject(now_s):
                return
            self._eject(history, now_s)
            self._refresh(now_s)

    def _update_history(
        self, target: state.TargetName, now_s: float
    ) -> _TargetHistory:
        history = self._targets.get(target)
        if history is None:
            history = _TargetHistory(collections.deque())
            self._targets[target] = history
        history.last_attempt_s = now_s
        faults_s = history.faults_s
        while faults_s and faults_s[0] < now_s - FAULT_WINDOW_S:
            faults_s.popleft()
        if now_s - history.window_start_s > FAULT_WINDOW_S:
            history.window_start_s = now_s
            history.recent_success_count = 0
        return history

    def _should_eject(self, history: _TargetHistory) -> bool:
        fault_count = len(history.faults_s)
        if history.ejection_count:
            # After an ejection, the target is ejected again as soon as recent
            # faults outnumber recent successes.
            return fault_count > history.recent_success_count
        if fault_count < self._settings.eject_fault_count:
            return False
        # By definition, one in twenty successful attempts is slower than the
        # p95, so isolated faults among many successes do not count.
        return fault_count * 2 > history.recent_success_count

    def _may_eject(self, now_s: float) -> bool:
        known_count = 0
        ejected_count = 0
        for history in self._targets.values():
            if now_s - history.last_attempt_s > _KNOWN_TARGET_TTL_S:
                continue
            known_count += 1
            if now_s < history.ejected_until_s:
                ejected_count += 1
        limit = int(known_count * self._settings.eject_share)
        return ejected_count < limit

    def _eject(self, history: _TargetHistory, now_s: float) -> None:
        duration_ms = min(
            self._settings.eject_ceiling_ms,
            self._settings.eject_ms * 2**history.ejection_count,
        )
        history.ejection_count = min(history.ejection_count + 1, 16)
        history.ejected_until_s = now_s + duration_ms / 1000
        history.faults_s.clear()
        history.recent_success_count = 0

    def _refresh(self, now_s: float) -> None:
        names: list[state.TargetName] = []
        first_end_s = float('inf')
        for name, history in self._targets.items():
            if now_s < history.ejected_until_s:
                names.append(name)
                first_end_s = min(first_end_s, history.ejected_until_s)
        self._ejected = tuple(names)
        self._ejected_until_s = first_end_s
