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

    #: Whether engines of the service keep standby copies of the KV cache.
    has_standby_copies: bool

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
