"""Tests of moves under injected faults, at each moment of a move."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination.moves.tests import _support

MOMENTS = ('planned', 'loading', 'stage-0', 'stage-1', 'stage-3')

#: Faults, with the phase in which a good version must end.
FAULTS = {
    'store_down': 'completed',
    'store_slow': 'completed',
    'response_lost': 'completed',
    'responses_lost': 'completed',
    'write_lost': 'completed',
    'driver_killed': 'completed',
    'driver_paused': 'completed',
    'driver_store_cut': 'completed',
    'driver_partitioned': 'completed',
    'watch_unresponsive': 'completed',
    'operator_cancels': 'rolled_back',
    'operator_removes': 'rolled_back',
    'operator_retargets': 'rolled_back',
    'operator_extends': 'completed',
    'deadline_in_outage': 'rolled_back',
}


class Fault:
    """Injects one fault, on the current driver of the move or the store."""

    def __init__(self, simulation: fakes.MoveSimulation, name: str) -> None:
        self._simulation = simulation
        self._name = name
        self._driver = simulation.driver()

    def start(self) -> None:
        """Inject the fault."""
        simulation = self._simulation
        driver = simulation.instances[self._driver]
        if self._name in ('store_down', 'deadline_in_outage'):
            simulation.store.set_faults(fakes.StoreFaults(down=True))
        if self._name == 'store_slow':
            driver.store.delay_s = 0.2
        if self._name == 'response_lost':
            simulation.store.set_faults(
                fakes.StoreFaults(lose_write_answers_count=1)
            )
        if self._name == 'responses_lost':
            simulation.store.set_faults(
                fakes.StoreFaults(lose_write_answers_count=4)
            )
        if self._name == 'write_lost':
            simulation.store.set_faults(fakes.StoreFaults(lose_writes_count=3))
        if self._name == 'driver_killed':
            simulation.kill(self._driver)
        if self._name in ('driver_paused', 'driver_partitioned'):
            simulation.pause(self._driver)
        if self._name == 'driver_partitioned':
            driver.paused = False
        if self._name in ('driver_store_cut', 'driver_partitioned'):
            driver.store.down = True
        if self._name == 'watch_unresponsive':
            for name, instance in simulation.instances.items():
                instance.misses_records = name != self._driver
        if self._name == 'operator_cancels':
            simulation.configuration.change_move('digest', cancelled=True)
        if self._name == 'operator_removes':
            document = simulation.configuration.current().document
            simulation.configuration.replace(
                dataclasses.replace(document, moves=())
            )
        if self._name == 'operator_retargets':
            simulation.configuration.change_move(
                'digest', to_version=state.VersionName('model-3')
            )
        if self._name == 'operator_extends':
            move = simulation.configuration.current().document.moves[0]
            simulation.configuration.change_move(
                'digest', deadline_s=move.deadline_s + 5
            )

    def end(self) -> None:
        """Remove the fault."""
        simulation = self._simulation
        simulation.store.set_faults(fakes.StoreFaults())
        for instance in simulation.instances.values():
            instance.store.down = False
            instance.store.delay_s = 0.0
            instance.misses_records = False
        if self._driver in simulation.instances:
            simulation.resume(self._driver)


class TestMoveUnderFaults:
    """Guards against shares, results or leases made wrong by a fault.

    On each tick the observer checks that no instance applies a share above
    that of a record, that the share stays within 5% before the verdict, that
    a final record does not change, and that fencing numbers do not decrease.
    """

    @pytest.mark.parametrize('moment', MOMENTS)
    @pytest.mark.parametrize('fault_name', FAULTS)
    def test_good_version_ends_as_expected(
        self, fault_name: str, moment: str
    ) -> None:
        """A good version must end as expected; traffic is deterministic."""
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(window_s=45.0)
        )
        observer = _support.Observer(simulation)
        _support.run_until(simulation, observer, moment)
        fault = Fault(simulation, fault_name)
        fault.start()
        ticks = 100 if fault_name == 'deadline_in_outage' else 10
        _support.run_ticks(simulation, observer, ticks)
        fault.end()
        record = _support.run_until(simulation, observer, 'completed')
        # Time for each instance to receive the final record.
        _support.run_ticks(simulation, observer, 12)
        assert record is not None
        assert record.phase.value == FAULTS[fault_name]
        share = 1.0 if record.phase.value == 'completed' else 0.0
        for instance in simulation.instances.values():
            assert instance.part.table.share('digest') == share
        for name, order in simulation.engines.commands:
            assert order.fencing_number <= simulation.engines.highest[name]

    @pytest.mark.parametrize('moment', ('stage-0', 'stage-1', 'stage-3'))
    @pytest.mark.parametrize(
        'fault_name',
        ('store_down', 'response_lost', 'driver_killed', 'driver_partitioned'),
    )
    def test_bad_version_is_rolled_back(
        self, fault_name: str, moment: str
    ) -> None:
        """A version that starts to fail during a fault must be rolled back.

        Instances must stop it before the store is available again.
        """
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(window_s=45.0)
        )
        observer = _support.Observer(simulation)
        _support.run_until(simulation, observer, moment)
        fault = Fault(simulation, fault_name)
        fault.start()
        _support.run_ticks(simulation, observer, 8, failed=5)
        for instance in simulation.instances.values():
            assert instance.part.table.share('digest') == 0.0
        fault.end()
        _support.run_ticks(simulation, observer, 12, failed=5)
        record = simulation.record()
        assert record is not None
        assert record.phase is state.MovePhase.ROLLED_BACK
        assert record.verdict is state.MoveVerdict.BAD
