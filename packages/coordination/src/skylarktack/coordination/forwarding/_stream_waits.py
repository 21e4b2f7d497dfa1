"""Waits of a stream between two engines; each one watches the caller."""

import random

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding import _retry_waits
from skylarktack.coordination.forwarding import _stream_attempts

#: Fraction of the latency objective for which a request waits for a target to
#: become available before it is refused.
QUEUE_OBJECTIVE_FRACTION = 0.12

#: Interval between two checks for an available target.
QUEUE_CHECK_INTERVAL_S = 0.1

#: Maximum random delay before a run without a standby copy is restarted. Runs
#: that are lost together would otherwise all go to the engine with the least
#: load; during the delay each instance learns of the choices made before its
#: own, which takes milliseconds.
MAX_RESTART_JITTER_S = 0.04


class StreamWaits:
    """Waits of one stream; each returns whether the caller disconnected."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
    ) -> None:
        self._client = dependencies.client
        self._clock = dependencies.clock
        self._admitted = admitted
        self._progress = progress
        self._is_waiting_for_retry = False

    def has_queue_time_expired(self, has_executed: bool) -> bool:
        """Return whether the stream ends if no engine is available."""
        if self._progress.has_started:
            return False
        if has_executed:
            return not self.may_wait_for_retry(has_executed)
        objective_s = self._admitted.route.latency_objective_ms / 1000
        queue_end_s = (
            self._admitted.started_at_s
            + QUEUE_OBJECTIVE_FRACTION * objective_s
        )
        return self._clock.monotonic_s() >= queue_end_s

    def may_wait_for_retry(self, has_executed: bool) -> bool:
        """Return whether the caller gains by a wait for a retry.

        A request that has not run is refused instead: it may come back at
        once, as a new request.
        """
        if not has_executed:
            return False
        wait_end_s = _retry_waits.retry_wait_end_s(
            self._admitted, self._progress
        )
        return self._clock.monotonic_s() < wait_end_s

    def wait_for_retry(self, obstacle: _retry_waits.RetryObstacle) -> bool:
        """Wait until a retry may be claimed again."""
        if not self._is_waiting_for_retry:
            self._is_waiting_for_retry = True
            self._record('wait_for_retry', cause=obstacle.value)
        return self._wait(_retry_waits.RETRY_CHECK_INTERVAL_S)

    def end_retry_wait(self) -> None:
        """Record that the stream is sent again."""
        self._is_waiting_for_retry = False

    def wait_for_pause(self, pause: _pause_waits.PauseWait) -> bool:
        """Wait for the end of a pause that all targets asked for."""
        self._record('wait_for_pause', wait_ms=round(1000 * pause.wait_s))
        return self._wait(pause.wait_s)

    def wait_for_target(self) -> bool:
        """Wait for a target to become available."""
        return self._wait(min(QUEUE_CHECK_INTERVAL_S, self._remaining_s()))

    def wait_for_jitter(self) -> bool:
        """Wait for a random time before a run is restarted."""
        return self._wait(
            min(MAX_RESTART_JITTER_S * random.random(), self._remaining_s())
        )

    def _wait(self, wait_s: float) -> bool:
        return self._client.wait(
            (), self._admitted.caller, wait_s
        ).has_caller_disconnected

    def _remaining_s(self) -> float:
        remaining_s = self._admitted.deadline_s - self._clock.monotonic_s()
        return max(0.0, remaining_s)

    def _record(self, step: str, **inputs: object) -> None:
        self._admitted.trace.record(self._clock.monotonic_s(), step, **inputs)
