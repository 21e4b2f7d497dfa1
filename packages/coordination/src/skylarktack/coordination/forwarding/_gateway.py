"""Admission of requests: configuration, route, key, deadline, outcome."""

import dataclasses
import math
import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _routes
from skylarktack.coordination.forwarding import _streams
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.forwarding import _watch_handlers
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Part of the caller's time for which a request waits for the first
#: configuration, and the longest such wait. Many callers come back only
#: once, so an instance that starts while the store is away holds their
#: requests first.
HOLD_LIMIT_SHARE = 0.3
LONGEST_HOLD_S = 0.5

#: Part of the caller's remaining time after which it may come back to an
#: instance that knows no configuration or an outdated one, and the longest
#: such time. Callers wait for a third of their remaining time at most.
RETRY_LIMIT_SHARE = 0.28
LONGEST_RETRY_AFTER_S = 2.0

#: Time of a caller that did not say how long it waits.
DEFAULT_TIME_LIMIT_MS = 2000.0

#: Part of the latency objective after which a caller may come back after an
#: instance that stops, and the longest such time. The balancer takes up to
#: two seconds to notice that instances stop, and a caller that comes back
#: once should not meet another one that stops too. The rest of the objective
#: is for reading the prompt.
STOPPING_RETRY_OBJECTIVE_SHARE = 0.45
LONGEST_STOPPING_RETRY_AFTER_S = 2.2

#: After the order to stop, streams are still accepted for this time, since
#: the balancer sends new connections until it has noticed.
STOPPING_ACCEPT_S = 0.3

Outcome = _outcomes.StreamOutcome


@dataclasses.dataclass(frozen=True)
class RequestReport:
    """A request that has ended, with all that was decided about it."""

    #: The request.
    request: data.FrontRequest

    #: Name of its route, or None.
    route: str | None

    #: Kind of its route, or None.
    kind: data.RequestKind | None

    #: Time within which an answer is on time, or None.
    latency_objective_ms: float | None

    #: Organisation of its caller, or None.
    organisation: str | None

    #: Version of the configuration that was in force, or None.
    configuration_version: int | None

    #: Whether the store had confirmed that version lately.
    is_configuration_current: bool

    #: How it ended.
    outcome: Outcome

    #: Time that it took.
    duration_ms: float

    #: All decisions.
    steps: tuple[_outcomes.RequestStep, ...]


class RequestObserver(Protocol):
    """Learns how requests ended."""

    def on_request_end(self, report: RequestReport) -> None:
        """Take one report without waiting."""
        ...


@dataclasses.dataclass(frozen=True)
class GatewayDependencies:
    """What the gateway is made of."""

    #: Source of time.
    clock: Clock

    #: Configuration in force.
    configuration: _watch_handlers.ConfigurationHolder

    #: Moves of services to other versions.
    moves: _moves.MoveTable

    #: Known targets.
    targets: _targets.TargetTable

    #: Forwards calls.
    calls: _calls.CallForwarder

    #: Forwards streams.
    streams: _streams.StreamForwarder

    #: Learns how requests ended.
    observer: RequestObserver


@dataclasses.dataclass(frozen=True)
class _Admitted:
    """Route, service and organisation of a request."""

    route: data.ForwardingRoute
    service: str
    has_standby_copies: bool
    organisation: str | None


@dataclasses.dataclass(frozen=True)
class _Rejected:
    """A refusal, with what was found out before."""

    refusal: data.Refusal
    route: data.ForwardingRoute | None = None
    organisation: str | None = None


