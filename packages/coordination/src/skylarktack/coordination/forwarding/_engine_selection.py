"""Selection of engines by model, load and failure domain."""

import dataclasses
import random

from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class EnginePair:
    """The engines of one run."""

    #: Engine that executes the run.
    primary: data.ListedTarget

    #: Engine that keeps the standby copy of the KV cache, or None.
    standby: data.ListedTarget | None


def affinity_key_of(request: data.FrontRequest) -> str:
    """Return the id that all attempts for the same output share.

    It is that of the last part of the prompt, or empty without a prompt.
    """
    if request.prompt_parts:
        return request.prompt_parts[-1].part_id
    return ''


def filter_by_model(
    candidates: list[data.ListedTarget], model: str | None
) -> list[data.ListedTarget]:
    """Return the engines that serve the model or list no models."""
    serving = []
    for target in candidates:
        if model and target.models and model not in target.models:
            continue
        serving.append(target)
    return serving


def choose_least_loaded(
    candidates: list[data.ListedTarget], loads: dict[str, float]
) -> data.ListedTarget:
    """Return the engine with the least load; ties are broken at random."""
    return min(
        candidates,
        key=lambda target: (loads.get(target.name, 0.0), random.random()),
    )


def choose_standby(
    candidates: list[data.ListedTarget],
    primary: data.ListedTarget,
    loads: dict[str, float],
) -> data.ListedTarget | None:
    """Return an engine for the standby copy, or None.

    Engines in another failure domain than the primary's are preferred.
    """
    remote = []
    local = []
    for target in candidates:
        if target.name == primary.name:
            continue
        if target.failure_domain == primary.failure_domain:
            local.append(target)
        else:
            remote.append(target)
    if not remote and not local:
        return None
    return choose_least_loaded(remote or local, loads)
