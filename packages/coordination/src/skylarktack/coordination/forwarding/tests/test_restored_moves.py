"""Moves when the store comes back from a copy, some seconds old."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import move_harness
from skylarktack.coordination.forwarding.tests import (
    restored_move_harness as restored,
)
from skylarktack.state import forwarding as data

PLANNED = state.MovePhase.PLANNED
SHIFTING = state.MovePhase.SHIFTING
COMPLETED = state.MovePhase.COMPLETED
ROLLED_BACK = state.MovePhase.ROLLED_BACK


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


LOST_PHASES = {
    'completed, copy planned': _Row(
        COMPLETED,
        restored.copied_order('v2'),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
        (COMPLETED,),
    ),
    'completed, copy shifting': _Row(
        COMPLETED,
        restored.copied_order('v2', SHIFTING),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
        (COMPLETED,),
    ),
    'completed, copy rolled back': _Row(
        COMPLETED,
        restored.copied_order('v2', ROLLED_BACK),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
        (COMPLETED,),
    ),
    'completed, copy completed': _Row(
        COMPLETED,
        restored.copied_order('v2', COMPLETED),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
    ),
    'rolled back, copy planned': _Row(
        ROLLED_BACK,
        restored.copied_order('v2'),
        'v2',
        ROLLED_BACK,
        recorded=(ROLLED_BACK,),
    ),
    'rolled back, copy shifting': _Row(
        ROLLED_BACK,
        restored.copied_order('v2', SHIFTING),
        'v2',
        ROLLED_BACK,
        recorded=(ROLLED_BACK,),
    ),
    'rolled back, copy completed': _Row(
        ROLLED_BACK,
        restored.copied_order('v2', COMPLETED),
        'v2',
        COMPLETED,
        1.0,
        ('v2',),
    ),
    'shifting, copy planned': _Row(
        SHIFTING,
        restored.copied_order('v2'),
        'v2',
        SHIFTING,
        1.0,
        restored.BOTH,
        (SHIFTING,),
    ),
    'shifting, copy shifting': _Row(
        SHIFTING,
        restored.copied_order('v2', SHIFTING),
        'v2',
        SHIFTING,
        1.0,
        restored.BOTH,
    ),
}

LOST_ORDERS = {
    'shifting, missing, not written yet': _Row(
        SHIFTING, None, 'v2', SHIFTING, 9.5, restored.BOTH
    ),
    'shifting, missing, written again': _Row(
        SHIFTING,
        None,
        'v2',
        SHIFTING,
        3.0,
        restored.BOTH,
        (SHIFTING,),
        (restored.written_order('v2'),),
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
        (restored.written_order('v2'),),
    ),
    'completed, missing, never written': _Row(
        COMPLETED, None, None, None, 11.0, restored.BOTH
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
        written=(restored.written_order('v2'),),
    ),
    'shifting, missing, deleted after it was written': _Row(
        SHIFTING,
        None,
        None,
        None,
        4.0,
        recorded=(SHIFTING,),
        written=(restored.written_order('v2'), None),
    ),
    'shifting, missing, another version ordered': _Row(
        SHIFTING,
        None,
        'v3',
        SHIFTING,
        3.0,
        recorded=(SHIFTING,),
        written=(restored.written_order('v3'),),
    ),
}

OLDER_ORDERS = {
    'shifting, older order, not written yet': _Row(
        SHIFTING,
        restored.copied_order('v0', COMPLETED),
        'v2',
        SHIFTING,
        9.5,
        restored.BOTH,
    ),
    'shifting, older order, written again': _Row(
        SHIFTING,
        restored.copied_order('v0', COMPLETED),
        'v2',
        SHIFTING,
        3.0,
        restored.BOTH,
        (SHIFTING,),
        (restored.written_order('v2'),),
    ),
    'completed, older order, written again': _Row(
        COMPLETED,
        restored.copied_order('v0', COMPLETED),
        'v2',
        COMPLETED,
        3.0,
        ('v2',),
        (COMPLETED,),
        (restored.written_order('v2'),),
    ),
    'shifting, older order, never written': _Row(
        SHIFTING, restored.copied_order('v0', COMPLETED), 'v0', COMPLETED, 11.0
    ),
    'shifting, older order, status of it written': _Row(
        SHIFTING,
        restored.copied_order('v0'),
        'v2',
        SHIFTING,
        4.0,
        restored.BOTH,
        written=(restored.copied_order('v0', SHIFTING, 40),),
    ),
    'shifting, older order, another version ordered': _Row(
        SHIFTING,
        restored.copied_order('v0', COMPLETED),
        'v3',
        SHIFTING,
        3.0,
        recorded=(SHIFTING,),
        written=(restored.written_order('v3'),),
    ),
    'shifting, older order, deleted': _Row(
        SHIFTING,
        restored.copied_order('v0', COMPLETED),
        None,
        None,
        3.0,
        written=(None,),
    ),
    'shifting, order written before the list': _Row(
        SHIFTING,
        restored.copied_order('v3', PLANNED, restored.KNOWN_REVISION + 9),
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
        instance = restored.Instance(row.known_phase)
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

    @pytest.mark.parametrize('listed_after_s', [0.0, 2.0])
    def test_new_version_waits_for_its_order(
        self, listed_after_s: float
    ) -> None:
        """Guards against full traffic to a version whose order is held."""
        instance = restored.Instance(SHIFTING)
        instance.restore(restored.copied_order('v3'))
        instance.run(listed_after_s)
        target = dataclasses.replace(
            move_harness.new_target('newer'), version='v3'
        )
        instance.env.targets.apply(data.TargetChange('newer', target))
        instance.run(9.0 - listed_after_s)
        assert 'v3' not in instance.used_versions()
        instance.run(2.0)
        order = instance.moves.order_of('pool')
        assert order is not None
        assert order.to_version == 'v3'

    def test_evidence_is_kept(self) -> None:
        """Guards against a move in progress that starts over."""
        instance = restored.Instance(SHIFTING)
        instance.run(5.0)
        instance.moves.record_outcome(
            move_harness.new_target('new-a'),
            'book',
            state.OutcomeKind.SUCCESS,
            9.0,
        )
        instance.restore(restored.copied_order('v2'))
        instance.run(1.0)
        (report,) = instance.moves.reports('instance-0')
        assert report.age_ms == pytest.approx(6000, abs=5)
        assert sum(each.row.attempt_count for each in report.counts.rows) == 1

    def test_order_without_phase_in_one_era_is_new(self) -> None:
        """Guards against a repeated order that is taken for a lost phase."""
        instance = restored.Instance(ROLLED_BACK)
        instance.restore(restored.copied_order('v2'))
        instance.run(1.0)
        assert instance.store.phases == [ROLLED_BACK]
        instance.write(restored.written_order('v2'))
        order = instance.moves.order_of('pool')
        assert order is not None
        assert order.phase is PLANNED
        assert instance.used_versions() == set(restored.BOTH)

    def test_phase_of_an_instance_that_does_not_know_the_end(self) -> None:
        """Guards against a lost end that an earlier phase replaces."""
        instance = restored.Instance(COMPLETED)
        instance.restore(restored.copied_order('v2'))
        instance.write(restored.copied_order('v2', SHIFTING, 40))
        instance.run(1.0)
        assert instance.store.phases == [COMPLETED]
        assert instance.used_versions() == {'v2'}

    @pytest.mark.parametrize(
        'copied', (None, restored.copied_order('v0', COMPLETED))
    )
    def test_restored_once_more(self, copied: data.MoveOrder | None) -> None:
        """Guards against an order that is dropped before it can return."""
        instance = restored.Instance(SHIFTING)
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
        instance = restored.Instance(SHIFTING)
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
        instance = restored.Instance(SHIFTING)
        instance.restore(restored.copied_order('v2', SHIFTING))
        instance.handler.replace((), after_outage=True)
        assert instance.moves.order_of('pool') is None

    def test_late_order_of_an_earlier_revision_is_dropped(self) -> None:
        """Guards against a late response that brings a former order back."""
        instance = restored.Instance(SHIFTING)
        former = restored.order_of(
            'v0', SHIFTING, 0, restored.KNOWN_REVISION - 9
        )
        instance.moves.apply(data.MoveChange('pool', former))
        order = instance.moves.order_of('pool')
        assert order is not None
        assert order.to_version == 'v2'

    @pytest.mark.parametrize('is_missing', (True, False))
    def test_delays_by_rank_begin_anew(self, is_missing: bool) -> None:
        """Guards against a write from every instance after a restore."""
        instance = restored.Instance(SHIFTING)
        instance.store.order = instance.moves.order_of('pool')
        # Without evidence this instance rolls the version back itself.
        instance.run(restored.DURATION_S)
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
            instance.write(restored.written_order('v2'))
        else:
            instance.restore(restored.copied_order('v2'))
        instance.run(1.0)
        assert not instance.store.phases
        instance.run(0.5)
        assert instance.store.phases == [ROLLED_BACK]

    def test_lost_phase_is_logged(self) -> None:
        """Guards against a phase that is recorded again without a trace."""
        instance = restored.Instance(COMPLETED)
        instance.restore(restored.copied_order('v2'))
        instance.run(1.0)
        assert instance.env.log.messages('move') == [
            'restored store lacks the move phase; recording it again',
            'move phase recorded again',
        ]

    def test_kept_order_is_logged(self) -> None:
        """Guards against an order that is kept without a trace."""
        instance = restored.Instance(COMPLETED)
        instance.restore(None)
        instance.run(5.0)
        assert instance.env.log.messages('move') == [
            'restored store lacks the order; keeping the known one a while'
        ]
