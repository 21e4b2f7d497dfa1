"""Keeps slow and failing targets out of the choice for a while."""

import collections
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination import ports

#: Age up to which a fault is evidence.
EVIDENCE_S = 1.0

#: Age after which a target that is never tried is no longer counted.
_FORGET_S = 120.0


@dataclasses.dataclass
class _Evidence:
    """What is known of one target."""

    faults_s: collections.deque[float]
    recent_success_count: int = 0
    window_s: float = 0.0
    seen_s: float = 0.0
    ejected_until_s: float = 0.0
    ejection_count: int = 0


class TargetEjection:
    """Ejects a target on a few faults within a second.

    A fault is a failed attempt or one slower than the route's p95. At most a
    share of the known targets is ejected, so that a fault common to all does
    not empty the set. An ejected target returns by itself; one more fault
    then ejects it again, for twice as long.
    """

    def __init__(
        self, settings: state.LookupSettings, clock: ports.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._targets: dict[state.TargetName, _Evidence] = {}
        self._ejected: tuple[state.TargetName, ...] = ()
        self._ejected_until_s = 0.0

    def ejected(self) -> tuple[state.TargetName, ...]:
        """Return the targets to avoid; a bounded share of all known."""
        if not self._ejected:
            return ()
        if self._clock.monotonic_s() < self._ejected_until_s:
            return self._ejected
        with self._lock:
            self._refresh(self._clock.monotonic_s())
            return self._ejected

    def record_success(self, target: state.TargetName) -> None:
        """Take in an answer that came in time."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            evidence = self._evidence(target, now_s)
            evidence.recent_success_count += 1
            if now_s >= evidence.ejected_until_s and not evidence.faults_s:
                evidence.ejection_count = 0

    def record_fault(self, target: state.TargetName) -> None:
        """Take in a failed attempt or one slower than the route's p95."""
        if not self._settings.ejects:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            evidence = self._evidence(target, now_s)
            evidence.faults_s.append(now_s)
            if now_s < evidence.ejected_until_s:
                return
            if not self._is_bad(evidence):
                return
            if not self._has_room(now_s):
                return
            self._eject(evidence, now_s)
            self._refresh(now_s)

    def _evidence(self, target: state.TargetName, now_s: float) -> _Evidence:
        evidence = self._targets.get(target)
        if evidence is None:
            evidence = _Evidence(collections.deque())
            self._targets[target] = evidence
        evidence.seen_s = now_s
        faults_s = evidence.faults_s
        while faults_s and faults_s[0] < now_s - EVIDENCE_S:
            faults_s.popleft()
        if now_s - evidence.window_s > EVIDENCE_S:
            evidence.window_s = now_s
            evidence.recent_success_count = 0
        return evidence

    def _is_bad(self, evidence: _Evidence) -> bool:
        fault_count = len(evidence.faults_s)
        if evidence.ejection_count:
            # It returned on trial.
            return fault_count > evidence.recent_success_count
        if fault_count < self._settings.eject_fault_count:
            return False
        # One in twenty good answers is slower than the p95 by definition.
        return fault_count * 2 > evidence.recent_success_count

    def _has_room(self, now_s: float) -> bool:
        known_count = 0
        ejected_count = 0
        for evidence in self._targets.values():
            if now_s - evidence.seen_s > _FORGET_S:
                continue
            known_count += 1
            if now_s < evidence.ejected_until_s:
                ejected_count += 1
        limit = int(known_count * self._settings.eject_share)
        return ejected_count < limit

    def _eject(self, evidence: _Evidence, now_s: float) -> None:
        duration_ms = min(
            self._settings.eject_ceiling_ms,
            self._settings.eject_ms * 2**evidence.ejection_count,
        )
        evidence.ejection_count = min(evidence.ejection_count + 1, 16)
        evidence.ejected_until_s = now_s + duration_ms / 1000
        evidence.faults_s.clear()
        evidence.recent_success_count = 0

    def _refresh(self, now_s: float) -> None:
        found: list[state.TargetName] = []
        until_s = float('inf')
        for name, evidence in self._targets.items():
            if now_s < evidence.ejected_until_s:
                found.append(name)
                until_s = min(until_s, evidence.ejected_until_s)
        self._ejected = tuple(found)
        self._ejected_until_s = until_s
