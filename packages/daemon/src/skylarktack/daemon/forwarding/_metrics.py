"""Request counters and histograms in the Prometheus text format.

prometheus_client is imported on the first scrape, because its import takes
as much CPU time as the rest of the start-up.
"""

from collections.abc import Iterator
import dataclasses
import threading
from typing import Any
from typing import Protocol

from skylarktack.coordination import forwarding
from skylarktack.daemon.forwarding import _reports
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: Upper bounds of the histogram buckets.
BUCKET_BOUNDS_MS = (
    5,
    10,
    25,
    50,
    100,
    250,
    500,
    1000,
    2500,
    5000,
    10000,
    30000,
)

#: Maximum number of series; requests beyond it are counted under
#: OTHER_LABEL, so that memory does not grow with the organisations.
SERIES_LIMIT_COUNT = 256

OTHER_LABEL = 'other'

_OK_STATUS = 200


@dataclasses.dataclass(frozen=True)
class SeriesKey:
    """Label values of one series, in the order of the metric's labels."""

    organisation: str
    route: str
    kind: str
    outcome: str


@dataclasses.dataclass
class _Series:
    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_MS) + 1)
    )
    sum_ms: float = 0.0


class RequestMetrics:
    """Aggregates finished requests by organisation, route and outcome."""

    def __init__(
        self,
        errors: forwarding.ErrorRecorder,
        quarantine: forwarding.PromptQuarantine,
    ) -> None:
        self._errors = errors
        self._quarantine = quarantine
        self._lock = threading.Lock()
        self._series: dict[SeriesKey, _Series] = {}
        self._step_counts: dict[str, int] = {}

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Count one request, its duration and its steps."""
        outcome, _ = _reports.describe_outcome(report.outcome)
        key = SeriesKey(
            report.organisation or '',
            report.route or '',
            report.kind.value if report.kind else '',
            outcome,
        )
        with self._lock:
            series = self._series.get(key)
            if series is None:
                if len(self._series) >= SERIES_LIMIT_COUNT:
                    key = SeriesKey(
                        OTHER_LABEL, OTHER_LABEL, key.kind, outcome
                    )
                series = self._series.setdefault(key, _Series())
            series.counts[_bucket_index(report.duration_ms)] += 1
            series.sum_ms += report.duration_ms
            for step in report.steps:
                self._step_counts[step.step] = (
                    self._step_counts.get(step.step, 0) + 1
                )

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        durations = core.HistogramMetricFamily(
            'skylarktack_request_duration_ms',
            'Time from the whole request to its end.',
            labels=['organisation', 'route', 'kind', 'outcome'],
        )
        steps = core.CounterMetricFamily(
            'skylarktack_request_steps',
            'Decisions about requests, such as sends, faults and silences.',
            labels=['step'],
        )
        with self._lock:
            for key, series in self._series.items():
                durations.add_metric(
                    list(dataclasses.astuple(key)),
                    _cumulative_buckets(series.counts),
                    series.sum_ms,
                )
            for step, count in self._step_counts.items():
                steps.add_metric([step], count)
        unexpected = core.CounterMetricFamily(
            'skylarktack_unexpected_errors',
            'Errors of tasks and requests that no code path expects.',
            labels=['place'],
        )
        for place, count in self._errors.counts().items():
            unexpected.add_metric([place], count)
        quarantined = core.GaugeMetricFamily(
            'skylarktack_quarantined_prompt_parts',
            'Prompt parts whose requests are refused.',
            value=self._quarantine.quarantined_count(),
        )
        yield durations
        yield steps
        yield unexpected
        yield quarantined


class EndCounts(Protocol):
    """Counts why connections of callers have ended."""

    def end_counts(self) -> dict[transport.ConnectionEnd, int]:
        """Return the number of connections that have ended, by cause."""
        ...


class ConnectionMetrics:
    """Counts the connections of callers by the cause of their end."""

    def __init__(self, front: EndCounts) -> None:
        self._front = front

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        ended = core.CounterMetricFamily(
            'skylarktack_connections_ended',
            'Connections of callers that have ended, by cause.',
            labels=['cause'],
        )
        for end, count in self._front.end_counts().items():
            ended.add_metric([end.value], count)
        yield ended


class DroppedLines(Protocol):
    """Counts the lines that the log has dropped."""

    def dropped_count(self) -> int:
        """Return the number of lines since the start."""
        ...


class BoundMetrics:
    """Counts the bounds of the instance that were reached."""

    def __init__(
        self, bounds: forwarding.BoundRecorder, log: DroppedLines
    ) -> None:
        self._bounds = bounds
        self._log = log

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        reached = core.CounterMetricFamily(
            'skylarktack_bounds_reached',
            'Times that a bound of the instance was reached.',
            labels=['bound'],
        )
        for bound, count in self._bounds.counts().items():
            reached.add_metric([bound.value], count)
        yield reached
        yield core.CounterMetricFamily(
            'skylarktack_log_lines_dropped',
            'Log lines that were dropped because the queue was full.',
            value=self._log.dropped_count(),
        )


class AdmissionMetrics:
    """Shows the demand for services, and what was refused for fairness."""

    def __init__(self, admission: forwarding.ServiceAdmission) -> None:
        self._admission = admission

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        refused = core.CounterMetricFamily(
            'skylarktack_over_share_refusals',
            'Requests refused because their organisation was over its share.',
            labels=['service'],
        )
        for service, count in self._admission.refused_counts().items():
            refused.add_metric([service], count)
        demand = core.GaugeMetricFamily(
            'skylarktack_service_demand_per_second',
            'Requests a second for a service at all instances.',
            labels=['service'],
        )
        capacity = core.GaugeMetricFamily(
            'skylarktack_service_capacity_per_second',
            'Requests a second that the targets of a service can serve.',
            labels=['service'],
        )
        for service, view in self._admission.views().items():
            if view.capacity is not None:
                demand.add_metric([service], view.demand_per_s)
                capacity.add_metric([service], view.capacity.per_s)
        yield refused
        yield demand
        yield capacity
        yield core.CounterMetricFamily(
            'skylarktack_peer_demands_dropped',
            'Demands in reports of peers that cannot be right.',
            value=self._admission.demands.dropped_count(),
        )


class ConfigurationState(Protocol):
    """Tells which configuration is active."""

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first."""
        ...

    def is_current(self) -> bool:
        """Return whether the active version is known to be the newest."""
        ...


