"""Traffic generation and invariant checks for tests of moves."""

import math

from skylarktack import state
from skylarktack.coordination import fakes

#: Maximum duration of a simulation, in ticks of half a second.
TICK_LIMIT = 160

#: Standard deviation of the logarithm of latencies.
_LOG_DEVIATION = 0.4


def row(
    version: str, domain: str, count: int, failed: int = 0, slow: float = 1.0
) -> state.EvidenceRow:
    """Return evidence of a version with given failures and slowdown."""
    centre = math.log(100.0 * slow)
    sums = state.LatencySums(
        count, count * centre, count * (centre * centre + _LOG_DEVIATION**2)
    )
    return state.EvidenceRow(
        version=state.VersionName(version),
        failure_domain=state.FailureDomain(domain),
        attempt_count=count,
        error_count=failed,
        first_token=sums,
        inter_token=sums,
    )


def serve(simulation: fakes.MoveSimulation, failed: int = 0) -> None:
    """Record the outcomes of a tick; ``failed`` in ten fail on model-2."""
    for instance in simulation.instances.values():
        share = instance.part.table.share('digest')
        collector = instance.part.collector
        for domain in ('domain-0', 'domain-1'):
            collector.add('digest', row('model-1', domain, 40))
            if share > 0:
                count = max(10, int(40 * share))
                new = row('model-2', domain, count, failed * count // 10)
                collector.add('digest', new)


class Observer:
    """Checks the invariants that hold under any fault, on each tick."""

    def __init__(self, simulation: fakes.MoveSimulation) -> None:
        self._simulation = simulation
        self._highest_share = 0.0
        self._ended: state.MoveRecord | None = None
        self._fencing_number = 0
        self.judged = False

    def check(self) -> None:
        """Assert the invariants on shares, final records and fencing."""
        record = self._simulation.record()
        if record is None:
            return
        assert record.lease.fencing_number >= self._fencing_number
        self._fencing_number = record.lease.fencing_number
        if self._ended is not None:
            assert record == self._ended
        if record.ended:
            self._ended = record
        self._highest_share = max(self._highest_share, record.share)
        self.judged |= record.verdict is state.MoveVerdict.GOOD
        limit = self._highest_share if self.judged else 0.05
        for instance in self._simulation.instances.values():
            share = instance.part.table.share('digest')
            assert share <= limit
            if self._simulation.clock.wall_s() >= record.deadline_s:
                assert share in (0.0, 1.0)


def run_until(
    simulation: fakes.MoveSimulation,
    observer: Observer,
    moment: str,
    failed: int = 0,
) -> state.MoveRecord | None:
    """Run until the record reaches a moment or the move ends.

    :param moment: a phase, or ``stage-`` with the number of the stage.
    """
    for _ in range(TICK_LIMIT):
        record = simulation.record()
        if record is not None:
            if moment in (record.phase.value, f'stage-{record.stage}'):
                return record
            if record.ended:
                return record
        run_ticks(simulation, observer, 1, failed)
    return simulation.record()


def run_ticks(
    simulation: fakes.MoveSimulation,
    observer: Observer,
    count: int,
    failed: int = 0,
) -> None:
    """Run a number of ticks, checking the invariants on each."""
    for _ in range(count):
        simulation.tick()
        serve(simulation, failed)
        observer.check()
