"""Fair admission: the excess of one organisation is refused, no other's.

Each instance decides alone, from the demand that all instances report and
from what they have seen of the targets. While the demand for a service
exceeds its capacity, a request of an organisation that asks for more than its
fair share is admitted with the probability of share through demand.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math
import random
import threading

from skylarktack.coordination.forwarding import _admission_events
from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _demand_window
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fair_shares
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _fleet_demands
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _rate_meter
from skylarktack.coordination.forwarding import _service_capacity
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Fraction of the capacity that is shared out while demand exceeds it. A
#: queue at full use grows without bound, and the rest is for instances that
#: do not know of each other's newest admissions.
SHARED_FRACTION = 0.9

#: Excess of the demand over the capacity, as a factor, that is refused even
#: if the newest loads show room, once it has lasted for the window. At this
#: excess room that was seen up to a second ago is taken many times over.
CERTAIN_EXCESS = 1.2
CERTAIN_EXCESS_S = _demand_window.WINDOW_MS / 1000

#: Time for which an estimate is used: the minimum, and the time for each
#: organisation and target in it. An estimate takes some 2 us for each, so
#: that the work stays under 1% of a core.
MIN_VIEW_S = 0.1
VIEW_S_PER_ENTRY = 0.0004

#: Maximum part of the caller's remaining time that is sent as Retry-After.
#: Callers honour up to a third; the rest is the way of the response.
RETRY_AFTER_FRACTION = 0.3

#: Part of the Retry-After that is random, so that refused callers do not
#: return together.
JITTER = 0.5

#: Fraction that is assumed of an organisation that gets even less.
MIN_FRACTION = 0.001

#: Minimum time between two log lines about a service.
LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class ServiceView:
    """Demand and capacity of a service, as this instance knows them."""

    valid_until_s: float

    #: Requests a second by organisation with those that return after a
    #: refusal, and in total without them.
    rates: Mapping[str, float] = dataclasses.field(default_factory=dict)
    demand_per_s: float = 0.0

    #: None if it is not known, or if only one organisation has demand.
    capacity: _service_capacity.ServiceCapacity | None = None

    level: _fair_shares.FairLevel = _fair_shares.FairLevel(math.inf, 1.0)

    #: Since when the demand exceeds the capacity by far; None if it does not.
    exceeded_since_s: float | None = None

    #: Whether no listed peer is live, so that only a part of the demand
    #: is known.
    is_cut_off: bool = False


@dataclasses.dataclass(frozen=True)
class _Share:
    """What an organisation asks for and gets of a service."""

    demand_per_s: float

    #: Fraction of its requests to serve.
    fraction: float


@dataclasses.dataclass
class _Meters:
    """Recent requests for a service at this instance."""

    arrivals: _rate_meter.RateMeter = dataclasses.field(
        default_factory=_rate_meter.RateMeter
    )
    refusals: _rate_meter.RateMeter = dataclasses.field(
        default_factory=_rate_meter.RateMeter
    )


class ServiceAdmission:
    """Refuses the excess of organisations; safe for many threads."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        targets: _service_capacity.ServiceTargets,
        fleet: _fleet.FleetView,
        errors: _supervision.ErrorRecorder,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Create the admission.

        :param draw: returns a random number in [0, 1).
        """
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._errors = errors
        self._draw = draw
        self.demands = _fleet_demands.FleetDemands(clock, log, fleet)
        self._capacities = _service_capacity.CapacityEstimates(clock, targets)
        self._lock = threading.Lock()
        self._urgencies = _demand_window.UrgencyMixes()
        self._meters: dict[str, _Meters] = {}
        #: By service and whether the requests are streams.
        self._views: dict[tuple[str, bool], ServiceView] = {}
        self._refused_counts: dict[str, int] = {}
        self._logged_at_s: dict[str, float] = {}

    def check(
        self, admitted: _admitted_request.AdmittedRequest
    ) -> data.Refusal | None:
        """Return the refusal of a request, or None if it may be sent."""
        with self._errors.contain(_supervision.SERVICE_ADMISSION):
            return self._check(admitted)
        return None

    def record_stream(
        self,
        admitted: _admitted_request.AdmittedRequest,
        outcome: _outcomes.StreamOutcome,
    ) -> None:
        """Record how long a stream took, if it was complete."""
        if not isinstance(outcome, _outcomes.StreamCompleted):
            return
        with self._errors.contain(_supervision.SERVICE_ADMISSION):
            self._capacities.record_stream(
                admitted.service,
                self._clock.monotonic_s() - admitted.started_at_s,
            )

    def refused_counts(self) -> dict[str, int]:
        """Return the refused requests since the start, by service."""
        with self._lock:
            return dict(self._refused_counts)

    def views(self) -> dict[str, ServiceView]:
        """Return the newest view of each service with a known capacity."""
        views = {}
        with self._lock:
            for (service, _), view in self._views.items():
                if view.capacity is not None:
                    views[service] = view
        return views

    def _check(
        self, admitted: _admitted_request.AdmittedRequest
    ) -> data.Refusal | None:
        organisation = admitted.organisation or ''
        key = _demand_window.DemandKey(admitted.service, organisation)
        self.demands.count(admitted.service, organisation)
        now_s = self._clock.monotonic_s()
        with self._lock:
            counts = self._urgencies.count(key, admitted.priority, now_s)
            meters = self._meters.setdefault(admitted.service, _Meters())
            meters.arrivals.count(now_s)
        view = self._view_of(admitted, now_s)
        if admitted.request.last_event_id is not None:
            # The work that was done for the first part would be lost.
            return None
        demand_per_s = view.rates.get(organisation, 0.0)
        fraction = view.level.fraction_of(demand_per_s)
        if fraction >= 1 or not _is_refusal_due(view, now_s):
            return None
        fractions = _fair_shares.fractions_by_priority(
            fraction, view.level.least_fraction, counts
        )
        if self._draw() < fractions[admitted.priority]:
            return None
        return self._refuse(
            admitted, view, _Share(demand_per_s, fraction), now_s
        )

    def _view_of(
        self, admitted: _admitted_request.AdmittedRequest, now_s: float
    ) -> ServiceView:
        is_stream = admitted.route.kind is data.RequestKind.STREAM
        key = (admitted.service, is_stream)
        with self._lock:
            view = self._views.get(key)
            if view is not None and now_s < view.valid_until_s:
                return view
            if view is None:
                view = ServiceView(now_s)
            # Other threads use the old view while this one makes the next.
            self._views[key] = dataclasses.replace(
                view, valid_until_s=now_s + MIN_VIEW_S
            )
        # An error leaves a view by which nothing is refused.
        new_view = ServiceView(now_s + MIN_VIEW_S)
        try:
            new_view = self._renewed(view, admitted, now_s)
        finally:
            with self._lock:
                self._views[key] = new_view
        return new_view

    def _renewed(
        self,
        view: ServiceView,
        admitted: _admitted_request.AdmittedRequest,
        now_s: float,
    ) -> ServiceView:
        rates = self.demands.rates(admitted.service)
        expected_count = self._fleet.expected_count()
        is_cut_off = expected_count > 1 and self._fleet.instance_count() == 1
        entry_count = len(rates)
        capacity = None
        if len(rates) > 1 and expected_count > 0:
            capacity = self._capacity_of(admitted, is_cut_off)
        if capacity is None:
            interval_s = max(MIN_VIEW_S, VIEW_S_PER_ENTRY * entry_count)
            return ServiceView(now_s + interval_s, rates)
        entry_count += capacity.target_count
        if is_cut_off:
            capacity = dataclasses.replace(
                capacity,
                per_s=capacity.per_s / expected_count,
                free_per_s=capacity.free_per_s / expected_count,
            )
        demand_per_s = math.fsum(rates.values())
        if not is_cut_off:
            demand_per_s = self._without_returns(
                admitted.service, demand_per_s, now_s
            )
        level = _fair_shares.FairLevel(math.inf, 1.0)
        if demand_per_s > capacity.free_per_s:
            level = _fair_shares.fair_level(
                SHARED_FRACTION * capacity.free_per_s, rates.values()
            )
        self._report_changes(admitted.service, level, capacity, expected_count)
        exceeded_since_s = None
        if demand_per_s > CERTAIN_EXCESS * capacity.per_s:
            exceeded_since_s = view.exceeded_since_s
            if exceeded_since_s is None:
                exceeded_since_s = now_s
        return ServiceView(
            valid_until_s=(
                now_s + max(MIN_VIEW_S, VIEW_S_PER_ENTRY * entry_count)
            ),
            rates=rates,
            demand_per_s=demand_per_s,
            capacity=capacity,
            level=level,
            exceeded_since_s=exceeded_since_s,
            is_cut_off=is_cut_off,
        )

    def _without_returns(
        self, service: str, rate_per_s: float, now_s: float
    ) -> float:
        """Return the rate of requests that do not return after a refusal.

        Callers return once. Of a rate D of new requests, of which the part q
        is refused, (1 + q) D requests arrive. Counting those that return would
        keep refusals going after the demand has fallen below the capacity.
        """
        with self._lock:
            meters = self._meters.get(service)
            if meters is None:
                return rate_per_s
            arrival_rate = meters.arrivals.rate(now_s)
            refusal_rate = meters.refusals.rate(now_s)
        if refusal_rate <= 0:
            return rate_per_s
        return rate_per_s * arrival_rate / (arrival_rate + refusal_rate)

    def _capacity_of(
        self, admitted: _admitted_request.AdmittedRequest, is_cut_off: bool
    ) -> _service_capacity.ServiceCapacity | None:
        if admitted.route.kind is not data.RequestKind.STREAM:
            return self._capacities.of_calls(
                admitted.service,
                admitted.route.latency_objective_ms / 1000,
                is_cut_off,
            )
        return self._capacities.of_streams(
            admitted.service,
            _placement.demand_of(admitted),
            self._fleet.loads(),
        )

    def _report_changes(
        self,
        service: str,
        level: _fair_shares.FairLevel,
        capacity: _service_capacity.ServiceCapacity,
        expected_count: int,
    ) -> None:
        """Tell the peers of changes while the service is over capacity.

        The first instances to see it know only their own demand.
        """
        estimate_per_s = self.demands.own_rate(service) * expected_count
        if level.per_s < math.inf or estimate_per_s > capacity.free_per_s:
            self.demands.report_changes(service)

    def _refuse(
        self,
        admitted: _admitted_request.AdmittedRequest,
        view: ServiceView,
        share: _Share,
        now_s: float,
    ) -> data.Refusal:
        service = admitted.service
        organisation = admitted.organisation or ''
        with self._lock:
            self._meters[service].refusals.count(now_s)
            refused_count = self._refused_counts.get(service, 0) + 1
            self._refused_counts[service] = refused_count
            logged_at_s = self._logged_at_s.get(service, -math.inf)
            is_logged = now_s >= logged_at_s + LOG_INTERVAL_S
            if is_logged:
                self._logged_at_s[service] = now_s
        capacity_per_s = 0.0
        if view.capacity is not None:
            capacity_per_s = round(view.capacity.per_s, 1)
        share_per_s = round(share.fraction * share.demand_per_s, 1)
        if is_logged:
            self._log.record(
                _admission_events.OverShareRefused(
                    service,
                    organisation,
                    round(share.demand_per_s, 1),
                    share_per_s,
                    round(view.demand_per_s, 1),
                    capacity_per_s,
                    refused_count,
                )
            )
        retry_after_s = self._retry_after_s(admitted, share.fraction, now_s)
        admitted.trace.record(
            now_s,
            'over_share',
            demand_per_s=round(share.demand_per_s, 1),
            share_per_s=share_per_s,
            service_demand_per_s=round(view.demand_per_s, 1),
            capacity_per_s=capacity_per_s,
            priority=admitted.priority,
            retry_after_ms=round(1000 * retry_after_s),
        )
        return data.Refusal(
            data.RefusalReason.OVER_SHARE,
            retry_after_s,
            f'demand {share.demand_per_s:.1f}/s for {service}, '
            f'share {share_per_s:.1f}/s',
        )

    def _retry_after_s(
        self,
        admitted: _admitted_request.AdmittedRequest,
        fraction: float,
        now_s: float,
    ) -> float:
        """Return the time until room is expected, as far as callers wait.

        The organisation's share needs this time for what was too much of the
        requests of one window.
        """
        window_s = _demand_window.WINDOW_MS / 1000
        room_s = window_s * (1 / max(MIN_FRACTION, fraction) - 1)
        limit_ms = admitted.request.time_limit_ms
        if limit_ms is None:
            limit_ms = admitted.route.timeout_ms
        left_s = limit_ms / 1000 - (now_s - admitted.started_at_s)
        wait_s = min(room_s, RETRY_AFTER_FRACTION * max(0.0, left_s))
        return round(wait_s * (1 - JITTER * self._draw()), 3)


def _is_refusal_due(view: ServiceView, now_s: float) -> bool:
    """Return whether what is known of the targets allows a refusal."""
    capacity = view.capacity
    if capacity is None or capacity.has_ample_room:
        return False
    if view.is_cut_off:
        # Only a part of the demand and few of the loads are known.
        return not capacity.has_free_slot
    if not capacity.has_room:
        return True
    if view.exceeded_since_s is None:
        return False
    return now_s >= view.exceeded_since_s + CERTAIN_EXCESS_S
