"""Records the outcome of one attempt on its target."""

from skylarktack import state
from skylarktack.coordination import ports

_OUTCOMES = {
    ports.StreamFaultKind.UNREACHABLE: state.OutcomeKind.CONNECTION_LOST,
    ports.StreamFaultKind.REFUSED: state.OutcomeKind.REFUSED,
    ports.StreamFaultKind.MISSING: state.OutcomeKind.REFUSED,
    ports.StreamFaultKind.CLOSED: state.OutcomeKind.CONNECTION_LOST,
    ports.StreamFaultKind.UNRESPONSIVE: state.OutcomeKind.UNRESPONSIVE,
    ports.StreamFaultKind.MALFORMED: state.OutcomeKind.ERROR,
}


class OutcomeRecorder:
    """Collects timings and faults of one attempt; used by its reader."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._first_token_s: float | None = None
        self._last_token_s = started_s
        self._fault = state.OutcomeKind.CONNECTION_LOST
        self.token_count = 0

    def record_tokens(self, now_s: float, count: int) -> None:
        """Record tokens that arrived together."""
        if self._first_token_s is None:
            self._first_token_s = now_s
        self._last_token_s = now_s
        self.token_count += count

    def record_fault(self, kind: ports.StreamFaultKind) -> None:
        """Record a fault of the stream."""
        self._fault = _OUTCOMES[kind]

    def record_error_event(self) -> None:
        """Record an error event from the engine."""
        self._fault = state.OutcomeKind.ERROR

    def record_early_end(self) -> None:
        """Record an end event before the response was complete."""
        self._fault = state.OutcomeKind.TRUNCATED

    @property
    def fault(self) -> state.OutcomeKind:
        """The latest fault; a lost connection if none was recorded."""
        return self._fault

    def outcome(
        self,
        request: state.GenerationRequest,
        attempt: state.AttemptRecord,
        kind: state.OutcomeKind,
        now_s: float,
    ) -> state.TargetOutcome:
        """Return the outcome of the finished attempt."""
        time_to_first_ms: float | None = None
        time_per_token_ms: float | None = None
        if self._first_token_s is not None:
            time_to_first_ms = (self._first_token_s - self._started_s) * 1000
            if self.token_count > 1:
                elapsed_s = self._last_token_s - self._first_token_s
                time_per_token_ms = elapsed_s * 1000 / (self.token_count - 1)
        return state.TargetOutcome(
            target=attempt.target,
            route=request.route.name,
            version=attempt.version,
            organisation=request.organisation,
            kind=kind,
            first_token_ms=time_to_first_ms,
            inter_token_ms=time_per_token_ms,
            duration_ms=(now_s - self._started_s) * 1000,
            token_count=self.token_count,
        )
