"""Evidence that one attempt gives about its target."""

from skylarktack import state
from skylarktack.coordination import ports

_OUTCOMES = {
    ports.StreamFaultKind.UNREACHABLE: state.OutcomeKind.CONNECTION_LOST,
    ports.StreamFaultKind.REFUSED: state.OutcomeKind.REFUSED,
    ports.StreamFaultKind.MISSING: state.OutcomeKind.REFUSED,
    ports.StreamFaultKind.CLOSED: state.OutcomeKind.CONNECTION_LOST,
    ports.StreamFaultKind.SILENT: state.OutcomeKind.SILENT,
    ports.StreamFaultKind.MALFORMED: state.OutcomeKind.ERROR,
}


class AttemptEvidence:
    """Collects times and faults of one attempt; owned by its reader."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._first_s: float | None = None
        self._last_s = started_s
        self._fault = state.OutcomeKind.CONNECTION_LOST
        self.token_count = 0

    def note_tokens(self, now_s: float, count: int) -> None:
        """Take in tokens that arrived together."""
        if self._first_s is None:
            self._first_s = now_s
        self._last_s = now_s
        self.token_count += count

    def note_fault(self, kind: ports.StreamFaultKind) -> None:
        """Take in a broken stream."""
        self._fault = _OUTCOMES[kind]

    def note_error(self) -> None:
        """Take in an error event."""
        self._fault = state.OutcomeKind.ERROR

    def note_truncated(self) -> None:
        """Take in an end event that came too early."""
        self._fault = state.OutcomeKind.TRUNCATED

    @property
    def fault(self) -> state.OutcomeKind:
        """The latest fault."""
        return self._fault

    def outcome(
        self,
        request: state.GenerationRequest,
        note: state.AttemptRecord,
        kind: state.OutcomeKind,
        now_s: float,
    ) -> state.TargetOutcome:
        """Return the evidence of the finished attempt."""
        first_ms: float | None = None
        between_ms: float | None = None
        if self._first_s is not None:
            first_ms = (self._first_s - self._started_s) * 1000
            if self.token_count > 1:
                spread_s = self._last_s - self._first_s
                between_ms = spread_s * 1000 / (self.token_count - 1)
        return state.TargetOutcome(
            target=note.target,
            route=request.route.name,
            version=note.version,
            organisation=request.organisation,
            kind=kind,
            first_token_ms=first_ms,
            inter_token_ms=between_ms,
            duration_ms=(now_s - self._started_s) * 1000,
            token_count=self.token_count,
        )
