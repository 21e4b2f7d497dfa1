"""Times of a planned stop, and the readiness that it announces."""

import threading

from skylarktack import state
from skylarktack.coordination import ports

#: Minimum time for the answers to requests in progress once the generations
#: are drained, even if that took the whole drain time.
MIN_ANSWER_S = 5.0

#: Time from the last readiness check to the close of the listener, in which
#: the balancer reads the answer and may still open connections.
SETTLE_S = 0.2


def check_stop_settings(
    settings: state.InstanceSettings,
) -> tuple[state.Finding, ...]:
    """Return all findings about the times of a planned stop."""
    findings: list[state.Finding] = []
    if settings.stop.accept_ms < 0:
        findings.append(
            state.Finding('stop.accept_ms', 'Must not be negative.')
        )
    if settings.stop.unready_check_count < 1:
        findings.append(
            state.Finding('stop.unready_check_count', 'Must be at least 1.')
        )
    return tuple(findings)


class StopTimes:
    """Deadlines of the steps of one planned stop."""

    def __init__(
        self,
        settings: state.InstanceSettings,
        clock: ports.Clock,
        began_at_s: float,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._began_at_s = began_at_s

    def accept_s(self) -> float:
        """Return how long callers may still be accepted."""
        return max(0.0, self._settings.stop.accept_ms / 1000 - self._past_s())

    def caller_answer_s(self) -> float:
        """Return how long the answers to callers may take."""
        drain_s = self._settings.generation.drain_ms / 1000
        return max(MIN_ANSWER_S, drain_s - self._past_s())

    def _past_s(self) -> float:
        return self._clock.monotonic_s() - self._began_at_s


class BalancerReadiness:
    """Answers readiness checks, and knows whether the stop was noticed."""

    def __init__(
        self,
        instance: ports.Readiness,
        stop_ordered: threading.Event,
        unready_check_count: int,
    ) -> None:
        self._instance = instance
        self._stop_ordered = stop_ordered
        self._unready_check_count = unready_check_count
        self._lock = threading.Lock()
        self._unready_count = 0
        self._noticed = threading.Event()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        if self._instance.is_ready():
            return True
        if self._stop_ordered.is_set():
            with self._lock:
                self._unready_count += 1
                if self._unready_count >= self._unready_check_count:
                    self._noticed.set()
        return False

    def wait_noticed(self, clock: ports.Clock, timeout_s: float) -> None:
        """Wait until the load balancer should send no more callers."""
        end_s = clock.monotonic_s() + timeout_s
        if not clock.wait(self._noticed, timeout_s):
            return
        never_set = threading.Event()
        left_s = max(0.0, end_s - clock.monotonic_s())
        clock.wait(never_set, min(SETTLE_S, left_s))
