"""Decides on which engine a run is placed, and where its copy is kept.

A prompt that is being read takes most of the steps of its engine, so it
delays every run there, and runs share the engine's KV cache with the copies
of other runs. The decision compares engines by these, not by their number of
free slots: an engine may have many slots and memory for few runs.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import hashlib
import math

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.state import forwarding as data

#: Cost of each run that an engine has, in runs in their decode phase. A run
#: in prefill delays the new one and is delayed by it.
PREFILL_COST = 2.0
DECODE_COST = 1.0

#: Cost of each standby copy when the engine for another copy is chosen: it
#: becomes a run when its engine fails.
STANDBY_COST = 0.5

#: Fill of the KV cache or of the slots above which the cost rises, and the
#: increase up to a full engine. A full engine queues or preempts runs.
COMFORTABLE_FILL = 0.8
FULL_COST = 20.0

#: Fill up to which an engine is given copies of other engines' runs.
MAX_COPY_FILL = 1.0

#: Largest cost for which a run returns to the engine that has read its prompt
#: instead of the engine with the least cost. A stream that was interrupted
#: midway may wait longer for it than a new request.
RETURN_COST_LIMIT = 2.0
RESUME_COST_LIMIT = 6.0


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Work that the fleet has placed on one engine."""

    #: Runs whose prompt is being read, and runs that generate.
    prefill_count: int = 0
    decode_count: int = 0

    #: Standby copies of runs of other engines.
    standby_count: int = 0

    #: Tokens of the KV cache that runs and copies use.
    token_count: int = 0

    #: Tokens of the runs whose prompt is being read.
    prefill_tokens: int = 0

    def with_run(self, run: data.RunStatus) -> 'EngineLoad':
        """Return the load with one more run."""
        prefill_tokens = run.token_count if run.is_prefilling else 0
        return dataclasses.replace(
            self,
            prefill_count=self.prefill_count + run.is_prefilling,
            decode_count=self.decode_count + (not run.is_prefilling),
            token_count=self.token_count + run.token_count,
            prefill_tokens=self.prefill_tokens + prefill_tokens,
        )

    def with_standby(self, run: data.RunStatus) -> 'EngineLoad':
        """Return the load with one more standby copy."""
        return dataclasses.replace(
            self,
            standby_count=self.standby_count + 1,
            token_count=self.token_count + run.token_count,
        )


IDLE = EngineLoad()


@dataclasses.dataclass(frozen=True)
class RunDemand:
    """What a run needs of an engine."""

    #: Identifies the prompt; empty for a run without one.
    affinity_key: str

    #: Prompt and half of the longest output, which the run has generated on
    #: average over its time.
    token_count: int

    #: Size of each engine's KV cache; 0 if it is unknown.
    kv_cache_tokens: int

    #: Engine that was last seen with the prompt, or None.
    known_engine: str | None = None

    #: Whether the run continues an interrupted stream.
    is_resumed: bool = False

    #: Size of the prompt; 0 if it is unknown.
    prompt_tokens: int = 0

    #: Largest size of the output; 0 if it is unknown.
    output_tokens: int = 0

    #: Events that the caller has received of the run.
    event_count: int = 0

    #: Latency objective; 0 if it is unknown.
    objective_s: float = 0.0

    #: Monotonic times by which the next event has to arrive to be in time,
    #: and by which the stream ends.
    due_at_s: float = math.inf
    deadline_s: float = math.inf

    #: Whether an earlier engine of the run failed.
    is_repeated: bool = False

    #: Identifies the run where there is no prompt.
    run_id: str = ''


def demand_of(
    admitted: _admitted_request.AdmittedRequest,
) -> RunDemand:
    """Return what the run of an admitted request needs of an engine."""
    request = admitted.request
    capacity = admitted.engine
    objective_s = admitted.route.latency_objective_ms / 1000
    return RunDemand(
        affinity_key=_engine_selection.affinity_key_of(request),
        token_count=request.prompt_tokens + request.output_tokens // 2,
        kv_cache_tokens=0 if capacity is None else capacity.kv_cache_tokens,
        is_resumed=request.last_event_id is not None,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        objective_s=objective_s,
        due_at_s=admitted.started_at_s + objective_s,
        deadline_s=admitted.deadline_s,
        run_id=request.attempt_id,
    )


