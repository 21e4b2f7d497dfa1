"""Chooses the engines of a run by the times that are predicted for it.

Many instances decide in the same milliseconds on the same reports. Each draws
among the engines with a probability that falls with their cost (weighted
rendezvous hashing), so that they do not all take the one with the least.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
import heapq
import math
import zlib

from skylarktack.coordination.forwarding import _engine_forecast
from skylarktack.coordination.forwarding import _engine_policies
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Smallest weight of a run's own time beside the time that it costs others. A
#: run has it if its slack is several times as long as its prefill.
MIN_OWN_WEIGHT = 0.25

#: Factor of the delay of other runs for a run that is late at all engines.
LATE_DELAY_FACTOR = 4.0

#: Difference of costs, in prefills, at which the probability of an engine
#: falls by the factor e: in calm, and for a while after losses, when many
#: runs look for engines at once.
CALM_SCALE = 0.1
LOSS_SCALE = 1.0
LOSS_EFFECT_S = 1.0

#: Number of engines that one choice compares. It bounds the time of a choice
#: in large services; the best of so many is about as good as that of all.
MAX_CANDIDATE_COUNT = 256

#: Engines are not considered beyond this number of scales from the least
#: cost; their probability is below 1 in 100,000.
MAX_SCALE_COUNT = 12.0


def narrowed(
    candidates: Sequence[data.ListedTarget], demand: _placement.RunDemand
) -> Sequence[data.ListedTarget]:
    """Return the engines that are compared for a run.

    The prompt alone decides on them, so that a run that returns finds its
    engine among them.
    """
    if len(candidates) <= MAX_CANDIDATE_COUNT:
        return candidates
    seed = zlib.crc32((demand.affinity_key or demand.run_id).encode())
    return heapq.nsmallest(
        MAX_CANDIDATE_COUNT,
        candidates,
        key=lambda one: (
            one.name != demand.known_engine,
            zlib.crc32(one.name.encode(), seed),
        ),
    )


class ForecastPolicy:
    """Compares engines by the predicted times of a run."""

    def __init__(
        self, clock: Clock, forecaster: _engine_forecast.EngineForecaster
    ) -> None:
        self._clock = clock
        self._forecaster = forecaster
        self._lost_at_s: dict[str, float] = {}

    def record_loss(self, service: str) -> None:
        """Record that an engine of a service was just lost."""
        self._lost_at_s[service] = self._clock.monotonic_s()

    def choose_primary(
        self,
        candidates: Sequence[data.ListedTarget],
        loads: _engine_policies.Loads,
        demand: _placement.RunDemand,
    ) -> _engine_policies.EngineChoice:
        """Return an engine at which the run is in time and delays few.

        A run with slack leaves quick engines to others. One that is late
        everywhere goes where it delays others least. The engine that has read
        the prompt before is preferred within a limit.
        """
        candidates = narrowed(candidates, demand)
        forecasts = self._forecaster.forecasts(candidates, loads, demand)
        costs_s = self._costs_s(forecasts, demand)
        least_s = min(costs_s.values())
        chosen = demand.known_engine
        if chosen not in costs_s or costs_s[
            chosen
        ] - least_s > _return_limit_s(forecasts, demand):
            chosen = _draw(
                costs_s, self._scale_s(candidates, forecasts, demand), demand
            )
        for target in candidates:
            if target.name == chosen:
                return _engine_policies.EngineChoice(
                    target, forecasts[target.name]
                )
        raise AssertionError('the chosen engine is not a candidate')

    def choose_standby(
        self,
        candidates: Sequence[data.ListedTarget],
        primary: data.ListedTarget,
        loads: _engine_policies.Loads,
        demand: _placement.RunDemand,
    ) -> data.ListedTarget | None:
        """Return an engine in another domain with free memory, or None.

        There is none for a run that ends sooner than its prompt could be read
        again, or that has no time for that. Where all engines are in one
        domain, the copy is in the same one, unless engines are being lost.
        """
        remote = [
            target
            for target in candidates
            if target.failure_domain != primary.failure_domain
        ]
        if not remote and not self._is_after_loss(primary.service):
            remote = [one for one in candidates if one.name != primary.name]
        eligible = []
        for target in narrowed(remote, demand):
            load = loads.get(target.name, _placement.IDLE)
            fill = _placement.fill_with_run(load, target, demand)
            if fill < _placement.COMFORTABLE_FILL:
                eligible.append(target)
        if not eligible:
            return None
        forecasts = self._forecaster.forecasts(eligible, loads, demand)
        if not self._is_worth_copying(primary, forecasts, demand):
            return None
        costs_s = {}
        for target in eligible:
            load = loads.get(target.name, _placement.IDLE)
            forecast = forecasts[target.name]
            copies = _placement.STANDBY_COST * max(0, load.standby_count)
            costs_s[target.name] = (
                forecast.first_event_s
                + forecast.delay_s
                + forecast.usual_s * copies / _placement.PREFILL_COST
            )
        chosen = _draw(
            costs_s, self._scale_s(eligible, forecasts, demand), demand
        )
        return next(one for one in eligible if one.name == chosen)

    def _is_worth_copying(
        self,
        primary: data.ListedTarget,
        forecasts: Mapping[str, _engine_selection.EngineForecast],
        demand: _placement.RunDemand,
    ) -> bool:
        usual_s = next(iter(forecasts.values())).usual_s
        if demand.deadline_s - self._clock.monotonic_s() <= usual_s:
            return False
        remaining_s = self._forecaster.remaining_s(primary.service, demand)
        return remaining_s > usual_s

    def _costs_s(
        self,
        forecasts: Mapping[str, _engine_selection.EngineForecast],
        demand: _placement.RunDemand,
    ) -> dict[str, float]:
        """Return the costs of the engines at which the run is in time.

        Those of all engines if it is late at each.
        """
        left_s = demand.due_at_s - self._clock.monotonic_s()
        least_s = min(one.first_event_s for one in forecasts.values())
        slack_s = left_s - least_s
        own_weight = MIN_OWN_WEIGHT
        delay_factor = 1.0
        if slack_s < 0:
            delay_factor = LATE_DELAY_FACTOR
        elif MIN_OWN_WEIGHT * slack_s < least_s:
            own_weight = min(1.0, least_s / max(slack_s, least_s))
        costs_s = {}
        for name, one in forecasts.items():
            if slack_s >= 0 and one.first_event_s > left_s:
                continue
            # What a run without slack would gain by this engine.
            kept_s = one.usual_s * max(0.0, 1 - one.pace)
            costs_s[name] = (
                own_weight * (one.first_event_s - one.crowding_s)
                + (1 - own_weight) * kept_s
                + one.crowding_s
                + delay_factor * one.delay_s
            )
        return costs_s

    def _scale_s(
        self,
        candidates: Sequence[data.ListedTarget],
        forecasts: Mapping[str, _engine_selection.EngineForecast],
        demand: _placement.RunDemand,
    ) -> float:
        scale = CALM_SCALE
        if demand.is_repeated or self._is_after_loss(candidates[0].service):
            scale = LOSS_SCALE
        return scale * next(iter(forecasts.values())).usual_s

    def _is_after_loss(self, service: str) -> bool:
        lost_at_s = self._lost_at_s.get(service, -math.inf)
        return self._clock.monotonic_s() < lost_at_s + LOSS_EFFECT_S


def _return_limit_s(
    forecasts: Mapping[str, _engine_selection.EngineForecast],
    demand: _placement.RunDemand,
) -> float:
    """Return the cost for which a run returns to the engine with its prompt.

    The prediction already has the prefill that it saves there.
    """
    limit = _placement.RETURN_COST_LIMIT
    if demand.is_resumed:
        limit = _placement.RESUME_COST_LIMIT
    usual_s = next(iter(forecasts.values())).usual_s
    return max(0.0, limit / _placement.PREFILL_COST - 1) * usual_s


def _draw(
    costs_s: Mapping[str, float],
    scale_s: float,
    demand: _placement.RunDemand,
) -> str:
    """Return an engine, drawn by the prompt and weighted by cost.

    The weights are exp(-cost / scale). The largest sum of the logarithm of a
    weight and a Gumbel-distributed hash is drawn with the probability of its
    weight, which is a form of weighted rendezvous hashing.
    """
    least_s = min(costs_s.values())
    best_name = ''
    best_score = -math.inf
    for name, cost_s in costs_s.items():
        distance = (cost_s - least_s) / scale_s
        if not distance <= MAX_SCALE_COUNT:
            continue
        text = f'{demand.affinity_key or demand.run_id}\0{name}'.encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        fraction = (int.from_bytes(digest) + 0.5) / 2**64
        # The rounding of the sum may give exactly 1.
        fraction = min(fraction, 1 - 2**-53)
        score = -distance - math.log(-math.log(fraction))
        if score > best_score:
            best_name = name
            best_score = score
    return best_name
