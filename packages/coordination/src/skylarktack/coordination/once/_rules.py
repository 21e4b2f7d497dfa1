"""Rules by which a proposed record replaces the present one of its key."""

import dataclasses

from skylarktack import state

#: Age from which a claim without an outcome counts as unresolved: longer
#: than any call that still runs under its route's time limit.
UNRESOLVED_AGE_S = 60.0

_SETTLED = (state.ClaimPhase.SETTLED_RAN, state.ClaimPhase.SETTLED_NOT_RUN)


def merge(
    current: state.ClaimRecord | None, proposed: state.ClaimRecord
) -> state.ClaimRecord | None:
    """Return the record that takes the place of the present one, or None.

    The rules are idempotent, so that a proposal whose write lost its answer
    can be weighed again after a read.
    """
    if proposed.phase is state.ClaimPhase.CLAIMED:
        return _merge_claim(current, proposed)
    if current is None:
        # Marks an abandoned claim, whose own write may still arrive.
        if proposed.phase is state.ClaimPhase.RELEASED:
            return proposed
        return None
    if current.claim_id != proposed.claim_id:
        return None
    if proposed.phase in _SETTLED:
        return proposed if is_unresolved(current, proposed.changed_s) else None
    if proposed.phase is state.ClaimPhase.ANSWERED:
        # An observed answer is stronger than an operator's finding.
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


def is_unresolved(record: state.ClaimRecord, now_s: float) -> bool:
    """Return whether an operator may settle the claim."""
    if record.phase is state.ClaimPhase.UNKNOWN:
        return True
    if record.phase is not state.ClaimPhase.CLAIMED:
        return False
    return now_s - record.claimed_s >= UNRESOLVED_AGE_S


def keep(
    record: state.ClaimRecord, settings: state.ClaimSettings, now_s: float
) -> state.ClaimRecord | None:
    """Return what retention leaves of a record; None to forget it.

    Claims without an outcome stay until they are settled.
    """
    age_s = now_s - record.changed_s
    open_phases = (state.ClaimPhase.UNKNOWN, state.ClaimPhase.CLAIMED)
    if age_s > settings.retention_s and record.phase not in open_phases:
        return None
    if record.answer is not None and age_s > settings.answer_retention_s:
        return dataclasses.replace(record, answer=None, targets=())
    return record
