"""Settings of target selection and of shared limits."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """Settings for the monitoring and selection of targets."""

    #: Load-balancing policy: ``random``, ``round_robin``, ``two_choices``,
    #: ``rendezvous`` or ``cost``.
    policy: str = 'cost'

    #: Instances that poll each target directly.
    watcher_count: int = 2

    #: Minimum number of targets polled by one instance, if there are as many.
    watched_floor_count: int = 8

    #: Threads that poll watched targets, each one a separate group.
    watch_thread_count: int = 2

    #: Interval between two polls of one target.
    poll_interval_ms: int = 1000

    #: Maximum wait for one load report. Short, because a thread polls its
    #: group in sequence and must detect draining targets within 3 s.
    poll_timeout_ms: int = 250

    #: Maximum number of targets of one version that an instance sends
    #: requests to.
    used_count: int = 64

    #: Age at which the weight of a load report is halved.
    report_half_life_ms: int = 3000

    #: Maximum age of a digest from a peer.
    digest_age_limit_ms: int = 20_000

    #: Maximum size of the digests in one exchange with a peer.
    digest_limit_bytes: int = 800

    #: Consecutive failures that eject a target.
    ejection_failure_count: int = 3

    #: Maximum fraction of a version's used targets that may be ejected.
    ejection_share: float = 0.34

    #: Duration of the first ejection; doubles with each further one.
    ejection_ms: int = 5000

    #: Maximum duration of an ejection.
    ejection_limit_ms: int = 60_000

    #: Time in which a new target reaches its full share of requests.
    slow_start_ms: int = 20_000

    #: Fraction of its full share that a target gets when it starts.
    slow_start_floor: float = 0.1

    #: Cost of a target in another failure domain of the region, in units of
    #: utilisation.
    domain_penalty: float = 0.05

    #: Cost of a target in another region, in units of utilisation.
    region_penalty: float = 0.3

    #: Cost of one uncached prompt block, in units of utilisation.
    block_cost: float = 0.002

    #: Random candidates compared by the cost policy.
    sample_count: int = 4

    #: Maximum number of prefix blocks in the index for one target.
    prefix_target_count: int = 1024

    #: Maximum number of prefix blocks in the index for all targets.
    prefix_total_count: int = 65_536

    #: Number of oldest blocks evicted for each missing cache event; a
    #: negative value evicts all blocks of the target.
    gap_drop_factor: float = 1.0

    #: Initial concurrency limit of this instance for a target.
    concurrency_start_count: int = 64

    #: Minimum of the adaptive concurrency limit for a target.
    concurrency_floor_count: int = 4

    #: Maximum of the adaptive concurrency limit for a target.
    concurrency_ceiling_count: int = 512


@dataclasses.dataclass(frozen=True)
class LimitSettings:
    """Settings of the shared limits, queues and retry budgets.

    An instance that exhausts its share of a limit borrows slots from others.
    """

    #: Time for which a loan is valid after the last message of its lender.
    loan_ttl_ms: int = 15_000

    #: Time after which unused borrowed slots are returned.
    loan_idle_ms: int = 5000

    #: Delay from the first list until an instance uses its share, so that
    #: the others have read the list and reduced their shares.
    settle_ms: int = 3000

    #: Time for which a share may not grow after an instance has left the
    #: list.
    growth_delay_ms: int = 10_000

    #: Maximum size of the loans in one exchange with a peer.
    loan_limit_bytes: int = 1200

    #: Maximum age of a loan entry that is still gossiped.
    entry_age_limit_ms: int = 10_000

    #: Maximum queued requests of one organisation on one route.
    queue_count: int = 64

    #: Maximum number of idle organisations whose state is kept.
    idle_organisation_count: int = 2048

    #: Burst of a rate limit, in seconds of its rate.
    rate_burst_s: float = 1.0

    #: Burst of retries that one organisation may make.
    organisation_retry_burst_count: int = 5
