"""Samples of the times that one run takes at its engine."""

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _engine_chooser
from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.state import forwarding as data

#: Time between events that one sample covers.
SAMPLE_S = 1.0


class RunSamples:
    """Measures an engine by the events of one run.

    It is called for each read of events, so it only adds up two numbers. A
    slow read delays events without making them fewer, so the mean over a
    sample is that of the engine.
    """

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
        engine: data.ListedTarget,
    ) -> None:
        self._dependencies = dependencies
        self._engines = dependencies.targets.engines
        self._admitted = admitted
        self._engine = engine
        #: A prompt that was read before may be in the cache of the engine.
        self._is_first_reading = progress.last_event_id is None
        self._longest_gap_s = (
            admitted.route.longest_pause_ms
            or _engine_watch.DEFAULT_MAX_PAUSE_MS
        ) / 1000
        self._last_at_s: float | None = None
        self._began_at_s = 0.0
        self._sum_s = 0.0
        self._event_count = 0

    def record_first_event(self, sent_at_s: float, at_s: float) -> None:
        """Record the first event of a prompt that was read."""
        if self._is_first_reading:
            self._engines.record_first_event(
                self._engine,
                self._admitted.request.prompt_tokens,
                sent_at_s,
                at_s,
            )

    def record_events(self, now_s: float, event_count: int) -> None:
        """Record events that were read together.

        A pause longer than the longest one of the route is no matter of pace
        and is left out.
        """
        last_at_s = self._last_at_s
        self._last_at_s = now_s
        if last_at_s is None:
            self._began_at_s = now_s
            return
        gap_s = now_s - last_at_s
        if gap_s > self._longest_gap_s:
            return
        self._sum_s += gap_s
        self._event_count += event_count
        if self._sum_s < SAMPLE_S or self._event_count <= 0:
            return
        unit_time_s = self._sum_s / self._event_count
        began_at_s = self._began_at_s
        self._began_at_s = now_s
        self._sum_s = 0.0
        self._event_count = 0
        if not self._engines.switch.is_on(self._engine.service):
            return
        with self._dependencies.errors.contain(
            _engine_chooser.ENGINE_FORECAST
        ):
            if not self._engines.was_suspended_since(began_at_s):
                self._dependencies.targets.observations.record_unit_time(
                    self._engine, unit_time_s
                )

    def record_end(self, event_count: int) -> None:
        """Record how many events a complete run has sent."""
        self._engines.record_complete(
            self._engine, self._admitted.request.output_tokens, event_count
        )
