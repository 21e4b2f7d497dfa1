"""Counts of a move, of this instance and aggregated over the fleet.

In a small fleet each instance reports its counts to all others. In a larger
one the first instances, in an order that all share, are leaders. Each leader
aggregates the counts of its group; the first leaders are collectors, which
aggregate the counts of all leaders, and one of them reports the result to all
instances. Each instance thus knows what the whole fleet has sent, at a cost
that grows with the square root of the fleet's size.
"""

import dataclasses
import hashlib
import math

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _latency_classes
from skylarktack.state import forwarding as data

#: Maximum size of a fleet in which each instance reports to all others.
MAX_DIRECT_REPORT_COUNT = 12

#: Number of leaders that aggregate the counts of the whole fleet; the later
#: ones replace the first when it fails.
COLLECTOR_COUNT = 3

#: Maximum number of routes of a service that are counted separately; reports
#: grow with them. Services have two or three routes with traffic, and some
#: more that are only requested to see which configuration is active.
MAX_ROUTE_COUNT = 4


@dataclasses.dataclass(frozen=True)
class FleetAggregate:
    """Origin of the last counts of the whole fleet."""

    #: Instance that sent them; empty before the first.
    sender: str = ''

    #: Monotonic time at which they arrived.
    arrived_at_s: float = -math.inf


@dataclasses.dataclass(frozen=True)
class AggregationTopology:
    """Which instances aggregate whose counts, as one instance sees it."""

    #: Name of this instance.
    own_name: str = ''

    #: Number of instances in the fleet, including those that have not
    #: reported yet; 0 if it is not known.
    instance_count: int = 0

    #: Instances that aggregate counts, in order; empty in a small fleet.
    leaders: tuple[str, ...] = ()

    @property
    def is_leader(self) -> bool:
        """Return whether this instance aggregates the counts of a group."""
        return self.own_name in self.leaders

    @property
    def collectors(self) -> tuple[str, ...]:
        """Return the leaders that aggregate the counts of the fleet."""
        return self.leaders[:COLLECTOR_COUNT]

    @property
    def is_collector(self) -> bool:
        """Return whether this instance aggregates the fleet's counts."""
        return self.own_name in self.collectors

    def leader_of(self, instance: str) -> str:
        """Return the leader of an instance, by rendezvous hashing.

        An instance changes its leader only when that leader joins or leaves,
        so that two leaders rarely count the same instance.
        """
        if instance in self.leaders:
            return instance
        return max(self.leaders, key=lambda name: _weight(name, instance))

    def includes(self, report: data.MoveReport) -> bool:
        """Return whether this instance aggregates a report."""
        if report.scope is data.MoveScope.INSTANCE:
            if not self.leaders:
                return True
            return self.leader_of(report.instance) == self.own_name
        is_other = report.instance != self.own_name
        return (
            is_other and self.is_collector and report.instance in self.leaders
        )


def leader_count(instance_count: int) -> int:
    """Return the number of leaders in a fleet; 0 in a small fleet."""
    if instance_count <= MAX_DIRECT_REPORT_COUNT:
        return 0
    return math.ceil(math.sqrt(instance_count))


class _Aggregate:
    """Mutable sum of counts."""

    def __init__(self, member_count: int = 0) -> None:
        self.request_count = 0
        self.sent_count = 0
        self.member_count = member_count
        self._rows: dict[tuple[str, str, str], state.EvidenceRow] = {}
        self._histograms: dict[tuple[str, str], data.LatencyHistogram] = {}
        self._routes: set[str] = set()

    def add(self, counts: data.MoveCounts) -> None:
        """Add counts of other instances."""
        self.request_count += counts.request_count
        self.sent_count += counts.sent_count
        self.member_count += counts.member_count
        for evidence in counts.rows:
            self.add_row(evidence)
        for histogram in counts.latencies:
            self.add_latencies(histogram)

    def add_row(self, evidence: data.RouteEvidence) -> None:
        """Add outcomes of one route, version and failure domain."""
        row = evidence.row
        route = self._counted_route(evidence.route)
        key = (row.version, row.failure_domain, route)
        current = self._rows.get(key)
        self._rows[key] = (
            row if current is None else moves.add_rows(current, row)
        )

    def add_latencies(self, histogram: data.LatencyHistogram) -> None:
        """Add latencies of one route and version."""
        route = self._counted_route(histogram.route)
        key = (histogram.version, route)
        current = self._histograms.get(key) or data.LatencyHistogram(
            route, histogram.version
        )
        self._histograms[key] = _latency_classes.add_histograms(
            current, histogram
        )

    def _counted_route(self, route: str) -> str:
        """Return the route, or an empty name once the limit is reached."""
        if not route or route in self._routes:
            return route
        if len(self._routes) >= MAX_ROUTE_COUNT:
            return ''
        self._routes.add(route)
        return route

    def counts(self) -> data.MoveCounts:
        """Return an immutable copy."""
        return data.MoveCounts(
            self.request_count,
            self.sent_count,
            self.member_count,
            tuple(
                data.RouteEvidence(route, row)
                for (_, _, route), row in self._rows.items()
            ),
            tuple(self._histograms.values()),
        )


