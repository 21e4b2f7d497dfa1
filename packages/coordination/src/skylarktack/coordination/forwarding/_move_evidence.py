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

#: Up to this number of instances each tells all others.
TELL_ALL_COUNT = 12

#: Leaders that sum the counts of the whole fleet; the later ones replace
#: the first.
COLLECTOR_COUNT = 3


@dataclasses.dataclass(frozen=True)
class MoveLayout:
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

    def counts(self, report: data.MoveReport) -> bool:
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
    if instance_count <= TELL_ALL_COUNT:
        return 0
    return math.ceil(math.sqrt(instance_count))


@dataclasses.dataclass(frozen=True)
class MoveCounts:
    """Counts of one move, of any number of instances."""

    #: Requests for the service, and sends to the new version.
    request_count: int = 0
    sent_count: int = 0

    #: Instances whose counts these are.
    member_count: int = 0

    #: Outcomes by version and failure domain.
    rows: tuple[state.EvidenceRow, ...] = ()


class _Sum:
    """Counts that are added up."""

    def __init__(self) -> None:
        self.request_count = 0
        self.sent_count = 0
        self.member_count = 0
        self._rows: dict[tuple[str, str], state.EvidenceRow] = {}

    def add(self, counts: MoveCounts | data.MoveReport) -> None:
        """Add the counts of others."""
        self.request_count += counts.request_count
        self.sent_count += counts.sent_count
        self.member_count += counts.member_count
        for row in counts.rows:
            self.add_row(row)

    def add_row(self, row: state.EvidenceRow) -> None:
        """Add outcomes."""
        key = (row.version, row.failure_domain)
        held = self._rows.get(key)
        self._rows[key] = row if held is None else moves.add_rows(held, row)

    def counts(self) -> MoveCounts:
        """Return the sums."""
        return MoveCounts(
            self.request_count,
            self.sent_count,
            self.member_count,
            tuple(self._rows.values()),
        )


class MoveEvidence:
    """What this instance knows of one move; its owner serialises the calls."""

    def __init__(self) -> None:
        self._own = _Sum()
        self._own.member_count = 1
        # What was counted here since the fleet's sum came.
        self._recent = _Sum()
        self._fleet: data.MoveReport | None = None
        self._reports: dict[tuple[data.MoveScope, str], data.MoveReport] = {}
        self._layout = MoveLayout()
        self._others = MoveCounts()

    def count_request(self) -> None:
        """Count a request for the service."""
        self._own.request_count += 1
        self._recent.request_count += 1

    def count_sent(self) -> None:
        """Count a send to the new version."""
        self._own.sent_count += 1
        self._recent.sent_count += 1

    def add(self, row: state.EvidenceRow) -> None:
        """Add what was seen here."""
        self._own.add_row(row)
        self._recent.add_row(row)

    def arrange(self, layout: MoveLayout) -> None:
        """Take over who sums whose counts."""
        if layout == self._layout:
            return
        self._layout = layout
        for key, report in list(self._reports.items()):
            if not layout.counts(report):
                del self._reports[key]
        self._sum_others()

    def take(self, report: data.MoveReport) -> None:
        """Take over counts of others; a later report replaces an earlier."""
        if report.scope is not data.MoveScope.FLEET:
            if self._layout.counts(report):
                self._reports[report.scope, report.instance] = report
                self._sum_others()
            return
        held = self._fleet
        is_newer = held is None or (
            report.instance == held.instance
            or report.request_count >= held.request_count
        )
        if is_newer:
            self._fleet = report
            self._recent = _Sum()

    def exposure(self) -> MoveCounts:
        """Return the requests and sends of as many instances as possible.

        The rows are left out, since each request asks for this.
        """
        own = self._own
        others = self._others
        request_count = own.request_count + others.request_count
        told = self._told()
        if told is None:
            return MoveCounts(
                request_count,
                own.sent_count + others.sent_count,
                own.member_count + others.member_count,
            )
        return MoveCounts(
            told.request_count + self._recent.request_count,
            told.sent_count + self._recent.sent_count,
            told.member_count,
        )

    def rows(self) -> tuple[state.EvidenceRow, ...]:
        """Return the outcomes of as many instances as possible."""
        told = self._told()
        if told is None:
            return self._with_others(self._others).rows
        found = _Sum()
        found.add(told)
        found.add(self._recent.counts())
        return found.counts().rows

    def counts_of(self, scope: data.MoveScope) -> MoveCounts:
        """Return what this instance has to tell.

        :param scope: whose counts they are.
        """
        if scope is data.MoveScope.INSTANCE:
            return self._own.counts()
        if scope is data.MoveScope.FLEET:
            return self._with_others(self._others)
        return self._with_others(self._sum_of(data.MoveScope.INSTANCE))

    def _told(self) -> data.MoveReport | None:
        """Return the fleet's sum if it holds more than is known here."""
        known_count = self._own.request_count + self._others.request_count
        told = self._fleet
        if told is None or told.request_count <= known_count:
            return None
        return told

    def _with_others(self, others: MoveCounts) -> MoveCounts:
        known = _Sum()
        known.add(self._own.counts())
        known.add(others)
        return known.counts()

    def _sum_others(self) -> None:
        self._others = self._sum_of(*data.MoveScope)

    def _sum_of(self, *scopes: data.MoveScope) -> MoveCounts:
        found = _Sum()
        for report in self._reports.values():
            if report.scope in scopes:
                found.add(report)
        return found.counts()


def _weight(leader: str, instance: str) -> bytes:
    content = f'{leader} {instance}'.encode()
    return hashlib.blake2b(content, digest_size=8).digest()
