"""The choice among engines by load, model and failure domain."""

import dataclasses
import random

from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class EnginePair:
    """Engines for one run: where it runs and where its copy lies."""

    #: The engine that runs it.
    primary: data.ListedTarget

    #: The engine that keeps a copy of its memory, or None.
    standby: data.ListedTarget | None


def affinity_key_of(request: data.FrontRequest) -> str:
    """Return what attempts for the same output have in common."""
    if request.prompt_parts:
        return request.prompt_parts[-1].part_id
    return ''


def filter_by_model(
    candidates: list[data.ListedTarget], model: str | None
) -> list[data.ListedTarget]:
    """Return the engines that serve the model, or do not name any."""
    serving = []
    for target in candidates:
        if model and target.models and model not in target.models:
            continue
        serving.append(target)
    return serving


def choose_least_loaded(
    candidates: list[data.ListedTarget], loads: dict[str, float]
) -> data.ListedTarget:
    """Return one of the engines with the least load, at random."""
    return min(
        candidates,
        key=lambda target: (loads.get(target.name, 0.0), random.random()),
    )


def choose_standby(
    candidates: list[data.ListedTarget],
    primary: data.ListedTarget,
    loads: dict[str, float],
) -> data.ListedTarget | None:
    """Return an engine for a copy, in another failure domain if any."""
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
