"""Readiness endpoint for the load balancer."""

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data

_READY_STATUS = 200
_NOT_READY_STATUS = 503


class ReadinessHandler:
    """Reports ready once configuration and targets are synchronised."""

    def __init__(
        self,
        gateway: forwarding.Gateway,
        configuration: forwarding.ConfigurationHolder,
        targets: forwarding.TargetTable,
        log: forwarding.EventLog,
    ) -> None:
        self._log = log
        self._was_ready = False
        self._gateway = gateway
        self._configuration = configuration
        self._targets = targets

    @property
    def is_stopping(self) -> bool:
        """Return whether to close the connection after this response."""
        return self._gateway.is_stopping

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the default limits on readiness requests."""
        return data.FrontLimits()

    def is_ready(self) -> bool:
        """Return whether the instance is synchronised and not stopping."""
        return (
            self._configuration.is_synced.is_set()
            and self._targets.is_synced.is_set()
            and not self._gateway.is_stopping
        )

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Return 200 if ready, else 503, and log each change."""
        is_ready = self.is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._log.record(forwarding.ReadinessChanged(is_ready))
        status = _READY_STATUS if is_ready else _NOT_READY_STATUS
        return data.FrontResponse(status, (), b'')
