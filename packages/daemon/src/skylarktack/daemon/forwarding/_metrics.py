"""Counters and histograms of requests, served as text.

The library that encodes them is imported at the first question, since its
import costs as much processor time as the rest of the start.
"""

from collections.abc import Iterator
import dataclasses
import threading
from typing import Any

from skylarktack.coordination import forwarding
from skylarktack.daemon.forwarding import _reports
from skylarktack.state import forwarding as data

#: Upper bounds of the histograms, in milliseconds.
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

#: Most series of one metric; further ones share the label below.
SERIES_LIMIT_COUNT = 256

OTHER_LABEL = 'other'

_OK_STATUS = 200


@dataclasses.dataclass(frozen=True)
class SeriesKey:
    """Labels of one series."""

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
    """Counts requests and their durations by organisation and route."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._series: dict[SeriesKey, _Series] = {}
        self._steps: dict[str, int] = {}

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Count one request."""
        outcome, _ = _reports.describe(report.outcome)
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
            series.counts[_bucket_of(report.duration_ms)] += 1
            series.sum_ms += report.duration_ms
            for step in report.steps:
                self._steps[step.step] = self._steps.get(step.step, 0) + 1

    def collect(self) -> Iterator[Any]:
        """Yield the metrics as the library's families."""
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
                    _cumulative(series.counts),
                    series.sum_ms,
                )
            for step, count in self._steps.items():
                steps.add_metric([step], count)
        yield durations
        yield steps


class MetricsHandler:
    """Answers each request on the metrics address with all metrics."""

    def __init__(self, metrics: RequestMetrics) -> None:
        self._metrics = metrics

    @property
    def is_stopping(self) -> bool:
        """Return whether the connection ends after the current answer."""
        return False

    def limits(self) -> data.FrontLimits:
        """Return the limits on callers."""
        return data.FrontLimits()

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Answer with all metrics as text."""
        from prometheus_client import exposition

        content_type = exposition.CONTENT_TYPE_LATEST.encode()
        return data.FrontResponse(
            _OK_STATUS,
            ((b'Content-Type', content_type),),
            exposition.generate_latest(self._metrics),
        )


def _bucket_of(duration_ms: float) -> int:
    for index, bound_ms in enumerate(BUCKET_BOUNDS_MS):
        if duration_ms <= bound_ms:
            return index
    return len(BUCKET_BOUNDS_MS)


def _cumulative(counts: list[int]) -> list[tuple[str, float]]:
    buckets = []
    total = 0
    for index, count in enumerate(counts):
        total += count
        bound = '+Inf'
        if index < len(BUCKET_BOUNDS_MS):
            bound = str(float(BUCKET_BOUNDS_MS[index]))
        buckets.append((bound, float(total)))
    return buckets
