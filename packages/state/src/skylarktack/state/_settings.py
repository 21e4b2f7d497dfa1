"""Settings of one entry instance, read once at its start."""

import dataclasses

from skylarktack.state._addresses import Address
from skylarktack.state._moves import MoveSettings
from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._traffic_settings import LimitSettings
from skylarktack.state._traffic_settings import RoutingSettings


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

    #: Time over which the tokens of a stream faster than one token in this
    #: time are gathered into one write; 0 writes each at once.
    gather_ms: int = 20

    #: Longest wait for the first token of an attempt.
    first_token_ms: int = 10_000

    #: Longest wait for a new connection to a target, and for the answer to
    #: a probe on it.
    connect_ms: int = 500

    #: Longest wait for the head of the answer to a new attempt.
    start_ms: int = 1500

    #: Most attempts of one request.
    attempt_count: int = 6

    #: Failovers of one generation that need no retry budget once it has
    #: delivered a token; the loss of an engine with all its streams must not
    #: exhaust the budget.
    free_failover_count: int = 1

    #: Longest wait for a target after a loss when none is free.
    target_wait_ms: int = 3000

    #: Time before a leaving target's deadline at which its generations move.
    leave_margin_ms: int = 3000

    #: How long a generation goes on after its caller disconnected, on routes
    #: that cancel it.
    caller_grace_ms: int = 2000

    #: Longest wait for a peer that may hold a generation.
    peer_ms: int = 400

    #: Memory for generations that nobody reads at present.
    retained_bytes: int = 33_554_432

    #: Whether lost streams are attached again and continued elsewhere;
    #: benchmarks switch it off to measure its cost.
    protection: bool = True

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
    write_interval_ms: int = 50

    #: Longest delay of a recorded outcome that finds no claim to be
    #: written with.
    record_delay_ms: int = 200

    #: Longest wait of a call for its claim.
    claim_timeout_ms: int = 1000

    #: Longest wait for the answer of a bucket's owner.
    forward_timeout_ms: int = 400

    #: Delays between questions to a target whose answer was lost; it may be
    #: about to run the call.
    ask_delays_ms: tuple[int, ...] = (0, 100, 400)

    #: How long claims are refused at once after the store failed, and how
    #: long an owner that did not answer is passed over.
    back_off_ms: int = 250

    #: Largest answer that is recorded.
    answer_limit_bytes: int = 16_384

    #: Size beyond which the head of a bucket is sealed. Each write sends
    #: the whole head, so it is kept small.
    head_limit_bytes: int = 65_536

    #: How long a claim is kept.
    retention_s: int = 86_400

    #: How long a recorded answer is kept.
    answer_retention_s: int = 600

    #: Size up to which sealed segments are merged.
    segment_limit_bytes: int = 524_288


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Budgets for retries and hedges."""

    #: Retries and hedges as a share of requests.
    budget_ratio: float = 0.1

    #: Retries an otherwise idle instance may make at once.
    budget_burst_count: int = 10


@dataclasses.dataclass(frozen=True)
class LookupSettings:
    """Retries, hedges and ejection for calls that may be repeated."""

    #: Most attempts of one call, the first and hedges included.
    attempt_count: int = 3

    #: Delay before a hedge while a route has too few samples.
    hedge_initial_ms: float = 50.0

    #: Shortest delay before a hedge.
    hedge_floor_ms: float = 2.0

    #: Whether hedges are sent.
    hedges: bool = True

    #: Whether slow and failing targets are ejected.
    ejects: bool = True

    #: Faults of a target within a second that eject it.
    eject_fault_count: int = 3

    #: Largest ejected share of the known targets.
    eject_share: float = 0.5

    #: First duration of an ejection; it doubles with each further one.
    eject_ms: int = 1000

    #: Longest duration of an ejection.
    eject_ceiling_ms: int = 30_000


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

    #: Calls that may be repeated.
    lookup: LookupSettings = dataclasses.field(default_factory=LookupSettings)

    #: Retries.
    retry: RetrySettings = dataclasses.field(default_factory=RetrySettings)

    #: Choice of targets.
    routing: RoutingSettings = dataclasses.field(
        default_factory=RoutingSettings
    )

    #: Shared limits.
    limit: LimitSettings = dataclasses.field(default_factory=LimitSettings)

    #: Planned moves.
    move: MoveSettings = dataclasses.field(default_factory=MoveSettings)

    #: Where statsd listens, or None.
    statsd: Address | None = None
