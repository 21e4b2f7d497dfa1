"""Seeds that once broke a promise."""

import dataclasses

from skylarktack.emulator.soak import _schedule


@dataclasses.dataclass(frozen=True)
class Regression:
    """A seed that failed, and why."""

    #: The seed.
    seed: int

    #: Size and length of the run.
    shape: _schedule.SoakShape

    #: Cause, in one sentence.
    cause: str


REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        seed=700,
        shape=_schedule.SoakShape(instance_count=16, length_s=8.0),
        cause=(
            'A bad version ran in one domain only, beside an old target that '
            'lost its answers, and was completed for want of a difference.'
        ),
    ),
)
