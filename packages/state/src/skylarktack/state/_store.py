"""Objects, faults and watch results of the platform's object API."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One stored object and its version."""

    #: Key, with ``/`` between its segments.
    key: str

    value: bytes

    #: Version of its last write; increases with each write of any object.
    version: int


class StoreFaultKind(enum.Enum):
    """Why a call to the object API failed."""

    #: The condition of the write did not hold.
    CONFLICT = 'conflict'

    #: No object has this key.
    MISSING = 'missing'

    #: The call cannot have taken effect.
    UNAVAILABLE = 'unavailable'

    #: The response was lost; the call may have taken effect.
    ANSWER_LOST = 'answer_lost'

    #: The call was refused by the rate limit of the API.
    RATE_LIMITED = 'rate_limited'


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """A failed call to the object API."""

    kind: StoreFaultKind

    #: Human-readable description.
    message: str = ''


@dataclasses.dataclass(frozen=True)
class WatchBatch:
    """Changes since the version that a watch started from."""

    #: Version up to which the changes are complete.
    version: int

    #: Changed objects, ordered by version; deleted ones are not included.
    changed: tuple[StoredObject, ...]
