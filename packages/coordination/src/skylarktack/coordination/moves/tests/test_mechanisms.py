"""Tests of each mechanism of moves, most with it enabled and disabled."""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result
import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import moves
from skylarktack.coordination.moves.tests import _support


class UnconditionalStore(fakes.MemoryObjectStore):
    """Object store that ignores the expected version of a write."""

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write unconditionally."""
        read = self.get(key)
        found = None if read.is_error() else read.ok.version
        return super().put(key, value, found)


class TestFencing:
    """Guards against a paused driver that overwrites its successor."""

    @pytest.mark.parametrize('conditional', (True, False))
    def test_former_driver_cannot_overwrite(self, conditional: bool) -> None:
        """A former driver's write must fail on the expected version; an
        unconditional write would overwrite the successor's record.
        """
        store = None if conditional else UnconditionalStore()
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(), store=store
        )
        observer = _support.Observer(simulation)
        _support.run_until(simulation, observer, 'stage-0')
        former = simulation.driver()
        simulation.pause(former)
        _support.run_ticks(simulation, observer, 10)
        record = simulation.record()
        assert record is not None
        assert record.lease.fencing_number == 2
        # The former driver resumes before its process has read anything.
        move_driver = simulation.instances[former].sessions['digest']
        driver_state = move_driver.step()
        record = simulation.record()
        assert record is not None
        overwritten = record.lease.fencing_number == 1
        assert overwritten is not conditional
        assert (driver_state is moves.DriverState.LOST) is conditional


class TestLostResponse:
    """Guards against a successful write that is taken as failed."""

    @pytest.mark.parametrize('reads_back', (True, False))
    def test_write_response_lost(
        self, reads_back: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A driver that does not read the record back loses its lease."""
        if not reads_back:
            monkeypatch.setattr(
                moves.LeasedMoveDriver,
                '_resolve_write',
                lambda move_driver: moves.DriverState.LOST,
            )
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        observer = _support.Observer(simulation)
        _support.run_until(simulation, observer, 'stage-0')
        simulation.store.set_faults(
            fakes.StoreFaults(lose_write_answers_count=1)
        )
        _support.run_ticks(simulation, observer, 12)
        record = simulation.record()
        assert record is not None
        kept = record.lease.fencing_number == 1
        assert kept is reads_back


