"""What running generations needs from outside."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class GenerationDependencies:
    """Everything that running a generation needs from outside."""

    #: Limits and timeouts.
    settings: state.GenerationSettings

    #: Engines.
    engines: ports.EngineClient

    #: Choice of targets.
    selector: ports.TargetSelector

    #: Budget for further attempts.
    retry_budget: ports.RetryBudget

    #: Choice of the version.
    versions: ports.VersionSelector

    #: Receiver of evidence.
    outcomes: ports.OutcomeObserver

    #: Time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics
