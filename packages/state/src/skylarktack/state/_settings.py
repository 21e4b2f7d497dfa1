"""Settings of one entry instance, read once at startup."""

import dataclasses

from skylarktack.state._addresses import Address
from skylarktack.state._moves import MoveSettings
from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._traffic_settings import LimitSettings
from skylarktack.state._traffic_settings import RoutingSettings


@dataclasses.dataclass(frozen=True)
class CallerSettings:
    """Settings for the connections of callers."""

    #: Threads for callers' connections; each active request occupies one.
    thread_count: int = 256

    #: Maximum size of a request body.
    body_limit_bytes: int = 4_194_304

    #: Unsent output of one connection at which its task blocks.
    output_limit_bytes: int = 65_536

    #: Maximum concurrent generations on this instance; the remaining threads
    #: are reserved for service calls.
    generation_count: int = 200


@dataclasses.dataclass(frozen=True)
class GenerationSettings:
    """Settings for failure detection and failover of generations."""

    #: Minimum inactivity after which a stream counts as lost.
    silence_floor_ms: int = 400

    #: Maximum inactivity after which a stream counts as lost.
    silence_ceiling_ms: int = 1500

    #: Inactivity after which a stream counts as lost, in multiples of its
    #: inter-token time; bounded by the two values above.
    silence_pace_factor: float = 8.0

    #: Interval over which tokens are batched into one write, for streams
    #: faster than one token per interval; 0 writes each token at once.
    gather_ms: int = 20

    #: Maximum wait for the first token of an attempt.
    first_token_ms: int = 10_000

    #: Timeout for opening a connection to a target, and for the response to
    #: a probe on it.
    connect_ms: int = 500

    #: Maximum wait for the response head of a new attempt.
    start_ms: int = 1500

    #: Maximum attempts of one request.
    attempt_count: int = 6

    #: Failovers of one generation that cost no retry budget once it has
    #: delivered a token. The failure of an engine with all its streams must
    #: not exhaust the budget.
    free_failover_count: int = 1

    #: Maximum wait for a target after a loss if none has capacity.
    target_wait_ms: int = 3000

    #: Time before the deadline of a draining target at which its generations
    #: fail over to other targets.
    leave_margin_ms: int = 3000

    #: Time from the disconnection of a caller to the cancellation of its
    #: generation, on routes that cancel it.
    caller_grace_ms: int = 2000

    #: Maximum wait for a peer that may hold a generation.
    peer_ms: int = 400

    #: Memory limit for retained generations without a reader.
    retained_bytes: int = 33_554_432

    #: Whether lost streams are reattached or continued on another target.
    #: Benchmarks disable it to measure its cost.
    protection: bool = True

    #: Maximum time for running streams to finish during a graceful shutdown.
    drain_ms: int = 30_000


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Settings of the client of the platform's object API."""

    address: Address

    #: Maximum wait for a response.
    timeout_ms: int = 1000

    #: Interval between reads of the platform's list of instances.
    list_interval_ms: int = 1000


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """Settings of the peer network and of the membership protocol."""

    #: Where this instance accepts connections of peers.
    listen: Address

    #: Maximum number of connected peers.
    connection_count: int = 8

    #: Maximum size of a received frame.
    frame_limit_bytes: int = 1_048_576

    #: Interval between probes.
    probe_interval_ms: int = 1000

    #: Timeout of a probe while this instance is healthy.
    probe_timeout_ms: int = 500

    #: Relay instances for the indirect probe of an instance that did not
    #: respond; 0 disables indirect probes.
    helper_count: int = 3

    #: Time for a suspect instance to refute the suspicion, while this
    #: instance is healthy.
    suspicion_ms: int = 1500

    #: Maximum local health score; 0 disables the adjustment of timeouts.
    health_limit_count: int = 8

    #: Interval between exchanges with neighbours.
    exchange_interval_ms: int = 500

    #: Neighbours that receive an exchange in each round.
    exchange_count: int = 2

    #: Maximum size of all gossip topics in one exchange.
    exchange_limit_bytes: int = 600

    #: Maximum number of membership updates piggybacked on one message.
    news_count: int = 4

    #: Time for which the entry of a dead or left instance is kept once the
    #: platform no longer lists it.
    retention_s: int = 600

    #: Whether this instance refutes reports that it is suspect or dead.
    refutes: bool = True

    #: Whether probe results across a pause of this instance are discarded.
    guards_pauses: bool = True

    #: Whether dead and unknown listed instances are contacted for a rejoin.
    reunites: bool = True


