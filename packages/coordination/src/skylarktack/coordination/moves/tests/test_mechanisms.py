"""Each mechanism of moves, with it and with it switched off."""

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
    """A store that ignores the condition of a write."""

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write in any case."""
        read = self.get(key)
        found = None if read.is_error() else read.ok.version
        return super().put(key, value, found)


class TestFence:
    """Guards against a paused driver that goes on after its successor."""

    @pytest.mark.parametrize('conditional', (True, False))
    def test_two_drivers(self, conditional: bool) -> None:
        """Without the condition the former driver's write replaces the
        successor's.
        """
        store = None if conditional else UnconditionalStore()
        world = fakes.MoveWorld(fakes.MoveWorldShape(), store=store)
        observer = _support.Observer(world)
        _support.run_until(world, observer, 'stage-0')
        former = world.driver()
        world.pause(former)
        _support.run_ticks(world, observer, 10)
        record = world.record()
        assert record is not None
        assert record.lease.fencing_number == 2
        # Only the session goes on: its process has read nothing yet.
        session = world.instances[former].sessions['digest']
        reached = session.step()
        record = world.record()
        assert record is not None
        overwritten = record.lease.fencing_number == 1
        assert overwritten is not conditional
        assert (reached is moves.DriverState.LOST) is conditional


class TestLostAnswer:
    """Guards against a write that took effect and counts as failed."""

    @pytest.mark.parametrize('reads_back', (True, False))
    def test_answer_lost(
        self, reads_back: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Without reading back the driver loses its own lease."""
        if not reads_back:
            monkeypatch.setattr(
                moves.LeasedMoveDriver,
                '_settle',
                lambda session: moves.DriverState.LOST,
            )
        world = fakes.MoveWorld(fakes.MoveWorldShape())
        observer = _support.Observer(world)
        _support.run_until(world, observer, 'stage-0')
        world.store.set_faults(fakes.StoreFaults(lose_write_answers_count=1))
        _support.run_ticks(world, observer, 12)
        record = world.record()
        assert record is not None
        kept = record.lease.fencing_number == 1
        assert kept is reads_back


class TestOrders:
    """Guards against orders of two drivers that overlap on a target."""

    @pytest.mark.parametrize('waits', (True, False))
    def test_target_without_fencing(self, waits: bool) -> None:
        """Without the allowances an order can precede the last possible
        one of the former driver.
        """
        settings = state.MoveSettings(order_timeout_ms=2000)
        if not waits:
            settings = dataclasses.replace(
                settings, order_timeout_ms=0, clock_allowance_ms=0
            )
        world = fakes.MoveWorld(
            fakes.MoveWorldShape(
                checks_fencing=False, settings=settings, weights_bytes=0
            )
        )
        # The first driver's orders hang until it is gone.
        first = world.instances['instance-0'].part.new_driver('digest')
        first.step()
        record = world.record()
        assert record is not None
        last_possible_s = record.lease.expires_s + 2.0
        world.kill('instance-0')
        for _ in range(30):
            world.tick()
            if world.engines.orders:
                break
        assert world.engines.orders
        safe = world.clock.wall_s() >= last_possible_s
        assert safe is waits

    def test_fencing_number_refused(self) -> None:
        """A target that checks refuses the former driver's late order."""
        world = fakes.MoveWorld(fakes.MoveWorldShape())
        _support.run_until(world, _support.Observer(world), 'stage-0')
        target, order = world.engines.orders[0]
        known = world.target(target)
        assert known is not None
        newer = dataclasses.replace(order, fencing_number=7)
        assert world.engines.send_command(known, newer, 1.0).is_ok()
        assert world.engines.send_command(known, order, 1.0).is_error()

    def test_loads_follow_the_rate(self) -> None:
        """The weight store never delivers more than its rate."""
        world = fakes.MoveWorld(
            fakes.MoveWorldShape(weights_bytes=2_000_000_000, window_s=120.0)
        )
        observer = _support.Observer(world)
        counts: list[int] = []
        for _ in range(160):
            _support.run_ticks(world, observer, 1)
            counts.append(len(world.engines.orders))
        assert counts[-1] >= 16
        for before, after in zip(counts, counts[8:], strict=False):
            assert after - before <= 5

    @pytest.mark.parametrize('fault', ('dead', 'stuck'))
    def test_target_that_does_not_load(self, fault: str) -> None:
        """A target of the first wave that fails is replaced by another."""
        world = fakes.MoveWorld(fakes.MoveWorldShape(window_s=80.0))
        getattr(world.engines, fault).add(world.targets[0].name)
        record = _support.run_until(
            world, _support.Observer(world), 'completed'
        )
        assert record is not None
        assert record.phase is state.MovePhase.COMPLETED

    def test_plan_that_cannot_finish(self) -> None:
        """Loading that outlasts the deadline is refused at the start."""
        world = fakes.MoveWorld(
            fakes.MoveWorldShape(weights_bytes=8_000_000_000)
        )
        record = _support.run_until(
            world, _support.Observer(world), 'rolled_back'
        )
        assert record is not None
        assert record.phase is state.MovePhase.ROLLED_BACK
        assert 'Loading and judging take' in record.reason
        assert not world.engines.orders


