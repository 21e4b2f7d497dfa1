"""Predicts what a new run meets at an engine, from learned times.

All figures are learned from what instances see of the engines: the unit time
of each engine, which peers report too, and this instance's own times to first
events. Until there are samples an engine counts as a usual one.
"""

import collections
from collections.abc import Sequence
import dataclasses
import math
import statistics
import threading

from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Bounds of the relative pace of an engine. Differences beyond them come from
#: faults, which are not a matter of pace.
MIN_PACE = 0.25
MAX_PACE = 4.0

#: Weight of the usual pace, in samples, beside those of an engine.
PRIOR_SAMPLE_COUNT = 2.0

#: Time for which the paces of a service are kept before they are computed
#: again: at least the first, and the second for each engine, so that large
#: services take no larger part of the processor.
MIN_REFRESH_S = 1.0
REFRESH_PER_ENGINE_S = 0.002

#: Number of times to first events that are kept for each service, and the
#: quantile of them that counts as the time of an undisturbed prefill. Most
#: prompts share their engine with others; a few are partly cached.
PREFILL_SAMPLE_COUNT = 64
PREFILL_QUANTILE = 0.25

#: Number of samples from which an undisturbed prefill may take longer than
#: the default.
MIN_PREFILL_SAMPLE_COUNT = 8

#: Fraction of the latency objective that an undisturbed prefill is assumed to
#: take until there are samples.
DEFAULT_PREFILL_OBJECTIVE_FRACTION = 0.5

#: Time of an undisturbed prefill without samples and without an objective.
#: The comparison of engines does not depend on it.
DEFAULT_PREFILL_S = 1.0

#: Part of a prefill that a run with a cached prompt or with a copy needs:
#: what the cache lacks of the last block, and the output since the copy.
CACHED_SHARE = 0.1

#: Part of an engine's time that each run that generates takes from a prefill,
#: and a prefill from it. Ten of them, which is a comfortable fill, weigh as
#: much as one more prefill.
DECODE_SHARE = 0.1


class EnginePaces:
    """Relative paces of the engines of each service."""

    def __init__(
        self,
        clock: Clock,
        observations: _target_observations.TargetObservations,
    ) -> None:
        self._clock = clock
        self._observations = observations
        self._lock = threading.Lock()
        self._services: dict[str, _ServicePaces] = {}

    def of(
        self, service: str, engines: Sequence[data.ListedTarget]
    ) -> dict[str, float]:
        """Return the relative pace of each engine by name.

        The median is that of the engines of the first call in a while. A
        single engine does not tell it.
        """
        with self._lock:
            known = self._services.get(service)
            now_s = self._clock.monotonic_s()
            if known is None or now_s >= known.valid_until_s:
                if len(engines) > 1:
                    known = self._measure(engines, now_s)
                    self._services[service] = known
            if known is None:
                return {engine.name: 1.0 for engine in engines}
            for engine in engines:
                if engine.name not in known.by_name:
                    known.by_name[engine.name] = self._pace(
                        engine, known.median_s
                    )
            return {one.name: known.by_name[one.name] for one in engines}

    def median_s(self, service: str) -> float | None:
        """Return the median unit time of a service, or None."""
        with self._lock:
            known = self._services.get(service)
            return None if known is None else known.median_s

    def _measure(
        self, engines: Sequence[data.ListedTarget], now_s: float
    ) -> '_ServicePaces':
        unit_times_s = []
        for engine in engines:
            unit_time = self._observations.unit_time(engine)
            if unit_time is not None:
                unit_times_s.append(unit_time.mean_s)
        median_s = statistics.median(unit_times_s) if unit_times_s else None
        valid_s = max(MIN_REFRESH_S, REFRESH_PER_ENGINE_S * len(engines))
        return _ServicePaces(now_s + valid_s, median_s)

    def _pace(
        self, engine: data.ListedTarget, median_s: float | None
    ) -> float:
        unit_time = self._observations.unit_time(engine)
        if unit_time is None or not median_s:
            return 1.0
        count = unit_time.sample_count
        ratio = unit_time.mean_s / median_s
        pace = (count * ratio + PRIOR_SAMPLE_COUNT) / (
            count + PRIOR_SAMPLE_COUNT
        )
        return min(MAX_PACE, max(MIN_PACE, pace))


@dataclasses.dataclass
class _ServicePaces:
    """Paces of the engines of one service; they are kept for a while."""

    valid_until_s: float
    median_s: float | None
    by_name: dict[str, float] = dataclasses.field(default_factory=dict)


