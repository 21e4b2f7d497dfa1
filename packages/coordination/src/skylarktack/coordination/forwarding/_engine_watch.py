"""Watches whether an engine makes progress on one run."""

import math

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.state import forwarding as data

#: Fraction of the maximum pause after which an unresponsive engine is probed.
#: The prefill of another run delays events by a third of a maximum pause of
#: 700 ms.
PROBE_PAUSE_FRACTION = 0.4

#: Fraction of the maximum pause after which a stream fails over even though
#: its engine answers probes.
FAILOVER_PAUSE_FRACTION = 0.7

#: The same, in maximum pauses, for an engine that answers probes and that
#: neighbours on its machine may slow: there a pause between events that is
#: nearly too long for the route is usual while it reads prompts.
SLOWED_FAILOVER_PAUSE_COUNT = 2.0

#: Maximum pause between events that is assumed of a route without one.
DEFAULT_MAX_PAUSE_MS = 2000.0

#: Fractions of the latency objective after which an engine that has produced
#: no event is probed: for the first time, and between later probes.
FIRST_PROBE_OBJECTIVE_FRACTION = 0.35
NEXT_PROBE_OBJECTIVE_FRACTION = 0.25

#: Fraction of the latency objective after which a stream fails over from an
#: engine that answers probes and has an empty queue, but has produced no
#: event.
HANG_OBJECTIVE_FRACTION = 0.8

#: Maximum wait for the response to a probe.
PROBE_TIMEOUT_S = 0.1

#: Interval at which suspicions reported by other instances are checked during
#: the prefill.
SUSPICION_CHECK_INTERVAL_S = 0.2


class EngineWatch:
    """Finds out whether an engine is unresponsive during one run."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
        target: data.ListedTarget,
    ) -> None:
        self._client = dependencies.client
        self._clock = dependencies.clock
        self._targets = dependencies.targets
        self._admitted = admitted
        self._progress = progress
        self._target = target
        self.is_streaming = False
        self.sent_at_s = self._clock.monotonic_s()
        #: When the engine was last heard of; at first, when it was sent to.
        self.last_event_at_s = self.sent_at_s
        self._probed_at_s = self.sent_at_s
        #: Whether the engine answers probes but has produced no event.
        self._is_hung = False
        #: The next check after the run was kept at an unresponsive engine.
        self._deferred_until_s = -math.inf
        objective_s = admitted.route.latency_objective_ms / 1000
        pause_s = (
            admitted.route.longest_pause_ms or DEFAULT_MAX_PAUSE_MS
        ) / 1000
        self._probe_after_s = PROBE_PAUSE_FRACTION * pause_s
        #: Whether first events are predicted, so that ``OverdueCheck`` finds
        #: the late ones.
        self._is_predicted = self._targets.engines.switch.is_on(target.service)
        self._failover_after_s = FAILOVER_PAUSE_FRACTION * pause_s
        if self._is_predicted:
            self._failover_after_s = SLOWED_FAILOVER_PAUSE_COUNT * pause_s
        self._hang_after_s = HANG_OBJECTIVE_FRACTION * objective_s
        self._next_probe_after_s = NEXT_PROBE_OBJECTIVE_FRACTION * objective_s
        self._probe_at_s = (
            self.sent_at_s + FIRST_PROBE_OBJECTIVE_FRACTION * objective_s
        )

    def record_event(self) -> None:
        """Record that the engine has sent an event."""
        self.last_event_at_s = self._clock.monotonic_s()
        self.is_streaming = True

    def defer(self) -> None:
        """Put off the next check: the run cannot go on elsewhere for now."""
        self._deferred_until_s = (
            self._clock.monotonic_s() + self._probe_after_s
        )

    def leave(self) -> None:
        """Record that the run leaves the engine.

        Engines do not report which prompts they are prefilling, so a hung one
        may be making progress. Such an engine is left once.
        """
        if self._is_hung:
            self._progress.has_abandoned_hung_engine = True

    def next_check_s(self, now_s: float) -> float:
        """Return when the responsiveness of the engine is checked next."""
        if not self._admitted.route.is_retryable:
            return self._admitted.deadline_s
        if not self.is_streaming:
            check_at_s = min(
                self._probe_at_s, now_s + SUSPICION_CHECK_INTERVAL_S
            )
        elif self._probed_at_s <= self.last_event_at_s:
            check_at_s = self.last_event_at_s + self._probe_after_s
        else:
            check_at_s = self.last_event_at_s + self._failover_after_s
        return max(check_at_s, self._deferred_until_s)

    def check(self, now_s: float) -> str | None:
        """Return why the engine seems unresponsive, or None."""
        if not self._admitted.route.is_retryable:
            return None
        if now_s < self._deferred_until_s:
            return None
        if not self.is_streaming:
            suspected_at_s = self._targets.suspected_at_s(self._target)
            if now_s < self._probe_at_s and (
                suspected_at_s <= self._probed_at_s
            ):
                return None
            self._probe_at_s = now_s + self._next_probe_after_s
            return self._probe()
        inactive_s = now_s - self.last_event_at_s
        if inactive_s >= self._failover_after_s:
            return 'no event before the failover timeout'
        if inactive_s < self._probe_after_s:
            return None
        if self._probed_at_s > self.last_event_at_s:
            return None
        return self._probe()

    def _probe(self) -> str | None:
        if self._targets.exclusions.is_paused(self._target):
            # It answered just now, and wants nothing more.
            self._probed_at_s = self._clock.monotonic_s()
            return None
        report = self._client.probe(self._target, PROBE_TIMEOUT_S)
        self._probed_at_s = self._clock.monotonic_s()
        if report is None:
            return 'the engine did not answer a probe'
        self._targets.report_probe(self._target, report)
        if has_restarted(self._target, report.started_at_ms):
            return 'another process answers at this address'
        self._admitted.trace.record(
            self._probed_at_s,
            'probe',
            target=self._target.name,
            queued=report.queued_count,
        )
        if self.is_streaming or report.queued_count != 0:
            return None
        if self._is_predicted:
            return None
        if self._probed_at_s < self.sent_at_s + self._hang_after_s:
            return None
        if self._progress.has_abandoned_hung_engine:
            return None
        self._is_hung = True
        return 'no first event from an engine with an empty queue'


def has_restarted(
    target: data.ListedTarget, started_at_ms: int | None
) -> bool:
    """Return whether another process than the known target has a start time.

    :param started_at_ms: start of the process, or None if it is not known.
    """
    if target.started_at_ms is None or started_at_ms is None:
        return False
    return target.started_at_ms != started_at_ms
