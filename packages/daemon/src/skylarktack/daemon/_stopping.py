"""Times of a planned stop, and the readiness that it announces."""

import threading

from skylarktack import state
from skylarktack.coordination import ports

#: Minimum time for the answers to requests in progress once the generations
#: are drained, even if that took the whole drain time.
MIN_ANSWER_S = 5.0

#: Time of the default grace period for the steps that follow the drain: the
#: handover of generations, the answers to callers and to operators, and the
#: end of all tasks.
DEFAULT_END_S = 20.0

#: Minimum time for the same steps under a grace period of the settings.
MIN_END_S = 8.0

#: Part of the grace period that is kept for the steps after the answers to
#: callers, and after those to operators.
AFTER_CALLERS_S = 2.5
AFTER_OPERATORS_S = 1.5

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
    grace_ms = settings.stop.grace_ms
    min_ms = round(1000 * (_accepting_s(settings) + MIN_END_S))
    if grace_ms is not None and grace_ms < min_ms:
        findings.append(
            state.Finding(
                'stop.grace_ms',
                f'Must be at least {min_ms}, which is {MIN_END_S:.0f} s more '
                'than generation.drain_ms and stop.accept_ms.',
            )
        )
    return tuple(findings)


def grace_period_s(settings: state.InstanceSettings) -> float:
    """Return the maximum duration of a planned stop."""
    if settings.stop.grace_ms is not None:
        return settings.stop.grace_ms / 1000
    return _accepting_s(settings) + DEFAULT_END_S


def _accepting_s(settings: state.InstanceSettings) -> float:
    """Return the longest time for which a stop may accept callers."""
    return max(settings.generation.drain_ms, settings.stop.accept_ms) / 1000


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
        wanted_s = max(MIN_ANSWER_S, drain_s - self._past_s())
        return min(wanted_s, self._left_s(AFTER_CALLERS_S))

    def operator_answer_s(self) -> float:
        """Return how long the answers to operators may take."""
        return min(MIN_ANSWER_S, self._left_s(AFTER_OPERATORS_S))

    def _past_s(self) -> float:
        return self._clock.monotonic_s() - self._began_at_s

    def _left_s(self, reserved_s: float) -> float:
        left_s = grace_period_s(self._settings) - self._past_s()
        return max(0.0, left_s - reserved_s)


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
