"""Calls to plain services, their responses and their failures."""

import dataclasses

from skylarktack.state._documents import Route
from skylarktack.state._errors import RunState
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RequestId


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """One caller's call to a plain service."""

    request_id: RequestId

    organisation: OrganisationName

    #: The route as configured when the request arrived.
    route: Route

    method: str

    #: Path below the route and query, with a leading slash.
    path: str

    #: Headers that are forwarded to the target.
    headers: tuple[tuple[str, str], ...]

    body: bytes

    #: The caller's idempotency key; None if it sent none.
    idempotency_key: str | None = None


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """A target's response to a service call."""

    status: int

    #: Headers that are returned to the caller.
    headers: tuple[tuple[str, str], ...]

    body: bytes


@dataclasses.dataclass(frozen=True)
class DispatchFault:
    """A service call without a response."""

    #: ``NOT_RUN`` if no byte can have reached the target, else ``UNKNOWN``.
    run: RunState

    #: Human-readable description.
    message: str

    #: Whether the timeout of the call expired.
    timed_out: bool = False
