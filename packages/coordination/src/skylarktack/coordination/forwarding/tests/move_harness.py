"""One instance that serves calls while a move is under way."""

from collections.abc import Callable
import dataclasses
import random

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

DURATION_S = 12.0
RATE_PER_S = 40.0

#: Routes of ten requests, and with a rare one among them.
ROUTES = ('book',) * 7 + ('peek',) * 3
ROUTES_WITH_A_RARE_ONE = ('book',) * 9 + ('peek',)

#: Latency of a call by target, route and time since the order, or None if it
#: fails.
Behaviour = Callable[[data.ListedTarget, str, float], float | None]


def order(
    revision: int = 5, phase: state.MovePhase = state.MovePhase.PLANNED
) -> data.MoveOrder:
    """Return an order to move the service to version 2."""
    return data.MoveOrder('pool', 'v2', DURATION_S, revision, phase)


def new(name: str, domain: str = 'domain-a') -> data.ListedTarget:
    """Return a target of the new version."""
    return dataclasses.replace(harness.target(name, domain), version='v2')


def desk() -> harness.Harness:
    """Return two targets of each version, in two failure domains."""
    made = harness.make_harness(
        harness.target('old-a'),
        harness.target('old-b', 'domain-b'),
        new('new-a'),
        new('new-b', 'domain-b'),
    )
    # What a driver does that knows of no other instance.
    made.moves.set_layout(forwarding.AggregationTopology('instance-0', 1))
    return made


class Writer:
    """Records phases like the store; may be away."""

    def __init__(self) -> None:
        self.order = order()
        self.written: list[state.MovePhase] = []
        self.is_away = False

    def write_phase(
        self, order: data.MoveOrder, phase: state.MovePhase
    ) -> data.MoveChange | forwarding.StoreFault:
        """Record a phase unless the order has changed meanwhile."""
        if self.is_away:
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.UNAVAILABLE, 'away'
            )
        if order.revision == self.order.revision:
            self.written.append(phase)
            self.order = dataclasses.replace(
                self.order, phase=phase, revision=self.order.revision + 1
            )
        return data.MoveChange('pool', self.order)


@dataclasses.dataclass
class Trial:
    """One instance that serves calls while a move is under way."""

    desk: harness.Harness
    writer: Writer
    link: harness.RecordingLink
    driver: forwarding.MoveDriver
    sent_new: int = 0
    request_count: int = 0
    failed_new: int = 0
    rate_per_s: float = RATE_PER_S
    routes: tuple[str, ...] = ROUTES
    draws: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(3)
    )

    def run(self, behaviour: Behaviour, until_s: float = DURATION_S) -> None:
        """Serve requests at a steady rate."""
        desk = self.desk
        start_s = desk.clock.monotonic_s()
        while desk.clock.monotonic_s() - start_s < until_s:
            age_s = desk.clock.monotonic_s() - start_s
            rule = desk.moves.choose_versions('pool')
            target = desk.targets.choose_for_call('pool', frozenset(), rule)
            assert target is not None
            self.request_count += 1
            desk.targets.begin_request(target)
            route = self.draws.choice(self.routes)
            latency_ms = behaviour(target, route, age_s)
            if target.version == 'v2':
                self.sent_new += 1
                self.failed_new += latency_ms is None
            desk.targets.report_answer(
                target, route, latency_ms or 20.0, latency_ms is None
            )
            desk.targets.end_request(target)
            desk.clock.advance(1 / self.rate_per_s)
            self.driver.step()


def trial(
    of_desk: harness.Harness | None = None,
    listed: tuple[data.ListedPeer, ...] | None = (),
) -> Trial:
    """Return an instance on trial.

    :param of_desk: its targets and clock; the usual ones if left out.
    :param listed: the other instances in the store's list, or None if it was
        not read.
    """
    served = of_desk or desk()
    served.moves.set_layout(forwarding.AggregationTopology())
    if listed is not None:
        served.fleet.add_peers(listed)
    writer = Writer()
    link = harness.RecordingLink()
    served.moves.apply(data.MoveChange('pool', writer.order))
    driver = forwarding.MoveDriver(
        served.clock, served.log, served.moves, served.fleet, link, writer
    )
    return Trial(served, writer, link, driver)


def good(target: data.ListedTarget, route: str, age_s: float) -> float | None:
    """Serves each route at its own pace."""
    base_ms = 60.0 if route == 'book' else 20.0
    return base_ms + 5 * ((age_s * 1000) % 7)
