"""A request with all that was decided before it is sent to a target."""

import dataclasses

from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """One admitted request."""

    #: The request.
    request: data.FrontRequest

    #: Its route.
    route: data.ForwardingRoute

    #: Service that was drawn for it.
    service: str

    #: Versions that it may be sent to.
    version_rule: _version_rules.VersionRule

    #: Whether engines of the service keep copies of runs.
    has_standby_copies: bool

    #: Organisation of the caller, or None on an anonymous route.
    organisation: str | None

    #: The caller's connection.
    caller: _ports.Caller

    #: Monotonic time at which the request was read.
    started_at_s: float

    #: Monotonic time at which the caller or the operator stops waiting.
    deadline_s: float

    #: Decisions about it, for the log.
    trace: _outcomes.RequestTrace
