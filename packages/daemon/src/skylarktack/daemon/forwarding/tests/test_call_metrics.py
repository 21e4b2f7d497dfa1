"""Load headers of targets, from the header to the log and the metrics."""

import pytest

from skylarktack import platform
from skylarktack.coordination import fakes
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.daemon.forwarding import _call_metrics
from skylarktack.daemon.forwarding import _metrics
from skylarktack.state import forwarding as data

CODEC = platform.PlatformMessageCodec()


class TestLoadHeaders:
    """A target's figures, good and bad, and what becomes of them."""

    @pytest.mark.parametrize(
        ('value', 'has_load', 'has_defect'),
        (
            (b'2,0,6', True, False),
            (b'2,0,6,100', True, False),
            (b'2,0,6,100,5,x', True, False),
            (b'2,0,6,-100', True, True),
            (b'2,0,6,', True, True),
            (b'2,0', False, True),
            (b'', False, True),
            (b'-2,0,6', False, True),
            (b'2,0,nan', False, True),
            (b'2,' + b'9' * 30 + b',6', False, True),
            (b'2,' + b'9' * 15 + b',6', True, False),
            (b'\xff\n', False, True),
        ),
    )
    def test_bad_figures_are_logged_once_and_calls_go_on(
        self, value: bytes, has_load: bool, has_defect: bool
    ) -> None:
        """Guards against calls that end, or logs that fill, by bad figures."""
        target = harness.target('a')
        env = harness.make_harness(target)
        head = CODEC.decode_response(200, ((b'Replica-Load', value),))
        for _ in range(20):
            env.targets.report_head(target, head)
        lines = env.log.messages('target').count('load header is unusable')
        assert lines == has_defect
        env.clock.advance(10.0)
        env.targets.report_head(target, head)
        lines = env.log.messages('target').count('load header is unusable')
        assert lines == 2 * has_defect
        assert (env.targets.observations.load(target) is not None) == has_load
        assert env.targets.choose_for_call('pool', frozenset()) == target
        assert not env.log.messages('instance')


class TestCallMetrics:
    """Decisions about calls in the Prometheus text format."""

    def test_text(self) -> None:
        """Guards against decisions that no metric tells of."""
        env = harness.make_harness(harness.target('a'))
        head = CODEC.decode_response(200, ((b'Replica-Load', b'x'),))
        env.targets.report_head(harness.target('a'), head)
        response = _metrics.MetricsHandler(
            _call_metrics.CallMetrics(env.targets.calls)
        ).handle(
            harness.request(), fakes.ScriptedCaller(fakes.SteppingClock())
        )
        assert isinstance(response, data.FrontResponse)
        text = response.body.decode()
        series = 'skylarktack_call_decisions_total{decision='
        assert f'{series}"load_unusable"}} 1.0' in text
        assert f'{series}"no_room"}} 0.0' in text
