"""Moves after their store came back from a copy."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import moves
from skylarktack.coordination.moves.tests import _support


def _fencing_number(simulation: fakes.MoveSimulation) -> int:
    record = simulation.record()
    assert record is not None
    return record.lease.fencing_number


def _run_alone(simulation: fakes.MoveSimulation) -> None:
    """Pause all instances and run one that knows nothing of the move."""
    for name in tuple(simulation.instances):
        simulation.pause(name)
    simulation.start_instance('instance-new')
    simulation.hub.cut('instance-new', 'instance-0')
    for _ in range(20):
        simulation.tick()
        if simulation.driver() == 'instance-new':
            return


class TestFencingAfterRestore:
    """Guards against two drivers with one fencing number."""

    def test_number_that_went_back_is_not_given_again(self) -> None:
        """Guards against a takeover with a number that is in use."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        _support.run_until(
            simulation, _support.Observer(simulation), 'stage-0'
        )
        simulation.store.take_copy()
        simulation.kill(simulation.driver())
        observer = _support.Observer(simulation)
        for _ in range(20):
            _support.run_ticks(simulation, observer, 1)
            if _fencing_number(simulation) == 2:
                break
        assert _fencing_number(simulation) == 2
        simulation.store.restore()
        assert _fencing_number(simulation) == 1
        _run_alone(simulation)
        assert simulation.driver() == 'instance-new'
        assert _fencing_number(simulation) > 2

    def test_first_lease_of_a_lost_record(self) -> None:
        """Guards against a first record whose number is in use."""
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(checks_fencing=False)
        )
        simulation.store.take_copy()
        _support.run_until(
            simulation, _support.Observer(simulation), 'stage-0'
        )
        simulation.store.restore()
        # The new instance learns of the era from its first call.
        _run_alone(simulation)
        assert simulation.driver() == 'instance-new'
        assert _fencing_number(simulation) > 1
        record = simulation.record()
        assert record is not None
        settings = simulation.shape.settings
        lease_s = settings.lease_ms / 1000
        assert record.lease.quiet_until_s > record.updated_s + lease_s

    def test_lease_of_an_earlier_era_is_taken_again(self) -> None:
        """Guards against a renewal on a version that was given out again."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        _support.run_until(
            simulation, _support.Observer(simulation), 'stage-0'
        )
        simulation.store.take_copy()
        simulation.store.restore()
        # The version that the driver knows is one of the new era too.
        _support.run_ticks(simulation, _support.Observer(simulation), 12)
        assert _fencing_number(simulation) > 1 << 32

    def test_new_driver_goes_on_from_the_last_step(self) -> None:
        """Guards against steps that are repeated because a copy lacks them."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        observer = _support.Observer(simulation)
        _support.run_until(simulation, observer, 'stage-0')
        simulation.store.take_copy()
        before = _support.run_until(simulation, observer, 'stage-1')
        assert before is not None
        simulation.store.restore()
        _support.run_ticks(simulation, _support.Observer(simulation), 12)
        record = simulation.record()
        assert record is not None
        assert record.stage >= 1
        assert record.history[: len(before.history)] == before.history


class TestRecordsAfterRestore:
    """Guards against records of two eras that are compared by version."""

    def test_end_of_a_move_is_written_again(self) -> None:
        """Guards against a bad version that is tried a second time."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        observer = _support.Observer(simulation)
        _support.run_until(simulation, observer, 'stage-0')
        simulation.store.take_copy()
        ended = _support.run_until(
            simulation, observer, 'rolled_back', failed=5
        )
        assert ended is not None
        assert ended.phase is state.MovePhase.ROLLED_BACK
        _support.run_ticks(simulation, observer, 2)
        simulation.store.restore()
        _support.run_ticks(simulation, _support.Observer(simulation), 4)
        assert simulation.record() == ended

    def test_only_newer_records_of_another_era(self) -> None:
        """Guards against a version that was given out again."""
        clock = fakes.ManualClock()
        table = moves.MoveTable(state.MoveSettings(), clock)
        now_s = clock.wall_s()

        def record(number: int, updated_s: float) -> state.MoveRecord:
            return state.MoveRecord(
                name='digest',
                route=state.RouteName('digest'),
                from_version=state.VersionName('model-1'),
                to_version=state.VersionName('model-2'),
                start_s=now_s,
                deadline_s=now_s + 45.0,
                configuration_revision=1,
                lease=state.MoveLease(
                    state.InstanceName('instance-0'), number, now_s
                ),
                updated_s=updated_s,
            )

        def cached() -> state.MoveRecord:
            found = table.cached('digest')
            assert found is not None
            return found.record

        assert table.apply_record(record(2, now_s + 2), 9, 0)
        # The copy has an older record.
        assert not table.apply_record(record(2, now_s + 1), 7, 1)
        later = record(3, now_s + 3)
        assert table.apply_record(later, 8, 1)
        # A notice from before the restore arrives late.
        assert not table.apply_record(record(2, now_s + 2.5), 12, 0)
        assert cached() == later
        same_era = dataclasses.replace(later, share=0.1)
        assert table.apply_record(same_era, 10, 1)

    def test_configuration_of_a_later_era(self) -> None:
        """Guards against a driver that waits for a revision that was lost."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        observer = _support.Observer(simulation)
        simulation.configuration.set_position(
            state.ConfigurationPosition(0, 9)
        )
        _support.run_until(simulation, observer, 'stage-0')
        simulation.configuration.set_position(
            state.ConfigurationPosition(1, 2)
        )
        record = _support.run_until(simulation, observer, 'stage-1')
        assert record is not None
        assert record.stage == 1
        assert record.configuration_position == (
            state.ConfigurationPosition(1, 2)
        )
