"""Log events of the fair admission of requests."""

import dataclasses

from skylarktack.coordination.forwarding import _events


@dataclasses.dataclass(frozen=True)
class OverShareRefused(_events.LogEvent):
    """Requests of an organisation are refused for those of others.

    It is logged at most once a second for each service.
    """

    part = 'admission'
    message = 'request refused: organisation over its share of a service'

    service: str

    #: Empty for requests without a key.
    organisation: str

    #: Requests a second at all instances: of the organisation, those of it
    #: that are served, of all organisations, and the service's capacity.
    demand_per_s: float
    share_per_s: float
    service_demand_per_s: float
    capacity_per_s: float

    #: Requests for the service that this instance has refused so since its
    #: start.
    refused_count: int


@dataclasses.dataclass(frozen=True)
class DemandsDropped(_events.LogEvent):
    """A peer reported demands that cannot be right; the rest is used."""

    part = 'admission'
    message = 'demands of a peer dropped'

    instance: str

    #: Entries of the report that were dropped.
    dropped_count: int
