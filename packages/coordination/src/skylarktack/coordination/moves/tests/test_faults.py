"""Moves under faults: one table of faults and moments."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination.moves.tests import _support

MOMENTS = ('planned', 'loading', 'stage-0', 'stage-1', 'stage-3')

#: Each fault and the end that it must leave to a good version.
FAULTS = {
    'store_down': 'completed',
    'store_slow': 'completed',
    'answer_lost': 'completed',
    'answers_lost': 'completed',
    'write_lost': 'completed',
    'driver_killed': 'completed',
    'driver_paused': 'completed',
    'driver_store_cut': 'completed',
    'driver_partitioned': 'completed',
    'watch_silent': 'completed',
    'operator_cancels': 'rolled_back',
    'operator_removes': 'rolled_back',
    'operator_retargets': 'rolled_back',
    'operator_extends': 'completed',
    'deadline_in_outage': 'rolled_back',
}


class Fault:
    """Switches one fault on and off."""

    def __init__(self, world: fakes.MoveWorld, name: str) -> None:
        self._world = world
        self._name = name
        self._driver = world.driver()

    def start(self) -> None:
        """Switch the fault on."""
        world = self._world
        driver = world.instances[self._driver]
        if self._name in ('store_down', 'deadline_in_outage'):
            world.store.set_faults(fakes.StoreFaults(down=True))
        if self._name == 'store_slow':
            driver.store.delay_s = 0.2
        if self._name == 'answer_lost':
            world.store.set_faults(
                fakes.StoreFaults(lose_write_answers_count=1)
            )
        if self._name == 'answers_lost':
            world.store.set_faults(
                fakes.StoreFaults(lose_write_answers_count=4)
            )
        if self._name == 'write_lost':
            world.store.set_faults(fakes.StoreFaults(lose_writes_count=3))
        if self._name == 'driver_killed':
            world.kill(self._driver)
        if self._name in ('driver_paused', 'driver_partitioned'):
            world.pause(self._driver)
        if self._name == 'driver_partitioned':
            driver.paused = False
        if self._name in ('driver_store_cut', 'driver_partitioned'):
            driver.store.down = True
        if self._name == 'watch_silent':
            for name, instance in world.instances.items():
                instance.deaf = name != self._driver
        if self._name == 'operator_cancels':
            world.configuration.change_move('digest', cancelled=True)
        if self._name == 'operator_removes':
            document = world.configuration.current().document
            world.configuration.replace(
                dataclasses.replace(document, moves=())
            )
        if self._name == 'operator_retargets':
            world.configuration.change_move(
                'digest', to_version=state.VersionName('model-3')
            )
        if self._name == 'operator_extends':
            move = world.configuration.current().document.moves[0]
            world.configuration.change_move(
                'digest', deadline_s=move.deadline_s + 5
            )

    def end(self) -> None:
        """Switch the fault off."""
        world = self._world
        world.store.set_faults(fakes.StoreFaults())
        for instance in world.instances.values():
            instance.store.down = False
            instance.store.delay_s = 0.0
            instance.deaf = False
        if self._driver in world.instances:
            world.resume(self._driver)


class TestMoveUnderFaults:
    """Guards against a fault that moves a share, an end or a driver wrongly.

    The observer checks on each tick that no instance's share passes what a
    record allowed, that 5% is not passed before the verdict, that an end
    never changes, and that fencing numbers never fall.
    """

    @pytest.mark.parametrize('moment', MOMENTS)
    @pytest.mark.parametrize('fault_name', FAULTS)
    def test_good_version(self, fault_name: str, moment: str) -> None:
        """Seed-free: the traffic is the same in each run."""
        world = fakes.MoveWorld(fakes.MoveWorldShape(window_s=45.0))
        observer = _support.Observer(world)
        _support.run_until(world, observer, moment)
        fault = Fault(world, fault_name)
        fault.start()
        ticks = 100 if fault_name == 'deadline_in_outage' else 10
        _support.run_ticks(world, observer, ticks)
        fault.end()
        record = _support.run_until(world, observer, 'completed')
        # Each instance learns of the end and stays with it.
        _support.run_ticks(world, observer, 12)
        assert record is not None
        assert record.phase.value == FAULTS[fault_name]
        share = 1.0 if record.phase.value == 'completed' else 0.0
        for instance in world.instances.values():
            assert instance.part.table.share('digest') == share
        for name, order in world.engines.orders:
            assert order.fencing_number <= world.engines.highest[name]

    @pytest.mark.parametrize('moment', ('stage-0', 'stage-1', 'stage-3'))
    @pytest.mark.parametrize(
        'fault_name',
        ('store_down', 'answer_lost', 'driver_killed', 'driver_partitioned'),
    )
    def test_bad_version(self, fault_name: str, moment: str) -> None:
        """A version that fails from a fault on is rolled back all the same,
        and reachable instances stop before the store answers again.
        """
        world = fakes.MoveWorld(fakes.MoveWorldShape(window_s=45.0))
        observer = _support.Observer(world)
        _support.run_until(world, observer, moment)
        fault = Fault(world, fault_name)
        fault.start()
        _support.run_ticks(world, observer, 8, failed=5)
        for instance in world.instances.values():
            assert instance.part.table.share('digest') == 0.0
        fault.end()
        _support.run_ticks(world, observer, 12, failed=5)
        record = world.record()
        assert record is not None
        assert record.phase is state.MovePhase.ROLLED_BACK
        assert record.verdict is state.MoveVerdict.BAD
