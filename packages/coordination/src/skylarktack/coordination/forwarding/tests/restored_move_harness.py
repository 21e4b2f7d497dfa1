"""Test harness: an instance whose store comes back from a copy."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data

#: Longer than the waits of the tests, but for one that lets a move end.
DURATION_S = 120.0

STEP_S = 0.25

PLANNED = state.MovePhase.PLANNED

#: Revision of the newest order before the restore.
KNOWN_REVISION = 50


def order_of(
    version: str, phase: state.MovePhase, era: int, revision: int
) -> data.MoveOrder:
    """Return an order at a position of the store."""
    return data.MoveOrder(
        'pool', version, DURATION_S, data.StorePosition(era, revision), phase
    )


def copied_order(
    version: str, phase: state.MovePhase = PLANNED, revision: int = 31
) -> data.MoveOrder:
    """Return an order that the copy holds."""
    return order_of(version, phase, 1, revision)


def written_order(version: str, revision: int = 45) -> data.MoveOrder:
    """Return an order that the operator writes after the restore."""
    return order_of(version, PLANNED, 1, revision)


class Store:
    """Holds one order; accepts writes to the newest revision."""

    def __init__(self) -> None:
        self.order: data.MoveOrder | None = None
        self.phases: list[state.MovePhase] = []
        self.refused_count = 0

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        """Record a phase unless the order has changed since it was read."""
        if self.order is None or order.position != self.order.position:
            self.refused_count += 1
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.UNAVAILABLE, 'another era'
            )
        self.phases.append(phase)
        self.order = dataclasses.replace(
            order,
            phase=phase,
            position=move_harness.following(order.position),
        )
        return data.MoveChange('pool', self.order)


class Instance:
    """An instance that knows an order for version 2 from before a restore.

    Without a known phase it starts after the restore and knows none.
    """

    def __init__(self, known_phase: state.MovePhase | None) -> None:
        self.env = move_harness.make_env()
        self.moves = self.env.moves
        self.store = Store()
        self.link = harness.RecordingLink()
        self.handler = forwarding.MoveWatchHandler(self.moves)
        self.driver = forwarding.MoveDriver(
            self.env.clock,
            self.env.log,
            self.moves,
            self.env.fleet,
            self.link,
            self.store,
            self.env.suspensions,
        )
        self.env.fleet.add_peers(())
        if known_phase is None:
            return
        # Phases are recorded in the order of a move.
        known = order_of('v2', PLANNED, 0, KNOWN_REVISION - 1)
        self.moves.apply(data.MoveChange('pool', known))
        known = order_of('v2', known_phase, 0, KNOWN_REVISION)
        self.moves.apply(data.MoveChange('pool', known))
        self.env.log.events.clear()

    def restore(self, copied: data.MoveOrder | None) -> None:
        """List the orders of the restored store."""
        self.store.order = copied
        self.handler.record_restore()
        items = () if copied is None else (data.MoveChange('pool', copied),)
        self.handler.replace(items, after_outage=True)
        self.handler.confirm(0.0)

    def write(self, order: data.MoveOrder | None) -> None:
        """Write or delete the order, as the operator does."""
        self.store.order = order
        self.handler.apply((data.MoveChange('pool', order),), False)

    def run(self, for_s: float) -> None:
        """Drive the moves for a time."""
        for _ in range(int(for_s / STEP_S)):
            self.driver.step()
            self.env.clock.advance(STEP_S)

    def used_versions(self) -> set[str]:
        """Return the versions to which one of 200 requests is sent."""
        used = set()
        for _ in range(200):
            rule = self.moves.choose_versions('pool')
            target = self.env.targets.choose_for_call(
                'pool', frozenset(), rule
            )
            if target is not None:
                self.env.targets.begin_request(target)
                used.add(target.version)
        return used


#: Versions to which requests are sent during a move.
BOTH = ('v1', 'v2')


def start_after_restore(
    peer_count: int, copied: data.MoveOrder | None
) -> Instance:
    """Return an instance with peers, whose driver has made its first step."""
    started = Instance(None)
    started.env.fleet.add_peers(harness.listed_peers(peer_count))
    started.restore(copied)
    started.driver.step()
    return started