def demand_after_progress(
    demand: RunDemand,
    admitted: _admitted_request.AdmittedRequest,
    last_event_id: int | None,
    last_sent_at_s: float | None,
) -> RunDemand:
    """Return the demand of a run after what its caller has received.

    :param last_sent_at_s: monotonic time of the last event that was sent to
        the caller, or None without any.
    """
    first_event_id = admitted.request.last_event_id or 0
    pause_ms = admitted.route.longest_pause_ms
    due_at_s = demand.due_at_s
    if last_sent_at_s is not None and pause_ms is not None:
        due_at_s = last_sent_at_s + pause_ms / 1000
    return dataclasses.replace(
        demand,
        event_count=max(0, (last_event_id or 0) - first_event_id),
        due_at_s=due_at_s,
    )


def choose_primary(
    candidates: Sequence[data.ListedTarget],
    loads: Mapping[str, EngineLoad],
    demand: RunDemand,
) -> data.ListedTarget:
    """Return the engine that the run slows down least, and is slowed least.

    The engine that has read the prompt before is preferred within a limit.
    Among engines of equal cost the choice depends on the prompt alone, so
    that a caller who returns after all instances were lost finds its prompt
    in the cache more often (rendezvous hashing, Thaler and Ravishankar 1998).

    :param candidates: at least one engine.
    """
    costs = {}
    for target in candidates:
        load = loads.get(target.name, IDLE)
        costs[target.name] = run_cost(load, target, demand)
    least = min(costs.values())
    limit = RESUME_COST_LIMIT if demand.is_resumed else RETURN_COST_LIMIT
    for target in candidates:
        if target.name != demand.known_engine:
            continue
        if costs[target.name] - least < limit:
            return target
    equals = [target for target in candidates if costs[target.name] == least]
    return max(equals, key=lambda target: _rendezvous_rank(demand, target))


def likely_engines(
    candidates: Sequence[data.ListedTarget], demand: RunDemand, count: int
) -> tuple[data.ListedTarget, ...]:
    """Return the engines that most likely have the prompt of a run cached.

    ``choose_primary`` prefers them, in this order, among engines of equal
    cost.
    """
    ranked = sorted(
        candidates,
        key=lambda target: _rendezvous_rank(demand, target),
        reverse=True,
    )
    return tuple(ranked[:count])


def choose_standby(
    candidates: Sequence[data.ListedTarget],
    primary: data.ListedTarget,
    loads: Mapping[str, EngineLoad],
    demand: RunDemand,
) -> data.ListedTarget | None:
    """Return the engine that keeps the copy of a run, or None.

    It is in another failure domain than the primary if there is one, and is
    the one on which the run would go on best. Where all engines are nearly
    full there is none: copies would displace runs.
    """
    others = [target for target in candidates if target.name != primary.name]
    remote = [
        target
        for target in others
        if target.failure_domain != primary.failure_domain
    ]
    eligible = []
    for target in remote or others:
        load = loads.get(target.name, IDLE)
        if fill_with_run(load, target, demand) <= MAX_COPY_FILL:
            eligible.append(target)
    if not eligible:
        return None
    costs = {}
    for target in eligible:
        load = loads.get(target.name, IDLE)
        costs[target.name] = (
            run_cost(load, target, demand) + STANDBY_COST * load.standby_count
        )
    return min(
        eligible,
        key=lambda target: (
            costs[target.name],
            -_rendezvous_rank(demand, target),
        ),
    )


def run_cost(
    load: EngineLoad, target: data.ListedTarget, demand: RunDemand
) -> float:
    """Return the cost of placing a run on an engine with a load."""
    cost = PREFILL_COST * load.prefill_count + DECODE_COST * load.decode_count
    fill = fill_with_run(load, target, demand)
    excess = max(0.0, fill - COMFORTABLE_FILL) / (1 - COMFORTABLE_FILL)
    return cost + FULL_COST * excess


def fill_with_run(
    load: EngineLoad, target: data.ListedTarget, demand: RunDemand
) -> float:
    """Return how full an engine is with one more run, 1 for a full one.

    The scarcer of its slots and its KV cache counts.
    """
    run_count = 1 + load.prefill_count + load.decode_count
    fill = run_count / max(1, target.slot_count)
    if demand.kv_cache_tokens <= 0:
        return fill
    tokens = load.token_count + demand.token_count
    return max(fill, tokens / demand.kv_cache_tokens)


def is_report_of_full_engine(
    report: data.TargetReport, demand: RunDemand
) -> bool:
    """Return whether an engine reports that a run would wait or preempt."""
    if report.queued_count:
        return True
    if report.used_tokens is None or demand.kv_cache_tokens <= 0:
        return False
    return report.used_tokens + demand.token_count > demand.kv_cache_tokens


def _rendezvous_rank(demand: RunDemand, target: data.ListedTarget) -> int:
    text = f'{demand.affinity_key}\0{target.name}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())