class TestLoadCommands:
    """Guards against overlapping, excessive or useless load commands."""

    @pytest.mark.parametrize('waits', (True, False))
    def test_new_driver_waits_on_target_without_fencing(
        self, waits: bool
    ) -> None:
        """On a target without fencing, a new driver must wait until commands
        of the former driver have timed out, including clock skew.
        """
        settings = state.MoveSettings(order_timeout_ms=2000)
        if not waits:
            settings = dataclasses.replace(
                settings, order_timeout_ms=0, clock_allowance_ms=0
            )
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(
                checks_fencing=False, settings=settings, weights_bytes=0
            )
        )
        # The first driver is killed after acquiring the lease. Its last
        # command may remain in flight until it times out.
        first = simulation.instances['instance-0'].part.new_driver('digest')
        first.step()
        record = simulation.record()
        assert record is not None
        last_possible_s = record.lease.expires_s + 2.0
        simulation.kill('instance-0')
        for _ in range(30):
            simulation.tick()
            if simulation.engines.commands:
                break
        assert simulation.engines.commands
        safe = simulation.clock.wall_s() >= last_possible_s
        assert safe is waits

    def test_old_fencing_number_is_refused(self) -> None:
        """A target that checks fencing refuses a former driver's command."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        _support.run_until(
            simulation, _support.Observer(simulation), 'stage-0'
        )
        target, order = simulation.engines.commands[0]
        known = simulation.target(target)
        assert known is not None
        newer = dataclasses.replace(order, fencing_number=7)
        assert simulation.engines.send_command(known, newer, 1.0).is_ok()
        assert simulation.engines.send_command(known, order, 1.0).is_error()

    def test_load_commands_respect_the_rate(self) -> None:
        """Load commands must not exceed the rate of the weight store."""
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(
                weights_bytes=2_000_000_000, window_s=120.0
            )
        )
        observer = _support.Observer(simulation)
        counts: list[int] = []
        for _ in range(160):
            _support.run_ticks(simulation, observer, 1)
            counts.append(len(simulation.engines.commands))
        assert counts[-1] >= 16
        for before, after in zip(counts, counts[8:], strict=False):
            assert after - before <= 5

    @pytest.mark.parametrize('fault', ('dead', 'stuck'))
    def test_target_that_does_not_load_is_replaced(self, fault: str) -> None:
        """A target that fails to load is replaced in the first wave."""
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(window_s=80.0)
        )
        getattr(simulation.engines, fault).add(simulation.targets[0].name)
        record = _support.run_until(
            simulation, _support.Observer(simulation), 'completed'
        )
        assert record is not None
        assert record.phase is state.MovePhase.COMPLETED

    def test_move_that_cannot_finish(self) -> None:
        """A move that cannot load before the deadline must not start."""
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(weights_bytes=8_000_000_000)
        )
        record = _support.run_until(
            simulation, _support.Observer(simulation), 'rolled_back'
        )
        assert record is not None
        assert record.phase is state.MovePhase.ROLLED_BACK
        assert 'Loading and judging take' in record.reason
        assert not simulation.engines.commands


class TestMoveTable:
    """Guards against a share raised by stale or unproven information."""

    def _table(self, age_limit_ms: int = 10_000) -> moves.MoveTable:
        self.clock = fakes.ManualClock()
        return moves.MoveTable(
            state.MoveSettings(record_age_limit_ms=age_limit_ms), self.clock
        )

    def _record(self, share: float, **fields: object) -> state.MoveRecord:
        now_s = self.clock.wall_s()
        record = state.MoveRecord(
            name='digest',
            route=state.RouteName('digest'),
            from_version=state.VersionName('model-1'),
            to_version=state.VersionName('model-2'),
            start_s=now_s,
            deadline_s=now_s + 100,
            configuration_revision=1,
            lease=state.MoveLease(state.InstanceName('one'), 3, now_s),
            phase=state.MovePhase.SHIFTING,
            share=share,
            updated_s=now_s,
        )
        return dataclasses.replace(record, **fields)  # type: ignore[arg-type]

    @pytest.mark.parametrize('age_limit_ms', (10_000, 1_000_000_000))
    def test_stale_record_does_not_raise_the_share(
        self, age_limit_ms: int
    ) -> None:
        """A record received after the age limit must not raise the share."""
        table = self._table(age_limit_ms)
        table.apply_record(self._record(0.05), 1)
        late = self._record(0.5)
        self.clock.advance(30.0)
        table.apply_record(late, 2)
        limited = age_limit_ms == 10_000
        assert table.share('digest') == (0.05 if limited else 0.5)

    def test_older_version_is_ignored(self) -> None:
        """A late notice must not replace a newer record."""
        table = self._table()
        table.apply_record(self._record(0.0), 5)
        assert not table.apply_record(self._record(0.5), 4)
        assert table.share('digest') == 0.0

    def test_deadline_without_completion(self) -> None:
        """After the deadline, only a record of completion raises the share."""
        table = self._table()
        table.apply_record(self._record(0.5), 1)
        self.clock.advance(101.0)
        assert table.share('digest') == 0.0
        completed = self._record(1.0, phase=state.MovePhase.COMPLETED)
        table.apply_record(completed, 2)
        assert table.share('digest') == 1.0

    def test_stop_of_former_driver_is_ignored(self) -> None:
        """A stop by a former driver is ignored by its fencing number."""
        table = self._table()
        table.apply_record(self._record(0.5), 1)
        assert not table.stop('digest', 'old', fencing_number=2)
        assert table.stop('digest', 'new', fencing_number=3)
        assert table.share('digest') == 0.0


class TestVersionChooser:
    """Guards against a split that differs between instances."""

    def test_split_is_equal_on_all_instances(self) -> None:
        """Instances must select alike and keep requests as the share rises."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        observer = _support.Observer(simulation)
        route = simulation.configuration.current().document.routes[0]
        before: set[state.RequestId] = set()
        for moment, share in (('stage-1', 0.05), ('stage-3', 0.5)):
            _support.run_until(simulation, observer, moment)
            simulation.tick(0.1)
            chosen: list[set[state.RequestId]] = []
            for instance in simulation.instances.values():
                versions = instance.part.version_selector
                found: set[state.RequestId] = set()
                for number in range(20_000):
                    request_id = state.RequestId(f'request-{number}')
                    if versions.version_for(route, request_id) == 'model-2':
                        found.add(request_id)
                chosen.append(found)
            assert chosen[0] == chosen[1] == chosen[2]
            assert before <= chosen[0]
            # Tolerance of four standard deviations of 20,000 draws.
            deviation = (share * (1 - share) / 20_000) ** 0.5
            assert abs(len(chosen[0]) / 20_000 - share) < 4 * deviation
            before = chosen[0]


class TestWriteResolution:
    """Guards against a first write whose outcome is never resolved."""

    def test_outage_during_first_write(self) -> None:
        """A lost response before an outage is resolved after the outage."""
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(instance_count=1)
        )
        move_driver = simulation.instances['instance-0'].part.new_driver(
            'digest'
        )
        link = simulation.instances['instance-0'].store
        put = link.put

        def put_then_fail(
            key: str, value: bytes, expected_version: int | None
        ) -> Result[state.StoredObject, state.StoreFault]:
            written = put(key, value, expected_version)
            assert isinstance(written, Result) and written.is_ok()
            link.down = True
            return Error(
                state.StoreFault(state.StoreFaultKind.ANSWER_LOST, key)
            )

        link.put = put_then_fail  # type: ignore[method-assign]
        assert move_driver.step() is moves.DriverState.HOLDING
        link.put = put  # type: ignore[method-assign]
        assert move_driver.step() is moves.DriverState.HOLDING
        link.down = False
        assert move_driver.step() is moves.DriverState.DRIVING
        record = simulation.record()
        assert record is not None
        assert record.lease.fencing_number == 1
        assert Ok(record.phase) == Ok(state.MovePhase.LOADING)


class TestOldRecords:
    """Guards against records that accumulate or are deleted too early."""

    @pytest.mark.parametrize('configured', (True, False))
    def test_only_unconfigured_records_are_removed(
        self, configured: bool
    ) -> None:
        """Only the record of a move no longer configured is deleted."""
        simulation = fakes.MoveSimulation(fakes.MoveSimulationShape())
        _support.run_until(
            simulation, _support.Observer(simulation), 'completed'
        )
        simulation.tick()
        if not configured:
            document = simulation.configuration.current().document
            simulation.configuration.replace(
                dataclasses.replace(document, moves=())
            )
        for wait_s, kept in ((60.0, True), (7200.0, configured)):
            simulation.clock.advance(wait_s)
            for instance in simulation.instances.values():
                instance.part.remove_old_records()
            assert (simulation.record() is not None) is kept
