"""Counts of a move: of this instance, summed in groups, and of the fleet.

In a small fleet each instance tells all others what it counted. In a larger
one the first instances in an order of all are leaders: each sums the counts
of its members, the first of them sum those of the leaders, and one tells the
sum to all. So each instance knows what the whole fleet has sent, at a cost
that grows with the square root of its size.
"""

import dataclasses
import hashlib
import math

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.state import forwarding as data

#: Up to this number of instances each reports to all others.
DIRECT_REPORT_LIMIT_COUNT = 12

#: Leaders that sum the counts of the whole fleet; the later ones replace
#: the first.
COLLECTOR_COUNT = 3

#: Routes of a service whose outcomes are told apart; reports grow with them.
#: Services have two or three routes with traffic, and some others that are
#: only asked to see which configuration is in force.
ROUTE_LIMIT_COUNT = 4


@dataclasses.dataclass(frozen=True)
class AggregationTopology:
    """Who sums whose counts, as one instance sees the fleet."""

    #: This instance.
    own_name: str = ''

    #: Instances of the fleet, whether or not they were heard of; 0 if that is
    #: not known.
    instance_count: int = 0

    #: Instances that sum counts, in order; none in a small fleet.
    leaders: tuple[str, ...] = ()

    @property
    def is_leader(self) -> bool:
        """Return whether this instance sums the counts of others."""
        return self.own_name in self.leaders

    @property
    def collectors(self) -> tuple[str, ...]:
        """Return who sums the counts of the whole fleet."""
        return self.leaders[:COLLECTOR_COUNT]

    @property
    def is_collector(self) -> bool:
        """Return whether this instance sums the counts of the fleet."""
        return self.own_name in self.collectors

    def leader_of(self, instance: str) -> str:
        """Return who sums the counts of an instance.

        An instance changes its leader only with that leader's coming or
        going, so that it is rarely counted by two.
        """
        if instance in self.leaders:
            return instance
        return max(self.leaders, key=lambda name: _weight(name, instance))

    def includes(self, report: data.MoveReport) -> bool:
        """Return whether this instance adds a report to its own counts."""
        if report.scope is data.MoveScope.INSTANCE:
            if not self.leaders:
                return True
            return self.leader_of(report.instance) == self.own_name
        is_other = report.instance != self.own_name
        return (
            is_other and self.is_collector and report.instance in self.leaders
        )


def leader_count(instance_count: int) -> int:
    """Return how many instances of a fleet sum counts."""
    if instance_count <= DIRECT_REPORT_LIMIT_COUNT:
        return 0
    return math.ceil(math.sqrt(instance_count))


class _Sum:
    """Counts that are added up."""

    def __init__(self, member_count: int = 0) -> None:
        self.request_count = 0
        self.sent_count = 0
        self.member_count = member_count
        self._rows: dict[tuple[str, str, str], state.EvidenceRow] = {}
        self._routes: set[str] = set()

    def add(self, counts: data.MoveCounts) -> None:
        """Add the counts of others."""
        self.request_count += counts.request_count
        self.sent_count += counts.sent_count
        self.member_count += counts.member_count
        for evidence in counts.rows:
            self.add_row(evidence)

    def add_row(self, evidence: data.RouteEvidence) -> None:
        """Add outcomes."""
        row = evidence.row
        key = (row.version, row.failure_domain, self._counted_as(evidence))
        held = self._rows.get(key)
        self._rows[key] = row if held is None else moves.add_rows(held, row)

    def _counted_as(self, evidence: data.RouteEvidence) -> str:
        """Return the route itself unless too many others came before."""
        if not evidence.route or evidence.route in self._routes:
            return evidence.route
        if len(self._routes) >= ROUTE_LIMIT_COUNT:
            return ''
        self._routes.add(evidence.route)
        return evidence.route

    def counts(self) -> data.MoveCounts:
        """Return the sums."""
        return data.MoveCounts(
            self.request_count,
            self.sent_count,
            self.member_count,
            tuple(
                data.RouteEvidence(route, row)
                for (_, _, route), row in self._rows.items()
            ),
        )


