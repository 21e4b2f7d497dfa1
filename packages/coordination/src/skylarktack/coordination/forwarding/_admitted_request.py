"""A request that was admitted, as it is handed to a forwarder."""

import dataclasses

from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """An admitted request with the decisions made on admission."""

    request: data.FrontRequest

    route: data.ForwardingRoute

    #: Service that was chosen at random by the route's weights.
    service: str

    #: Versions of the service to which the request may be sent.
    version_rule: _version_rules.VersionRule

    #: Capacity and features of the service's engines; None for a plain
    #: service.
    engine: data.EngineCapacity | None

    #: Organisation of the caller, or None on an anonymous route.
    organisation: str | None

    #: Connection of the caller.
    caller: _ports.Caller

    #: Monotonic time at which the request was read.
    started_at_s: float

    #: Monotonic time at which the time limit of the caller or of the route
    #: expires, whichever is earlier.
    deadline_s: float

    #: Decisions about the request, for the log.
    trace: _outcomes.RequestTrace

    #: Urgency, that of the organisation or else of the route; 0 is the
    #: highest.
    priority: int = 0

    #: Urgency for engines, from 0; None where all requests of the service
    #: are equally urgent.
    engine_priority: int | None = None

    #: Connections that one target of the service accepts from all instances
    #: together, or None if it is unknown.
    connection_limit: int | None = None

    @property
    def has_standby_copies(self) -> bool:
        """Whether engines of the service keep copies of the KV cache."""
        return self.engine is not None and self.engine.has_standby_copies
