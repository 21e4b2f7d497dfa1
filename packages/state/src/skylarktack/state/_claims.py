"""Claims on idempotency keys and the segments that hold them."""

import dataclasses
import enum

from skylarktack.state._calls import ServiceResponse
from skylarktack.state._names import InstanceName
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import TargetName


class ClaimPhase(enum.Enum):
    """How far the call under a claim has come."""

    #: One instance may dispatch the call.
    CLAIMED = 'claimed'

    #: The call ran and its answer is known.
    ANSWERED = 'answered'

    #: The claim's holder will not dispatch; the key may be claimed again.
    RELEASED = 'released'

    #: The call was dispatched and its outcome was lost.
    UNKNOWN = 'unknown'

    #: An operator found that the call ran.
    SETTLED_RAN = 'settled_ran'

    #: An operator found that the call did not run.
    SETTLED_NOT_RUN = 'settled_not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """An idempotency key; two organisations never share one."""

    #: Organisation of the caller.
    organisation: OrganisationName

    #: The key that the caller sent.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The latest known state of one claim."""

    #: The claimed key.
    key: ClaimKey

    #: Identifier of the request's attempt to claim, unique for ever.
    claim_id: str

    #: Hash of route, method, path and body.
    fingerprint: bytes

    #: Instance that claimed.
    instance: InstanceName

    #: How far the call has come.
    phase: ClaimPhase

    #: Wall clock time of the claim, in seconds since the epoch.
    claimed_s: float

    #: Wall clock time of this state, in seconds since the epoch.
    changed_s: float

    #: Targets that the call may have been sent to, in order.
    targets: tuple[TargetName, ...] = ()

    #: The recorded answer, or None if none was recorded or it expired.
    answer: ServiceResponse | None = None

    #: Who settled the claim, for operators.
    note: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SealedSegment:
    """An immutable object that holds older records of a bucket."""

    #: Last part of the object's key.
    name: str

    #: Latest change among its records, in seconds since the epoch.
    newest_s: float

    #: Size of the object.
    size_bytes: int

    #: Whether recorded answers were removed from it.
    stripped: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSegment:
    """Contents of one object of a bucket."""

    #: Older segments, oldest first; only the head names any.
    sealed: tuple[SealedSegment, ...]

    #: Records; a later segment's record of a key replaces an earlier one.
    records: tuple[ClaimRecord, ...]
