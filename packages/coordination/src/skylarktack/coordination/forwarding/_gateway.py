"""Admits requests, forwards them and reports how they ended."""

import dataclasses
import math
import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _front_limits
from skylarktack.coordination.forwarding import _front_refusals
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _routes
from skylarktack.coordination.forwarding import _service_admission
from skylarktack.coordination.forwarding import _streams
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.forwarding import _watch_handlers
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Fraction of the caller's time limit for which a request is queued until the
#: first configuration is known, and the maximum of that wait. Many callers
#: retry only once, so an instance that starts while the store is unavailable
#: queues their requests before it rejects them.
QUEUE_LIMIT_FRACTION = 0.3
MAX_QUEUE_S = 0.5

#: Streams are still accepted for this time after the shutdown has begun,
#: since the load balancer sends new connections until it notices.
STOPPING_STREAM_ACCEPT_S = 0.3

Outcome = _outcomes.StreamOutcome


@dataclasses.dataclass(frozen=True)
class RequestReport:
    """A request that has ended, with the decisions made about it."""

    request: data.FrontRequest

    #: Name of the route, or None if no route matched.
    route: str | None

    #: Kind of the route, or None if no route matched.
    kind: data.RequestKind | None

    #: Responses that take longer count as late; None if no route matched.
    latency_objective_ms: float | None

    #: Organisation of the caller's key; None for a request without a known
    #: key or on an anonymous route.
    organisation: str | None

    #: Version of the active configuration, or None if there was none.
    configuration_version: int | None

    #: Whether the store had confirmed that version recently.
    is_configuration_current: bool

    outcome: _outcomes.RequestOutcome

    #: From reading the request to its outcome, including the time for which
    #: it was queued.
    duration_ms: float

    #: Decisions in the order in which they were made.
    steps: tuple[_outcomes.RequestStep, ...]


@dataclasses.dataclass(eq=False)
class _OpenRequest:
    """A request in progress, with what is known of it so far."""

    request: data.FrontRequest
    started_at_s: float
    trace: _outcomes.RequestTrace
    configuration_version: int | None
    is_configuration_current: bool

    #: Set when the request is admitted or rejected.
    route: data.ForwardingRoute | None = None
    organisation: str | None = None


class RequestObserver(Protocol):
    """Receives a report on each request that has ended."""

    def on_request_end(self, report: RequestReport) -> None:
        """Handle one report; must not block."""
        ...


@dataclasses.dataclass(frozen=True)
class GatewayDependencies:
    """Dependencies of the gateway."""

    clock: Clock

    configuration: _watch_handlers.ConfigurationHolder

    moves: _moves.MoveTable

    targets: _targets.TargetTable

    #: Refuses the excess of organisations while a service lacks room.
    admission: _service_admission.ServiceAdmission

    #: Forwards requests with one complete response.
    calls: _calls.CallForwarder

    #: Forwards requests whose response is a stream of events.
    streams: _streams.StreamForwarder

    observer: RequestObserver

    #: Records errors that no code path expects.
    errors: _supervision.ErrorRecorder


@dataclasses.dataclass(frozen=True)
class _Admission:
    """Route, service and organisation of an admitted request."""

    route: data.ForwardingRoute
    service: str
    engine: data.EngineCapacity | None
    organisation: str | None

    #: Urgency of the request; 0 is the highest.
    priority: int

    #: The same for engines; None where all requests are equally urgent.
    engine_priority: int | None

    #: Connections that one target accepts, or None if it is unknown.
    connection_limit: int | None


@dataclasses.dataclass(frozen=True)
class _Rejected:
    """A refusal, with the route and organisation if already known."""

    refusal: data.Refusal
    route: data.ForwardingRoute | None = None
    organisation: str | None = None


