"""What instances tell each other about prompt parts that crash engines.

Times are sent as ages, since the clocks of instances differ.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptLoss:
    """A run that had not yet produced output when its engine crashed."""

    engine: str

    #: Shared parts of the run's prompt, in order.
    part_ids: tuple[str, ...]

    #: Time since the loss.
    age_ms: int


@dataclasses.dataclass(frozen=True)
class PromptOutput:
    """A prompt part with which a run produced output."""

    part_id: str

    #: Time since that run.
    age_ms: int


@dataclasses.dataclass(frozen=True)
class QuarantinedPart:
    """A prompt part whose requests are refused."""

    part_id: str

    #: Time since the quarantine began; probes and extensions do not change it.
    age_ms: int

    #: Time until its end.
    remaining_ms: int

    #: Probe runs so far.
    probe_count: int


@dataclasses.dataclass(frozen=True)
class StoredQuarantine:
    """A quarantined prompt part as the store keeps it."""

    part_id: str

    #: Wall clock times, in milliseconds since the epoch.
    began_at_ms: int
    until_ms: int

    #: Probe runs so far.
    probe_count: int


@dataclasses.dataclass(frozen=True)
class PromptEvidence:
    """Evidence about prompt parts in one report of an instance."""

    losses: tuple[PromptLoss, ...] = ()
    outputs: tuple[PromptOutput, ...] = ()
    quarantined: tuple[QuarantinedPart, ...] = ()

    def __bool__(self) -> bool:
        """Return whether there is any evidence."""
        return bool(self.losses or self.outputs or self.quarantined)
