"""Unexpected errors of ``skylarktackd``, in its log and its metrics."""

import dataclasses

import structlog

from skylarktack.coordination import forwarding
from skylarktack.coordination import ports

#: Counter of all unexpected errors.
UNEXPECTED_ERROR = 'instance.unexpected_error'

_LOG = structlog.get_logger()


class _StructuredLog:
    """Writes events as structured log lines."""

    def record(self, event: forwarding.LogEvent) -> None:
        """Write one line."""
        _LOG.error(event.message, part=event.part, **dataclasses.asdict(event))


class CountingErrorRecorder(forwarding.ErrorRecorder):
    """Records errors, and also counts them in the metrics."""

    def __init__(self, clock: ports.Clock, metrics: ports.Metrics) -> None:
        super().__init__(clock, _StructuredLog())
        self._metrics = metrics

    def record(self, place: str, error: Exception) -> None:
        """Count an error, and log it unless its place was logged just now."""
        super().record(place, error)
        self._metrics.count(UNEXPECTED_ERROR)
