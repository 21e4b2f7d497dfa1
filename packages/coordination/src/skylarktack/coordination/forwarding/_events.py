"""Log events: what an instance decides and what it comes to believe.

Each event is one line of the log. Its class names the part of the program
and the message; its fields are the inputs of the decision.
"""

import dataclasses
from typing import Any
from typing import ClassVar
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """One line of the log."""

    #: Part of the program, the prefix of its lines.
    part: ClassVar[str]

    #: What happened, a short sentence.
    message: ClassVar[str]


class EventLog(Protocol):
    """Log of decisions and of changes of what the instance believes."""

    def record(self, event: LogEvent) -> None:
        """Write one line without waiting."""
        ...


@dataclasses.dataclass(frozen=True)
class InstanceStarted(LogEvent):
    """The instance listens."""

    part = 'instance'
    message = 'started'

    #: Where callers connect.
    front: str

    #: Where the balancer asks, or None.
    ready: str | None

    #: Where other instances send datagrams, or None.
    peer: str | None


@dataclasses.dataclass(frozen=True)
class InstanceStopping(LogEvent):
    """The instance was told to stop."""

    part = 'instance'
    message = 'stopping'

    #: Requests in progress.
    active_requests: int


@dataclasses.dataclass(frozen=True)
class InstanceStopped(LogEvent):
    """The instance ends."""

    part = 'instance'
    message = 'stopped'

    #: Time since the order to stop.
    after_ms: int

    #: Connections of callers that are cut by the end.
    open_connections: int


@dataclasses.dataclass(frozen=True)
class SettingsReloaded(LogEvent):
    """The settings file was read again."""

    part = 'instance'
    message = 'settings were read again'

    #: Whether they differ; changes are in force after a restart.
    is_changed: bool


@dataclasses.dataclass(frozen=True)
class ReadinessChanged(LogEvent):
    """The balancer gets another answer."""

    part = 'instance'
    message = 'readiness changed'

    #: The new answer.
    is_ready: bool


@dataclasses.dataclass(frozen=True)
class ConfigurationInForce(LogEvent):
    """A newer configuration was put in force."""

    part = 'configuration'
    message = 'a version is in force'

    #: Its version.
    version: int

    #: Number of its routes.
    routes: int


@dataclasses.dataclass(frozen=True)
class StoreUnavailable(LogEvent):
    """The store does not answer."""

    part = 'store'
    message = 'the store is lost'

    #: Kind that was asked for.
    kind: str

    #: Cause of the first failed call.
    cause: str


@dataclasses.dataclass(frozen=True)
class StoreRegained(LogEvent):
    """The store answers again."""

    part = 'store'
    message = 'the store is back'

    #: Kind that was asked for.
    kind: str

    #: Time since it was lost.
    after_ms: int


@dataclasses.dataclass(frozen=True)
class HistoryLost(LogEvent):
    """The store no longer has the changes after a revision."""

    part = 'store'
    message = 'the history is gone; listing again'

    #: Kind that was watched.
    kind: str


@dataclasses.dataclass(frozen=True)
class StoreEntryMalformed(LogEvent):
    """An object of the store cannot be read and names nothing."""

    part = 'store'
    message = 'an entry is malformed and names nothing'

    #: All findings with their place.
    findings: str


@dataclasses.dataclass(frozen=True)
class TargetKnown(LogEvent):
    """A target was listed."""

    part = 'target'
    message = 'a target is known'

    target: str
    service: str

    #: Its address.
    at: str

    #: Version of its software.
    version: str


@dataclasses.dataclass(frozen=True)
class TargetLeaving(LogEvent):
    """A target gets nothing new because it stops soon."""

    part = 'target'
    message = 'a target leaves'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetRemoved(LogEvent):
    """A target is no longer listed."""

    part = 'target'
    message = 'a target is gone'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetPassedOver(LogEvent):
    """A target failed and gets nothing new for a while."""

    part = 'target'
    message = 'a target failed and is passed over'

    target: str

    #: How it failed.
    cause: str

    #: For how long.
    for_ms: int


