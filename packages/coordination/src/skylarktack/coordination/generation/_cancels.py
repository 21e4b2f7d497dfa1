"""Cancels abandoned attempts until the engine acknowledges it."""

import collections
import dataclasses
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _dependencies

#: Maximum attempts waiting to be cancelled. Beyond it the oldest is dropped.
MAX_WAITING_ATTEMPTS = 4096

#: Interval between two rounds over the attempts that are left.
ROUND_INTERVAL_S = 0.5

#: Age at which cancelling is abandoned, for engines that stay listed but
#: never answer.
MAX_AGE_S = 600.0

_LOG = structlog.get_logger(part='generation')


@dataclasses.dataclass(frozen=True)
class AbandonedAttempt:
    """An attempt that may still run although its tokens are not needed."""

    #: Target on which it may still run.
    target: state.Target

    request_id: state.RequestId

    number: int

    #: Monotonic time at which it was abandoned.
    abandoned_s: float


class AttemptCanceller:
    """Cancels abandoned attempts in a background thread."""

    def __init__(
        self,
        dependencies: _dependencies.GenerationDependencies,
        in_background: bool = True,
    ) -> None:
        self._dependencies = dependencies
        self._in_background = in_background
        self._lock = threading.Lock()
        self._waiting: collections.deque[AbandonedAttempt] = (
            collections.deque()
        )
        self._added = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def waiting_count(self) -> int:
        """Number of attempts whose cancellation is not yet acknowledged."""
        return len(self._waiting)

    def abandon(
        self, target: state.Target, request_id: state.RequestId, number: int
    ) -> None:
        """Cancel an attempt in the background."""
        abandoned = AbandonedAttempt(
            target,
            request_id,
            number,
            self._dependencies.clock.monotonic_s(),
        )
        with self._lock:
            self._waiting.append(abandoned)
            if len(self._waiting) > MAX_WAITING_ATTEMPTS:
                self._waiting.popleft()
                self._dependencies.metrics.count('generation.cancel_dropped')
            self._added.set()
            if self._thread is None and self._in_background:
                self._thread = threading.Thread(
                    target=self._dependencies.supervisor.run,
                    args=('attempt cancellation', self._run),
                    name='attempt-canceller',
                    daemon=True,
                )
                self._thread.start()

    def _run(self) -> None:
        while True:
            self._added.clear()
            if not self.run_round():
                self._added.wait()
                continue
            # A newly abandoned attempt ends the wait early.
            self._dependencies.clock.wait(self._added, ROUND_INTERVAL_S)

    def run_round(self) -> int:
        """Try to cancel each waiting attempt; return how many are left."""
        with self._lock:
            attempts = list(self._waiting)
        unresponsive: set[state.TargetName] = set()
        for abandoned in attempts:
            # After one unanswered call a target is skipped for this round.
            if abandoned.target.name in unresponsive:
                continue
            if not self._is_finished(abandoned):
                unresponsive.add(abandoned.target.name)
                continue
            with self._lock:
                if abandoned in self._waiting:
                    self._waiting.remove(abandoned)
        return len(self._waiting)

    def _is_finished(self, abandoned: AbandonedAttempt) -> bool:
        try:
            if self._has_ended(abandoned):
                return True
        except Exception:
            # One thread cancels all attempts, so none of them may end it.
            _LOG.exception(
                'attempt not cancelled', target=abandoned.target.name
            )
        now_s = self._dependencies.clock.monotonic_s()
        return now_s - abandoned.abandoned_s > MAX_AGE_S

    def _has_ended(self, abandoned: AbandonedAttempt) -> bool:
        """Ask the engine to cancel; return whether the attempt has ended."""
        dependencies = self._dependencies
        response = dependencies.engines.cancel(
            abandoned.target,
            abandoned.request_id,
            abandoned.number,
            dependencies.settings.connect_ms / 1000,
        )
        if response.is_ok():
            dependencies.metrics.count('generation.cancel_acknowledged')
            return True
        if response.error.kind is ports.StreamFaultKind.MISSING:
            return True
        return dependencies.selector.target(abandoned.target.name) is None