@dataclasses.dataclass(frozen=True)
class ClaimSettings:
    """Settings for claims on idempotency keys."""

    #: Number of claim buckets in the object API; equal on all instances.
    bucket_count: int = 4

    #: Minimum interval between two writes of one bucket.
    write_interval_ms: int = 50

    #: Maximum delay before an outcome is written if no claim is written
    #: earlier that it can be batched with.
    record_delay_ms: int = 200

    #: Maximum wait of a call for its claim.
    claim_timeout_ms: int = 1000

    #: Maximum wait for the response of a bucket's owner.
    forward_timeout_ms: int = 400

    #: Delays before the outcome queries to a target whose response was lost.
    #: There are several, since the target may be about to execute the call.
    ask_delays_ms: tuple[int, ...] = (0, 100, 400)

    #: Back-off period: claims fail fast for this time after the store failed,
    #: and an owner that did not respond is skipped for it.
    back_off_ms: int = 250

    #: Maximum size of a recorded response.
    answer_limit_bytes: int = 16_384

    #: Size at which the head of a bucket is sealed. Kept small, since each
    #: write sends the complete head.
    head_limit_bytes: int = 65_536

    #: Retention time of a claim.
    retention_s: int = 86_400

    #: Retention time of a recorded response.
    answer_retention_s: int = 600

    #: Maximum size of a segment merged from sealed ones.
    segment_limit_bytes: int = 524_288


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Budget for retries and hedged requests."""

    #: Maximum retries and hedged requests, as a fraction of all requests.
    budget_ratio: float = 0.1

    #: Burst of retries that an idle instance may make.
    budget_burst_count: int = 10


@dataclasses.dataclass(frozen=True)
class LookupSettings:
    """Retries, hedged requests and ejection for lookups.

    A lookup is an idempotent call, which may be retried.
    """

    #: Maximum attempts of one lookup, hedged requests included.
    attempt_count: int = 3

    #: Delay of a hedged request while a route has too few samples.
    hedge_initial_ms: float = 50.0

    #: Minimum delay of a hedged request.
    hedge_floor_ms: float = 2.0

    #: Whether hedged requests are sent.
    hedges: bool = True

    #: Whether slow and failing targets are ejected.
    ejects: bool = True

    #: Faults within a second that eject a target.
    eject_fault_count: int = 3

    #: Maximum fraction of the known targets that may be ejected.
    eject_share: float = 0.5

    #: Duration of the first ejection; doubles with each further one.
    eject_ms: int = 1000

    #: Maximum duration of an ejection.
    eject_ceiling_ms: int = 30_000


@dataclasses.dataclass(frozen=True)
class StopSettings:
    """Settings of the planned stop."""

    #: Maximum time for which callers are accepted after the stop began while
    #: the load balancer may take the instance for ready.
    accept_ms: int = 3000

    #: Readiness checks that must be answered with "not ready" before callers
    #: are refused earlier; with several load balancers, those of each.
    unready_check_count: int = 2

    #: Maximum duration of the whole stop. None allows ``accept_ms`` or
    #: ``drain_ms``, whichever is longer, and 20 s.
    grace_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """All settings of one entry instance."""

    #: Name of this instance, unique during the lifetime of its process.
    name: InstanceName

    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Where callers connect.
    listen: Address

    #: Where operators connect.
    operator_listen: Address

    #: Shared secret of the deployment. Peers authenticate with it, and it
    #: signs the resume tokens.
    secret: str

    #: Hexadecimal SHA-256 of the operators' token.
    operator_token_sha256: str

    store: StoreSettings

    peer: PeerSettings

    caller: CallerSettings = dataclasses.field(default_factory=CallerSettings)

    generation: GenerationSettings = dataclasses.field(
        default_factory=GenerationSettings
    )

    #: Claims for at-most-once calls.
    claim: ClaimSettings = dataclasses.field(default_factory=ClaimSettings)

    lookup: LookupSettings = dataclasses.field(default_factory=LookupSettings)

    retry: RetrySettings = dataclasses.field(default_factory=RetrySettings)

    routing: RoutingSettings = dataclasses.field(
        default_factory=RoutingSettings
    )

    limit: LimitSettings = dataclasses.field(default_factory=LimitSettings)

    move: MoveSettings = dataclasses.field(default_factory=MoveSettings)

    stop: StopSettings = dataclasses.field(default_factory=StopSettings)

    #: Where statsd listens; None disables it.
    statsd: Address | None = None
