"""Passes the outcomes of attempts to all that keep account of them."""

from collections.abc import Callable

import structlog

from skylarktack import state
from skylarktack.coordination import ports

_LOG = structlog.get_logger(part='outcomes')


class OutcomeBroadcaster:
    """Counts outcomes by kind and forwards them to several observers.

    Outcomes are recorded on the path of the answer, which must not depend on
    them, so an error is logged and counted instead of raised.
    """

    def __init__(
        self, metrics: ports.Metrics, *observers: ports.OutcomeObserver
    ) -> None:
        self._metrics = metrics
        self._recorders: list[Callable[[state.TargetOutcome], None]] = [
            self._count
        ]
        for observer in observers:
            self._recorders.append(observer.observe)

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Record one outcome."""
        for record in self._recorders:
            try:
                record(outcome)
            except Exception:
                _LOG.exception('outcome not recorded', target=outcome.target)
                self._metrics.count('outcome.unrecorded')

    def _count(self, outcome: state.TargetOutcome) -> None:
        self._metrics.count(f'outcome.{outcome.kind.value}')
        if outcome.first_token_ms is not None:
            self._metrics.duration(
                'first_token', outcome.organisation, outcome.first_token_ms
            )