@dataclasses.dataclass(frozen=True)
class TargetSuspected(LogEvent):
    """Another instance found a target lost."""

    part = 'target'
    message = 'another instance found a target lost'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetMisdirected(LogEvent):
    """Another target has the address of a listed one."""

    part = 'target'
    message = 'a target is no longer at its address'

    target: str


@dataclasses.dataclass(frozen=True)
class MoveRecorded(LogEvent):
    """The store holds another phase of a move."""

    part = 'move'
    message = 'a phase of a move is recorded'

    service: str

    #: Version that the traffic moves to.
    to_version: str

    #: The phase.
    phase: str


@dataclasses.dataclass(frozen=True)
class MoveStopped(LogEvent):
    """No traffic goes to the new version any more."""

    part = 'move'
    message = 'the new version gets no more traffic'

    service: str
    to_version: str

    #: What the evidence says.
    reason: str


@dataclasses.dataclass(frozen=True)
class MoveShifting(LogEvent):
    """All traffic goes to the new version."""

    part = 'move'
    message = 'all traffic goes to the new version'

    service: str
    to_version: str


@dataclasses.dataclass(frozen=True)
class MoveNotRecorded(LogEvent):
    """The store did not take a phase; it is written again."""

    part = 'move'
    message = 'a phase of a move was not recorded'

    service: str
    to_version: str
    phase: str

    #: How the call failed.
    cause: str


@dataclasses.dataclass(frozen=True)
class PeerKnown(LogEvent):
    """Another instance was heard of."""

    part = 'fleet'
    message = 'an instance is known'

    peer: str

    #: Where it receives datagrams.
    at: str


@dataclasses.dataclass(frozen=True)
class RoleChanged(LogEvent):
    """The instance began or ceased to rely on the watches of others."""

    part = 'fleet'
    message = 'the way to follow the store changed'

    #: Kind that is followed.
    kind: str

    #: Whether the instance relies on others.
    is_listening: bool


@dataclasses.dataclass(frozen=True)
class DatagramMalformed(LogEvent):
    """A datagram cannot be read; later ones are not logged."""

    part = 'fleet'
    message = 'a datagram is malformed; later ones are not logged'

    #: Its size.
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class InstanceNotRegistered(LogEvent):
    """The store did not take the entry of the instance."""

    part = 'fleet'
    message = 'the instance was not listed'

    #: Status of the store's answer.
    status: int


@dataclasses.dataclass(frozen=True)
class RequestServed(LogEvent):
    """A request was served; only some of these are written."""

    part = 'request'
    message = 'a request was served'

    #: Attempt of the caller.
    request: str

    #: Host and path that the caller named.
    host: str
    path: str

    #: Name and kind of the route, or None if none matched.
    route: str | None
    kind: str | None

    #: Organisation of the caller, or None if it is not known.
    organisation: str | None

    #: Version of the configuration in force, or None before the first.
    configuration: int | None

    #: Whether the store had confirmed that version a moment before.
    is_current: bool

    #: How long the caller had said it would wait, or None.
    time_limit_ms: float | None

    #: Id of the last event that the caller had, or None.
    after_event: int | None

    #: How it ended.
    outcome: str

    #: Why it ended so, in one phrase.
    cause: str

    #: Time that it took.
    duration_ms: float

    #: All decisions with the time of each and its inputs.
    steps: tuple[dict[str, Any], ...]


@dataclasses.dataclass(frozen=True)
class RequestLate(RequestServed):
    """A request was served later than its route's objective."""

    message = 'a request was late'


@dataclasses.dataclass(frozen=True)
class RequestFailed(RequestServed):
    """A request failed; each of these is written."""

    message = 'a request failed'


@dataclasses.dataclass(frozen=True)
class LogLinesDropped(LogEvent):
    """Lines were left out because nobody read the log in time."""

    part = 'log'
    message = 'lines were dropped'

    #: How many.
    count: int
