"""Lists and settles calls of unknown outcome for operators."""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _table

#: Timeout for writing a settlement.
_SETTLE_TIMEOUT_S = 3.0

_LOG = structlog.get_logger(part='once')


@dataclasses.dataclass(frozen=True)
class Settlement:
    """An operator's decision on whether a call was executed."""

    organisation: state.OrganisationName

    #: The caller's idempotency key.
    key: str

    #: Claim id as listed, so that a later claim is not settled instead.
    claim_id: str

    #: Whether the call was executed, as the operator established.
    ran: bool

    #: Name of the operator, recorded in the claim.
    operator: str


class UnknownCalls:
    """Lists and settles calls whose outcome is unknown."""

    def __init__(self, claims: _table.ClaimTable, clock: ports.Clock) -> None:
        self._claims = claims
        self._clock = clock

    def list_unresolved(
        self,
    ) -> Result[tuple[state.ClaimRecord, ...], state.StoreFault]:
        """Read all unresolved claims; costs one store read per segment."""
        return self._claims.unresolved()

    def settle(
        self, settlement: Settlement
    ) -> Result[state.ClaimRecord, state.Refusal]:
        """Record the settlement.

        Refused with ``CONFLICT`` if the claim is no longer unresolved. A key
        settled as not executed stays closed: a call still in transit to a
        target must not execute in addition to a second one.
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
        return Error(
            _conflict('No unresolved call has this key and claim id.')
        )

    def _write(
        self, proposed: state.ClaimRecord
    ) -> Result[state.ClaimRecord, state.Refusal]:
        written = self._claims.propose(
            proposed, _SETTLE_TIMEOUT_S, force_read=True
        )
        if written.is_error():
            return Error(_unavailable(written.error))
        current = written.ok
        if current is None:
            return Error(_conflict('The claim no longer exists.'))
        if current.phase is not proposed.phase:
            return Error(
                _conflict(f'The call is already {current.phase.value}.')
            )
        _LOG.info(
            'operator settled a call of unknown outcome',
            organisation=proposed.key.organisation,
            key=proposed.key.key,
            phase=proposed.phase.value,
            note=proposed.note,
        )
        return Ok(current)


def _conflict(message: str) -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.CONFLICT, message, state.RunState.UNKNOWN
    )


def _unavailable(fault: state.StoreFault) -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.STORE_UNAVAILABLE,
        f'The settlement may not have been recorded: {fault.message}',
        state.RunState.UNKNOWN,
        retry_after_ms=1000,
    )
