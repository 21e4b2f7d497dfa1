"""Log events: decisions of an instance and changes of its cached state.

Each event is one line of the log. Its class defines the part of the program
and the message; its fields are the inputs of the decision.
"""

import dataclasses
import enum
from typing import ClassVar
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """One line of the log."""

    #: Part of the program that writes the line, its prefix.
    part: ClassVar[str]

    #: What happened, as a short phrase.
    message: ClassVar[str]


class EventLog(Protocol):
    """Log of decisions and of changes of the cached state."""

    def record(self, event: LogEvent) -> None:
        """Write one line without blocking."""
        ...


@dataclasses.dataclass(frozen=True)
class InstanceStarted(LogEvent):
    """The instance accepts connections."""

    part = 'instance'
    message = 'started'

    #: Address to which callers connect.
    front: str

    #: Address at which the load balancer checks readiness, or None.
    ready: str | None

    #: Address to which other instances send datagrams, or None.
    peer: str | None


@dataclasses.dataclass(frozen=True)
class SignalReceived(LogEvent):
    """The instance acts on a signal."""

    part = 'instance'
    message = 'signal received'

    #: Name of the signal.
    signal: str


@dataclasses.dataclass(frozen=True)
class InstanceStopping(LogEvent):
    """The instance was asked to stop and finishes its requests."""

    part = 'instance'
    message = 'stopping'

    #: Requests in progress.
    active_requests: int


@dataclasses.dataclass(frozen=True)
class InstanceStopped(LogEvent):
    """The instance exits."""

    part = 'instance'
    message = 'stopped'

    #: Time since the request to stop.
    after_ms: int

    #: Connections of callers that are closed by the exit.
    open_connections: int


@dataclasses.dataclass(frozen=True)
class SettingsReloaded(LogEvent):
    """The settings file was read again on request."""

    part = 'instance'
    message = 'settings reloaded'

    #: Whether valid settings differ; changes take effect after a restart.
    is_changed: bool


@dataclasses.dataclass(frozen=True)
class ProcessSuspended(LogEvent):
    """The process did not run for a while and goes on."""

    part = 'instance'
    message = 'process was suspended'

    #: Time for which nothing ran.
    pause_ms: int


@dataclasses.dataclass(frozen=True)
class UnexpectedError(LogEvent):
    """A task or a request failed with an error that no code expects."""

    part = 'instance'
    message = 'unexpected error'

    #: The task or step that failed.
    place: str

    #: Type and text of the error.
    cause: str

    traceback: str

    #: Errors at this place since the start, some of which were not logged.
    count: int


@dataclasses.dataclass(frozen=True)
class ReadinessChanged(LogEvent):
    """The readiness check now returns a different result."""

    part = 'instance'
    message = 'readiness changed'

    is_ready: bool


@dataclasses.dataclass(frozen=True)
class ConfigurationApplied(LogEvent):
    """A newer configuration was activated."""

    part = 'configuration'
    message = 'configuration applied'

    version: int

    #: Number of routes in the configuration.
    routes: int


@dataclasses.dataclass(frozen=True)
class FrontLimitsChanged(LogEvent):
    """Other limits on callers are in force."""

    part = 'configuration'
    message = 'limits on callers changed'

    version: int

    max_header_bytes: int
    max_body_bytes: int

    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True)
class BodyLimitExceedsMemory(LogEvent):
    """Bodies that the configuration allows are refused for want of memory."""

    part = 'configuration'
    message = 'max_body_bytes exceeds the memory for request bodies'

    version: int

    max_body_bytes: int

    #: Largest body that the memory limit of the instance allows.
    fitting_bytes: int

    #: Smallest memory limit that allows bodies of ``max_body_bytes``.
    needed_memory_bytes: int


@dataclasses.dataclass(frozen=True)
class TargetAdded(LogEvent):
    """A target appeared in the store."""

    part = 'target'
    message = 'target added'

    target: str
    service: str

    #: Address of the target.
    at: str

    #: Version of the target's software.
    version: str


@dataclasses.dataclass(frozen=True)
class TargetDraining(LogEvent):
    """A target is about to stop and receives no new requests."""

    part = 'target'
    message = 'target draining'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetLeaving(LogEvent):
    """A target said in a response that it is about to stop."""

    part = 'target'
    message = 'target leaving'

    target: str

    #: Whether another instance received the response.
    told_by_peer: bool


@dataclasses.dataclass(frozen=True)
class TargetPaused(LogEvent):
    """A target refused a request and asked for a pause."""

    part = 'target'
    message = 'target paused'

    target: str

    #: Time for which it receives nothing.
    for_ms: int


@dataclasses.dataclass(frozen=True)
class TargetRemoved(LogEvent):
    """A target was removed from the store."""

    part = 'target'
    message = 'target removed'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetEjected(LogEvent):
    """A target failed and receives no new requests for a while."""

    part = 'target'
    message = 'target ejected after a failure'

    target: str

    #: How the target failed.
    cause: str

    #: Duration of the ejection.
    for_ms: int


@dataclasses.dataclass(frozen=True)
class TargetSuspected(LogEvent):
    """A peer reported that a target failed."""

    part = 'target'
    message = 'target suspected by a peer'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetMisdirected(LogEvent):
    """Another target responded at the address of a listed one."""

    part = 'target'
    message = 'target replaced at its address'

    target: str


class DecisionSource(enum.Enum):
    """Where an instance learned that a prompt part is quarantined."""

    OWN_EVIDENCE = 'own evidence'
    PEER = 'peer'
    STORE = 'store'


@dataclasses.dataclass(frozen=True)
class PromptPartQuarantined(LogEvent):
    """Requests with a prompt part are refused: it crashes engines."""

    part = 'prompt'
    message = 'prompt part quarantined'

    #: Identifier of the part.
    prompt_part: str

    #: Separate moments at which engines crashed under it; 0 if it was decided
    #: elsewhere.
    moment_count: int

    #: Value of :class:`DecisionSource`.
    source: str


@dataclasses.dataclass(frozen=True)
class PromptPartReleased(LogEvent):
    """Requests with a prompt part are accepted again."""

    part = 'prompt'
    message = 'prompt part released'

    prompt_part: str

    cause: str


@dataclasses.dataclass(frozen=True)
class PromptPartProbed(LogEvent):
    """One request with a quarantined prompt part is let through."""

    part = 'prompt'
    message = 'prompt part probed'

    prompt_part: str

    #: Probe runs of the fleet so far.
    probe_count: int


@dataclasses.dataclass(frozen=True)
class PeerDiscovered(LogEvent):
    """The first report of another instance arrived."""

    part = 'fleet'
    message = 'peer discovered'

    peer: str

    #: Address at which the instance receives datagrams.
    at: str


@dataclasses.dataclass(frozen=True)
class DatagramMalformed(LogEvent):
    """A datagram could not be decoded; only the first is logged."""

    part = 'fleet'
    message = 'malformed datagram received; later ones are not logged'

    #: Size of the datagram.
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class InstanceNotRegistered(LogEvent):
    """The store rejected the entry of this instance."""

    part = 'fleet'
    message = 'instance registration rejected'

    #: HTTP status of the store's response.
    status: int


@dataclasses.dataclass(frozen=True)
class LogLinesDropped(LogEvent):
    """Log lines were dropped because the log was not read in time."""

    part = 'log'
    message = 'log lines dropped'

    #: Number of lines dropped since the last such event.
    count: int