class Gateway:
    """Admits or refuses each request and forwards the admitted ones."""

    def __init__(self, dependencies: GatewayDependencies) -> None:
        self.dependencies = dependencies
        self._clock = dependencies.clock
        self._shutdown_began_at_s: float | None = None
        self._lock = threading.Lock()
        self._open: set[_OpenRequest] = set()
        self._stream_count = 0
        self._end_at_s = math.inf

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return limits that allow whatever a caller may count on.

        :param began_at_s: monotonic time at which the caller began to wait
            or to send.
        """
        configuration = self.dependencies.configuration
        # Read before the limits; see ``handle``.
        is_current = configuration.is_current()
        limits = configuration.limits.allowed_since(began_at_s)
        if is_current:
            return limits
        return _front_limits.while_unconfirmed(limits)

    def begin_shutdown(self, end_at_s: float) -> None:
        """Refuse from now on requests that the instance may not finish.

        :param end_at_s: monotonic time by which requests have to end.
        """
        self._end_at_s = end_at_s
        self._shutdown_began_at_s = self._clock.monotonic_s()

    @property
    def is_stopping(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._shutdown_began_at_s is not None

    def active_count(self) -> int:
        """Return the number of requests in progress."""
        with self._lock:
            return len(self._open)

    def stream_count(self) -> int:
        """Return the number of streams in progress."""
        with self._lock:
            return self._stream_count

    def handle(
        self, request: data.FrontRequest, caller: _ports.Caller
    ) -> Outcome:
        """Forward one request and return how it ended."""
        started_at_s = self._clock.monotonic_s()
        trace = _outcomes.RequestTrace(started_at_s)
        self._wait_until_synced(request)
        # Read before the table: a confirmation that arrives in between would
        # be that of a newer one.
        is_current = self.dependencies.configuration.is_current()
        table = self.dependencies.configuration.table
        version = None if table is None else table.configuration.version
        if table is not None:
            self.dependencies.targets.engines.follow(table.configuration)
        opened = _OpenRequest(
            request, started_at_s, trace, version, is_current
        )
        with self._lock:
            self._open.add(opened)
        queued_s = self._clock.monotonic_s() - started_at_s
        try:
            admission = self._admit(table, is_current, request, queued_s)
            opened.route = admission.route
            opened.organisation = admission.organisation
            if isinstance(admission, _Rejected):
                outcome: Outcome = admission.refusal
            else:
                outcome = self._forward(
                    admission, request, caller, started_at_s, trace
                )
        except Exception as error:
            self.dependencies.errors.record('request', error)
            outcome = _front_refusals.refusal_after_error(
                error, request, trace, queued_s
            )
        with self._lock:
            is_reported = opened not in self._open
            self._open.discard(opened)
        if not is_reported:
            self._report(opened, outcome)
        return outcome

    def report_cut_requests(self) -> None:
        """Report the requests in progress, which the exit cuts off."""
        with self._lock:
            cut_requests = tuple(self._open)
            self._open.clear()
        for opened in cut_requests:
            self._report(opened, _outcomes.CutByExit())

    def _report(
        self, opened: _OpenRequest, outcome: _outcomes.RequestOutcome
    ) -> None:
        route = opened.route
        with self.dependencies.errors.contain(_supervision.REQUEST_REPORT):
            now_s = self._clock.monotonic_s()
            self.dependencies.observer.on_request_end(
                RequestReport(
                    request=opened.request,
                    route=route.name if route else None,
                    kind=route.kind if route else None,
                    latency_objective_ms=(
                        route.latency_objective_ms if route else None
                    ),
                    organisation=opened.organisation,
                    configuration_version=opened.configuration_version,
                    is_configuration_current=opened.is_configuration_current,
                    outcome=outcome,
                    duration_ms=1000 * (now_s - opened.started_at_s),
                    steps=tuple(opened.trace.steps),
                )
            )

    def _wait_until_synced(self, request: data.FrontRequest) -> None:
        """Wait for the first configuration and the first list of targets."""
        queue_limit_s = min(
            MAX_QUEUE_S,
            QUEUE_LIMIT_FRACTION
            * _front_refusals.caller_time_limit_s(request),
        )
        queue_end_s = self._clock.monotonic_s() + queue_limit_s
        for is_synced in (
            self.dependencies.configuration.is_synced,
            self.dependencies.targets.is_synced,
        ):
            remaining_s = queue_end_s - self._clock.monotonic_s()
            if not is_synced.is_set() and remaining_s > 0:
                self._clock.wait(is_synced, remaining_s)

    def _admit(
        self,
        table: _routes.RouteTable | None,
        is_current: bool,
        request: data.FrontRequest,
        queued_s: float,
    ) -> _Admission | _Rejected:
        retry_after_s = _front_refusals.retry_after_s(request, queued_s)
        if table is None:
            return _Rejected(
                _front_refusals.outdated_refusal(
                    retry_after_s, 'no configuration was received yet'
                )
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            if not is_current:
                return _Rejected(
                    _front_refusals.outdated_refusal(
                        retry_after_s,
                        'no such route in an outdated configuration',
                    )
                )
            return _Rejected(data.Refusal(data.RefusalReason.NO_ROUTE))
        organisation = None
        priority = route.priority
        if table.needs_key(route):
            organisation_keys = table.find_organisation(request.key or '')
            if organisation_keys is None:
                if not is_current:
                    return _Rejected(
                        _front_refusals.outdated_refusal(
                            retry_after_s,
                            'unknown key in an outdated configuration',
                        ),
                        route,
                    )
                return _Rejected(
                    data.Refusal(data.RefusalReason.UNKNOWN_KEY), route
                )
            organisation = organisation_keys.organisation
            if organisation_keys.priority is not None:
                priority = organisation_keys.priority
        service = _routes.choose_service(route, random.random)
        if service is None:
            refusal = data.Refusal(
                data.RefusalReason.NO_TARGET,
                retry_after_s,
                'the route has no service with a positive weight',
            )
            return _Rejected(refusal, route, organisation)
        if self._is_refused_by_shutdown(route, request):
            refusal = _front_refusals.stopping_refusal(route)
            return _Rejected(refusal, route, organisation)
        description = table.find_service(service)
        limit = None if description is None else description.connection_limit
        return _Admission(
            route=route,
            service=service,
            engine=None if description is None else description.engine,
            organisation=organisation,
            priority=priority,
            engine_priority=table.urgencies.engine_priority(service, priority),
            connection_limit=limit,
        )

    def _is_refused_by_shutdown(
        self, route: data.ForwardingRoute, request: data.FrontRequest
    ) -> bool:
        if self._shutdown_began_at_s is None:
            return False
        now_s = self._clock.monotonic_s()
        if route.kind is data.RequestKind.STREAM:
            return now_s > self._shutdown_began_at_s + STOPPING_STREAM_ACCEPT_S
        return (
            now_s + _request_timeout_ms(route, request) / 1000 > self._end_at_s
        )

    def _forward(
        self,
        admission: _Admission,
        request: data.FrontRequest,
        caller: _ports.Caller,
        started_at_s: float,
        trace: _outcomes.RequestTrace,
    ) -> Outcome:
        if caller.has_disconnected():
            # The request was queued, or the process was suspended, for
            # longer than the caller waited.
            trace.record(self._clock.monotonic_s(), 'caller_left')
            return _outcomes.CallerDisconnected()
        limit_ms = _request_timeout_ms(admission.route, request)
        admitted_request = _admitted_request.AdmittedRequest(
            request=request,
            route=admission.route,
            service=admission.service,
            version_rule=self.dependencies.moves.choose_versions(
                admission.service, admission.route.name
            ),
            engine=admission.engine,
            organisation=admission.organisation,
            caller=caller,
            started_at_s=started_at_s,
            deadline_s=started_at_s + limit_ms / 1000,
            trace=trace,
            priority=admission.priority,
            engine_priority=admission.engine_priority,
            connection_limit=admission.connection_limit,
        )
        refusal = self.dependencies.admission.check(admitted_request)
        if refusal is not None:
            return refusal
        if admission.route.kind is not data.RequestKind.STREAM:
            return self.dependencies.calls.run(admitted_request)
        with self._lock:
            self._stream_count += 1
        try:
            outcome = self.dependencies.streams.run(admitted_request)
        finally:
            with self._lock:
                self._stream_count -= 1
        self.dependencies.admission.record_stream(admitted_request, outcome)
        return outcome


def _request_timeout_ms(
    route: data.ForwardingRoute, request: data.FrontRequest
) -> float:
    """Return the smaller of the route's and the caller's time limit."""
    if request.time_limit_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, request.time_limit_ms)
