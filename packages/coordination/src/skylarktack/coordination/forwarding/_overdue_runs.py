"""Finds runs whose first event is overdue while other engines are idle."""

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _engine_chooser
from skylarktack.coordination.forwarding import _engine_policies
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _stream_attempts

#: Factor of the predicted time to the first event after which it is overdue.
#: Neighbours on its machine slow an engine down by more, but for less long.
OVERDUE_FACTOR = 2.0

#: Maximum predicted time elsewhere, as a fraction of the wait so far. How
#: long the wait goes on is not known; it is assumed to last as long again.
MAX_ELSEWHERE_FRACTION = 0.5


class OverdueCheck:
    """Decides whether one run moves before its first event."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
        choice: _engine_policies.EngineChoice,
        demand: _placement.RunDemand,
        failover: _stream_attempts.FailoverReservation,
    ) -> None:
        """Create the check of a run that is sent to an engine.

        :param choice: the engine; a run never leaves one that was chosen
            without a prediction.
        :param failover: asked before the run leaves the engine.
        """
        self._dependencies = dependencies
        self._targets = dependencies.targets
        self._admitted = admitted
        self._progress = progress
        self._engine = choice.engine
        self._forecast = choice.forecast
        self._demand = demand
        self._failover = failover

    def end_of_run(
        self, watch: _engine_watch.EngineWatch
    ) -> _stream_attempts.AttemptLost | None:
        """Return the end of the run here if its first event is overdue.

        The engine may be sound, so it is not reported as lost, and a run
        leaves such an engine once.
        """
        if self._forecast is None or not self._admitted.route.is_retryable:
            return None
        if watch.is_streaming or self._progress.has_abandoned_hung_engine:
            return None
        detail = None
        with self._dependencies.errors.contain(
            _engine_chooser.ENGINE_FORECAST
        ):
            detail = self._overdue_detail(self._forecast, watch.sent_at_s)
        if detail is None:
            return None
        # Asked once: an obstacle mostly lasts, and the search costs time.
        self._progress.has_abandoned_hung_engine = True
        obstacle = self._failover.reserve_move(self._engine)
        self._admitted.trace.record(
            self._dependencies.clock.monotonic_s(),
            'overdue',
            target=self._engine.name,
            detail=detail,
            kept_because=obstacle,
        )
        if obstacle is not None:
            return None
        return _stream_attempts.AttemptLost(detail, None)

    def _queue_s(self) -> float:
        """Return how long the prompts at the engine take, with this one.

        Runs that were placed there at the same moment were not known when
        this one was.
        """
        current = self._targets.engines.forecaster.forecasts(
            (self._engine,), self._dependencies.fleet.loads(), self._demand
        )[self._engine.name]
        return current.first_event_s - current.own_s

    def _overdue_detail(
        self, forecast: _engine_selection.EngineForecast, sent_at_s: float
    ) -> str | None:
        now_s = self._dependencies.clock.monotonic_s()
        waited_s = now_s - sent_at_s
        if waited_s < OVERDUE_FACTOR * forecast.uncached_s:
            return None
        if waited_s < OVERDUE_FACTOR * self._queue_s():
            return None
        if self._targets.engines.was_suspended_since(sent_at_s):
            return None
        pair = self._targets.placement.choose_engines(
            self._admitted.service,
            self._admitted.request.model,
            self._demand,
            frozenset((self._engine.name,)),
            self._admitted.version_rule.for_retry(),
        )
        if pair is None or pair.forecast is None:
            return None
        if self._targets.is_unavailable(pair.primary):
            return None
        elsewhere_s = pair.forecast.first_event_s
        if elsewhere_s > MAX_ELSEWHERE_FRACTION * waited_s:
            return None
        if now_s + elsewhere_s > self._demand.due_at_s:
            return None
        return (
            f'no first event after {round(1000 * waited_s)} ms, predicted '
            f'{round(1000 * forecast.first_event_s)} ms here and '
            f'{round(1000 * elsewhere_s)} ms elsewhere'
        )