class MoveEvidence:
    """Counts of one move that this instance knows.

    Not thread-safe; the owner serialises the calls.
    """

    def __init__(self, topology: AggregationTopology) -> None:
        self._topology = topology
        self._own = _Aggregate(member_count=1)
        # Sum over the other instances that this one aggregates.
        self._others = data.MoveCounts()
        self._reports: dict[tuple[data.MoveScope, str], data.MoveReport] = {}
        # Last aggregate for the fleet, and what was counted here since.
        self._fleet: data.MoveReport | None = None
        self._recent = _Aggregate()

    def count_request(self) -> None:
        """Count a request for the service, whatever its version."""
        self._own.request_count += 1
        self._recent.request_count += 1

    def count_sent(self) -> None:
        """Count a request that is sent to the new version."""
        self._own.sent_count += 1
        self._recent.sent_count += 1

    def add(self, evidence: data.RouteEvidence) -> None:
        """Add an outcome of this instance."""
        self._own.add_row(evidence)
        self._recent.add_row(evidence)

    def add_latencies(self, histogram: data.LatencyHistogram) -> None:
        """Add latencies of attempts of this instance."""
        self._own.add_latencies(histogram)
        self._recent.add_latencies(histogram)

    def set_topology(self, topology: AggregationTopology) -> None:
        """Set which instances aggregate whose counts.

        Reports that this instance no longer aggregates are dropped.
        """
        if topology == self._topology:
            return
        self._topology = topology
        for key, report in list(self._reports.items()):
            if not topology.includes(report):
                del self._reports[key]
        self._others = self._aggregate_of(*data.MoveScope)

    def merge(self, report: data.MoveReport) -> None:
        """Apply a report; it replaces the sender's earlier one."""
        if report.scope is data.MoveScope.FLEET:
            self._apply_fleet_aggregate(report)
        elif self._topology.includes(report):
            self._reports[report.scope, report.instance] = report
            self._others = self._aggregate_of(*data.MoveScope)

    def exposure(self) -> data.MoveCounts:
        """Return the requests and sends of as many instances as possible.

        The outcomes are omitted, since this is called for each request.
        """
        own, others = self._most_complete()
        return data.MoveCounts(
            own.request_count + others.request_count,
            own.sent_count + others.sent_count,
            own.member_count + others.member_count,
        )

    def known_counts(self) -> data.MoveCounts:
        """Return the counts and outcomes of as many instances as possible."""
        return _total(*self._most_complete())

    def counts_of(self, scope: data.MoveScope) -> data.MoveCounts:
        """Return the counts that this instance reports.

        :param scope: whose counts to return.
        """
        if scope is data.MoveScope.INSTANCE:
            return self._own.counts()
        if scope is data.MoveScope.FLEET:
            return _total(self._own, self._others)
        return _total(self._own, self._aggregate_of(data.MoveScope.INSTANCE))

    def _apply_fleet_aggregate(self, report: data.MoveReport) -> None:
        current = self._fleet
        if current is not None and report.instance != current.instance:
            # Counts only grow, so a smaller aggregate of another sender is
            # older.
            if report.counts.request_count < current.counts.request_count:
                return
        self._fleet = report
        self._recent = _Aggregate()

    def _most_complete(self) -> tuple[_Aggregate, data.MoveCounts]:
        """Return the own and the others' counts that cover most requests."""
        known_count = self._own.request_count + self._others.request_count
        fleet = self._fleet
        if fleet is None or fleet.counts.request_count <= known_count:
            return self._own, self._others
        return self._recent, fleet.counts

    def _aggregate_of(self, *scopes: data.MoveScope) -> data.MoveCounts:
        aggregate = _Aggregate()
        for report in self._reports.values():
            if report.scope in scopes:
                aggregate.add(report.counts)
        return aggregate.counts()


def _total(own: _Aggregate, others: data.MoveCounts) -> data.MoveCounts:
    total = _Aggregate()
    total.add(own.counts())
    total.add(others)
    return total.counts()


def _weight(leader: str, instance: str) -> bytes:
    content = f'{leader} {instance}'.encode()
    return hashlib.blake2b(content, digest_size=8).digest()


def row_of(
    target: data.ListedTarget,
    kind: state.OutcomeKind,
    latency_ms: float | None,
    is_counted: bool,
) -> state.EvidenceRow:
    """Return the counts of one outcome of a target.

    :param is_counted: whether it counts as an attempt.
    """
    is_lost = kind is state.OutcomeKind.CONNECTION_LOST
    is_error = not is_lost and kind is not state.OutcomeKind.SUCCESS
    return state.EvidenceRow(
        version=state.VersionName(target.version),
        failure_domain=state.FailureDomain(target.failure_domain),
        attempt_count=int(is_counted),
        error_count=int(is_error),
        lost_count=int(is_lost),
        lost_targets=(state.TargetName(target.name),) if is_lost else (),
        first_token=moves.latency_sums(latency_ms),
    )
