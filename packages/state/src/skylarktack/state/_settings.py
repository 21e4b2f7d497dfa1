"""Settings of one entry instance, read once at its start."""

import dataclasses

from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._targets import Address


@dataclasses.dataclass(frozen=True)
class CallerSettings:
    """How callers are served."""

    #: Threads for callers' connections; each request in work holds one.
    thread_count: int = 256

    #: Largest accepted body.
    body_limit_bytes: int = 4_194_304

    #: Unsent output of one connection beyond which its task waits.
    output_limit_bytes: int = 65_536

    #: Most generations in work on this instance; the remaining threads are
    #: kept for plain calls.
    generation_count: int = 200


@dataclasses.dataclass(frozen=True)
class GenerationSettings:
    """Loss detection and failover of generations."""

    #: Shortest silence of a stream that counts as a loss.
    silence_floor_ms: int = 400

    #: Longest silence of a stream before it counts as a loss.
    silence_ceiling_ms: int = 1500

    #: Silence in multiples of the stream's own pace.
    silence_pace_factor: float = 8.0

    #: Longest wait for the first token of an attempt.
    first_token_ms: int = 10_000

    #: Longest wait for a new connection to a target.
    connect_ms: int = 500

    #: Most attempts of one request.
    attempt_count: int = 6

    #: How long running streams may finish after a stop was ordered.
    drain_ms: int = 30_000


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """How the platform's object API is reached."""

    #: Where it listens.
    address: Address

    #: Longest wait for an answer.
    timeout_ms: int = 1000

    #: Time between reads of the platform's list of instances.
    list_interval_ms: int = 1000


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """How entry instances talk to each other."""

    #: Where this instance accepts peers.
    listen: Address

    #: Most connected peers.
    connection_count: int = 8

    #: Largest accepted frame.
    frame_limit_bytes: int = 1_048_576

    #: Time between probes.
    probe_interval_ms: int = 1000

    #: Longest wait for the answer to a probe while this instance is healthy.
    probe_timeout_ms: int = 500

    #: Instances asked to probe one that did not answer; 0 asks none.
    helper_count: int = 3

    #: Time in which a suspect instance can refute, while this instance is
    #: healthy.
    suspicion_ms: int = 1500

    #: Largest local health score; 0 switches the adjustment off.
    health_limit_count: int = 8

    #: Time between exchanges with neighbours.
    exchange_interval_ms: int = 500

    #: Neighbours that receive an exchange each time.
    exchange_count: int = 2

    #: Most bytes of gossip topics in one exchange.
    exchange_limit_bytes: int = 600

    #: Most news items piggybacked on one message.
    news_count: int = 4

    #: How long a dead instance is remembered once it is no longer listed.
    retention_s: int = 600

    #: Whether this instance refutes news of its death.
    refutes: bool = True

    #: Whether findings made across a pause of this instance are dropped.
    guards_pauses: bool = True

    #: Whether dead and unknown listed instances are contacted again.
    reunites: bool = True


@dataclasses.dataclass(frozen=True)
class ClaimSettings:
    """Claims on idempotency keys."""

    #: Buckets in the object API; the same on all instances.
    bucket_count: int = 4

    #: Shortest time between two writes of one bucket.
    write_interval_ms: int = 40

    #: How long a claim is kept.
    retention_s: int = 86_400

    #: How long a recorded answer is kept.
    answer_retention_s: int = 600

    #: Size beyond which a segment is sealed.
    segment_limit_bytes: int = 524_288


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Budgets for retries and hedges."""

    #: Retries and hedges as a share of requests.
    budget_ratio: float = 0.1

    #: Retries an otherwise idle instance may make at once.
    budget_burst_count: int = 10


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """All settings of one entry instance."""

    #: Unique name of this process.
    name: InstanceName

    #: Its failure domain.
    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Where callers connect.
    listen: Address

    #: Where operators connect.
    operator_listen: Address

    #: Shared secret of the deployment, proved by peers and used to sign
    #: resume tokens.
    secret: str

    #: Hexadecimal SHA-256 of the operators' token.
    operator_token_sha256: str

    #: The platform's object API.
    store: StoreSettings

    #: Other instances.
    peer: PeerSettings

    #: Callers.
    caller: CallerSettings = dataclasses.field(default_factory=CallerSettings)

    #: Generations.
    generation: GenerationSettings = dataclasses.field(
        default_factory=GenerationSettings
    )

    #: At-most-once claims.
    claim: ClaimSettings = dataclasses.field(default_factory=ClaimSettings)

    #: Retries.
    retry: RetrySettings = dataclasses.field(default_factory=RetrySettings)

    #: Where statsd listens, or None.
    statsd: Address | None = None
