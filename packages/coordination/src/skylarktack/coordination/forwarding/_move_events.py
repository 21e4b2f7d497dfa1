"""Log events of moves of services to other versions."""

import dataclasses

from skylarktack.coordination.forwarding import _events


@dataclasses.dataclass(frozen=True)
class MoveRecorded(_events.LogEvent):
    """The store holds a new phase of a move."""

    part = 'move'
    message = 'move phase recorded'

    service: str

    #: Version that is rolled out.
    to_version: str

    phase: str


@dataclasses.dataclass(frozen=True)
class MovePhaseLost(_events.LogEvent):
    """The store was restored from a copy without the phase of a move."""

    part = 'move'
    message = 'restored store lacks the move phase; recording it again'

    service: str
    to_version: str

    #: Phase that is known here, and that of the store.
    phase: str
    stored_phase: str


@dataclasses.dataclass(frozen=True)
class MoveRecordedAgain(_events.LogEvent):
    """The restored store holds the known phase of a move again."""

    part = 'move'
    message = 'move phase recorded again'

    service: str
    to_version: str
    phase: str


@dataclasses.dataclass(frozen=True)
class MoveOrderKept(_events.LogEvent):
    """A known order is kept although the restored store does not hold it."""

    part = 'move'
    message = 'restored store lacks the order; keeping the known one a while'

    service: str

    #: Version that is rolled out.
    to_version: str


@dataclasses.dataclass(frozen=True)
class MoveStopped(_events.LogEvent):
    """The new version receives no more traffic."""

    part = 'move'
    message = 'traffic to the new version stopped'

    service: str
    to_version: str

    #: Summary of the evidence against the version.
    reason: str


@dataclasses.dataclass(frozen=True)
class MoveJudged(_events.LogEvent):
    """Evidence on which this instance decides about a move."""

    part = 'move'
    message = 'new version judged'

    service: str
    to_version: str

    #: Phase that is due by the judgement: shifting if all traffic is to be
    #: shifted.
    phase: str

    #: Time since the order.
    age_s: float

    #: Instances whose counts are included.
    instances: int

    #: Requests for the service, and those sent to the new version.
    requests: int
    sent: int

    #: Successful attempts on the new version.
    succeeded: int

    is_suspect: bool

    #: Logarithm of the e-value of the comparison of slow responses.
    slow_evidence: float

    #: Counts of slow responses of both versions.
    slow_responses: str


@dataclasses.dataclass(frozen=True)
class MoveShifting(_events.LogEvent):
    """All traffic is sent to the new version."""

    part = 'move'
    message = 'all traffic shifted to the new version'

    service: str
    to_version: str


@dataclasses.dataclass(frozen=True)
class VersionExcluded(_events.LogEvent):
    """A version is not used because the store does not hold its order."""

    part = 'move'
    message = 'version excluded; its move was not completed'

    service: str

    version: str


@dataclasses.dataclass(frozen=True)
class MoveNotRecorded(_events.LogEvent):
    """A phase of a move could not be written; the write is retried."""

    part = 'move'
    message = 'move phase not recorded'

    service: str
    to_version: str
    phase: str

    #: How the call failed.
    cause: str
