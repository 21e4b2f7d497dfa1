"""Counters of the choice of targets for calls, for Prometheus."""

from collections.abc import Iterator
from typing import Any
from typing import Protocol


class DecisionCounts(Protocol):
    """Counts decisions about the targets of calls."""

    def counts(self) -> dict[str, int]:
        """Return the number of decisions since the start, by name."""
        ...


class CallMetrics:
    """Counts calls without room, trials, hangs and unusable loads."""

    def __init__(self, decisions: DecisionCounts) -> None:
        self._decisions = decisions

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; prometheus_client calls this."""
        from prometheus_client import core

        family = core.CounterMetricFamily(
            'skylarktack_call_decisions',
            'Decisions about the targets of calls, by name.',
            labels=['decision'],
        )
        for decision, count in self._decisions.counts().items():
            family.add_metric([decision], count)
        yield family
