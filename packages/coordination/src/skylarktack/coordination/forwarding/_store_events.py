"""Log events of the calls to the store and of its watches."""

import dataclasses

from skylarktack.coordination.forwarding import _events


@dataclasses.dataclass(frozen=True)
class StoreUnavailable(_events.LogEvent):
    """A call to the store that does not wait failed.

    It is the first since the last success.
    """

    part = 'store'
    message = 'store unavailable'

    #: Kind of objects that was requested.
    kind: str

    #: Cause of the first failed call.
    cause: str


@dataclasses.dataclass(frozen=True)
class WatchEnded(_events.LogEvent):
    """A watch ended without a response, the first since the last success.

    It shows no outage: the store may have cut off a watch that waited.
    """

    part = 'store'
    message = 'watch ended without a response; checking the store'

    #: Kind of objects that was watched.
    kind: str

    cause: str


@dataclasses.dataclass(frozen=True)
class StoreRecovered(_events.LogEvent):
    """The store responds again after failed calls."""

    part = 'store'
    message = 'store available again'

    #: Kind of objects that was requested.
    kind: str

    #: Time since the first failed call or watch.
    after_ms: int


@dataclasses.dataclass(frozen=True)
class StoreRestored(_events.LogEvent):
    """The store came back from a copy and has lost its last changes."""

    part = 'store'
    message = 'store restored from a copy; reading everything again'

    #: Era in which the store responded before.
    previous_era: int

    era: int


@dataclasses.dataclass(frozen=True)
class TargetKept(_events.LogEvent):
    """A target that was removed after an outage of the store is still used.

    It is removed if it does not register again.
    """

    part = 'target'
    message = 'target removed after a store outage kept for a while'

    target: str


@dataclasses.dataclass(frozen=True)
class OutdatedTargetIgnored(_events.LogEvent):
    """A restored store lists a target as it was before a known change."""

    part = 'target'
    message = 'outdated target entry of a restored store ignored'

    target: str


@dataclasses.dataclass(frozen=True)
class RemovedTargetHeld(_events.LogEvent):
    """A restored store lists a target that is known to be removed.

    It is not used until it has written its entry again.
    """

    part = 'target'
    message = 'removed target in a restored store not used yet'

    target: str


@dataclasses.dataclass(frozen=True)
class WatchRevisionCompacted(_events.LogEvent):
    """The store compacted the changes after the watched revision."""

    part = 'store'
    message = 'watch revision compacted; listing again'

    #: Kind of objects that was watched.
    kind: str


@dataclasses.dataclass(frozen=True)
class WatchUnreadable(_events.LogEvent):
    """The changes after the watched revision could not be read."""

    part = 'store'
    message = 'watch response unreadable; listing again'

    #: Kind of objects that was watched.
    kind: str

    #: What is wrong with the response.
    detail: str


@dataclasses.dataclass(frozen=True)
class WatchNotAnswered(_events.LogEvent):
    """Watches do not return the changes after the watched revision.

    They may take too long to send, or the store cuts off each watch.
    """

    part = 'store'
    message = 'watch not answered in time; listing again'

    #: Kind of objects that was watched.
    kind: str


@dataclasses.dataclass(frozen=True)
class StoreEntryMalformed(_events.LogEvent):
    """An object in the store cannot be parsed and counts as missing."""

    part = 'store'
    message = 'malformed store entry treated as missing'

    #: All errors with their location in the object.
    findings: str


@dataclasses.dataclass(frozen=True)
class WatchRoleChanged(_events.LogEvent):
    """The instance started or stopped relying on the watches of peers."""

    part = 'fleet'
    message = 'store watch role changed'

    #: Kind of objects that is watched.
    kind: str

    #: Whether the instance now applies changes that peers forward.
    is_listening: bool
