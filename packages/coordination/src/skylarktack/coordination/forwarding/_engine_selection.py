"""The engines of a run, and filters that come before placing it."""

import dataclasses

from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class EngineForecast:
    """What a new run is predicted to meet at an engine."""

    #: Time to the first event, with the wait for memory.
    first_event_s: float

    #: Part of it that the engine spends on the prompt of the run itself.
    own_s: float

    #: Part of it that is expected for lack of memory or slots.
    crowding_s: float

    #: Time by which the run delays the other runs at the engine, in sum.
    delay_s: float

    #: Time for the whole prompt at a usual engine without other runs.
    usual_s: float

    #: Unit time of the engine relative to the median of its service.
    pace: float

    #: Time between two events, or None if it is not known.
    event_s: float | None

    @property
    def uncached_s(self) -> float:
        """Return the time to the first event if no prompt is cached."""
        whole_s = self.usual_s * self.pace
        return self.first_event_s + max(0.0, whole_s - self.own_s)


@dataclasses.dataclass(frozen=True)
class EnginePair:
    """The engines of one run."""

    #: Engine that executes the run.
    primary: data.ListedTarget

    #: Engine that keeps the standby copy of the KV cache, or None.
    standby: data.ListedTarget | None

    #: What the run is predicted to meet at the primary; None if the engine
    #: was chosen by counts or keeps the run's copy.
    forecast: EngineForecast | None = None


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
