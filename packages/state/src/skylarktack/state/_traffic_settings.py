"""Settings of target choice and of shared limits."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """How targets are watched and chosen."""

    #: Policy: ``random``, ``round_robin``, ``two_choices``, ``rendezvous``
    #: or ``cost``.
    policy: str = 'cost'

    #: Instances that watch each target directly.
    watcher_count: int = 2

    #: Fewest targets that one instance watches if there are that many.
    watched_floor_count: int = 8

    #: Threads that poll watched targets, each one group.
    watch_thread_count: int = 2

    #: Time between two polls of one target.
    poll_interval_ms: int = 1000

    #: Longest wait for one load report. Short, because one thread polls its
    #: group in sequence and leaving targets must show within 3 s.
    poll_timeout_ms: int = 250

    #: Most targets of one version that an instance sends work to.
    used_count: int = 64

    #: Age at which a load report counts half.
    report_half_life_ms: int = 3000

    #: Age beyond which a digest from a peer is dropped.
    digest_age_limit_ms: int = 20_000

    #: Most bytes of digests in one exchange with a peer.
    digest_limit_bytes: int = 800

    #: Failures in a row that eject a target.
    ejection_failure_count: int = 3

    #: Largest share of a version's used targets that may be ejected.
    ejection_share: float = 0.34

    #: First time of ejection; doubles with each further one.
    ejection_ms: int = 5000

    #: Longest time of ejection.
    ejection_limit_ms: int = 60_000

    #: Time over which a new target reaches its full share.
    slow_start_ms: int = 20_000

    #: Share of work of a target that has just started.
    slow_start_floor: float = 0.1

    #: Cost of another failure domain of the region, as utilisation.
    domain_penalty: float = 0.05

    #: Cost of another region, as utilisation.
    region_penalty: float = 0.3

    #: Cost of one uncached prompt block, as utilisation.
    block_cost: float = 0.002

    #: Random candidates that the cost policy looks at.
    sample_count: int = 4

    #: Prefix blocks remembered for one target.
    prefix_target_count: int = 1024

    #: Prefix blocks remembered in all.
    prefix_total_count: int = 65_536

    #: Oldest blocks dropped for each missing cache event; negative drops all
    #: blocks of the target.
    gap_drop_factor: float = 1.0

    #: Requests of this instance that a target may hold at first.
    concurrency_start_count: int = 64

    #: Fewest requests that the adaptive limit of a target allows.
    concurrency_floor_count: int = 4

    #: Most requests that the adaptive limit of a target allows.
    concurrency_ceiling_count: int = 512


@dataclasses.dataclass(frozen=True)
class LimitSettings:
    """Shared limits, queues and retry budgets of organisations."""

    #: Time for which a loan counts after its lender was last heard.
    loan_ttl_ms: int = 15_000

    #: Time after which unused borrowed slots are given back.
    loan_idle_ms: int = 5000

    #: Time from the first list until an instance uses its share, so that
    #: the others have seen it in the list and lowered theirs.
    settle_ms: int = 3000

    #: Time for which a share may not grow after an instance left the list.
    growth_delay_ms: int = 10_000

    #: Most bytes of loans in one exchange with a peer.
    loan_limit_bytes: int = 1200

    #: Age beyond which an entry about loans is passed on no more.
    entry_age_limit_ms: int = 10_000

    #: Most requests of one organisation that wait on one route.
    queue_count: int = 64

    #: Organisations whose idle state is kept.
    idle_organisation_count: int = 2048

    #: Share of a second of a rate limit that may be used at once.
    rate_burst_s: float = 1.0

    #: Retries that one organisation may make at once.
    organisation_retry_burst_count: int = 5
