"""Drives moves: reports the evidence and records the phases.

Any instance may record a phase. Each instance waits according to its rank in
the fleet, so that usually only one writes. The write is conditional on the
revision that was read, so that a late or suspended instance cannot overwrite
the record of another.
"""

from typing import Protocol

from skylarktack import state
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _fleet_tasks
from skylarktack.coordination.forwarding import _move_events
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _record_writers
from skylarktack.coordination.forwarding import _suspensions
from skylarktack.coordination.forwarding import _watch_ports
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Interval between two checks of the moves in progress.
CHECK_INTERVAL_S = 0.25

#: Minimum interval between two reports.
REPORT_INTERVAL_S = 0.4

#: Limit on the rate of reports that a collector receives.
REPORT_BYTES_PER_S = 9000.0

#: Size that is assumed before the first report was sent.
TYPICAL_REPORT_BYTES = 500.0

#: Time from the first list of instances within which the peers' reports
#: arrive, if it is longer than their interval. They learn of an instance by
#: its first report, and check their moves in intervals.
FIRST_REPORTS_WAIT_S = 1.0

#: Number of report intervals without an aggregate for the fleet after which
#: the next collector sends its own.
COLLECTOR_TIMEOUT_COUNT = 2.5

#: Delay after a failed attempt to record a phase.
RETRY_DELAY_S = 0.4

#: Time after the start or a suspension for which no phase is decided: peers
#: may have stopped the version, and repeat it in their reports.
RESUMPTION_WAIT_S = 0.5

#: Maximum wait for a new order while no move is in progress.
IDLE_WAIT_S = 30.0


class MoveWriter(Protocol):
    """Records phases of moves in the store."""

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | _watch_ports.StoreFault:
        """Record a phase unless the order has changed since it was read.

        :return: the order that the store holds afterwards.
        """
        ...


class MoveDriver:
    """Reports the evidence and records the phases; runs as a task."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        table: _moves.MoveTable,
        fleet: _fleet.FleetView,
        link: _fleet_tasks.FleetLink,
        writer: MoveWriter,
        suspensions: _suspensions.Suspensions,
    ) -> None:
        self._clock = clock
        self._log = log
        self._table = table
        self._fleet = fleet
        self._link = link
        self._writer = writer
        self._suspensions = suspensions
        self._next_report_s = 0.0
        self._next_write_s = 0.0
        self._report_bytes = TYPICAL_REPORT_BYTES

    def run(self) -> None:
        """Drive the moves; never returns."""
        while True:
            wait_s = (
                CHECK_INTERVAL_S
                if self._table.open_services()
                else IDLE_WAIT_S
            )
            has_updates = self._clock.wait(self._table.has_updates, wait_s)
            self._table.has_updates.clear()
            self.step(has_updates)

    def step(self, has_updates: bool = False) -> None:
        """Report the evidence and record the phases that are due.

        :param has_updates: whether to report without waiting for the interval.
        """
        now_s = self._clock.monotonic_s()
        if has_updates or now_s >= self._next_report_s:
            leaders = self._fleet.leaders(
                _move_evidence.leader_count(self._fleet.instance_count())
            )
            topology = _move_evidence.AggregationTopology(
                self._fleet.instance,
                self._fleet.expected_count(),
                tuple(leaders),
            )
            self._hold_canaries()
            self._table.set_topology(topology)
            self._report(topology, leaders)
            self._next_report_s = now_s + _interval_s(
                len(topology.leaders), self._report_bytes
            )
        running_s = now_s - self._suspensions.running_since_s()
        if running_s < RESUMPTION_WAIT_S:
            return
        for service in self._table.open_services():
            phase = self._table.decide(service)
            order = self._table.order_of(service)
            if phase is None or order is None:
                continue
            delay_s = _record_writers.RANK_DELAY_S * self._fleet.rank()
            if self._table.due_for_s(service) < delay_s:
                continue
            if self._clock.monotonic_s() >= self._next_write_s:
                self._write(order, phase)

    def _hold_canaries(self) -> None:
        """Try no version before the first reports of the peers are due.

        They may have stopped it while the store does not show that, because
        it was restored from a copy or is not available.
        """
        listed_at_s = self._fleet.first_listed_at_s()
        expected_count = self._fleet.expected_count()
        if listed_at_s is None or expected_count < 2:
            return
        interval_s = _interval_s(
            _move_evidence.leader_count(expected_count),
            max(self._report_bytes, TYPICAL_REPORT_BYTES),
        )
        wait_s = max(FIRST_REPORTS_WAIT_S, interval_s + CHECK_INTERVAL_S)
        self._table.hold_canaries(listed_at_s + wait_s)

    def _report(
        self,
        topology: _move_evidence.AggregationTopology,
        leaders: dict[str, data.Address],
    ) -> None:
        updated_services = self._table.take_updates()
        if not leaders:
            self._send(data.MoveScope.INSTANCE, self._fleet.peers())
            return
        own = self._fleet.instance
        for report in self._table.reports(own):
            # All instances have to learn of a stop or a shift at once.
            if report.service in updated_services:
                self._link.broadcast(report, self._fleet.broadcast_order())
        if not topology.is_leader:
            leader = topology.leader_of(own)
            self._send(data.MoveScope.INSTANCE, (leaders[leader],))
            return
        collectors = []
        for name in topology.collectors:
            if name != own:
                collectors.append(leaders[name])
        self._send(data.MoveScope.GROUP, tuple(collectors))
        if topology.is_collector and not self._is_earlier_collector_active(
            topology
        ):
            for report in self._table.reports(own, data.MoveScope.FLEET):
                self._link.broadcast(report, self._fleet.broadcast_order())

    def _send(
        self, scope: data.MoveScope, peers: tuple[data.Address, ...]
    ) -> None:
        if not peers:
            return
        for report in self._table.reports(self._fleet.instance, scope):
            self._report_bytes = self._link.send(report, peers) / len(peers)

    def _is_earlier_collector_active(
        self, topology: _move_evidence.AggregationTopology
    ) -> bool:
        """Return whether an earlier collector recently sent an aggregate."""
        interval_s = _interval_s(len(topology.leaders), self._report_bytes)
        timeout_s = COLLECTOR_TIMEOUT_COUNT * interval_s
        position = topology.collectors.index(self._fleet.instance)
        return self._table.has_fleet_aggregate(
            topology.collectors[:position],
            self._clock.monotonic_s() - timeout_s,
        )

    def _write(self, order: data.MoveOrder, phase: state.MovePhase) -> None:
        result = self._writer.write_phase(order, phase)
        if isinstance(result, _watch_ports.StoreFault):
            self._next_write_s = self._clock.monotonic_s() + RETRY_DELAY_S
            self._log.record(
                _move_events.MoveNotRecorded(
                    order.service, order.to_version, phase.value, result.detail
                )
            )
            return
        self._table.apply(result)


def _interval_s(leader_count: int, report_bytes: float) -> float:
    """Return the interval between two reports.

    It limits what a collector receives from the members of its group and from
    all other leaders.

    :param report_bytes: size of one report.
    """
    received_bytes = 2 * leader_count * report_bytes
    return max(REPORT_INTERVAL_S, received_bytes / REPORT_BYTES_PER_S)
