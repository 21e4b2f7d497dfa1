"""Plays the load of a service: engines of different pace, stale reports."""

import dataclasses

from skylarktack.coordination import fakes
from skylarktack.coordination.forwarding import _engine_forecast
from skylarktack.coordination.forwarding import _engine_policies
from skylarktack.coordination.forwarding import _forecast_policy
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

PROMPT_TOKENS = 8200
PREFILL_S = 1.0
DECODE_S = 3.9
KV_CACHE_TOKENS = 88_000

#: Age of the reports on which instances decide.
REPORT_AGE_S = 0.01

#: Time of the clock at the start of a play.
START_S = fakes.SteppingClock().monotonic_s()

#: Step of the play.
STEP_S = 0.01


@dataclasses.dataclass(eq=False)
class PlayedRun:
    """A run of the play and what became of it."""

    key: str

    #: Time since the start of the play.
    arrives_after_s: float
    objective_s: float
    engine: str = ''
    prefill_left_s: float = PREFILL_S
    decode_left_s: float = DECODE_S
    first_event_at_s: float | None = None

    @property
    def arrives_at_s(self) -> float:
        """Time of the clock at which the run arrives."""
        return START_S + self.arrives_after_s

    @property
    def is_in_time(self) -> bool:
        """Whether the first event came within the objective."""
        at_s = self.first_event_at_s
        return at_s is not None and at_s - self.arrives_at_s < self.objective_s


def engines(
    paces: tuple[float, ...], count: int
) -> tuple[list[data.ListedTarget], dict[str, float]]:
    """Return engines in three domains, and their paces in turn."""
    listed = []
    pace_by_name = {}
    for number in range(count):
        domain = f'domain-{"abc"[number % 3]}'
        name = f'engine-{number}'
        target = harness.target(name, domain)
        listed.append(dataclasses.replace(target, slot_count=16))
        pace_by_name[name] = paces[(number // 3) % len(paces)]
    return listed, pace_by_name


def demand(
    run: PlayedRun | None = None, objective_s: float = 4.0, **changes: object
) -> _placement.RunDemand:
    """Return the demand of a run of the play, or of another one."""
    begun_at_s = START_S if run is None else run.arrives_at_s
    if run is not None:
        objective_s = run.objective_s
    made = _placement.RunDemand(
        affinity_key='own' if run is None else run.key,
        token_count=PROMPT_TOKENS + 300,
        kv_cache_tokens=KV_CACHE_TOKENS,
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=600,
        objective_s=objective_s,
        due_at_s=begun_at_s + objective_s,
        deadline_s=begun_at_s + 25.0,
    )
    return dataclasses.replace(made, **changes)  # type: ignore[arg-type]


class Play:
    """Engines that share their time among prefills, and their runs."""

    def __init__(
        self,
        listed: list[data.ListedTarget],
        paces: dict[str, float],
        is_forecast: bool,
    ) -> None:
        self.clock = fakes.SteppingClock()
        self.listed = listed
        self.paces = paces
        self.runs: list[PlayedRun] = []
        self._reports: list[tuple[float, _engine_policies.Loads]] = []
        observations = _target_observations.TargetObservations(self.clock)
        for target in listed:
            for _ in range(40):
                observations.record_unit_time(
                    target, 0.026 * paces[target.name]
                )
        self.forecaster = _engine_forecast.EngineForecaster(
            _engine_forecast.EnginePaces(self.clock, observations)
        )
        for _ in range(20):
            self.forecaster.prefills.record('pool', PROMPT_TOKENS, PREFILL_S)
        self.forecast = _forecast_policy.ForecastPolicy(
            self.clock, self.forecaster
        )
        self.policy: _engine_policies.EnginePolicy = self.forecast
        if not is_forecast:
            self.policy = _engine_policies.CountingPolicy()

    def loads(self) -> _engine_policies.Loads:
        """Return the loads of the engines at this moment."""
        loads: _engine_policies.Loads = {}
        for run in self.runs:
            if not run.engine:
                continue
            status = data.RunStatus(
                run.key,
                run.key,
                run.engine,
                None,
                run.first_event_at_s is None,
                False,
                PROMPT_TOKENS + 300,
            )
            load = loads.get(run.engine, _placement.IDLE)
            loads[run.engine] = load.with_run(status)
        return loads

    def lose_domain(self, domain: str) -> int:
        """Lose the engines of a domain; their runs look for others."""
        lost = [one for one in self.listed if one.failure_domain == domain]
        names = {one.name for one in lost}
        self.listed = [one for one in self.listed if one not in lost]
        self.forecast.record_loss('pool')
        count = 0
        for run in self.runs:
            if run.engine in names and run.first_event_at_s is None:
                run.engine = ''
                run.prefill_left_s = PREFILL_S
                count += 1
        return count

    def run_until(self, end_s: float) -> None:
        """Let the runs arrive, be placed and go on."""
        while self.clock.monotonic_s() < START_S + end_s:
            now_s = self.clock.monotonic_s()
            self._reports.append((now_s, self.loads()))
            while self._reports[0][0] < now_s - REPORT_AGE_S:
                del self._reports[0]
            known = self._reports[0][1]
            for run in self.runs:
                if run.arrives_at_s <= now_s and not run.engine:
                    if run.first_event_at_s is None:
                        run.engine = self.policy.choose_primary(
                            self.listed, known, demand(run)
                        ).engine.name
            self._work()
            self.clock.advance(STEP_S)

    def _work(self) -> None:
        prefilling: dict[str, int] = {}
        for run in self.runs:
            if run.engine and run.first_event_at_s is None:
                prefilling[run.engine] = prefilling.get(run.engine, 0) + 1
        for run in self.runs:
            if not run.engine:
                continue
            work_s = STEP_S / self.paces[run.engine]
            if run.first_event_at_s is None:
                run.prefill_left_s -= work_s / prefilling[run.engine]
                if run.prefill_left_s <= 0:
                    run.first_event_at_s = self.clock.monotonic_s()
                continue
            run.decode_left_s -= work_s / (1 + prefilling.get(run.engine, 0))
            if run.decode_left_s <= 0:
                run.engine = ''
