"""Outcomes of attempts, and observers of them that fail."""

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.daemon import _outcomes


class _RecordingObserver:
    """Keeps all outcomes."""

    def __init__(self) -> None:
        self.outcomes: list[state.TargetOutcome] = []

    def observe(self, outcome: state.TargetOutcome) -> None:
        self.outcomes.append(outcome)


class _FailingObserver:
    """Fails at each outcome."""

    def observe(self, outcome: state.TargetOutcome) -> None:
        raise ValueError('odd outcome')


class _FailingMetrics(fakes.MemoryMetrics):
    """Fails at each duration."""

    def duration(self, name: str, label: str, value_ms: float) -> None:
        raise ValueError('odd duration')


def _outcome() -> state.TargetOutcome:
    return state.TargetOutcome(
        target=state.TargetName('engine-0'),
        route=state.RouteName('route'),
        version=state.VersionName('v1'),
        organisation=state.OrganisationName('organisation'),
        kind=state.OutcomeKind.SUCCESS,
        first_token_ms=20.0,
        inter_token_ms=None,
        duration_ms=30.0,
    )


class TestOutcomeBroadcaster:
    """An error in an account of an outcome leaves its answer alone."""

    def test_failing_observer_does_not_raise(self) -> None:
        """Guards against an answer that is lost while it is counted."""
        metrics = fakes.MemoryMetrics()
        observer = _RecordingObserver()
        _outcomes.OutcomeBroadcaster(
            metrics, _FailingObserver(), observer
        ).observe(_outcome())
        assert observer.outcomes == [_outcome()]
        assert metrics.counts['outcome.unrecorded'] == 1

    def test_failing_metrics_do_not_raise(self) -> None:
        """Guards against an answer that is lost for a histogram."""
        observer = _RecordingObserver()
        _outcomes.OutcomeBroadcaster(_FailingMetrics(), observer).observe(
            _outcome()
        )
        assert observer.outcomes == [_outcome()]
