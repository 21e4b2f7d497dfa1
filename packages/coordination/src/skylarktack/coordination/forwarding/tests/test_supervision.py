"""Tests of background tasks that fail, and of unexpected errors."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


class _FailingTask:
    """Fails a number of times, then returns."""

    def __init__(self, clock: fakes.SteppingClock, failure_count: int) -> None:
        self._clock = clock
        self._failures_left = failure_count
        self.started_at_s: list[float] = []

    def run(self) -> None:
        self.started_at_s.append(self._clock.monotonic_s())
        if self._failures_left:
            self._failures_left -= 1
            raise ValueError('odd entry')


class TestSupervisor:
    """A task that fails is started again."""

    def test_failed_task_starts_again(self) -> None:
        """Guards against a task that ends without a word."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        errors = forwarding.ErrorRecorder(clock, log)
        task = _FailingTask(clock, 3)
        forwarding.Supervisor(clock, errors).run('target watcher', task.run)
        assert len(task.started_at_s) == 4
        assert errors.counts() == {'target watcher': 3}
        first = log.events[0]
        assert isinstance(first, forwarding.UnexpectedError)
        assert first.cause == 'ValueError: odd entry'
        assert 'in run' in first.traceback

    def test_delay_between_starts_grows(self) -> None:
        """Guards against a failing task that takes the whole processor."""
        clock = fakes.SteppingClock()
        errors = forwarding.ErrorRecorder(clock, fakes.RecordingLog())
        task = _FailingTask(clock, 12)
        forwarding.Supervisor(clock, errors).run('task', task.run)
        pauses_s = [
            round(later - earlier, 3)
            for earlier, later in zip(
                task.started_at_s, task.started_at_s[1:], strict=False
            )
        ]
        assert pauses_s[:3] == [0.1, 0.2, 0.4]
        assert pauses_s[-1] == 5.0

    def test_log_lines_are_limited(self) -> None:
        """Guards against a log that errors of each request fill."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        errors = forwarding.ErrorRecorder(clock, log)
        for _ in range(50):
            errors.record('request', ValueError('x'))
        clock.advance(1.5)
        errors.record('request', ValueError('x'))
        counts = []
        for event in log.events:
            assert isinstance(event, forwarding.UnexpectedError)
            counts.append(event.count)
        assert counts == [1, 51]


class TestRequestErrors:
    """An unexpected error ends one request, not the instance."""

    def test_caller_receives_an_answer(self) -> None:
        """Guards against a connection that closes without an answer."""
        env = harness.make_harness(harness.target('a'))
        reports: list[forwarding.RequestReport] = []

        class Observer:
            def on_request_end(self, report: forwarding.RequestReport) -> None:
                reports.append(report)

        gateway = harness.make_gateway(env, Observer())
        gateway.holder.replace_if_newer(harness.configuration())
        env.client.script('a', harness.answer_script()[1:])
        outcome = gateway.send(harness.request())
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.INTERNAL_ERROR
        assert reports[0].outcome is outcome
        assert 'unexpected error' in env.log.messages('instance')
        assert gateway.gateway.active_count() == 0
