"""Tests of what instances tell each other about targets."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

TARGET = harness.target('a')


def _make() -> _target_observations.TargetObservations:
    return _target_observations.TargetObservations(fakes.SteppingClock())


class TestExchange:
    """Observations of one instance reach another one."""

    def test_figures_are_merged_by_their_number(self) -> None:
        """Guards against one odd sample that outweighs many."""
        sender = _make()
        receiver = _make()
        for _ in range(9):
            sender.record_unit_time(TARGET, 0.08)
            sender.record_answer(TARGET, is_failure=False)
        receiver.record_unit_time(TARGET, 0.18)
        receiver.receive(sender.take())
        unit_time = receiver.unit_time(TARGET)
        assert unit_time is not None
        assert unit_time.mean_s == pytest.approx(0.09)
        assert receiver.progress(TARGET).answered_count == 9

    def test_nothing_is_reported_twice(self) -> None:
        """Guards against counting the same responses with each report."""
        sender = _make()
        sender.record_answer(TARGET, is_failure=True)
        assert len(sender.take()) == 1
        assert sender.take() == ()

    def test_a_report_is_bounded(self) -> None:
        """Guards against reports that grow with the number of targets."""
        sender = _make()
        for number in range(30):
            sender.record_answer(harness.target(f't{number}'), False)
        sizes = []
        while observations := sender.take():
            sizes.append(len(observations))
        assert sum(sizes) == 30
        assert max(sizes) == _target_observations.MAX_OBSERVATIONS

    def test_the_newest_load_wins(self) -> None:
        """Guards against choosing by a load that another one replaced."""
        receiver = _make()
        receiver.record_load(TARGET, data.TargetLoad(1, 0, 6))
        receiver.receive(
            (
                data.TargetObservation(
                    'a', None, running_count=6, waiting_count=9, load_age_ms=80
                ),
            )
        )
        observed = receiver.load(TARGET)
        assert observed is not None
        assert observed.load.waiting_count == 0


class TestRestart:
    """A target that starts again is another one."""

    def test_a_later_start_has_no_history(self) -> None:
        """Guards against judging a new process by the one before it."""
        observations = _make()
        old = dataclasses.replace(TARGET, started_at_ms=1000)
        new = dataclasses.replace(TARGET, started_at_ms=2000)
        observations.record_unit_time(old, 0.5)
        assert observations.unit_time(new) is None
        observations.record_answer(new, is_failure=False)
        observations.receive((data.TargetObservation('a', 1000, 500_000, 30),))
        assert observations.unit_time(new) is None
