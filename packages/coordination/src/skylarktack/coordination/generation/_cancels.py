"""Cancels abandoned attempts until their engine acknowledges it."""

import collections
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _parts

#: Most attempts that wait for their cancel; the oldest is dropped beyond.
WAITING_LIMIT_COUNT = 4096

#: Time between two rounds over the attempts that are left.
ROUND_INTERVAL_S = 0.5

#: Age at which a cancel is given up, for engines that stay listed but never
#: answer.
AGE_LIMIT_S = 600.0


@dataclasses.dataclass(frozen=True)
class AbandonedAttempt:
    """An attempt that may still run and whose tokens nobody wants."""

    #: Target that may run it.
    target: state.Target

    #: Request of the attempt.
    request_id: state.RequestId

    #: Number of the attempt.
    number: int

    #: Monotonic time at which it was abandoned.
    since_s: float


class AttemptCanceller:
    """One background task that cancels abandoned attempts."""

    def __init__(
        self, parts: _parts.GenerationDependencies, in_background: bool = True
    ) -> None:
        self._parts = parts
        self._in_background = in_background
        self._lock = threading.Lock()
        self._waiting: collections.deque[AbandonedAttempt] = (
            collections.deque()
        )
        self._added = threading.Event()
        self._task: threading.Thread | None = None

    @property
    def waiting_count(self) -> int:
        """Number of attempts not yet acknowledged."""
        return len(self._waiting)

    def abandon(
        self, target: state.Target, request_id: state.RequestId, number: int
    ) -> None:
        """Cancel an attempt in the background."""
        abandoned = AbandonedAttempt(
            target,
            request_id,
            number,
            self._parts.clock.monotonic_s(),
        )
        with self._lock:
            self._waiting.append(abandoned)
            if len(self._waiting) > WAITING_LIMIT_COUNT:
                self._waiting.popleft()
                self._parts.metrics.count('generation.cancel_dropped')
            self._added.set()
            if self._task is None and self._in_background:
                self._task = threading.Thread(
                    target=self._run, name='attempt-canceller', daemon=True
                )
                self._task.start()

    def _run(self) -> None:
        while True:
            self._added.wait()
            self._added.clear()
            while self.run_round():
                # A new attempt ends the wait early.
                self._parts.clock.wait(self._added, ROUND_INTERVAL_S)
                self._added.clear()

    def run_round(self) -> int:
        """Try each waiting attempt once; return how many are left."""
        with self._lock:
            round_attempts = list(self._waiting)
        silent: set[state.TargetName] = set()
        for abandoned in round_attempts:
            # One unanswered call is enough to know that a target is silent.
            if abandoned.target.name in silent:
                continue
            if not self._is_over(abandoned):
                silent.add(abandoned.target.name)
                continue
            with self._lock:
                if abandoned in self._waiting:
                    self._waiting.remove(abandoned)
        return len(self._waiting)

    def _is_over(self, abandoned: AbandonedAttempt) -> bool:
        parts = self._parts
        answered = parts.engines.cancel(
            abandoned.target,
            abandoned.request_id,
            abandoned.number,
            parts.settings.connect_ms / 1000,
        )
        if answered.is_ok():
            parts.metrics.count('generation.cancel_acknowledged')
            return True
        if answered.error.kind is ports.StreamFaultKind.MISSING:
            return True
        if parts.selector.target(abandoned.target.name) is None:
            return True
        age_s = parts.clock.monotonic_s() - abandoned.since_s
        return age_s > AGE_LIMIT_S