class Gateway:
    """Decides what becomes of each request."""

    def __init__(self, parts: GatewayDependencies) -> None:
        #: What it is made of.
        self.parts = parts
        self._clock = parts.clock
        self._stop_ordered_at_s: float | None = None
        self._lock = threading.Lock()
        self._active_count = 0
        self._stream_count = 0
        self._end_at_s = math.inf

    def limits(self) -> data.FrontLimits:
        """Return the limits on callers that are in force."""
        table = self.parts.configuration.table
        if table is None:
            return data.FrontLimits()
        return table.configuration.limits

    def begin_shutdown(self, end_at_s: float) -> None:
        """Accept nothing from now on that may outlast the instance.

        :param end_at_s: monotonic time at which the instance ends at last.
        """
        self._end_at_s = end_at_s
        self._stop_ordered_at_s = self._clock.monotonic_s()

    @property
    def is_stopping(self) -> bool:
        """Return whether the instance was told to stop."""
        return self._stop_ordered_at_s is not None

    def active_count(self) -> int:
        """Return the number of requests in progress."""
        with self._lock:
            return self._active_count

    def stream_count(self) -> int:
        """Return the number of streams in progress."""
        with self._lock:
            return self._stream_count

    def handle(
        self, request: data.FrontRequest, caller: _ports.Caller
    ) -> Outcome:
        """Forward one request and return how it ended."""
        started_at_s = self._clock.monotonic_s()
        notes = _outcomes.RequestTrace(started_at_s)
        self._await_beliefs(request)
        table = self.parts.configuration.table
        is_current = self.parts.configuration.is_current()
        with self._lock:
            self._active_count += 1
        held_s = self._clock.monotonic_s() - started_at_s
        admitted = self._admit(table, is_current, request, held_s)
        route = admitted.route
        organisation = admitted.organisation
        try:
            if isinstance(admitted, _Rejected):
                outcome: Outcome = admitted.refusal
            else:
                outcome = self._forward(
                    admitted, request, caller, started_at_s, notes
                )
        finally:
            with self._lock:
                self._active_count -= 1
        self.parts.observer.on_request_end(
            RequestReport(
                request=request,
                route=route.name if route else None,
                kind=route.kind if route else None,
                latency_objective_ms=(
                    route.latency_objective_ms if route else None
                ),
                organisation=organisation,
                configuration_version=(
                    None if table is None else table.configuration.version
                ),
                is_configuration_current=is_current,
                outcome=outcome,
                duration_ms=1000 * (self._clock.monotonic_s() - started_at_s),
                steps=tuple(notes.steps),
            )
        )
        return outcome

    def _await_beliefs(self, request: data.FrontRequest) -> None:
        """Hold a request for a moment until it can be sent on."""
        hold_s = min(LONGEST_HOLD_S, HOLD_LIMIT_SHARE * _time_limit_s(request))
        until_s = self._clock.monotonic_s() + hold_s
        for is_known in (
            self.parts.configuration.is_synced,
            self.parts.targets.is_synced,
        ):
            left_s = until_s - self._clock.monotonic_s()
            if not is_known.is_set() and left_s > 0:
                self._clock.wait(is_known, left_s)

    def _admit(
        self,
        table: _routes.RouteTable | None,
        is_current: bool,
        request: data.FrontRequest,
        held_s: float,
    ) -> _Admitted | _Rejected:
        retry_after_s = _retry_after_s(request, held_s)
        if table is None:
            return _Rejected(
                _unsure(retry_after_s, 'no configuration is known yet')
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            if not is_current:
                return _Rejected(
                    _unsure(retry_after_s, 'the route may be newer')
                )
            return _Rejected(data.Refusal(data.RefusalReason.NO_ROUTE))
        organisation = None
        if table.needs_key(route):
            holder = table.find_organisation(request.key or '')
            if holder is None:
                if not is_current:
                    return _Rejected(
                        _unsure(retry_after_s, 'the key may be newer'), route
                    )
                return _Rejected(
                    data.Refusal(data.RefusalReason.UNKNOWN_KEY), route
                )
            organisation = holder.organisation
        service = _routes.choose_service(route, random.random)
        if service is None:
            refusal = data.Refusal(
                data.RefusalReason.NO_TARGET,
                retry_after_s,
                'the route has no service',
            )
            return _Rejected(refusal, route, organisation)
        if self._refuses_while_stopping(route, request):
            refusal = data.Refusal(
                data.RefusalReason.STOPPING, _stopping_retry_after_s(route)
            )
            return _Rejected(refusal, route, organisation)
        description = table.find_service(service)
        engine = None if description is None else description.engine
        return _Admitted(
            route,
            service,
            engine is not None and engine.has_standby_copies,
            organisation,
        )

    def _refuses_while_stopping(
        self, route: data.ForwardingRoute, request: data.FrontRequest
    ) -> bool:
        if self._stop_ordered_at_s is None:
            return False
        now_s = self._clock.monotonic_s()
        if route.kind is data.RequestKind.STREAM:
            return now_s > self._stop_ordered_at_s + STOPPING_ACCEPT_S
        return now_s + _limit_ms(route, request) / 1000 > self._end_at_s

    def _forward(
        self,
        admitted: _Admitted,
        request: data.FrontRequest,
        caller: _ports.Caller,
        started_at_s: float,
        notes: _outcomes.RequestTrace,
    ) -> Outcome:
        if caller.has_disconnected():
            # The request was held, or the process stood still, for longer
            # than the caller waited.
            notes.record(self._clock.monotonic_s(), 'caller_left')
            return _outcomes.CallerDisconnected()
        limit_ms = _limit_ms(admitted.route, request)
        work = _admitted_request.AdmittedRequest(
            request=request,
            route=admitted.route,
            service=admitted.service,
            version_rule=self.parts.moves.choose_versions(admitted.service),
            has_standby_copies=admitted.has_standby_copies,
            organisation=admitted.organisation,
            caller=caller,
            started_at_s=started_at_s,
            deadline_s=started_at_s + limit_ms / 1000,
            trace=notes,
        )
        if admitted.route.kind is not data.RequestKind.STREAM:
            return self.parts.calls.run(work)
        with self._lock:
            self._stream_count += 1
        try:
            return self.parts.streams.run(work)
        finally:
            with self._lock:
                self._stream_count -= 1


def _limit_ms(
    route: data.ForwardingRoute, request: data.FrontRequest
) -> float:
    """Return how long the request may take at most."""
    if request.time_limit_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, request.time_limit_ms)


def _time_limit_s(request: data.FrontRequest) -> float:
    limit_ms = request.time_limit_ms
    return (DEFAULT_TIME_LIMIT_MS if limit_ms is None else limit_ms) / 1000


def _retry_after_s(request: data.FrontRequest, held_s: float) -> float:
    wait_s = RETRY_LIMIT_SHARE * (_time_limit_s(request) - held_s)
    return round(min(LONGEST_RETRY_AFTER_S, max(0.0, wait_s)), 3)


def _unsure(retry_after_s: float, detail: str) -> data.Refusal:
    return data.Refusal(
        data.RefusalReason.NO_CONFIGURATION, retry_after_s, detail
    )


def _stopping_retry_after_s(route: data.ForwardingRoute) -> float:
    objective_s = route.latency_objective_ms / 1000
    return round(
        min(
            LONGEST_STOPPING_RETRY_AFTER_S,
            STOPPING_RETRY_OBJECTIVE_SHARE * objective_s,
        ),
        3,
    )
