"""What peers report on moves after the store was restored."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination.forwarding.tests import (
    restored_move_harness as restored,
)
from skylarktack.state import forwarding as data

SHIFTING = state.MovePhase.SHIFTING
COMPLETED = state.MovePhase.COMPLETED
ROLLED_BACK = state.MovePhase.ROLLED_BACK

COPIED = restored.copied_order('v2')


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
        ROLLED_BACK, restored.copied_order('v2'), restored.BOTH, ('v1',)
    ),
    'rolled back, copy shifting': _StartRow(
        ROLLED_BACK,
        restored.copied_order('v2', SHIFTING),
        restored.BOTH,
        ('v1',),
    ),
    'rolled back, missing': _StartRow(
        ROLLED_BACK, None, restored.BOTH, ('v1',)
    ),
    'shifting, missing': _StartRow(SHIFTING, None, restored.BOTH, ('v1',)),
    'shifting, copy planned': _StartRow(
        SHIFTING, restored.copied_order('v2'), restored.BOTH, restored.BOTH
    ),
    'completed, copy planned': _StartRow(
        COMPLETED, restored.copied_order('v2'), restored.BOTH, ('v2',)
    ),
    'completed, missing': _StartRow(
        COMPLETED, None, restored.BOTH, restored.BOTH
    ),
    'completed, copy completed': _StartRow(
        COMPLETED, restored.copied_order('v2', COMPLETED), ('v2',), ('v2',)
    ),
}


class TestInstanceStartedAfterRestore:
    """An instance that reads the copy and learns the rest from its peers."""

    @pytest.mark.parametrize('row', START_ROWS.values(), ids=START_ROWS.keys())
    def test_outcomes(self, row: _StartRow) -> None:
        """Guards against requests to a version that was rolled back."""
        peer = restored.Instance(row.known_phase)
        peer.restore(row.copied)
        started = restored.Instance(None)
        started.restore(row.copied)
        assert started.used_versions() == set(row.used)
        for report in peer.moves.reports('peer'):
            started.moves.apply_report(report)
        assert started.used_versions() == set(row.used_after_report)

    def test_report_on_an_order_that_was_deleted(self) -> None:
        """Guards against a peer without the store that stops a version."""
        instance = restored.Instance(COMPLETED)
        instance.write(None)
        peer = restored.Instance(SHIFTING)
        for report in peer.moves.reports('peer'):
            instance.moves.apply_report(report)
        assert instance.used_versions() == set(restored.BOTH)

    def test_late_stop_of_a_completed_move(self) -> None:
        """Guards against a suspended peer that stops a completed version."""
        instance = restored.Instance(COMPLETED)
        peer = restored.Instance(SHIFTING)
        (report,) = peer.moves.reports('peer')
        instance.moves.apply_report(
            dataclasses.replace(report, stop_reason='failed')
        )
        assert instance.used_versions() == {'v2'}

    def test_recorded_end_is_not_reported(self) -> None:
        """Guards against reports on all moves that have ended."""
        for phase in (COMPLETED, ROLLED_BACK):
            instance = restored.Instance(phase)
            assert not instance.moves.reports('instance-0')
            instance.restore(restored.copied_order('v2'))
            assert instance.moves.reports('instance-0')
            instance.run(1.0)
            assert instance.store.phases == [phase]
            assert not instance.moves.reports('instance-0')


class TestEndRecordedElsewhere:
    """An end that another instance has recorded."""

    @pytest.mark.parametrize('era', (0, 1))
    def test_completion_after_a_stop(self, era: int) -> None:
        """Guards against excluding the only version that has targets."""
        instance = restored.Instance(SHIFTING)
        (report,) = restored.Instance(SHIFTING).moves.reports('peer')
        instance.moves.apply_report(
            dataclasses.replace(report, stop_reason='failed')
        )
        assert instance.used_versions() == {'v1'}
        completed = restored.order_of('v2', COMPLETED, era, 60)
        instance.write(completed)
        assert instance.used_versions() == {'v2'}

    def test_order_after_a_completed_version(self) -> None:
        """Guards against excluding a completed version in the next move."""
        instance = restored.Instance(ROLLED_BACK)
        instance.restore(restored.copied_order('v2', COMPLETED))
        instance.write(restored.written_order('v3'))
        assert instance.used_versions() == set(restored.BOTH)


class TestCanariesAfterStart:
    """An instance that starts waits for its peers before it tries a version.

    The store may have been restored, or not have the end of the move yet.
    """

    @pytest.mark.parametrize('peer_count', (1, 8, 90))
    def test_stopped_version_gets_no_canaries(self, peer_count: int) -> None:
        """Guards against canaries of a version that peers have stopped."""
        peer = restored.Instance(ROLLED_BACK)
        peer.restore(restored.copied_order('v2'))
        started = restored.start_after_restore(peer_count, COPIED)
        interval_s = 1.25 if peer_count > 12 else 0.5
        for _ in range(int(interval_s / restored.STEP_S)):
            assert started.used_versions() == {'v1'}
            started.run(restored.STEP_S)
        for report in peer.moves.reports('peer-0'):
            started.moves.apply_report(report)
        started.run(5.0)
        assert started.used_versions() == {'v1'}

    @pytest.mark.parametrize(
        ('peer_count', 'wait_s'), [(0, 0.0), (1, 1.0), (90, 1.5)]
    )
    def test_wait_is_bounded(self, peer_count: int, wait_s: float) -> None:
        """Guards against a version that is never tried without reports."""
        started = restored.start_after_restore(peer_count, COPIED)
        started.run(wait_s)
        assert started.used_versions() == set(restored.BOTH)

    def test_later_order_does_not_wait(self) -> None:
        """Guards against a wait at the beginning of each move."""
        started = restored.start_after_restore(1, None)
        started.run(5.0)
        started.write(restored.written_order('v2'))
        started.run(restored.STEP_S)
        assert started.used_versions() == set(restored.BOTH)

    def test_version_without_others_does_not_wait(self) -> None:
        """Guards against refusing a request that a canary could serve."""
        started = restored.start_after_restore(1, COPIED)
        for name in ('old-a', 'old-b'):
            started.env.targets.apply(data.TargetChange(name, None))
        assert started.used_versions() == {'v2'}
