"""Objects of the platform's object API."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object and its version."""

    #: Key, with ``/`` between its parts.
    key: str

    #: Value.
    value: bytes

    #: Version, which rises with each write of any object.
    version: int


class StoreFaultKind(enum.Enum):
    """Why a call to the object API brought no result."""

    #: The condition of a write did not hold.
    CONFLICT = 'conflict'

    #: No object has this key.
    MISSING = 'missing'

    #: The call cannot have taken effect.
    UNAVAILABLE = 'unavailable'

    #: The call may have taken effect; its answer was lost.
    ANSWER_LOST = 'answer_lost'

    #: The rate limit of the API refused the call.
    RATE_LIMITED = 'rate_limited'


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """A failed call to the object API."""

    #: Why it failed.
    kind: StoreFaultKind

    #: One sentence for people.
    message: str = ''


@dataclasses.dataclass(frozen=True)
class WatchBatch:
    """Changes since the version that a watch started from."""

    #: Version up to which the watch has seen everything.
    version: int

    #: Changed objects, in order of version; deleted ones are absent.
    changed: tuple[StoredObject, ...]