class MoveEvidence:
    """What this instance knows of one move; its owner serialises the calls."""

    def __init__(self, layout: AggregationTopology) -> None:
        self._layout = layout
        self._own = _Sum(member_count=1)
        # Sums of the other instances whose counts are added here.
        self._others = data.MoveCounts()
        self._reports: dict[tuple[data.MoveScope, str], data.MoveReport] = {}
        # The last sum for the fleet, and what was counted here since.
        self._fleet: data.MoveReport | None = None
        self._recent = _Sum()

    def count_request(self) -> None:
        """Count a request for the service."""
        self._own.request_count += 1
        self._recent.request_count += 1

    def count_sent(self) -> None:
        """Count a send to the new version."""
        self._own.sent_count += 1
        self._recent.sent_count += 1

    def add(self, evidence: data.RouteEvidence) -> None:
        """Add what was seen here."""
        self._own.add_row(evidence)
        self._recent.add_row(evidence)

    def set_layout(self, layout: AggregationTopology) -> None:
        """Take over who sums whose counts."""
        if layout == self._layout:
            return
        self._layout = layout
        for key, report in list(self._reports.items()):
            if not layout.includes(report):
                del self._reports[key]
        self._others = self._sum_of(*data.MoveScope)

    def take(self, report: data.MoveReport) -> None:
        """Take over counts of others; a later report replaces an earlier."""
        if report.scope is data.MoveScope.FLEET:
            self._take_fleet_sum(report)
        elif self._layout.includes(report):
            self._reports[report.scope, report.instance] = report
            self._others = self._sum_of(*data.MoveScope)

    def exposure(self) -> data.MoveCounts:
        """Return the requests and sends of as many instances as possible.

        The rows are left out, since each request asks for this.
        """
        own, others = self._best_known()
        return data.MoveCounts(
            own.request_count + others.request_count,
            own.sent_count + others.sent_count,
            own.member_count + others.member_count,
        )

    def rows(self) -> tuple[data.RouteEvidence, ...]:
        """Return the outcomes of as many instances as possible."""
        return _total(*self._best_known()).rows

    def counts_of(self, scope: data.MoveScope) -> data.MoveCounts:
        """Return what this instance has to tell.

        :param scope: whose counts they are.
        """
        if scope is data.MoveScope.INSTANCE:
            return self._own.counts()
        if scope is data.MoveScope.FLEET:
            return _total(self._own, self._others)
        return _total(self._own, self._sum_of(data.MoveScope.INSTANCE))

    def _take_fleet_sum(self, report: data.MoveReport) -> None:
        held = self._fleet
        if held is not None and report.instance != held.instance:
            # Counts only grow, so a smaller sum of another is an older one.
            if report.counts.request_count < held.counts.request_count:
                return
        self._fleet = report
        self._recent = _Sum()

    def _best_known(self) -> tuple[_Sum, data.MoveCounts]:
        """Return own and others' counts that together hold most requests."""
        known_count = self._own.request_count + self._others.request_count
        fleet = self._fleet
        if fleet is None or fleet.counts.request_count <= known_count:
            return self._own, self._others
        return self._recent, fleet.counts

    def _sum_of(self, *scopes: data.MoveScope) -> data.MoveCounts:
        found = _Sum()
        for report in self._reports.values():
            if report.scope in scopes:
                found.add(report.counts)
        return found.counts()


def _total(own: _Sum, others: data.MoveCounts) -> data.MoveCounts:
    total = _Sum()
    total.add(own.counts())
    total.add(others)
    return total.counts()


def _weight(leader: str, instance: str) -> bytes:
    content = f'{leader} {instance}'.encode()
    return hashlib.blake2b(content, digest_size=8).digest()
