"""Log lines and metrics of finished requests."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import gateway_harness
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.daemon.forwarding import _metrics
from skylarktack.daemon.forwarding import _reports
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

STREAM = data.RequestKind.STREAM
ONCE = data.RequestKind.NON_IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class CauseCase:
    """A failure, and what its log line has to contain."""

    name: str
    kind: data.RequestKind
    script: tuple[fakes.ScriptedEvent, ...] | forwarding.ExchangeFault
    outcome: str
    cause: str
    request: data.FrontRequest = harness.request()


CASES = (
    CauseCase(
        'no route',
        ONCE,
        (),
        'refused',
        'no_route',
        harness.request(path=b'/unknown/'),
    ),
    CauseCase(
        'unknown key',
        ONCE,
        (),
        'refused',
        'unknown_key',
        harness.request(key='x'),
    ),
    CauseCase(
        'no connection', ONCE, harness.REFUSED, 'refused', 'no connection'
    ),
    CauseCase(
        'connection lost',
        ONCE,
        harness.connection_lost_script(),
        'refused',
        'target_failed: reset',
    ),
    CauseCase(
        'target overloaded',
        ONCE,
        harness.answer_script(503, is_not_executed=True),
        'refused',
        'the target refused with 503',
    ),
    CauseCase('time limit', ONCE, (), 'refused', 'time_up'),
    CauseCase(
        'target failure',
        ONCE,
        harness.answer_script(500),
        'target_failure',
        'status 500',
    ),
    CauseCase(
        'unsigned response',
        ONCE,
        harness.answer_script(200, is_signed=False),
        'refused',
        'not signed',
    ),
    CauseCase(
        'stream connection lost',
        STREAM,
        harness.stream_script(1, 3, ending='lost'),
        'broken',
        'reset',
        harness.request(time_limit_ms=25000.0),
    ),
    CauseCase(
        'stream time limit',
        STREAM,
        harness.stream_script(1, 900),
        'broken',
        'time limit',
        harness.request(time_limit_ms=2000.0),
    ),
)


class TestRequestLog:
    """Failures are always logged with a cause; successes are sampled."""

    @pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
    def test_failure_names_its_cause(self, case: CauseCase) -> None:
        """Guards against failures whose log line lacks the cause."""
        test_harness = harness.make_harness(harness.target('only'))
        test_harness.client.script('only', case.script)
        log = fakes.RecordingLog()
        gateway = gateway_harness.make_gateway(
            test_harness, _reports.RequestLog(test_harness.clock, log)
        )
        route = harness.route(case.kind, max_attempts=1, is_resumable=False)
        gateway.holder.replace_if_newer(harness.configuration(4, route))
        gateway.holder.confirm(0.0, 60.0)
        gateway.send(case.request)
        [event] = log.events
        assert isinstance(event, forwarding.RequestFailed)
        assert event.request == 'attempt'
        assert event.configuration == 4
        assert event.outcome == case.outcome
        assert case.cause in event.cause

    def test_cut_request_is_logged_once(self) -> None:
        """Guards against requests that end with the process unrecorded."""
        test_harness = harness.make_harness(harness.target('only'))
        test_harness.client.script('only', harness.stream_script(1, 3))
        log = fakes.RecordingLog()
        gateway = gateway_harness.make_gateway(
            test_harness, _reports.RequestLog(test_harness.clock, log)
        )

        class CallerAtExit(fakes.ScriptedCaller):
            def start_stream(self, head: data.ResponseHead) -> bool:
                gateway.gateway.report_cut_requests()
                return super().start_stream(head)

        test_harness.caller = CallerAtExit(test_harness.clock)
        route = harness.route(STREAM, max_attempts=1)
        gateway.holder.replace_if_newer(harness.configuration(4, route))
        gateway.holder.confirm(0.0, 60.0)
        gateway.send(harness.request(time_limit_ms=25000.0))
        [event] = log.events
        assert isinstance(event, forwarding.RequestFailed)
        assert (event.request, event.outcome) == ('attempt', 'cut')
        assert [step['step'] for step in event.steps] == [
            'send',
            'first_event',
        ]

    def test_served_requests_are_sampled(self) -> None:
        """Guards against log volume that grows with the traffic.

        Failures are exempt from the rate limit.
        """
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        requests = _reports.RequestLog(clock, log)
        for _ in range(100):
            requests.on_request_end(_report(data.FrontResponse(200, (), b'')))
        served_count = len(log.events)
        assert 0 < served_count < 10
        for _ in range(100):
            requests.on_request_end(
                _report(data.Refusal(data.RefusalReason.TIME_UP))
            )
        assert len(log.events) == served_count + 100


class TestLateRequests:
    """A request that misses its latency objective is logged as late."""

    @pytest.mark.parametrize(
        ('script', 'kind', 'is_late'),
        [
            (harness.answer_script(after_s=0.02), ONCE, False),
            (harness.answer_script(after_s=0.2), ONCE, True),
            (harness.stream_script(1, 3), STREAM, False),
            (harness.stream_script(1, 3, start_s=5.0), STREAM, True),
            (harness.stream_script(1, 3, pace_s=0.8), STREAM, True),
        ],
        ids=['call', 'late call', 'stream', 'late start', 'long pause'],
    )
    def test_late_request_is_logged(
        self,
        script: tuple[fakes.ScriptedEvent, ...],
        kind: data.RequestKind,
        is_late: bool,
    ) -> None:
        """Guards against slow requests without a log line."""
        test_harness = harness.make_harness(harness.target('only'))
        test_harness.client.queued_count = 1
        test_harness.client.script('only', script)
        log = fakes.RecordingLog()
        gateway = gateway_harness.make_gateway(
            test_harness, _reports.RequestLog(test_harness.clock, log)
        )
        route = harness.route(kind, max_attempts=1, is_resumable=False)
        gateway.holder.replace_if_newer(harness.configuration(4, route))
        gateway.send(harness.request(time_limit_ms=25000.0))
        late = [
            event
            for event in log.events
            if isinstance(event, forwarding.RequestLate)
        ]
        assert bool(late) == is_late
        for event in log.events:
            assert isinstance(event, forwarding.RequestServed)
            assert event.path == '/a/x'


class TestRequestLimits:
    """Guards against log lines that lack the limits of the request."""

    def test_time_limit_and_resumption(self) -> None:
        """A resumed stream is logged with its time limit and last event."""
        log = fakes.RecordingLog()
        report = _report(forwarding.CallerDisconnected())
        resumed = dataclasses.replace(
            report.request, time_limit_ms=910.0, last_event_id=107
        )
        _reports.RequestLog(fakes.SteppingClock(), log).on_request_end(
            dataclasses.replace(report, request=resumed)
        )
        (event,) = log.events
        assert isinstance(event, forwarding.RequestFailed)
        assert event.time_limit_ms == 910.0
        assert event.after_event == 107


class TestRequestMetrics:
    """Metrics in the Prometheus text format."""

    def test_text(self) -> None:
        """Guards against missing labels or histogram counts."""
        metrics = _metrics.RequestMetrics(
            _errors(), harness.make_harness().quarantine
        )
        metrics.on_request_end(_report(data.FrontResponse(200, (), b'')))
        handler = _metrics.MetricsHandler(metrics)
        response = handler.handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(response, data.FrontResponse)
        text = response.body.decode()
        labels = (
            'kind="idempotent",organisation="organisation",'
            'outcome="answered",route="route"'
        )
        for name in labels.split(','):
            assert name in text
        assert 'skylarktack_request_duration_ms_count' in text

    def test_series_are_bounded(self) -> None:
        """Guards against memory that grows with the organisations.

        Above the limit, requests are counted under "other".
        """
        metrics = _metrics.RequestMetrics(
            _errors(), harness.make_harness().quarantine
        )
        for number in range(1000):
            report = _report(data.FrontResponse(200, (), b''))
            metrics.on_request_end(
                dataclasses.replace(report, organisation=f'o-{number}')
            )
        response = _metrics.MetricsHandler(metrics).handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(response, data.FrontResponse)
        count = response.body.count(b'skylarktack_request_duration_ms_count')
        assert count <= _metrics.SERIES_LIMIT_COUNT + 1
        assert b'organisation="other"' in response.body


class _Front:
    """A listener whose connections have ended."""

    def end_counts(self) -> dict[transport.ConnectionEnd, int]:
        return {
            transport.ConnectionEnd.IDLE: 3,
            transport.ConnectionEnd.REFUSED: 1,
        }


class TestConnectionMetrics:
    """Ends of connections in the Prometheus text format."""

    def test_text(self) -> None:
        """Guards against closed connections that no metric tells of."""
        handler = _metrics.MetricsHandler(_metrics.ConnectionMetrics(_Front()))
        response = handler.handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(response, data.FrontResponse)
        text = response.body.decode()
        assert 'skylarktack_connections_ended_total{cause="idle"} 3.0' in text
        assert 'skylarktack_connections_ended_total{cause="refused"} 1' in text


class _Log(fakes.RecordingLog):
    """A log that has dropped lines."""

    def dropped_count(self) -> int:
        return 7


class TestBoundMetrics:
    """Bounds that were reached in the Prometheus text format."""

    def test_text(self) -> None:
        """Guards against bounds that no metric tells of."""
        log = _Log()
        bounds = forwarding.BoundRecorder(fakes.SteppingClock(), log)
        bounds.record(forwarding.Bound.REQUEST_HEAD)
        response = _metrics.MetricsHandler(
            _metrics.BoundMetrics(bounds, log)
        ).handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(response, data.FrontResponse)
        text = response.body.decode()
        for bound, count in bounds.counts().items():
            series = f'bounds_reached_total{{bound="{bound.value}"}}'
            assert f'skylarktack_{series} {count}.0' in text
        assert 'skylarktack_log_lines_dropped_total 7.0' in text


class _FailingObserver:
    """Fails at each report."""

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        raise ValueError('odd report')


class TestCompositeObserver:
    """Each observer receives each report."""

    def test_observers_do_not_depend_on_each_other(self) -> None:
        """Guards against requests that are missing in the counts."""
        errors = _errors()
        accounts = forwarding.RequestAccounts()
        observer = _reports.CompositeObserver(
            errors, _FailingObserver(), accounts
        )
        observer.on_request_end(_report(data.FrontResponse(200, (), b'')))
        (row,) = accounts.take()
        assert row.sums.request_count == 1
        assert errors.counts() == {'request report': 1}


def _errors() -> forwarding.ErrorRecorder:
    return forwarding.ErrorRecorder(
        fakes.SteppingClock(), fakes.RecordingLog()
    )


def _report(outcome: forwarding.StreamOutcome) -> forwarding.RequestReport:
    return forwarding.RequestReport(
        request=harness.request(),
        route='route',
        kind=data.RequestKind.IDEMPOTENT,
        latency_objective_ms=100.0,
        organisation='organisation',
        configuration_version=1,
        is_configuration_current=True,
        outcome=outcome,
        duration_ms=12.0,
        steps=(),
    )


class TestAdmissionMetrics:
    """The metrics endpoint shows what was refused for fairness."""

    def test_metrics_show_demand_capacity_and_refusals(self) -> None:
        """Guards against refusals for fairness that nobody sees."""
        env = harness.make_harness(harness.target('only'))
        env.fleet.add_peers(harness.listed_peers(1))
        admission = forwarding.ServiceAdmission(
            env.clock,
            env.log,
            env.targets,
            env.fleet,
            forwarding.ErrorRecorder(env.clock, env.log),
            draw=lambda: 0.999,
        )
        env.targets.observations.record_unit_time(harness.target('only'), 0.1)
        admission.demands.receive(
            'peer-0',
            (
                data.ServiceDemand('pool', 'organisation', 1000, 1000),
                data.ServiceDemand('pool', 'other', 10, 1000),
                data.ServiceDemand('pool', 'odd', -1, 1000),
            ),
        )
        work = env.work(harness.route(), harness.request())
        assert admission.check(work) is not None
        response = _metrics.MetricsHandler(
            _metrics.AdmissionMetrics(admission)
        ).handle(harness.request(), env.caller)
        assert isinstance(response, data.FrontResponse)
        text = response.body.decode()
        pool = '{service="pool"}'
        assert f'skylarktack_over_share_refusals_total{pool} 1.0' in text
        assert f'skylarktack_service_demand_per_second{pool} 1010.0' in text
        assert f'skylarktack_service_capacity_per_second{pool} ' in text
        assert 'skylarktack_peer_demands_dropped_total 1.0' in text


class TestStoreMetrics:
    """The metrics endpoint shows what the instance knows of the store."""

    def test_era_and_configuration(self) -> None:
        """Guards against an old configuration that operators cannot see."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        era = forwarding.StoreEra(log)
        era.record(3)
        era.record(4)
        holder = forwarding.ConfigurationHolder(
            clock, log, fakes.ScriptedSuspensions(), 4.0, 0.0
        )
        holder.replace_if_newer(harness.configuration(7))
        holder.confirm(0.0, 4.0)
        handler = _metrics.MetricsHandler(_metrics.StoreMetrics(era, holder))
        response = handler.handle(
            harness.request(), fakes.ScriptedCaller(clock)
        )
        assert isinstance(response, data.FrontResponse)
        lines = response.body.decode().splitlines()
        assert 'skylarktack_store_era 4.0' in lines
        assert 'skylarktack_active_configuration_version 7.0' in lines
        assert 'skylarktack_is_configuration_current 1.0' in lines
        holder.mark_stale()
        response = handler.handle(
            harness.request(), fakes.ScriptedCaller(clock)
        )
        assert isinstance(response, data.FrontResponse)
        assert b'skylarktack_is_configuration_current 0.0' in response.body
