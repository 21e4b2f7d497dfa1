"""Demand of organisations for services, at this instance and at its peers.

Each report of an instance replaces what its last one said, so a report that
is lost is made up for by the next.
"""

import dataclasses
import threading

from skylarktack.coordination.forwarding import _admission_events
from skylarktack.coordination.forwarding import _demand_window
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _peer_table
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Demands in one report, which goes to every other instance: at most 16, and
#: fewer in a large fleet. An instance receives up to 20 full reports a second
#: at about 40 bytes for each demand, and has 14 KB/s for all control.
MAX_DEMANDS = 16
MIN_DEMANDS = 4
MAX_DEMANDS_OF_FLEET = 1600

#: Demands of a peer are dropped after this time without a report, or after
#: the number of report intervals after which it is no longer live.
DEMAND_LIFETIME_S = 4.0

#: Maximum number of peers whose demands are kept. With ``MAX_DEMANDS`` it
#: bounds the table to 16,384 entries, however many organisations there are.
MAX_PEER_COUNT = 1024

#: Requests a second of one organisation at one instance beyond which a figure
#: is not credible: no instance reads as many from all its callers.
MAX_CREDIBLE_RATE = 20_000

#: Windows of demand that are credible.
MIN_WINDOW_MS = 100
MAX_WINDOW_MS = 60_000

#: Change of a count from which peers get a report before the next full
#: report. A single request is no change: it is the noise of small counts.
REPORTED_CHANGE = 0.25
MIN_REPORTED_CHANGE_COUNT = 2

#: Minimum time between two such reports, and between two log lines.
CHANGE_INTERVAL_S = 1.0
LOG_INTERVAL_S = 1.0

#: Rates are added up as whole thousandths of a request a second, so that sums
#: stay exact when entries are added and removed for days.
_MILLI = 1000


@dataclasses.dataclass(frozen=True)
class _PeerDemands:
    """What a peer last reported."""

    received_at_s: float

    milli_rates: dict[_demand_window.DemandKey, int]


