"""Tests of verdicts, with each mechanism enabled and disabled."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import moves
from skylarktack.coordination.moves.tests import _support


class TestJudging:
    """Guards against rejecting a good version or passing a bad one."""

    @pytest.mark.parametrize('sequential', (True, False))
    def test_failure_common_to_both_versions(self, sequential: bool) -> None:
        """A failure of both versions in one domain must not reject the new
        version; with fixed thresholds it does.
        """
        rows = (
            _support.row('model-1', 'domain-0', 400, failed=400),
            _support.row('model-2', 'domain-0', 20, failed=20),
            _support.row('model-1', 'domain-1', 400),
            _support.row('model-2', 'domain-1', 20),
        )
        judge: moves.Judge = moves.ThresholdJudge()
        if sequential:
            judge = moves.SequentialJudge(state.MoveSettings())
        judged = judge.judge(rows, state.VersionName('model-2'), 1e-4)
        assert judged.bad is not sequential

    @pytest.mark.parametrize(
        ('attempt_count', 'bad'), ((8, False), (60, True))
    )
    def test_failure_in_the_only_domain(
        self, attempt_count: int, bad: bool
    ) -> None:
        """A version that always fails must be rejected, even if the old
        version fails in its only domain; few attempts are not significant.
        """
        rows = (
            _support.row('model-1', 'domain-0', 30, failed=30),
            _support.row('model-1', 'domain-1', 120),
            _support.row(
                'model-2', 'domain-0', attempt_count, failed=attempt_count
            ),
        )
        judge = moves.SequentialJudge(state.MoveSettings())
        judged = judge.judge(rows, state.VersionName('model-2'), 1e-4)
        assert judged.bad is bad
        assert judged.bad or judged.suspect
        assert judged.success_count == 0

    @pytest.mark.parametrize(
        ('failed', 'slow', 'lost_targets', 'works_elsewhere', 'bad'),
        (
            (0, 1.0, (), True, False),
            (1, 1.0, (), True, False),
            (10, 1.0, (), True, True),
            (0, 2.0, (), True, True),
            (0, 1.1, (), True, False),
            (0, 1.0, ('engine-1',), True, False),
            (0, 1.0, ('engine-1',), False, True),
            (0, 1.0, ('engine-1', 'engine-2'), True, True),
        ),
    )
    def test_verdicts(
        self,
        failed: int,
        slow: float,
        lost_targets: tuple[str, ...],
        works_elsewhere: bool,
        bad: bool,
    ) -> None:
        """One failed target alone must not reject a working version."""
        new = dataclasses.replace(
            _support.row('model-2', 'domain-0', 60, failed, slow),
            lost_count=20 if lost_targets else 0,
            lost_targets=tuple(
                state.TargetName(name) for name in lost_targets
            ),
        )
        rows = [_support.row('model-1', 'domain-0', 1000, 1), new]
        if works_elsewhere:
            rows.append(_support.row('model-1', 'domain-1', 1000, 1))
            rows.append(_support.row('model-2', 'domain-1', 60, slow=slow))
        judge = moves.SequentialJudge(state.MoveSettings())
        judged = judge.judge(tuple(rows), state.VersionName('model-2'), 1e-4)
        assert judged.bad is bad

    @pytest.mark.parametrize('is_bounded', (True, False))
    def test_unjudged_share_bounds_a_bad_version(
        self, is_bounded: bool
    ) -> None:
        """A bad version must be stopped within the unjudged share."""
        settings = state.MoveSettings()
        if not is_bounded:
            settings = dataclasses.replace(
                settings, shares=(0.5,), unjudged_share=0.5
            )
        simulation = fakes.MoveSimulation(
            fakes.MoveSimulationShape(settings=settings)
        )
        highest = 0.0
        for _ in range(60):
            simulation.tick()
            _support.serve(simulation, failed=2)
            for instance in simulation.instances.values():
                share = instance.part.table.share('digest')
                highest = max(highest, share)
        record = simulation.record()
        assert record is not None
        assert record.verdict is state.MoveVerdict.BAD
        assert (highest <= 0.05) is is_bounded


class TestSuspicion:
    """Guards against a rising share while few attempts are known."""

    @pytest.mark.parametrize('is_suspicion_enabled', (True, False))
    def test_few_failed_attempts_are_suspect(
        self, is_suspicion_enabled: bool
    ) -> None:
        """Eight failures of eight attempts are not significant at a share of
        one half, but must mark the version as suspect.
        """
        settings = state.MoveSettings()
        if not is_suspicion_enabled:
            settings = dataclasses.replace(settings, suspicion_probability=0.0)
        rows = (
            _support.row('model-1', 'domain-0', 8),
            _support.row('model-2', 'domain-0', 8, failed=8),
        )
        judge = moves.SequentialJudge(settings)
        judged = judge.judge(rows, state.VersionName('model-2'), 1e-4)
        assert not judged.bad
        assert judged.suspect is is_suspicion_enabled
