"""Targets that are ejected or paused and may come back."""

import dataclasses

from skylarktack.coordination.forwarding import _target_ramp_steps
from skylarktack.coordination.ports import Clock

#: Maximum number of targets that are remembered; the oldest are forgotten
#: first, and get requests like any other when they are back.
MAX_TARGET_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class Exclusion:
    """When a target was excluded, until when, and why."""

    since_s: float

    #: A response may end an ejection before this time.
    until_s: float

    cause: _target_ramp_steps.RampCause


class TargetReturns:
    """Exclusions by target name; the owner serialises the calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._exclusions: dict[str, Exclusion] = {}

    def is_empty(self) -> bool:
        """Return whether no target may come back, or none in time to matter.

        A target that has been back for longer than a ramp lasts is forgotten.
        """
        forgotten_s = self._clock.monotonic_s() - _target_ramp_steps.MAX_AGE_S
        for name, exclusion in list(self._exclusions.items()):
            if exclusion.until_s > forgotten_s:
                return False
            del self._exclusions[name]
        return True

    def record(
        self,
        name: str,
        until_s: float,
        cause: _target_ramp_steps.RampCause,
    ) -> None:
        """Record that a target is excluded until a time, or for longer."""
        since_s = self._clock.monotonic_s()
        known = self._exclusions.pop(name, None)
        if known is not None:
            since_s = known.since_s
            until_s = max(until_s, known.until_s)
        self._exclusions[name] = Exclusion(since_s, until_s, cause)
        if len(self._exclusions) > MAX_TARGET_COUNT:
            del self._exclusions[next(iter(self._exclusions))]

    def take(self, name: str) -> Exclusion | None:
        """Return the exclusion of a target that is back, and forget it."""
        return self._exclusions.pop(name, None)
