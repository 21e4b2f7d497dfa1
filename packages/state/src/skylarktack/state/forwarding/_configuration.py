"""Configuration of the forwarding frontend by operators."""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """Type of a route's requests, which decides whether they are retried."""

    #: May be executed more than once.
    IDEMPOTENT = 'idempotent'

    #: May be executed at most once for each attempt of the caller.
    NON_IDEMPOTENT = 'non_idempotent'

    #: The response is a stream of events.
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests."""

    service: str

    #: Weight relative to the other services of the route.
    weight: float


@dataclasses.dataclass(frozen=True)
class ForwardingRoute:
    """A route: the requests for one host below one path prefix."""

    #: Unique name.
    name: str

    #: Host that callers request.
    host: str

    #: Path prefix; starts and ends with a slash.
    path_prefix: str

    kind: RequestKind

    #: Services that receive the requests.
    services: tuple[WeightedService, ...]

    #: Maximum time from a request to its response.
    timeout_ms: float

    #: Latency up to which a response meets its objective.
    latency_objective_ms: float

    #: Maximum number of targets that may execute one attempt of a caller.
    max_attempts: int

    #: Lower numbers take precedence, from 0.
    priority: int

    #: Whether requests need no key.
    is_anonymous: bool

    #: Whether a stream may be resumed on another target.
    is_resumable: bool

    #: Maximum pause between events that counts as on time; None if there is
    #: no limit.
    longest_pause_ms: float | None

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be retried after a failure."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class EngineCapacity:
    """Capacity and features of each engine of a service."""

    #: Size of the KV cache, shared by running requests and cached prompts.
    kv_cache_tokens: int

    #: Whether an engine can continuously copy the KV cache of a run to a
    #: standby engine.
    has_standby_copies: bool


@dataclasses.dataclass(frozen=True)
class ServiceDescription:
    """A service and the limits of its targets."""

    #: Unique name.
    name: str

    #: Connections that one target accepts in total.
    connection_limit: int

    #: Capacity of its engines; None for a plain service.
    engine: EngineCapacity | None


@dataclasses.dataclass(frozen=True)
class FrontLimits:
    """Size limits and timeouts for requests of callers."""

    #: Maximum size of a request's head.
    max_header_bytes: int = 16384

    #: Maximum size of a request's body.
    max_body_bytes: int = 4194304

    #: Maximum time from the first to the last byte of a request's head.
    header_timeout_ms: float = 3000

    #: Maximum time that a connection may be idle between requests.
    idle_timeout_ms: float = 15000

    def widen(self, other: 'FrontLimits') -> 'FrontLimits':
        """Return limits that allow what either of the two allows."""
        return FrontLimits(
            max(self.max_header_bytes, other.max_header_bytes),
            max(self.max_body_bytes, other.max_body_bytes),
            max(self.header_timeout_ms, other.header_timeout_ms),
            max(self.idle_timeout_ms, other.idle_timeout_ms),
        )


@dataclasses.dataclass(frozen=True)
class OrganisationKeys:
    """An organisation and its API keys."""

    organisation: str

    #: Secret API keys of its callers.
    keys: tuple[str, ...]

    #: Priority that overrides the one of the route, or None.
    priority: int | None


@dataclasses.dataclass(frozen=True)
class ForwardingConfiguration:
    """One accepted configuration."""

    #: Version assigned by operators; increases, not always by 1.
    version: int

    routes: tuple[ForwardingRoute, ...]

    services: tuple[ServiceDescription, ...]

    limits: FrontLimits

    #: Organisations; None if requests need no key.
    organisations: tuple[OrganisationKeys, ...] | None
