"""Reads of the object API whose result belongs to one known era."""

import dataclasses

from expression import Error
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports

#: Reads before the call fails. The first read of an instance may report the
#: era, and one more may see a restore.
READ_ATTEMPTS_COUNT = 3


@dataclasses.dataclass(frozen=True)
class EraRead:
    """Result of a read and the era in which it was answered."""

    era: int

    found: Result[state.StoredObject, state.StoreFault]


def read_in_one_era(store: ports.ObjectStore, key: str) -> EraRead:
    """Read one object, again if the era changed during the read."""
    era = store.era
    for _ in range(READ_ATTEMPTS_COUNT):
        found = store.get(key)
        if store.era == era:
            return EraRead(era, found)
        era = store.era
    return EraRead(
        era,
        Error(
            state.StoreFault(
                state.StoreFaultKind.UNAVAILABLE,
                'The store was restored during the read.',
            )
        ),
    )
