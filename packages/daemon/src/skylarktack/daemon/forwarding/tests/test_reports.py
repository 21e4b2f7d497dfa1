"""Lines and metrics of requests that have ended."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.daemon.forwarding import _metrics
from skylarktack.daemon.forwarding import _reports
from skylarktack.state import forwarding as data

STREAM = data.RequestKind.STREAM
ONCE = data.RequestKind.NON_IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class CauseCase:
    """What goes wrong, and the words that the line has to hold."""

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
        'lost',
        ONCE,
        harness.connection_lost_script(),
        'refused',
        'target_failed: reset',
    ),
    CauseCase(
        'full',
        ONCE,
        harness.answer_script(503, is_not_run=True),
        'refused',
        'the target refused with 503',
    ),
    CauseCase('time', ONCE, (), 'refused', 'time_up'),
    CauseCase(
        'own failure',
        ONCE,
        harness.answer_script(500),
        'target_failure',
        'status 500',
    ),
    CauseCase(
        'unsigned',
        ONCE,
        harness.answer_script(200, is_signed=False),
        'refused',
        'not signed',
    ),
    CauseCase(
        'stream lost',
        STREAM,
        harness.stream_script(1, 3, ending='lost'),
        'broken',
        'reset',
        harness.request(time_limit_ms=25000.0),
    ),
    CauseCase(
        'stream cut by the time',
        STREAM,
        harness.stream_script(1, 900),
        'broken',
        'time limit',
        harness.request(time_limit_ms=2000.0),
    ),
)


class TestRequestLog:
    """Each failure leaves a line that names its cause."""

    @pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
    def test_names_the_cause(self, case: CauseCase) -> None:
        """Guards against failures that on-call engineers cannot explain."""
        desk = harness.make_harness(harness.target('only'))
        desk.client.script('only', case.script)
        log = fakes.RecordingLog()
        front = harness.make_gateway(
            desk, _reports.RequestLog(desk.clock, log)
        )
        route = harness.route(case.kind, max_attempts=1, is_resumable=False)
        front.holder.replace_if_newer(harness.configuration(4, route))
        front.holder.confirm(60.0)
        front.send(case.request)
        [event] = log.events
        assert isinstance(event, forwarding.RequestFailed)
        assert event.request == 'attempt'
        assert event.configuration == 4
        assert event.outcome == case.outcome
        assert case.cause in event.cause

    def test_served_requests_are_sampled(self) -> None:
        """Guards against a log that grows with the traffic."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        requests = _reports.RequestLog(clock, log)
        for _ in range(100):
            requests.on_request_end(_report(data.FrontResponse(200, (), b'')))
        served = len(log.events)
        assert 0 < served < 10
        for _ in range(100):
            requests.on_request_end(
                _report(data.Refusal(data.RefusalReason.TIME_UP))
            )
        assert len(log.events) == served + 100


class TestLateRequests:
    """A late answer leaves a line although it was served."""

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
    def test_is_written(
        self,
        script: tuple[fakes.ScriptedEvent, ...],
        kind: data.RequestKind,
        is_late: bool,
    ) -> None:
        """Guards against slow lookups that no line explains."""
        desk = harness.make_harness(harness.target('only'))
        desk.client.queued_count = 1
        desk.client.script('only', script)
        log = fakes.RecordingLog()
        front = harness.make_gateway(
            desk, _reports.RequestLog(desk.clock, log)
        )
        route = harness.route(kind, max_attempts=1, is_resumable=False)
        front.holder.replace_if_newer(harness.configuration(4, route))
        front.send(harness.request(time_limit_ms=25000.0))
        late = [
            event
            for event in log.events
            if isinstance(event, forwarding.RequestLate)
        ]
        assert bool(late) == is_late
        for event in log.events:
            assert isinstance(event, forwarding.RequestServed)
            assert event.path == '/a/x'


class TestLimits:
    """Guards against a failure that its line cannot explain."""

    def test_time_limit_and_resumption(self) -> None:
        """A caller that came back with little time left is told apart."""
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
    """Counters and histograms as text."""

    def test_text(self) -> None:
        """Guards against metrics that no collector can read."""
        metrics = _metrics.RequestMetrics()
        metrics.on_request_end(_report(data.FrontResponse(200, (), b'')))
        handler = _metrics.MetricsHandler(metrics)
        answer = handler.handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(answer, data.FrontResponse)
        text = answer.body.decode()
        labels = (
            'kind="idempotent",organisation="organisation",'
            'outcome="answered",route="route"'
        )
        for name in labels.split(','):
            assert name in text
        assert 'skylarktack_request_duration_ms_count' in text

    def test_series_are_bounded(self) -> None:
        """Guards against memory that grows with the organisations."""
        metrics = _metrics.RequestMetrics()
        for number in range(1000):
            report = _report(data.FrontResponse(200, (), b''))
            metrics.on_request_end(
                dataclasses.replace(report, organisation=f'o-{number}')
            )
        text = _metrics.MetricsHandler(metrics).handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(text, data.FrontResponse)
        count = text.body.count(b'skylarktack_request_duration_ms_count')
        assert count <= _metrics.SERIES_LIMIT_COUNT + 1
        assert b'organisation="other"' in text.body


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