class PrefillTimes:
    """Times of undisturbed prefills, for each token of a prompt."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: dict[str, collections.deque[float]] = {}

    def record(
        self, service: str, prompt_tokens: int, first_event_s: float
    ) -> None:
        """Add the time to the first event of a prompt read from its start."""
        if prompt_tokens <= 0 or not 0 < first_event_s < math.inf:
            return
        with self._lock:
            samples = self._samples.setdefault(
                service, collections.deque(maxlen=PREFILL_SAMPLE_COUNT)
            )
            samples.append(first_event_s / prompt_tokens)

    def token_s(self, service: str) -> float | None:
        """Return the learned time for each token, or None without samples."""
        with self._lock:
            samples = sorted(self._samples.get(service, ()))
        if not samples:
            return None
        return samples[int(PREFILL_QUANTILE * len(samples))]

    def prefill_s(
        self, service: str, prompt_tokens: int, objective_s: float
    ) -> float:
        """Return the time of an undisturbed prefill at a usual engine."""
        default_s = DEFAULT_PREFILL_OBJECTIVE_FRACTION * objective_s
        if not 0 < default_s < math.inf:
            default_s = DEFAULT_PREFILL_S
        with self._lock:
            count = len(self._samples.get(service, ()))
        token_s = self.token_s(service)
        if token_s is None:
            return default_s
        learned_s = token_s * max(1, prompt_tokens)
        if count < MIN_PREFILL_SAMPLE_COUNT:
            return min(default_s, learned_s)
        return learned_s


class RunLengths:
    """Mean number of events that runs of a service send for each token."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ratios: dict[str, float] = {}

    def record(
        self, service: str, output_tokens: int, event_count: int
    ) -> None:
        """Add a complete run with its largest size of the output."""
        if output_tokens <= 0 or event_count <= 0:
            return
        ratio = min(1.0, event_count / output_tokens)
        with self._lock:
            known = self._ratios.get(service, ratio)
            self._ratios[service] = known + 0.1 * (ratio - known)

    def events_left(self, service: str, demand: _placement.RunDemand) -> float:
        """Return the expected number of events that a run has left."""
        with self._lock:
            ratio = self._ratios.get(service, 1.0)
        return max(0.0, ratio * demand.output_tokens - demand.event_count)


class EngineForecaster:
    """Predicts the times of a run at each engine of a service."""

    def __init__(self, paces: EnginePaces) -> None:
        self.paces = paces
        self.prefills = PrefillTimes()
        self.lengths = RunLengths()

    def forecasts(
        self,
        engines: Sequence[data.ListedTarget],
        loads: dict[str, _placement.EngineLoad],
        demand: _placement.RunDemand,
    ) -> dict[str, _engine_selection.EngineForecast]:
        """Return the forecast for each engine of one service by name.

        :param engines: at least one engine.
        """
        service = engines[0].service
        paces = self.paces.of(service, engines)
        usual_s = self.prefills.prefill_s(
            service, _prompt_tokens(demand), demand.objective_s
        )
        median_s = self.paces.median_s(service)
        return {
            engine.name: _forecast(
                engine,
                loads.get(engine.name, _placement.IDLE),
                demand,
                usual_s,
                paces[engine.name],
                median_s,
            )
            for engine in engines
        }

    def remaining_s(self, service: str, demand: _placement.RunDemand) -> float:
        """Return how long a run still generates; inf if it is unknown."""
        median_s = self.paces.median_s(service)
        if median_s is None or demand.output_tokens <= 0:
            return math.inf
        return median_s * self.lengths.events_left(service, demand)


def _forecast(
    engine: data.ListedTarget,
    load: _placement.EngineLoad,
    demand: _placement.RunDemand,
    usual_s: float,
    pace: float,
    median_s: float | None,
) -> _engine_selection.EngineForecast:
    token_s = usual_s / _prompt_tokens(demand)
    prefill_count = max(0, load.prefill_count)
    decode_share = DECODE_SHARE * max(0, load.decode_count)
    is_cached = engine.name == demand.known_engine
    own_s = usual_s * pace * (CACHED_SHARE if is_cached else 1.0)
    ahead_s = token_s * pace * _tokens_ahead(load, demand)
    fill = _placement.fill_with_run(load, engine, demand)
    excess = max(0.0, fill - _placement.COMFORTABLE_FILL) / (
        1 - _placement.COMFORTABLE_FILL
    )
    # The cost of a full engine in runs, of which a prefill is two.
    crowding_s = (
        usual_s * excess * _placement.FULL_COST / _placement.PREFILL_COST
    )
    return _engine_selection.EngineForecast(
        first_event_s=(own_s + ahead_s) * (1 + decode_share) + crowding_s,
        own_s=own_s,
        crowding_s=crowding_s,
        delay_s=own_s * (prefill_count + decode_share * (1 + prefill_count)),
        usual_s=usual_s,
        pace=pace,
        event_s=(
            None if median_s is None else median_s * pace * (1 + decode_share)
        ),
    )


def _prompt_tokens(demand: _placement.RunDemand) -> int:
    """Return the size of a prompt, that of the run if it is unknown."""
    return max(1, demand.prompt_tokens or demand.token_count)


def _tokens_ahead(
    load: _placement.EngineLoad, demand: _placement.RunDemand
) -> float:
    """Return the tokens of the prompts that an engine is reading.

    Runs that an earlier release reported have no size and count as this one.
    """
    if load.prefill_count <= 0:
        return 0
    tokens = load.prefill_tokens
    if tokens <= 0:
        tokens = load.prefill_count * _prompt_tokens(demand)
    if demand.kv_cache_tokens > 0:
        # No more can be read at a time than the memory holds.
        tokens = min(
            tokens, max(1, load.prefill_count) * demand.kv_cache_tokens
        )
    return tokens
