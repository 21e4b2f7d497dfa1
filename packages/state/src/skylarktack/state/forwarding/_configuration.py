"""What operators configure for the forwarding front end."""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """What may be repeated."""

    #: May run more than once.
    IDEMPOTENT = 'idempotent'

    #: May run at most once for each attempt of the caller.
    NON_IDEMPOTENT = 'non_idempotent'

    #: A series of events.
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests."""

    #: Name of the service.
    service: str

    #: Share relative to the other services of the route.
    weight: float


@dataclasses.dataclass(frozen=True)
class ForwardingRoute:
    """Requests of one host below one path prefix."""

    #: Unique name.
    name: str

    #: Host that callers name.
    host: str

    #: Beginning of the paths; begins and ends with a slash.
    path_prefix: str

    #: What may be repeated.
    kind: RequestKind

    #: Services that receive the requests.
    services: tuple[WeightedService, ...]

    #: Longest time that a request may stay unanswered.
    timeout_ms: float

    #: Time within which an answer has its full value.
    latency_objective_ms: float

    #: Most targets on which one attempt of a caller may run.
    max_attempts: int

    #: Rank; 0 is the most urgent.
    priority: int

    #: Whether requests need no key.
    is_anonymous: bool

    #: Whether a stream may go on at another target.
    is_resumable: bool

    #: Longest pause between events that is still on time, or None.
    longest_pause_ms: float | None

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run a second time after a failure."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class EngineCapacity:
    """What each engine of a service holds and can do."""

    #: Tokens of running requests and cached prompts together.
    kv_cache_tokens: int

    #: Whether an engine can copy a run's memory to another as it grows.
    has_standby_copies: bool


@dataclasses.dataclass(frozen=True)
class ServiceDescription:
    """One service and the limits of its targets."""

    #: Unique name.
    name: str

    #: Connections that one target accepts from all callers.
    connection_limit: int

    #: Capacity of its engines, or None for a plain service.
    engine: EngineCapacity | None


@dataclasses.dataclass(frozen=True)
class FrontLimits:
    """What callers may send and how long they may take."""

    #: Size of a request's head.
    max_header_bytes: int = 16384

    #: Size of a request's body.
    max_body_bytes: int = 4194304

    #: Time from the first byte of a head to its last.
    header_timeout_ms: float = 3000

    #: Time that a connection may stay without a request.
    idle_timeout_ms: float = 15000


@dataclasses.dataclass(frozen=True)
class OrganisationKeys:
    """An organisation and the keys that identify it."""

    #: Name of the organisation.
    organisation: str

    #: Secret keys.
    keys: tuple[str, ...]

    #: Rank that replaces the route's, or None; 0 is the most urgent.
    priority: int | None


@dataclasses.dataclass(frozen=True)
class ForwardingConfiguration:
    """One accepted configuration as a whole."""

    #: Version that operators gave it; grows in uneven steps.
    version: int

    #: All routes.
    routes: tuple[ForwardingRoute, ...]

    #: All services.
    services: tuple[ServiceDescription, ...]

    #: Limits on callers.
    limits: FrontLimits

    #: Organisations, or None if requests need no key.
    organisations: tuple[OrganisationKeys, ...] | None
