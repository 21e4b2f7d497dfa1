"""Dependencies of generations."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class GenerationDependencies:
    """Dependencies of the generation service and runner."""

    #: Limits and timeouts of attempts and failovers.
    settings: state.GenerationSettings

    engines: ports.EngineClient

    selector: ports.TargetSelector

    #: Limits the attempts after the first.
    retry_budget: ports.RetryBudget

    #: Selects the version that serves a request.
    versions: ports.VersionSelector

    #: Receives the outcome of each attempt.
    outcomes: ports.OutcomeObserver

    clock: ports.Clock

    metrics: ports.Metrics

    #: Runs the background tasks.
    supervisor: ports.TaskSupervisor
