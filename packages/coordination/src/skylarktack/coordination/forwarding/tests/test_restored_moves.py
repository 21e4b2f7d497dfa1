"""Moves when the store comes back from a copy, some seconds old."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.state import forwarding as data

#: Longer than all waits of the tests, so that no move reaches its end.
DURATION_S = 120.0

STEP_S = 0.25

PLANNED = state.MovePhase.PLANNED
SHIFTING = state.MovePhase.SHIFTING
COMPLETED = state.MovePhase.COMPLETED
ROLLED_BACK = state.MovePhase.ROLLED_BACK

#: Revision of the newest order before the restore.
KNOWN_REVISION = 50


def _order(
    version: str, phase: state.MovePhase, era: int, revision: int
) -> data.MoveOrder:
    return data.MoveOrder(
        'pool', version, DURATION_S, data.StorePosition(era, revision), phase
    )


def _copied(
    version: str, phase: state.MovePhase = PLANNED, revision: int = 31
) -> data.MoveOrder:
    """Return an order that the copy holds."""
    return _order(version, phase, 1, revision)


def _written(version: str, revision: int = 45) -> data.MoveOrder:
    """Return an order that the operator writes after the restore."""
    return _order(version, PLANNED, 1, revision)


class _Store:
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


class _Instance:
    """An instance that knows an order for version 2 from before a restore.

    Without a known phase it starts after the restore and knows none.
    """

    def __init__(self, known_phase: state.MovePhase | None) -> None:
        self.env = move_harness.make_env()
        self.moves = self.env.moves
        self.store = _Store()
        self.link = harness.RecordingLink()
        self.handler = forwarding.MoveWatchHandler(self.moves)
        self.driver = forwarding.MoveDriver(
            self.env.clock,
            self.env.log,
            self.moves,
            self.env.fleet,
            self.link,
            self.store,
        )
        self.env.fleet.add_peers(())
        if known_phase is None:
            return
        # Phases are recorded in the order of a move.
        known = _order('v2', PLANNED, 0, KNOWN_REVISION - 1)
        self.moves.apply(data.MoveChange('pool', known))
        known = _order('v2', known_phase, 0, KNOWN_REVISION)
        self.moves.apply(data.MoveChange('pool', known))
        self.env.log.events.clear()

    def restore(self, copied: data.MoveOrder | None) -> None:
        """List the orders of the restored store."""
        self.store.order = copied
        self.handler.record_restore()
        items = () if copied is None else (data.MoveChange('pool', copied),)
        self.handler.replace(items, after_outage=True)
        self.handler.confirm()

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


@dataclasses.dataclass(frozen=True)
class _Row:
    """A fault of the copy, a moment after the restore, and the outcome."""

    known_phase: state.MovePhase

    #: Order in the copy, or None if it has none.
    copied: data.MoveOrder | None

    #: Order and phase that the instance goes by at the moment.
    version: str | None
    phase: state.MovePhase | None

    #: Time from the restore to the moment.
    moment_s: float = 1.0

    #: Versions to which requests are sent at the moment.
    used: tuple[str, ...] = ('v1',)

    #: Phases that were recorded up to the moment.
    recorded: tuple[state.MovePhase, ...] = ()

    #: Orders that the operator writes one second after the restore, each a
    #: second after the one before; None stands for a deletion.
    written: tuple[data.MoveOrder | None, ...] = ()


BOTH = ('v1', 'v2')

LOST_PHASES = {
    'completed, copy planned': _Row(
        COMPLETED, _copied('v2'), 'v2', COMPLETED, 1.0, ('v2',), (COMPLETED,)
    ),
    'completed, copy shifting': _Row(
        COMPLETED,
        _copied('v2', SHIFTING),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
        (COMPLETED,),
    ),
    'completed, copy rolled back': _Row(
        COMPLETED,
        _copied('v2', ROLLED_BACK),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
        (COMPLETED,),
    ),
    'completed, copy completed': _Row(
        COMPLETED, _copied('v2', COMPLETED), 'v2', COMPLETED, 1.0, ('v2',)
    ),
    'rolled back, copy planned': _Row(
        ROLLED_BACK,
        _copied('v2'),
        'v2',
        ROLLED_BACK,
        recorded=(ROLLED_BACK,),
    ),
    'rolled back, copy shifting': _Row(
        ROLLED_BACK,
        _copied('v2', SHIFTING),
        'v2',
        ROLLED_BACK,
        recorded=(ROLLED_BACK,),
    ),
    'rolled back, copy completed': _Row(
        ROLLED_BACK, _copied('v2', COMPLETED), 'v2', COMPLETED, 1.0, ('v2',)
    ),
    'shifting, copy planned': _Row(
        SHIFTING, _copied('v2'), 'v2', SHIFTING, 1.0, BOTH, (SHIFTING,)
    ),
    'shifting, copy shifting': _Row(
        SHIFTING, _copied('v2', SHIFTING), 'v2', SHIFTING, 1.0, BOTH
    ),
}

LOST_ORDERS = {
    'shifting, missing, not written yet': _Row(
        SHIFTING, None, 'v2', SHIFTING, 9.5, BOTH
    ),
    'shifting, missing, written again': _Row(
        SHIFTING,
        None,
        'v2',
        SHIFTING,
        3.0,
        BOTH,
        (SHIFTING,),
        (_written('v2'),),
    ),
    'shifting, missing, never written': _Row(SHIFTING, None, None, None, 11.0),
    'completed, missing, not written yet': _Row(
        COMPLETED, None, 'v2', COMPLETED, 9.5, ('v2',)
    ),
    'completed, missing, written again': _Row(
        COMPLETED,
        None,
        'v2',
        COMPLETED,
        3.0,
        ('v2',),
        (COMPLETED,),
        (_written('v2'),),
    ),
    'completed, missing, never written': _Row(
        COMPLETED, None, None, None, 11.0, BOTH
    ),
    'rolled back, missing, not written yet': _Row(
        ROLLED_BACK, None, 'v2', ROLLED_BACK, 9.5
    ),
    'rolled back, missing, written again': _Row(
        ROLLED_BACK,
        None,
        'v2',
        ROLLED_BACK,
        3.0,
        recorded=(ROLLED_BACK,),
        written=(_written('v2'),),
    ),
    'shifting, missing, deleted after it was written': _Row(
        SHIFTING,
        None,
        None,
        None,
        4.0,
        recorded=(SHIFTING,),
        written=(_written('v2'), None),
    ),
    'shifting, missing, another version ordered': _Row(
        SHIFTING,
        None,
        'v3',
        SHIFTING,
        3.0,
        recorded=(SHIFTING,),
        written=(_written('v3'),),
    ),
}

OLDER_ORDERS = {
    'shifting, older order, not written yet': _Row(
        SHIFTING, _copied('v0', COMPLETED), 'v2', SHIFTING, 9.5, BOTH
    ),
    'shifting, older order, written again': _Row(
        SHIFTING,
        _copied('v0', COMPLETED),
        'v2',
        SHIFTING,
        3.0,
        BOTH,
        (SHIFTING,),
        (_written('v2'),),
    ),
    'completed, older order, written again': _Row(
        COMPLETED,
        _copied('v0', COMPLETED),
        'v2',
        COMPLETED,
        3.0,
        ('v2',),
        (COMPLETED,),
        (_written('v2'),),
    ),
    'shifting, older order, never written': _Row(
        SHIFTING, _copied('v0', COMPLETED), 'v0', COMPLETED, 11.0
    ),
    'shifting, older order, status of it written': _Row(
        SHIFTING,
        _copied('v0'),
        'v2',
        SHIFTING,
        4.0,
        BOTH,
        written=(_copied('v0', SHIFTING, 40),),
    ),
    'shifting, older order, another version ordered': _Row(
        SHIFTING,
        _copied('v0', COMPLETED),
        'v3',
        SHIFTING,
        3.0,
        recorded=(SHIFTING,),
        written=(_written('v3'),),
    ),
    'shifting, older order, deleted': _Row(
        SHIFTING,
        _copied('v0', COMPLETED),
        None,
        None,
        3.0,
        written=(None,),
    ),
    'shifting, order written before the list': _Row(
        SHIFTING,
        _copied('v3', PLANNED, KNOWN_REVISION + 9),
        'v3',
        SHIFTING,
        recorded=(SHIFTING,),
    ),
}

ROWS = LOST_PHASES | LOST_ORDERS | OLDER_ORDERS


class TestRestoredMoves:
    """Orders and phases that the copy lacks, or holds in an older state."""

    @pytest.mark.parametrize('row', ROWS.values(), ids=ROWS.keys())
    def test_outcomes(self, row: _Row) -> None:
        """Guards against a move that is judged again or cancelled."""
        instance = _Instance(row.known_phase)
        instance.restore(row.copied)
        passed_s = 0.0
        for order in row.written:
            instance.run(1.0)
            passed_s += 1.0
            instance.write(order)
        instance.run(row.moment_s - passed_s)
        order = instance.moves.order_of('pool')
        assert (None if order is None else order.to_version) == row.version
        assert (None if order is None else order.phase) is row.phase
        assert instance.used_versions() == set(row.used)
        assert tuple(instance.store.phases) == row.recorded
        # An order of an earlier era is not written to.
        assert instance.store.refused_count == 0

    def test_evidence_is_kept(self) -> None:
        """Guards against a move in progress that starts over."""
        instance = _Instance(SHIFTING)
        instance.run(5.0)
        instance.moves.record_outcome(
            move_harness.new_target('new-a'),
            'book',
            state.OutcomeKind.SUCCESS,
            9.0,
        )
        instance.restore(_copied('v2'))
        instance.run(1.0)
        (report,) = instance.moves.reports('instance-0')
        assert report.age_ms == pytest.approx(6000, abs=5)
        assert sum(each.row.attempt_count for each in report.counts.rows) == 1

    def test_order_without_phase_in_one_era_is_new(self) -> None:
        """Guards against a repeated order that is taken for a lost phase."""
        instance = _Instance(ROLLED_BACK)
        instance.restore(_copied('v2'))
        instance.run(1.0)
        assert instance.store.phases == [ROLLED_BACK]
        instance.write(_written('v2'))
        order = instance.moves.order_of('pool')
        assert order is not None
        assert order.phase is PLANNED
        assert instance.used_versions() == set(BOTH)

    def test_phase_of_an_instance_that_does_not_know_the_end(self) -> None:
        """Guards against a lost end that an earlier phase replaces."""
        instance = _Instance(COMPLETED)
        instance.restore(_copied('v2'))
        instance.write(_copied('v2', SHIFTING, 40))
        instance.run(1.0)
        assert instance.store.phases == [COMPLETED]
        assert instance.used_versions() == {'v2'}

    @pytest.mark.parametrize('copied', (None, _copied('v0', COMPLETED)))
    def test_restored_once_more(self, copied: data.MoveOrder | None) -> None:
        """Guards against an order that is dropped before it can return."""
        instance = _Instance(SHIFTING)
        instance.restore(copied)
        instance.run(8.0)
        if copied is not None:
            position = data.StorePosition(2, 31)
            copied = dataclasses.replace(copied, position=position)
        instance.restore(copied)
        instance.run(9.5)
        order = instance.moves.order_of('pool')
        assert order is not None
        assert order.to_version == 'v2'
        instance.run(1.0)
        order = instance.moves.order_of('pool')
        assert (None if order is None else order.to_version) == (
            None if copied is None else 'v0'
        )

    def test_listed_once_more(self) -> None:
        """Guards against a list that cancels an order that is kept."""
        instance = _Instance(SHIFTING)
        instance.restore(None)
        instance.run(8.0)
        instance.handler.replace((), after_outage=False)
        instance.run(1.0)
        assert instance.moves.order_of('pool') is not None
        # The wait is that from the first list.
        instance.run(1.5)
        assert instance.moves.order_of('pool') is None

    def test_missing_order_without_restore_is_cancelled(self) -> None:
        """Guards against moves that continue although they were cancelled."""
        instance = _Instance(SHIFTING)
        instance.restore(_copied('v2', SHIFTING))
        instance.handler.replace((), after_outage=True)
        assert instance.moves.order_of('pool') is None

    def test_late_order_of_an_earlier_revision_is_dropped(self) -> None:
        """Guards against a late response that brings a former order back."""
        instance = _Instance(SHIFTING)
        former = _order('v0', SHIFTING, 0, KNOWN_REVISION - 9)
        instance.moves.apply(data.MoveChange('pool', former))
        order = instance.moves.order_of('pool')
        assert order is not None
        assert order.to_version == 'v2'

    @pytest.mark.parametrize('is_missing', (True, False))
    def test_turns_begin_anew(self, is_missing: bool) -> None:
        """Guards against a write from every instance after a restore."""
        instance = _Instance(SHIFTING)
        instance.store.order = instance.moves.order_of('pool')
        # Without evidence this instance rolls the version back itself.
        instance.run(DURATION_S)
        assert instance.store.phases == [ROLLED_BACK]
        instance.store.phases.clear()
        if is_missing:
            instance.restore(None)
            instance.run(5.0)
        fleet = instance.env.fleet
        number = 0
        while fleet.rank() < 2:
            number += 1
            fleet.receive(harness.peer_report(f'peer-{number}', number))
        if is_missing:
            instance.write(_written('v2'))
        else:
            instance.restore(_copied('v2'))
        instance.run(1.0)
        assert not instance.store.phases
        instance.run(0.5)
        assert instance.store.phases == [ROLLED_BACK]

    def test_lost_phase_is_logged(self) -> None:
        """Guards against a phase that is recorded again without a trace."""
        instance = _Instance(COMPLETED)
        instance.restore(_copied('v2'))
        instance.run(1.0)
        assert instance.env.log.messages('move') == [
            'restored store lacks the move phase; recording it again',
            'move phase recorded again',
        ]

    def test_kept_order_is_logged(self) -> None:
        """Guards against an order that is kept without a trace."""
        instance = _Instance(COMPLETED)
        instance.restore(None)
        instance.run(5.0)
        assert instance.env.log.messages('move') == [
            'restored store lacks the order; keeping the known one a while'
        ]


@dataclasses.dataclass(frozen=True)
class _StartRow:
    """What an instance reads that starts after the restore."""

    #: Phase that the running peer knows.
    known_phase: state.MovePhase

    #: Order in the copy, or None if it has none.
    copied: data.MoveOrder | None

    #: Versions to which it sends requests before and after a report of the
    #: peer.
    used: tuple[str, ...]
    used_after_report: tuple[str, ...]


START_ROWS = {
    'rolled back, copy planned': _StartRow(
        ROLLED_BACK, _copied('v2'), BOTH, ('v1',)
    ),
    'rolled back, copy shifting': _StartRow(
        ROLLED_BACK, _copied('v2', SHIFTING), BOTH, ('v1',)
    ),
    'rolled back, missing': _StartRow(ROLLED_BACK, None, BOTH, ('v1',)),
    'shifting, missing': _StartRow(SHIFTING, None, BOTH, ('v1',)),
    'shifting, copy planned': _StartRow(SHIFTING, _copied('v2'), BOTH, BOTH),
    'completed, copy planned': _StartRow(
        COMPLETED, _copied('v2'), BOTH, ('v2',)
    ),
    'completed, missing': _StartRow(COMPLETED, None, BOTH, BOTH),
    'completed, copy completed': _StartRow(
        COMPLETED, _copied('v2', COMPLETED), ('v2',), ('v2',)
    ),
}


class TestInstanceStartedAfterRestore:
    """An instance that reads the copy and learns the rest from its peers."""

    @pytest.mark.parametrize('row', START_ROWS.values(), ids=START_ROWS.keys())
    def test_outcomes(self, row: _StartRow) -> None:
        """Guards against requests to a version that was rolled back."""
        peer = _Instance(row.known_phase)
        peer.restore(row.copied)
        started = _Instance(None)
        started.restore(row.copied)
        assert started.used_versions() == set(row.used)
        for report in peer.moves.reports('peer'):
            started.moves.apply_report(report)
        assert started.used_versions() == set(row.used_after_report)

    def test_report_on_an_order_that_was_deleted(self) -> None:
        """Guards against a peer without the store that stops a version."""
        instance = _Instance(COMPLETED)
        instance.write(None)
        peer = _Instance(SHIFTING)
        for report in peer.moves.reports('peer'):
            instance.moves.apply_report(report)
        assert instance.used_versions() == set(BOTH)

    def test_late_stop_of_a_completed_move(self) -> None:
        """Guards against a suspended peer that stops a completed version."""
        instance = _Instance(COMPLETED)
        peer = _Instance(SHIFTING)
        (report,) = peer.moves.reports('peer')
        instance.moves.apply_report(
            dataclasses.replace(report, stop_reason='failed')
        )
        assert instance.used_versions() == {'v2'}

    def test_recorded_end_is_not_reported(self) -> None:
        """Guards against reports on all moves that have ended."""
        for phase in (COMPLETED, ROLLED_BACK):
            instance = _Instance(phase)
            assert not instance.moves.reports('instance-0')
            instance.restore(_copied('v2'))
            assert instance.moves.reports('instance-0')
            instance.run(1.0)
            assert instance.store.phases == [phase]
            assert not instance.moves.reports('instance-0')
