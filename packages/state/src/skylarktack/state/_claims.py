"""Claims on idempotency keys and the segments that store them.

A claim is the right of one instance to dispatch the call with a key.
"""

import dataclasses
import enum

from skylarktack.state._calls import ServiceResponse
from skylarktack.state._names import InstanceName
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import TargetName


class ClaimPhase(enum.Enum):
    """Progress of the call with a claimed key."""

    #: One instance may dispatch the call.
    CLAIMED = 'claimed'

    #: The call was executed and its response is known.
    ANSWERED = 'answered'

    #: The holder will not dispatch the call; the key may be claimed again.
    RELEASED = 'released'

    #: The call was dispatched and its outcome was lost.
    UNKNOWN = 'unknown'

    #: An operator determined that the call was executed.
    SETTLED_RAN = 'settled_ran'

    #: An operator determined that the call was not executed.
    SETTLED_NOT_RUN = 'settled_not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """An idempotency key in the scope of its organisation."""

    organisation: OrganisationName

    #: Idempotency key as the caller sent it.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The latest known state of one claim."""

    key: ClaimKey

    #: Globally unique identifier of the request's attempt to claim the key.
    claim_id: str

    #: Hash of route, method, path and body; detects a key reused for another
    #: call.
    fingerprint: bytes

    #: Instance that claimed the key.
    instance: InstanceName

    phase: ClaimPhase

    #: Wall clock time of the claim, in seconds since the epoch.
    claimed_s: float

    #: Wall clock time of the last change, in seconds since the epoch.
    changed_s: float

    #: Targets to which the call may have been sent, in order.
    targets: tuple[TargetName, ...] = ()

    #: The recorded response; None if none was recorded or it has expired.
    answer: ServiceResponse | None = None

    #: Note for operators on who settled the claim.
    note: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SealedSegment:
    """Reference to an immutable object with older records of a bucket."""

    #: Last segment of the object's key.
    name: str

    #: Wall clock time of its newest record, in seconds since the epoch.
    newest_s: float

    size_bytes: int

    #: Whether expired responses were removed from its records.
    stripped: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSegment:
    """Content of one stored object of a claim bucket."""

    #: Sealed segments of the bucket, oldest first; empty except in the head.
    sealed: tuple[SealedSegment, ...]

    #: A record in a later segment replaces one with the same key in an earlier
    #: segment.
    records: tuple[ClaimRecord, ...]
