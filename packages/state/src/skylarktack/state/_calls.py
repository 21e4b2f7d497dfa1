"""Plain calls to services, their answers and their failures."""

import dataclasses

from skylarktack.state._documents import Route
from skylarktack.state._errors import RunState
from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RequestId


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """One caller's call to a plain service."""

    #: Unique identifier.
    request_id: RequestId

    #: Organisation of the caller.
    organisation: OrganisationName

    #: The route, as configured when the request arrived.
    route: Route

    #: HTTP method.
    method: str

    #: Path and query below the route, with a leading slash.
    path: str

    #: Headers passed on to the target.
    headers: tuple[tuple[str, str], ...]

    #: Body.
    body: bytes

    #: The caller's idempotency key, or None.
    idempotency_key: str | None = None


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """A target's answer to a plain call."""

    #: HTTP status.
    status: int

    #: Headers passed back to the caller.
    headers: tuple[tuple[str, str], ...]

    #: Body.
    body: bytes


@dataclasses.dataclass(frozen=True)
class DispatchFault:
    """A plain call that brought no answer."""

    #: ``not_run`` if no byte can have reached the target, else ``unknown``.
    run: RunState

    #: One sentence for people.
    message: str

    #: Whether the time limit of the call ended it.
    timed_out: bool = False
