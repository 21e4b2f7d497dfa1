"""Log events about finished requests."""

import dataclasses
from typing import Any

from skylarktack.coordination.forwarding import _events


@dataclasses.dataclass(frozen=True)
class RequestsCounted(_events.LogEvent):
    """Counts of the requests that ended since the last such line."""

    part = 'request'
    message = 'requests counted'

    #: Failure domain of the instance.
    domain: str

    #: Requests in progress.
    active_streams: int
    active_calls: int

    #: For each route, organisation, result and cause: the number of requests,
    #: sends beyond the first, prompt tokens that were read again, the sums of
    #: the times queued, until the first event or the response, and between
    #: events, in ms, and the number of events.
    rows: tuple[tuple[object, ...], ...]


@dataclasses.dataclass(frozen=True)
class RequestServed(_events.LogEvent):
    """A request was served; only a sample of these is logged."""

    part = 'request'
    message = 'a request was served'

    #: Id of the caller's attempt.
    request: str

    #: Host and path that the caller requested.
    host: str
    path: str

    #: Name and kind of the route, or None if none matched.
    route: str | None
    kind: str | None

    #: Organisation of the caller, or None if it was not authenticated.
    organisation: str | None

    #: Version of the active configuration, or None before the first.
    configuration: int | None

    #: Whether the store's last confirmation of that version was still valid.
    is_current: bool

    #: Time for which the caller said it would wait, or None.
    time_limit_ms: float | None

    #: Id of the last event that the caller received before, or None.
    after_event: int | None

    outcome: str

    #: Reason for the outcome, in one phrase.
    cause: str

    #: Time from the arrival of the request to its end.
    duration_ms: float

    #: All decisions with their time and inputs.
    steps: tuple[dict[str, Any], ...]


@dataclasses.dataclass(frozen=True)
class RequestLate(RequestServed):
    """A request exceeded the latency objective of its route."""

    message = 'a request was late'


@dataclasses.dataclass(frozen=True)
class RequestFailed(RequestServed):
    """A request failed; all of these are logged."""

    message = 'a request failed'