class StoreMetrics:
    """Shows the era of the store and the configuration read from it."""

    def __init__(
        self, era: forwarding.StoreEra, configuration: ConfigurationState
    ) -> None:
        self._era = era
        self._configuration = configuration

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        yield core.GaugeMetricFamily(
            'skylarktack_store_era',
            'Era of the store, which rises when it is restored from a copy.',
            self._era.reported,
        )
        yield core.GaugeMetricFamily(
            'skylarktack_active_configuration_version',
            'Version of the configuration in force.',
            self._configuration.version,
        )
        yield core.GaugeMetricFamily(
            'skylarktack_is_configuration_current',
            'Whether the configuration in force is known to be the newest.',
            self._configuration.is_current(),
        )


class RampMetrics:
    """Counts the targets that are or were ramped up."""

    def __init__(self, ramps: forwarding.TargetRamps) -> None:
        self._ramps = ramps

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        counts = self._ramps.counts()
        started = core.CounterMetricFamily(
            'skylarktack_target_ramps_started',
            'Slow starts of targets that were new or back, by cause.',
            labels=['cause'],
        )
        for cause, count in counts.started_count_by_cause.items():
            started.add_metric([cause], count)
        yield started
        yield core.GaugeMetricFamily(
            'skylarktack_ramping_targets',
            'Targets that are being ramped up.',
            counts.ramping_count,
        )
        yield core.CounterMetricFamily(
            'skylarktack_target_ramp_choices',
            'Choices that passed over a target that is being ramped up.',
            value=counts.held_back_count,
        )
        yield core.CounterMetricFamily(
            'skylarktack_target_ramp_observations_dropped',
            'Observations of peers with absurd figures of a ramping target.',
            value=counts.dropped_count,
        )


class MetricCollector(Protocol):
    """Collects some of the metrics."""

    def collect(self) -> Iterator[Any]:
        """Yield the metric families."""
        ...


class MetricsHandler:
    """Serves all metrics for any request to the metrics address."""

    def __init__(self, *collectors: MetricCollector) -> None:
        self._collectors = collectors

    def collect(self) -> Iterator[Any]:
        """Yield the metric families of all collectors."""
        for collector in self._collectors:
            yield from collector.collect()

    @property
    def is_stopping(self) -> bool:
        """Return False: scrapes are served until the process exits."""
        return False

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the default limits on scrape requests."""
        return data.FrontLimits()

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Return all metrics as text."""
        from prometheus_client import exposition

        content_type = exposition.CONTENT_TYPE_LATEST.encode()
        return data.FrontResponse(
            _OK_STATUS,
            ((b'Content-Type', content_type),),
            exposition.generate_latest(self),
        )


def _bucket_index(duration_ms: float) -> int:
    for index, bound_ms in enumerate(BUCKET_BOUNDS_MS):
        if duration_ms <= bound_ms:
            return index
    return len(BUCKET_BOUNDS_MS)


def _cumulative_buckets(counts: list[int]) -> list[tuple[str, float]]:
    buckets = []
    total = 0
    for index, count in enumerate(counts):
        total += count
        bound = '+Inf'
        if index < len(BUCKET_BOUNDS_MS):
            bound = str(float(BUCKET_BOUNDS_MS[index]))
        buckets.append((bound, float(total)))
    return buckets
