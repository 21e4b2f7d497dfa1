"""The engines of a run, and filters that come before placing it."""

import dataclasses

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
