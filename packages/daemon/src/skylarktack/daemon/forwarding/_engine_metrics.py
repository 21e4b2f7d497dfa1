"""Metrics of the choice of engines by predicted times.

The moves of runs are counted among the steps of requests, as ``overdue``.
"""

from collections.abc import Iterator
from typing import Any

from skylarktack.coordination import forwarding


class EngineMetrics:
    """Shows what the predictions of each service are based on."""

    def __init__(self, targets: forwarding.TargetTable) -> None:
        self._engines = targets.engines

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        is_on = core.GaugeMetricFamily(
            'skylarktack_engine_forecast',
            'Whether predicted times decide on engines, by service.',
            labels=['service'],
        )
        prefill = core.GaugeMetricFamily(
            'skylarktack_engine_prefill_token_seconds',
            'Learned time of an undisturbed prefill for each token.',
            labels=['service'],
        )
        unit_time = core.GaugeMetricFamily(
            'skylarktack_engine_event_seconds',
            'Median time between two events of the engines of a service.',
            labels=['service'],
        )
        forecaster = self._engines.forecaster
        for service in sorted(self._engines.switch.services()):
            is_on.add_metric([service], 1)
            token_s = forecaster.prefills.token_s(service)
            if token_s is not None:
                prefill.add_metric([service], token_s)
            median_s = forecaster.paces.median_s(service)
            if median_s is not None:
                unit_time.add_metric([service], median_s)
        yield is_on
        yield prefill
        yield unit_time
