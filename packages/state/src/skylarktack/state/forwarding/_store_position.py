"""Points in the history of the store's changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class StorePosition:
    """A revision of the store, together with the era that gave it out.

    A store that is restored from a copy gives revisions out again. Only
    revisions of one era can be compared; each of a later era is newer.
    """

    #: Number of the era; it rises when the store is restored. 0 if the store
    #: does not report it.
    era: int

    revision: int