class TestMoveTable:
    """Guards against a share that rises on old or unproved news."""

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
    def test_stale_record(self, age_limit_ms: int) -> None:
        """An old record that arrives late raises nothing."""
        table = self._table(age_limit_ms)
        table.offer(self._record(0.05), 1)
        late = self._record(0.5)
        self.clock.advance(30.0)
        table.offer(late, 2)
        limited = age_limit_ms == 10_000
        assert table.share('digest') == (0.05 if limited else 0.5)

    def test_older_version_is_ignored(self) -> None:
        """A crossed notice does not undo a newer record."""
        table = self._table()
        table.offer(self._record(0.0), 5)
        assert not table.offer(self._record(0.5), 4)
        assert table.share('digest') == 0.0

    def test_deadline_without_proof(self) -> None:
        """Past the deadline the old version serves, until proof comes."""
        table = self._table()
        table.offer(self._record(0.5), 1)
        self.clock.advance(101.0)
        assert table.share('digest') == 0.0
        completed = self._record(1.0, phase=state.MovePhase.COMPLETED)
        table.offer(completed, 2)
        assert table.share('digest') == 1.0

    def test_stop_of_former_driver(self) -> None:
        """A stop with an older fencing number has no effect."""
        table = self._table()
        table.offer(self._record(0.5), 1)
        assert not table.stop('digest', 'old', fencing_number=2)
        assert table.stop('digest', 'new', fencing_number=3)
        assert table.share('digest') == 0.0


class TestVersionChooser:
    """Guards against a split that differs between instances."""

    def test_split(self) -> None:
        """The share is exact, equal on all instances, and only grows."""
        world = fakes.MoveWorld(fakes.MoveWorldShape())
        observer = _support.Observer(world)
        route = world.configuration.current().document.routes[0]
        before: set[state.RequestId] = set()
        for moment, share in (('stage-1', 0.05), ('stage-3', 0.5)):
            _support.run_until(world, observer, moment)
            world.tick(0.1)
            chosen: list[set[state.RequestId]] = []
            for instance in world.instances.values():
                versions = instance.part.version_selector
                found: set[state.RequestId] = set()
                for number in range(20_000):
                    request_id = state.RequestId(f'request-{number}')
                    if versions.version_for(route, request_id) == 'model-2':
                        found.add(request_id)
                chosen.append(found)
            assert chosen[0] == chosen[1] == chosen[2]
            assert before <= chosen[0]
            # Four standard deviations of 20,000 draws.
            deviation = (share * (1 - share) / 20_000) ** 0.5
            assert abs(len(chosen[0]) / 20_000 - share) < 4 * deviation
            before = chosen[0]


class TestSettling:
    """Guards against a first write whose fate stays unknown."""

    def test_outage_during_first_write(self) -> None:
        """A lost first answer followed by an outage is read back later."""
        world = fakes.MoveWorld(fakes.MoveWorldShape(instance_count=1))
        session = world.instances['instance-0'].part.new_driver('digest')
        link = world.instances['instance-0'].store
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
        assert session.step() is moves.DriverState.HOLDING
        link.put = put  # type: ignore[method-assign]
        assert session.step() is moves.DriverState.HOLDING
        link.down = False
        assert session.step() is moves.DriverState.DRIVING
        record = world.record()
        assert record is not None
        assert record.lease.fencing_number == 1
        assert Ok(record.phase) == Ok(state.MovePhase.LOADING)


class TestOldRecords:
    """Guards against records that pile up, or vanish while needed."""

    @pytest.mark.parametrize('configured', (True, False))
    def test_removal(self, configured: bool) -> None:
        """Only a move that left the configuration is removed."""
        world = fakes.MoveWorld(fakes.MoveWorldShape())
        _support.run_until(world, _support.Observer(world), 'completed')
        world.tick()
        if not configured:
            document = world.configuration.current().document
            world.configuration.replace(
                dataclasses.replace(document, moves=())
            )
        for wait_s, kept in ((60.0, True), (7200.0, configured)):
            world.clock.advance(wait_s)
            for instance in world.instances.values():
                instance.part.remove_old_records()
            assert (world.record() is not None) is kept
