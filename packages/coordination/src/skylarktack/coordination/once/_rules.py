"""Rules for replacing the current record of a key by a proposed one."""

import dataclasses

from skylarktack import state

#: Age from which a claim without an outcome counts as unresolved. It
#: exceeds the time limit of any call that is still running.
UNRESOLVED_AGE_S = 60.0

_SETTLED = (state.ClaimPhase.SETTLED_RAN, state.ClaimPhase.SETTLED_NOT_RUN)


def merge(
    current: state.ClaimRecord | None, proposed: state.ClaimRecord
) -> state.ClaimRecord | None:
    """Return the record that replaces the current one, or None to keep it.

    The rules are idempotent, so a proposal can be applied again after a read
    if the response to its write was lost.
    """
    if proposed.phase is state.ClaimPhase.CLAIMED:
        return _merge_claim(current, proposed)
    if current is None:
        # Revokes an abandoned claim whose own write may still arrive.
        if proposed.phase is state.ClaimPhase.RELEASED:
            return proposed
        return None
    if current.claim_id != proposed.claim_id:
        return None
    if proposed.phase in _SETTLED:
        return proposed if is_unresolved(current, proposed.changed_s) else None
    if proposed.phase is state.ClaimPhase.ANSWERED:
        # An observed response overrides an operator's settlement.
        if current.phase is state.ClaimPhase.ANSWERED:
            return None
        return proposed
    if current.phase is state.ClaimPhase.CLAIMED:
        return proposed
    if (
        current.phase is state.ClaimPhase.UNKNOWN
        and proposed.phase is state.ClaimPhase.RELEASED
    ):
        return proposed
    return None


def _merge_claim(
    current: state.ClaimRecord | None, proposed: state.ClaimRecord
) -> state.ClaimRecord | None:
    if current is None:
        return proposed
    if current.claim_id == proposed.claim_id:
        if current.phase is not state.ClaimPhase.CLAIMED:
            return None
        if len(proposed.targets) > len(current.targets):
            return proposed
        return None
    if current.phase is state.ClaimPhase.RELEASED:
        return proposed
    return None


def merge_lost(
    current: state.ClaimRecord | None, known: state.ClaimRecord
) -> state.ClaimRecord | None:
    """Return what to write of a record that a restored store may lack.

    None if the store has it or a later one. If another claim holds the key by
    now, that one stays.
    """
    if current is None:
        return known
    if current.claim_id == known.claim_id:
        return merge(current, known)
    if current.phase is not state.ClaimPhase.RELEASED:
        return None
    # The key may have run under the known claim.
    return None if known.phase is state.ClaimPhase.RELEASED else known


def is_unresolved(record: state.ClaimRecord, now_s: float) -> bool:
    """Return whether an operator may settle the claim."""
    if record.phase is state.ClaimPhase.UNKNOWN:
        return True
    if record.phase is not state.ClaimPhase.CLAIMED:
        return False
    return now_s - record.claimed_s >= UNRESOLVED_AGE_S


def apply_retention(
    record: state.ClaimRecord, settings: state.ClaimSettings, now_s: float
) -> state.ClaimRecord | None:
    """Return what retention leaves of a record, or None to drop it.

    Claims without an outcome do not expire; they stay until settled.
    """
    age_s = now_s - record.changed_s
    open_phases = (state.ClaimPhase.UNKNOWN, state.ClaimPhase.CLAIMED)
    if age_s > settings.retention_s and record.phase not in open_phases:
        return None
    if record.answer is not None and age_s > settings.answer_retention_s:
        return dataclasses.replace(record, answer=None, targets=())
    return record
