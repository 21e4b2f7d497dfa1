"""Settings of the forwarding front end of one instance."""

import dataclasses

from skylarktack.state._addresses import Address


@dataclasses.dataclass(frozen=True)
class ForwardingSettings:
    """What an instance learns before it starts."""

    #: Name of the instance.
    instance: str

    #: Its failure domain.
    failure_domain: str

    #: Where callers connect.
    front: Address

    #: Where the balancer asks for readiness, or None.
    readiness: Address | None

    #: Where other instances send datagrams, or None.
    peer: Address | None

    #: Where metrics are served, or None.
    metrics: Address | None

    #: The platform's store.
    store: Address

    #: Time from the order to stop until the process is killed.
    grace_ms: float

    #: Time within which a new configuration has to be in force.
    configuration_lag_ms: float

    #: Sends beyond the first that one request for a service pays for, over
    #: all instances.
    retry_ratio: float

    #: Sends beyond the first in a window that no request has to pay for,
    #: over all instances.
    retry_allowance_count: float

    #: Window in which sends beyond the first are counted.
    retry_window_ms: float

    #: Whether operators order moves of services to other versions.
    has_moves: bool

    #: Part of a service's requests that a bad version may get, over all
    #: instances, and the requests that it may get beyond.
    exposure_fraction: float
    exposure_allowance_count: float

    #: Open files of the process.
    descriptor_limit: int
