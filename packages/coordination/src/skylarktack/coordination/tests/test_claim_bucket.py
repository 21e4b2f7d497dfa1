"""Claim buckets: merge rules, fencing, sealing and retention."""

import dataclasses

import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import once

_PHASE = state.ClaimPhase


def _record(
    key: str, claim_id: str, phase: state.ClaimPhase, changed_s: float
) -> state.ClaimRecord:
    return state.ClaimRecord(
        key=state.ClaimKey(state.OrganisationName('small'), key),
        claim_id=claim_id,
        fingerprint=b'f',
        instance=state.InstanceName('instance-0'),
        phase=phase,
        claimed_s=changed_s,
        changed_s=changed_s,
        answer=state.ServiceResponse(201, (('A', 'b'),), b'x' * 50)
        if phase is _PHASE.ANSWERED
        else None,
    )


class _BucketHarness:
    """Creates the writers of one bucket on a shared store."""

    def __init__(self, **settings_changes: int) -> None:
        self.clock = fakes.ManualClock()
        self.store = fakes.MemoryObjectStore()
        self.dependencies = once.BucketDependencies(
            settings=dataclasses.replace(
                state.ClaimSettings(),
                **settings_changes,  # type: ignore[arg-type]
            ),
            store=self.store,
            codec=fakes.PickledSegmentCodec(),
            clock=self.clock,
            metrics=fakes.MemoryMetrics(),
        )

    def new_log(self) -> once.BucketLog:
        return once.BucketLog(0, self.dependencies)

    def record(
        self, key: str, phase: state.ClaimPhase, claim_id: str = 'id'
    ) -> state.ClaimRecord:
        return _record(key, claim_id, phase, self.clock.wall_s())


class TestClaimRules:
    """Guards against a record that replaces one of higher precedence."""

    @pytest.mark.parametrize(
        ('current_phase', 'proposed', 'same_claim', 'accepted'),
        [
            (None, _PHASE.CLAIMED, True, True),
            (None, _PHASE.ANSWERED, True, False),
            (None, _PHASE.RELEASED, True, True),
            (_PHASE.CLAIMED, _PHASE.CLAIMED, False, False),
            (_PHASE.CLAIMED, _PHASE.ANSWERED, True, True),
            (_PHASE.CLAIMED, _PHASE.ANSWERED, False, False),
            (_PHASE.CLAIMED, _PHASE.RELEASED, False, False),
            (_PHASE.CLAIMED, _PHASE.SETTLED_RAN, True, False),
            (_PHASE.RELEASED, _PHASE.CLAIMED, True, False),
            (_PHASE.RELEASED, _PHASE.CLAIMED, False, True),
            (_PHASE.UNKNOWN, _PHASE.CLAIMED, False, False),
            (_PHASE.UNKNOWN, _PHASE.ANSWERED, True, True),
            (_PHASE.UNKNOWN, _PHASE.SETTLED_NOT_RUN, True, True),
            (_PHASE.ANSWERED, _PHASE.UNKNOWN, True, False),
            (_PHASE.ANSWERED, _PHASE.SETTLED_NOT_RUN, True, False),
            (_PHASE.SETTLED_NOT_RUN, _PHASE.CLAIMED, False, False),
            (_PHASE.SETTLED_RAN, _PHASE.ANSWERED, True, True),
        ],
    )
    def test_merge(
        self,
        current_phase: state.ClaimPhase | None,
        proposed: state.ClaimPhase,
        same_claim: bool,
        accepted: bool,
    ) -> None:
        """Each pair of phases is accepted or rejected as listed."""
        current = None
        if current_phase is not None:
            current = _record('key', 'one', current_phase, 1000.0)
        claim_id = 'one' if same_claim else 'two'
        merged = once.merge(
            current, _record('key', claim_id, proposed, 1001.0)
        )
        assert (merged is not None) is accepted


class TestClaimBucket:
    """Guards against lost keys after sealing, compaction or a pause."""

    def test_paused_writer_is_fenced(self) -> None:
        """A writer with an outdated head cannot claim another's key."""
        harness = _BucketHarness()
        paused, other = harness.new_log(), harness.new_log()
        paused.commit((harness.record('first', _PHASE.CLAIMED, 'p'),))
        other.commit((harness.record('key', _PHASE.CLAIMED, 'other'),))
        result = paused.commit((harness.record('key', _PHASE.CLAIMED, 'p'),))
        assert result.ok[0] is not None
        assert result.ok[0].claim_id == 'other'

    def test_sealed_keys_stay_claimed(self) -> None:
        """Sealed keys stay claimed for the same and for a new owner."""
        harness = _BucketHarness(head_limit_bytes=600)
        log = harness.new_log()
        for index in range(30):
            log.commit((harness.record(f'key-{index}', _PHASE.CLAIMED),))
        for writer in (log, harness.new_log()):
            for index in range(30):
                result = writer.commit(
                    (harness.record(f'key-{index}', _PHASE.CLAIMED, 'two'),)
                )
                assert result.ok[0] is not None
                assert result.ok[0].claim_id == 'id'
        assert len(harness.store.list('claims/0/').ok) > 3

    def test_retention(self) -> None:
        """Responses expire first, then keys; open claims never expire."""
        harness = _BucketHarness(
            head_limit_bytes=600, answer_retention_s=10, retention_s=100
        )
        log = harness.new_log()
        for index in range(20):
            log.commit((harness.record(f'key-{index}', _PHASE.CLAIMED),))
            log.commit((harness.record(f'key-{index}', _PHASE.ANSWERED),))
        log.commit((harness.record('open', _PHASE.CLAIMED),))
        harness.clock.advance(50)
        while log.compact().ok:
            pass
        log.commit((harness.record('later', _PHASE.CLAIMED),))
        records = {
            item.key.key: item for item in harness.new_log().records().ok
        }
        assert len(records) == 22
        for index in range(20):
            assert records[f'key-{index}'].phase is _PHASE.ANSWERED
            assert records[f'key-{index}'].answer is None
        harness.clock.advance(100)
        while log.compact().ok:
            pass
        log.commit((harness.record('last', _PHASE.CLAIMED),))
        left = {item.key.key for item in harness.new_log().records().ok}
        assert left == {'open', 'later', 'last'}
        assert len(harness.store.list('claims/0/').ok) <= 2
