"""Tests of background tasks that fail, and of unexpected errors."""

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import gateway_harness
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

        gateway = gateway_harness.make_gateway(env, Observer())
        gateway.holder.replace_if_newer(harness.configuration())
        env.client.script('a', harness.answer_script()[1:])
        outcome = gateway.send(harness.request())
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.INTERNAL_ERROR
        assert reports[0].outcome is outcome
        assert 'unexpected error' in env.log.messages('instance')
        assert gateway.gateway.active_count() == 0

    def test_failed_admission_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a request that counts as active for good."""
        env = harness.make_harness(harness.target('only'))
        gateway_env = gateway_harness.make_gateway(env, _FailingObserver())
        gateway_env.holder.replace_if_newer(harness.configuration())
        monkeypatch.setattr(gateway_env.holder.table, 'find_route', _fail)
        outcome = gateway_env.send(harness.request())
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.INTERNAL_ERROR_NOT_RUN
        assert gateway_env.gateway.active_count() == 0

    @pytest.mark.parametrize('kind', data.RequestKind)
    @pytest.mark.parametrize('is_first_choice', (True, False))
    def test_failed_choice_of_a_target(
        self,
        monkeypatch: pytest.MonkeyPatch,
        kind: data.RequestKind,
        is_first_choice: bool,
    ) -> None:
        """Guards against a failure of a request that can safely be retried.

        After the first send a target may have run the request.
        """
        env = harness.make_harness(harness.target('only'))
        gateway_env = gateway_harness.make_gateway(env, _FailingObserver())
        gateway_env.holder.replace_if_newer(
            harness.configuration(1, harness.route(kind))
        )
        if is_first_choice:
            monkeypatch.setattr(env.targets, 'choose_for_call', _fail)
            monkeypatch.setattr(env.targets.placement, 'choose_engines', _fail)
        monkeypatch.setattr(env.client, 'wait', _fail)
        outcome = gateway_env.send(harness.request())
        assert isinstance(outcome, data.Refusal)
        expected = data.RefusalReason.INTERNAL_ERROR
        if is_first_choice:
            expected = data.RefusalReason.INTERNAL_ERROR_NOT_RUN
            assert outcome.retry_after_s is not None
        assert outcome.reason is expected


class _FailingObserver:
    """Fails at each report."""

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        raise ValueError('odd report')


def _fail(*arguments: object, **options: object) -> None:
    raise ValueError('odd value')


class TestAccountingErrors:
    """An error in an account of a request leaves its answer alone."""

    @pytest.mark.parametrize(
        'method',
        ['record_send', 'record_outcome'],
    )
    @pytest.mark.parametrize('status', [200, 500])
    def test_call_keeps_its_answer(
        self, monkeypatch: pytest.MonkeyPatch, method: str, status: int
    ) -> None:
        """Guards against a 502 in place of an answer of the target."""
        env = harness.make_harness(harness.target('only'))
        monkeypatch.setattr(env.moves, method, _fail)
        env.client.script('only', harness.answer_script(status))
        outcome = env.call(harness.route(data.RequestKind.NON_IDEMPOTENT))
        assert isinstance(outcome, data.FrontResponse)
        assert outcome.status == status
        places = [
            event.place
            for event in env.log.events
            if isinstance(event, forwarding.UnexpectedError)
        ]
        assert set(places) == {'target accounting'}

    def test_hedged_call_keeps_its_answer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an answer that is lost with the slower attempt."""
        env = harness.make_harness(
            harness.target('hangs'), harness.target('good', 'domain-b')
        )
        monkeypatch.setattr(env.moves, 'record_abandoned', _fail)
        env.client.script('good', harness.answer_script(200))
        assert isinstance(env.call(), data.FrontResponse)
        assert env.client.exchanges[0].is_closed
        assert any(
            isinstance(event, forwarding.UnexpectedError)
            for event in env.log.events
        )

    @pytest.mark.parametrize(
        ('part', 'method'),
        [
            ('moves', 'record_send'),
            ('moves', 'record_outcome'),
            ('fleet', 'record_run'),
            ('fleet', 'record_run_end'),
            ('quarantine', 'record_output'),
        ],
    )
    def test_stream_is_whole(
        self, monkeypatch: pytest.MonkeyPatch, part: str, method: str
    ) -> None:
        """Guards against a stream that is cut between two sound events."""
        env = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        monkeypatch.setattr(getattr(env, part), method, _fail)
        env.client.script('first', harness.stream_script(1, 9))
        env.client.script('second', harness.stream_script(1, 9))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 9)
        assert len(env.client.sent) == 1

    @pytest.mark.parametrize(
        ('part', 'method'),
        [
            ('moves', 'record_outcome'),
            ('client', 'refuses_connections'),
            ('quarantine', 'record_loss'),
        ],
    )
    def test_stream_goes_on_after_a_lost_engine(
        self, monkeypatch: pytest.MonkeyPatch, part: str, method: str
    ) -> None:
        """Guards against a failover that ends with its account."""
        env = harness.make_harness(
            harness.target('first'), harness.target('second', 'domain-b')
        )
        monkeypatch.setattr(getattr(env, part), method, _fail)
        env.fleet.record_run(
            data.RunStatus('run', 'run', 'second', None, is_prefilling=True)
        )
        script = harness.stream_script(1, 5, ending='lost')
        env.client.script('first', script)
        env.client.script('second', harness.stream_script(6, 9))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 9)

    def test_answer_does_not_depend_on_its_report(self) -> None:
        """Guards against a connection that ends because of a log line."""
        env = harness.make_harness(harness.target('only'))
        gateway_env = gateway_harness.make_gateway(env, _FailingObserver())
        gateway_env.holder.replace_if_newer(harness.configuration())
        env.client.script('only', harness.answer_script(200))
        outcome = gateway_env.send(harness.request())
        assert isinstance(outcome, data.FrontResponse)

    def test_target_of_a_call_stays_busy(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a busy target that is taken for an idle one."""
        busy = harness.target('a')
        env = harness.make_harness(busy, harness.target('b', 'domain-b'))
        for _ in range(3):
            env.targets.begin_request(busy)
        monkeypatch.setattr(env.moves, 'record_send', _fail)
        for _ in range(3):
            env.targets.begin_request(busy)
            env.targets.end_request(busy)
        chosen = env.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'b'

    def test_stream_survives_the_report_of_a_probe(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a stream that is cut because its engine leaves."""
        env = harness.make_harness(harness.target('only'))
        monkeypatch.setattr(env.fleet, 'record_leaving_target', _fail)
        env.client.reports['only'] = data.TargetReport(1, is_leaving=True)
        env.client.script('only', harness.stream_script(1, 9, start_s=2.0))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.probed == ['only']

    def test_stream_starts_without_a_prompt_search(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a refusal because no cached prompt was found."""
        env = harness.make_harness(harness.target('only'), is_warmed_up=False)
        monkeypatch.setattr(env.client, 'cached_parts', _fail)
        env.client.script('only', harness.stream_script(5, 9))
        resumed = harness.request(last_event_id=4, time_limit_ms=25000.0)
        outcome = env.stream(of_request=resumed)
        assert isinstance(outcome, forwarding.StreamCompleted)
