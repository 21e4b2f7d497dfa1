"""Buckets of claims: fencing, sealing and retention."""

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


class _Buckets:
    """Several writers of one bucket."""

    def __init__(self, **changes: int) -> None:
        self.clock = fakes.ManualClock()
        self.store = fakes.MemoryObjectStore()
        self.parts = once.BucketDependencies(
            settings=dataclasses.replace(
                state.ClaimSettings(),
                **changes,  # type: ignore[arg-type]
            ),
            store=self.store,
            codec=fakes.PickledSegmentCodec(),
            clock=self.clock,
            metrics=fakes.MemoryMetrics(),
        )

    def log(self) -> once.BucketLog:
        return once.BucketLog(0, self.parts)

    def record(
        self, key: str, phase: state.ClaimPhase, claim_id: str = 'id'
    ) -> state.ClaimRecord:
        return _record(key, claim_id, phase, self.clock.wall_s())


class TestClaimRules:
    """Guards against a record that undoes a stronger one."""

    @pytest.mark.parametrize(
        ('present', 'proposed', 'same_claim', 'accepted'),
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
        present: state.ClaimPhase | None,
        proposed: state.ClaimPhase,
        same_claim: bool,
        accepted: bool,
    ) -> None:
        """Each pair of phases has one result."""
        current = None
        if present is not None:
            current = _record('key', 'one', present, 1000.0)
        claim_id = 'one' if same_claim else 'two'
        merged = once.merge(
            current, _record('key', claim_id, proposed, 1001.0)
        )
        assert (merged is not None) is accepted


class TestClaimBucket:
    """Guards against keys lost by sealing, compaction or a slow writer."""

    def test_paused_writer_is_fenced(self) -> None:
        """A writer with an old head claims nothing that others hold."""
        buckets = _Buckets()
        paused, other = buckets.log(), buckets.log()
        paused.commit((buckets.record('first', _PHASE.CLAIMED, 'p'),))
        other.commit((buckets.record('key', _PHASE.CLAIMED, 'other'),))
        found = paused.commit((buckets.record('key', _PHASE.CLAIMED, 'p'),))
        assert found.ok[0] is not None
        assert found.ok[0].claim_id == 'other'

    def test_sealed_keys_are_known(self) -> None:
        """Keys stay claimed across segments and for a new owner."""
        buckets = _Buckets(head_limit_bytes=600)
        log = buckets.log()
        for index in range(30):
            log.commit((buckets.record(f'key-{index}', _PHASE.CLAIMED),))
        for writer in (log, buckets.log()):
            for index in range(30):
                found = writer.commit(
                    (buckets.record(f'key-{index}', _PHASE.CLAIMED, 'two'),)
                )
                assert found.ok[0] is not None
                assert found.ok[0].claim_id == 'id'
        assert len(buckets.store.list('claims/0/').ok) > 3

    def test_retention(self) -> None:
        """Answers go first, then keys; open claims stay."""
        buckets = _Buckets(
            head_limit_bytes=600, answer_retention_s=10, retention_s=100
        )
        log = buckets.log()
        for index in range(20):
            log.commit((buckets.record(f'key-{index}', _PHASE.CLAIMED),))
            log.commit((buckets.record(f'key-{index}', _PHASE.ANSWERED),))
        log.commit((buckets.record('open', _PHASE.CLAIMED),))
        buckets.clock.advance(50)
        while log.compact().ok:
            pass
        log.commit((buckets.record('later', _PHASE.CLAIMED),))
        records = {item.key.key: item for item in buckets.log().records().ok}
        assert len(records) == 22
        for index in range(20):
            assert records[f'key-{index}'].phase is _PHASE.ANSWERED
            assert records[f'key-{index}'].answer is None
        buckets.clock.advance(100)
        while log.compact().ok:
            pass
        log.commit((buckets.record('last', _PHASE.CLAIMED),))
        left = {item.key.key for item in buckets.log().records().ok}
        assert left == {'open', 'later', 'last'}
        assert len(buckets.store.list('claims/0/').ok) <= 2
