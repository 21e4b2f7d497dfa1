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
from skylarktack.coordination.forwarding import _following
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time between two looks at the moves under way.
STEP_S = 0.25

#: Shortest time between two reports, and the time that each peer adds.
REPORT_INTERVAL_S = 0.4
REPORT_INTERVAL_PER_PEER_S = 0.02

#: Instances that collect the evidence of all; the others report to them.
COLLECTOR_COUNT = 3

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
    ) -> data.MoveChange | _following.StoreFault:
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

    def run(self) -> None:
        """Drive moves until the process ends."""
        while True:
            wait_s = STEP_S if self._table.open_services() else IDLE_WAIT_S
            has_news = self._clock.wait(self._table.has_news, wait_s)
            self._table.has_news.clear()
            self.step(has_news)

    def step(self, has_news: bool = False) -> None:
        """Report what was seen and record the phases that are due.

        :param has_news: whether the others should learn of it at once.
        """
        now_s = self._clock.monotonic_s()
        if has_news or now_s >= self._next_report_s:
            self._report(has_news)
            interval_s = max(
                REPORT_INTERVAL_S,
                REPORT_INTERVAL_PER_PEER_S * self._fleet.instance_count(),
            )
            self._next_report_s = now_s + interval_s
        for service in self._table.open_services():
            phase = self._table.decide(service)
            order = self._table.order_of(service)
            if phase is None or order is None:
                continue
            if self._table.due_for_s(service) < TURN_S * self._fleet.rank():
                continue
            if self._clock.monotonic_s() >= self._next_write_s:
                self._write(order, phase)

    def _report(self, has_news: bool) -> None:
        for report in self._table.reports(self._fleet.instance):
            peers = self._fleet.peers()
            is_collector = self._fleet.rank() < COLLECTOR_COUNT
            if not is_collector and not has_news:
                peers = self._fleet.leading_peers(COLLECTOR_COUNT)
            self._link.send(report, peers)

    def _write(self, order: data.MoveOrder, phase: state.MovePhase) -> None:
        answer = self._writer.write_phase(order, phase)
        if isinstance(answer, _following.StoreFault):
            self._next_write_s = self._clock.monotonic_s() + RETRY_S
            self._log.record(
                _events.MoveNotRecorded(
                    order.service, order.to_version, phase.value, answer.detail
                )
            )
            return
        self._table.apply(answer)
