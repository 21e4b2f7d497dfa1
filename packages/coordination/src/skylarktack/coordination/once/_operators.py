"""What operators see of claims without an outcome, and how they settle."""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _table

#: Longest wait for the write of a settlement.
_SETTLE_TIMEOUT_S = 3.0

_LOG = structlog.get_logger(part='once')


@dataclasses.dataclass(frozen=True)
class Settlement:
    """An operator's finding about one call."""

    #: Organisation of the caller.
    organisation: state.OrganisationName

    #: The caller's idempotency key.
    key: str

    #: Identifier of the claim, as listed.
    claim_id: str

    #: Whether the call ran.
    ran: bool

    #: Who found it out.
    operator: str


class UnknownCalls:
    """Lists and settles calls whose outcome is unknown."""

    def __init__(self, claims: _table.ClaimTable, clock: ports.Clock) -> None:
        self._claims = claims
        self._clock = clock

    def list_unresolved(
        self,
    ) -> Result[tuple[state.ClaimRecord, ...], state.StoreFault]:
        """Read all claims without an outcome; costs one read a segment."""
        return self._claims.unresolved()

    def settle(
        self, settlement: Settlement
    ) -> Result[state.ClaimRecord, state.Refusal]:
        """Record the finding; a ``CONFLICT`` if the claim has moved on.

        A key settled as not run stays closed, so that a call that is still
        on its way to a target cannot run next to a second one.
        """
        phase = state.ClaimPhase.SETTLED_NOT_RUN
        if settlement.ran:
            phase = state.ClaimPhase.SETTLED_RAN
        key = state.ClaimKey(settlement.organisation, settlement.key)
        listed = self.list_unresolved()
        if listed.is_error():
            return Error(_unavailable(listed.error))
        for record in listed.ok:
            if record.key == key and record.claim_id == settlement.claim_id:
                return self._write(
                    dataclasses.replace(
                        record,
                        phase=phase,
                        changed_s=self._clock.wall_s(),
                        note=f'settled by {settlement.operator}',
                    )
                )
        return Error(_conflict('The call is not among the unknown ones.'))

    def _write(
        self, proposed: state.ClaimRecord
    ) -> Result[state.ClaimRecord, state.Refusal]:
        written = self._claims.propose(proposed, _SETTLE_TIMEOUT_S, fresh=True)
        if written.is_error():
            return Error(_unavailable(written.error))
        present = written.ok
        if present is None:
            return Error(_conflict('The claim is gone.'))
        if present.phase is not proposed.phase:
            return Error(
                _conflict(f'The call is {present.phase.value} by now.')
            )
        _LOG.info(
            'unknown call settled',
            organisation=proposed.key.organisation,
            key=proposed.key.key,
            phase=proposed.phase.value,
            note=proposed.note,
        )
        return Ok(present)


def _conflict(message: str) -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.CONFLICT, message, state.RunState.UNKNOWN
    )


def _unavailable(fault: state.StoreFault) -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.STORE_UNAVAILABLE,
        f'The finding may not be recorded: {fault.message}',
        state.RunState.UNKNOWN,
        retry_after_ms=1000,
    )
