"""Seeds that once broke a promise."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Regression:
    """A seed that failed, and why."""

    #: The seed.
    seed: int

    #: Cause, in one sentence.
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()
