"""Settings of the forwarding frontend of one instance."""

import dataclasses
import enum

from skylarktack.state._addresses import Address


class RampMode(enum.Enum):
    """For which services targets that are new or back start slowly."""

    #: Services of which a target has reported a slowdown.
    AUTO = 'auto'

    ON = 'on'
    OFF = 'off'


@dataclasses.dataclass(frozen=True)
class ForwardingSettings:
    """Settings of one instance, fixed at its start."""

    instance: str

    failure_domain: str

    #: Where callers connect.
    front: Address

    #: Where the load balancer checks readiness; None to disable it.
    readiness: Address | None

    #: Where datagrams of peers are received; None without peers.
    peer: Address | None

    #: Where metrics are served; None to disable them.
    metrics: Address | None

    store: Address

    #: Grace period from the stop signal until the process is killed.
    grace_ms: float

    #: Maximum delay until a new configuration must be applied.
    configuration_lag_ms: float

    #: Retries that each request adds to the retry budget of its service,
    #: over all instances.
    retry_ratio: float

    #: Retries in a window that the budget allows regardless of the number of
    #: requests, over all instances.
    retry_allowance_count: float

    #: Window of the retry budget.
    retry_window_ms: float

    #: Whether operators may order moves of services to other versions.
    has_moves: bool

    #: Maximum fraction of a service's requests that a bad version may
    #: receive, over all instances, and a fixed number of requests beyond it.
    exposure_fraction: float
    exposure_allowance_count: float

    #: Limit on open file descriptors of the process.
    descriptor_limit: int

    #: Limit on the resident memory of the process; None if it has none.
    memory_limit_bytes: int | None = None

    #: Whether targets that are new or back start slowly.
    target_ramp: RampMode = RampMode.AUTO
