"""Drives planned moves: reports the evidence and records the phases.

Any instance may record a phase. Each waits for its place in the order of all
instances, so that usually one writes; the condition on the revision that was
read keeps a late or paused one from overwriting the others.
"""

import threading
from typing import Protocol

from skylarktack import state
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _fleet_tasks
from skylarktack.coordination.forwarding import _move_evidence
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _store_watcher
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time between two looks at the moves under way.
STEP_S = 0.25

#: Shortest time between two reports.
REPORT_INTERVAL_S = 0.4

#: Bytes of reports that one that sums them receives in a second.
REPORT_BYTES_PER_S = 9000.0

#: Size of a report that is assumed before the first.
TYPICAL_REPORT_BYTES = 500.0

#: Intervals without a sum for the fleet after which the next collector tells
#: its own.
SILENT_INTERVAL_COUNT = 2.5

#: Time that an instance leaves to each one before it in the order.
TURN_S = 0.5

#: Wait after the store did not take a phase.
RETRY_S = 0.4

#: Longest wait for a new order while no move is under way.
IDLE_WAIT_S = 30.0


class MoveWriter(Protocol):
    """Records phases of moves in the store."""

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | _store_watcher.StoreFault:
        """Record a phase unless the order has changed meanwhile.

        :return: the order as the store holds it afterwards.
        """
        ...


class MoveDriver:
    """Reports and records moves; run it as a task."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        table: _moves.MoveTable,
        fleet: _fleet.FleetView,
        link: _fleet_tasks.FleetLink,
        writer: MoveWriter,
    ) -> None:
        self._clock = clock
        self._log = log
        self._table = table
        self._fleet = fleet
        self._link = link
        self._writer = writer
        self._never = threading.Event()
        self._next_report_s = 0.0
        self._next_write_s = 0.0
        self._report_bytes = TYPICAL_REPORT_BYTES

    def run(self) -> None:
        """Drive moves until the process ends."""
        while True:
            wait_s = STEP_S if self._table.open_services() else IDLE_WAIT_S
            has_news = self._clock.wait(self._table.has_updates, wait_s)
            self._table.has_updates.clear()
            self.step(has_news)

    def step(self, has_news: bool = False) -> None:
        """Report what was seen and record the phases that are due.

        :param has_news: whether there is something to tell at once.
        """
        now_s = self._clock.monotonic_s()
        if has_news or now_s >= self._next_report_s:
            leaders = self._fleet.leaders(
                _move_evidence.leader_count(self._fleet.instance_count())
            )
            layout = _move_evidence.AggregationTopology(
                self._fleet.instance,
                self._fleet.expected_count(),
                tuple(leaders),
            )
            self._table.set_layout(layout)
            self._report(layout, leaders)
            self._next_report_s = now_s + self._interval_s(layout)
        for service in self._table.open_services():
            phase = self._table.decide(service)
            order = self._table.order_of(service)
            if phase is None or order is None:
                continue
            if self._table.due_for_s(service) < TURN_S * self._fleet.rank():
                continue
            if self._clock.monotonic_s() >= self._next_write_s:
                self._write(order, phase)

    def _interval_s(self, layout: _move_evidence.AggregationTopology) -> float:
        """Return the time between two reports.

        A collector hears the members of its group and all other leaders.
        """
        heard_count = 2 * len(layout.leaders)
        received_bytes = heard_count * self._report_bytes
        return max(REPORT_INTERVAL_S, received_bytes / REPORT_BYTES_PER_S)

    def _report(
        self,
        layout: _move_evidence.AggregationTopology,
        leaders: dict[str, data.Address],
    ) -> None:
        news = self._table.take_news()
        if not leaders:
            self._send(data.MoveScope.INSTANCE, self._fleet.peers())
            return
        own = self._fleet.instance
        for report in self._table.reports(own):
            # A version that was stopped, or a shift, concerns all at once.
            if report.service in news:
                self._link.broadcast(report, self._fleet.broadcast_order())
        if not layout.is_leader:
            leader = layout.leader_of(own)
            self._send(data.MoveScope.INSTANCE, (leaders[leader],))
            return
        collectors = []
        for name in layout.collectors:
            if name != own:
                collectors.append(leaders[name])
        self._send(data.MoveScope.GROUP, tuple(collectors))
        if layout.is_collector and not self._is_preceded(layout):
            for report in self._table.reports(own, data.MoveScope.FLEET):
                self._link.broadcast(report, self._fleet.broadcast_order())

    def _send(
        self, scope: data.MoveScope, peers: tuple[data.Address, ...]
    ) -> None:
        if not peers:
            return
        for report in self._table.reports(self._fleet.instance, scope):
            self._report_bytes = self._link.send(report, peers) / len(peers)

    def _is_preceded(self, layout: _move_evidence.AggregationTopology) -> bool:
        """Return whether an earlier collector tells the fleet's sum."""
        silence_s = SILENT_INTERVAL_COUNT * self._interval_s(layout)
        place = layout.collectors.index(self._fleet.instance)
        return self._table.has_fleet_sum(
            layout.collectors[:place], self._clock.monotonic_s() - silence_s
        )

    def _write(self, order: data.MoveOrder, phase: state.MovePhase) -> None:
        answer = self._writer.write_phase(order, phase)
        if isinstance(answer, _store_watcher.StoreFault):
            self._next_write_s = self._clock.monotonic_s() + RETRY_S
            self._log.record(
                _events.MoveNotRecorded(
                    order.service, order.to_version, phase.value, answer.detail
                )
            )
            return
        self._table.apply(answer)
