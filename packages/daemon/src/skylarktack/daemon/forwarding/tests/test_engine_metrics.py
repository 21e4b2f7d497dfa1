"""Tests of the metrics of the choice of engines."""

from skylarktack.coordination import fakes
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.daemon.forwarding import _engine_metrics
from skylarktack.daemon.forwarding import _metrics
from skylarktack.state import forwarding as data


class TestEngineMetrics:
    """What predictions are based on in the Prometheus text format."""

    def test_text(self) -> None:
        """Guards against predictions that no metric tells of."""
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        load = data.TargetLoad(1, 0, 12, slowdown=1.0)
        engines = env.targets.engines
        engines.switch.record_load(harness.target('a'), load)
        engines.record_first_event(harness.target('a'), 1000, 5.0, 5.5)
        env.targets.observations.record_unit_time(harness.target('a'), 0.04)
        env.targets.placement.choose_engines(
            'pool', None, harness.demand(), frozenset()
        )
        response = _metrics.MetricsHandler(
            _engine_metrics.EngineMetrics(env.targets)
        ).handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(response, data.FrontResponse)
        text = response.body.decode()
        for name, value in (
            ('forecast', '1.0'),
            ('prefill_token_seconds', '0.0005'),
            ('event_seconds', '0.04'),
        ):
            series = f'skylarktack_engine_{name}{{service="pool"}} {value}'
            assert series in text