class FleetDemands:
    """Adds up the demands of all instances; safe for many threads."""

    def __init__(
        self, clock: Clock, log: _events.EventLog, fleet: _fleet.FleetView
    ) -> None:
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._lock = threading.Lock()
        self._window = _demand_window.DemandWindow()
        self._reported: dict[_demand_window.DemandKey, int] = {}
        self._change_reported_at_s = clock.monotonic_s() - CHANGE_INTERVAL_S
        #: Least recently heard of first.
        self._peers: dict[str, _PeerDemands] = {}
        #: Sums over the peers, by service and organisation.
        self._milli_rates: dict[str, dict[str, int]] = {}
        self._dropped_count = 0
        self._logged_at_s = clock.monotonic_s() - LOG_INTERVAL_S
        fleet.set_demands(self)

    def count(self, service: str, organisation: str) -> None:
        """Count a request that arrived at this instance."""
        key = _demand_window.DemandKey(service, organisation)
        with self._lock:
            self._window.count(key, self._clock.monotonic_s())

    def demands(self) -> tuple[data.ServiceDemand, ...]:
        """Return the largest demands at this instance, for a report."""
        peer_count = max(1, self._fleet.peer_count())
        limit_count = min(
            MAX_DEMANDS, max(MIN_DEMANDS, MAX_DEMANDS_OF_FLEET // peer_count)
        )
        with self._lock:
            counts = self._window.counts(self._clock.monotonic_s())
            largest = sorted(counts, key=lambda key: -counts[key])
            self._reported = {
                key: counts[key] for key in largest[:limit_count]
            }
            reported = tuple(self._reported.items())
        return tuple(
            data.ServiceDemand(
                key.service,
                key.organisation,
                count,
                _demand_window.WINDOW_MS,
            )
            for key, count in reported
        )

    def receive(
        self, instance: str, demands: tuple[data.ServiceDemand, ...]
    ) -> None:
        """Replace what a peer reported before."""
        now_s = self._clock.monotonic_s()
        milli_rates: dict[_demand_window.DemandKey, int] = {}
        for demand in demands[:MAX_DEMANDS]:
            key = _demand_window.DemandKey(demand.service, demand.organisation)
            if _is_credible(demand) and key not in milli_rates:
                milli_rates[key] = (
                    demand.request_count * _MILLI * 1000 // demand.window_ms
                )
        dropped_count = len(demands) - len(milli_rates)
        with self._lock:
            self._remove(instance)
            self._peers[instance] = _PeerDemands(now_s, milli_rates)
            self._add(milli_rates, 1)
            while len(self._peers) > MAX_PEER_COUNT:
                self._remove(next(iter(self._peers)))
            self._dropped_count += dropped_count
            is_logged = (
                dropped_count > 0
                and now_s >= self._logged_at_s + LOG_INTERVAL_S
            )
            if is_logged:
                self._logged_at_s = now_s
        if is_logged:
            self._log.record(
                _admission_events.DemandsDropped(instance, dropped_count)
            )

    def own_rate(self, service: str) -> float:
        """Return the requests a second for a service at this instance."""
        count = 0
        with self._lock:
            counts = self._window.counts(self._clock.monotonic_s())
            for key, key_count in counts.items():
                if key.service == service:
                    count += key_count
        return count * 1000 / _demand_window.WINDOW_MS

    def rates(self, service: str) -> dict[str, float]:
        """Return the requests a second at all instances, by organisation."""
        lifetime_s = max(
            DEMAND_LIFETIME_S,
            _peer_table.LIVENESS_INTERVAL_COUNT
            * self._fleet.report_interval_s(),
        )
        now_s = self._clock.monotonic_s()
        rates = {}
        with self._lock:
            while self._peers:
                oldest = next(iter(self._peers))
                if now_s <= self._peers[oldest].received_at_s + lifetime_s:
                    break
                self._remove(oldest)
            for name, milli_rate in self._milli_rates.get(service, {}).items():
                rates[name] = milli_rate / _MILLI
            for key, count in self._window.counts(now_s).items():
                if key.service == service:
                    rate = count * 1000 / _demand_window.WINDOW_MS
                    rates[key.organisation] = (
                        rates.get(key.organisation, 0.0) + rate
                    )
        return rates

    def report_changes(self, service: str) -> None:
        """Report to the peers soon if the demand for a service changed."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if now_s < self._change_reported_at_s + CHANGE_INTERVAL_S:
                return
            if not self._has_changed(service, now_s):
                return
            self._change_reported_at_s = now_s
        self._fleet.report_demands()

    def dropped_count(self) -> int:
        """Return how many entries of peers were not credible."""
        with self._lock:
            return self._dropped_count

    def _has_changed(self, service: str, now_s: float) -> bool:
        counts = self._window.counts(now_s)
        for key in counts.keys() | self._reported.keys():
            if key.service != service:
                continue
            before = self._reported.get(key, 0)
            change = abs(counts.get(key, 0) - before)
            if change < MIN_REPORTED_CHANGE_COUNT:
                continue
            if change > REPORTED_CHANGE * before:
                return True
        return False

    def _remove(self, instance: str) -> None:
        previous = self._peers.pop(instance, None)
        if previous is not None:
            self._add(previous.milli_rates, -1)

    def _add(
        self, milli_rates: dict[_demand_window.DemandKey, int], sign: int
    ) -> None:
        for key, milli_rate in milli_rates.items():
            sums = self._milli_rates.setdefault(key.service, {})
            total = sums.get(key.organisation, 0) + sign * milli_rate
            if total > 0:
                sums[key.organisation] = total
                continue
            sums.pop(key.organisation, None)
            if not sums:
                del self._milli_rates[key.service]


def _is_credible(demand: data.ServiceDemand) -> bool:
    if not MIN_WINDOW_MS <= demand.window_ms <= MAX_WINDOW_MS:
        return False
    if demand.request_count <= 0:
        return False
    most = MAX_CREDIBLE_RATE * demand.window_ms / 1000
    return demand.request_count <= most
