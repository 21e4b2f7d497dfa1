"""Chooses engines by the policy that the deployment calls for."""

from collections.abc import Sequence

from skylarktack.coordination.forwarding import _engine_forecast
from skylarktack.coordination.forwarding import _engine_policies
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _forecast_policy
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _policy_switch
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _suspensions
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Place of errors of a forecast, for the log.
ENGINE_FORECAST = 'engine forecast'


class EngineChooser:
    """Holds both policies; an error of the forecast falls back to counts."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        observations: _target_observations.TargetObservations,
        errors: _supervision.ErrorRecorder,
        suspensions: _suspensions.Suspensions,
    ) -> None:
        self._errors = errors
        self._suspensions = suspensions
        self.switch = _policy_switch.PolicySwitch(log)
        self.forecaster = _engine_forecast.EngineForecaster(
            _engine_forecast.EnginePaces(clock, observations)
        )
        self._forecast = _forecast_policy.ForecastPolicy(
            clock, self.forecaster
        )
        self._counting = _engine_policies.CountingPolicy()

    def follow(self, configuration: data.ForwardingConfiguration) -> None:
        """Use the configuration that is in force."""
        with self._errors.contain(ENGINE_FORECAST):
            self.switch.follow(configuration)

    def record_loss(self, engine: data.ListedTarget | None) -> None:
        """Record that an engine was lost; None for one that is not listed."""
        if engine is not None and self.switch.is_on(engine.service):
            self._forecast.record_loss(engine.service)

    def record_first_event(
        self,
        engine: data.ListedTarget,
        prompt_tokens: int,
        sent_at_s: float,
        at_s: float,
    ) -> None:
        """Record when a prompt that is not cached was sent and was read."""
        if not self.switch.is_on(engine.service):
            return
        with self._errors.contain(ENGINE_FORECAST):
            if self.was_suspended_since(sent_at_s):
                return
            pace = self.forecaster.paces.of(engine.service, (engine,))
            self.forecaster.prefills.record(
                engine.service,
                prompt_tokens,
                (at_s - sent_at_s) / pace[engine.name],
            )

    def record_complete(
        self, engine: data.ListedTarget, output_tokens: int, event_count: int
    ) -> None:
        """Record how long the output of a complete run was."""
        if self.switch.is_on(engine.service):
            self.forecaster.lengths.record(
                engine.service, output_tokens, event_count
            )

    def was_suspended_since(self, at_s: float) -> bool:
        """Return whether this process was suspended after a time."""
        return at_s < self._suspensions.running_since_s()

    def compared(
        self,
        candidates: Sequence[data.ListedTarget],
        demand: _placement.RunDemand,
    ) -> Sequence[data.ListedTarget]:
        """Return those of a service's engines that are compared for a run."""
        if not candidates or not self.switch.is_on(candidates[0].service):
            return candidates
        return _forecast_policy.narrowed(candidates, demand)

    def choose(
        self,
        candidates: Sequence[data.ListedTarget],
        loads: _engine_policies.Loads,
        demand: _placement.RunDemand,
    ) -> _engine_selection.EnginePair:
        """Return the engines of a run.

        :param candidates: at least one engine, all of one service.
        """
        if self.switch.is_on(candidates[0].service):
            with self._errors.contain(ENGINE_FORECAST):
                return _choose(self._forecast, candidates, loads, demand)
        return _choose(self._counting, candidates, loads, demand)

    def choose_standby(
        self,
        candidates: Sequence[data.ListedTarget],
        primary: data.ListedTarget,
        loads: _engine_policies.Loads,
        demand: _placement.RunDemand,
    ) -> data.ListedTarget | None:
        """Return the engine for the standby copy of a run, or None."""
        if self.switch.is_on(primary.service):
            with self._errors.contain(ENGINE_FORECAST):
                return self._forecast.choose_standby(
                    candidates, primary, loads, demand
                )
        return self._counting.choose_standby(
            candidates, primary, loads, demand
        )


def _choose(
    policy: _engine_policies.EnginePolicy,
    candidates: Sequence[data.ListedTarget],
    loads: _engine_policies.Loads,
    demand: _placement.RunDemand,
) -> _engine_selection.EnginePair:
    choice = policy.choose_primary(candidates, loads, demand)
    standby = policy.choose_standby(candidates, choice.engine, loads, demand)
    return _engine_selection.EnginePair(
        choice.engine, standby, choice.forecast
    )
