"""Claim buckets after their store came back from a copy."""

from collections.abc import Callable
import dataclasses
import threading

from expression import Result
import pytest

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import once

_PHASE = state.ClaimPhase


class _InterruptedStore(fakes.MemoryObjectStore):
    """Calls back before one write or removal of an object."""

    def __init__(self) -> None:
        super().__init__()
        self.before_put: dict[str, Callable[[], None]] = {}
        self.before_delete: Callable[[], None] | None = None

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object, after the call-back if its key has one."""
        interrupt = self.before_put.pop(key, None)
        if interrupt is not None:
            interrupt()
        return super().put(key, value, expected_version)

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Remove one object, after the call-back if there is one."""
        interrupt, self.before_delete = self.before_delete, None
        if interrupt is not None:
            interrupt()
        return super().delete(key, expected_version)


class _Bucket:
    """Creates the logs of one bucket, one for each instance."""

    def __init__(self, **settings_changes: int) -> None:
        self.clock = fakes.ManualClock()
        self.store = _InterruptedStore()
        self._settings = dataclasses.replace(
            state.ClaimSettings(),
            **settings_changes,  # type: ignore[arg-type]
        )
        self._codec = fakes.PickledSegmentCodec()

    def new_link(self) -> fakes.StoreLink:
        """Return the connection of another instance."""
        return fakes.StoreLink(self.store, self.clock)

    def new_log(self, link: fakes.StoreLink | None = None) -> once.BucketLog:
        """Return the log of another instance."""
        return once.BucketLog(
            0,
            once.BucketDependencies(
                settings=self._settings,
                store=link or self.new_link(),
                codec=self._codec,
                clock=self.clock,
                metrics=fakes.MemoryMetrics(),
            ),
        )

    def record(
        self, key: str, claim_id: str, phase: state.ClaimPhase = _PHASE.CLAIMED
    ) -> state.ClaimRecord:
        """Return a record of a key."""
        now_s = self.clock.wall_s()
        return state.ClaimRecord(
            key=state.ClaimKey(state.OrganisationName('small'), key),
            claim_id=claim_id,
            fingerprint=b'f',
            instance=state.InstanceName('instance-0'),
            phase=phase,
            claimed_s=now_s,
            changed_s=now_s,
        )

    def claim(self, log: once.BucketLog, key: str, claim_id: str) -> str:
        """Propose a claim and return the claim that holds the key."""
        committed = log.commit((self.record(key, claim_id),))
        assert committed.ok[0] is not None
        return committed.ok[0].claim_id

    def stored(self) -> dict[str, state.ClaimRecord]:
        """Return the records as another instance reads them, by key."""
        records = self.new_log().records()
        return {record.key.key: record for record in records.ok}


class TestRestoredBucket:
    """Guards against a second run of a key that a restored store forgot."""

    def test_lost_claim_is_known_to_its_writer(self) -> None:
        """Guards against a key that is claimed again after a restore."""
        bucket = _Bucket()
        owner = bucket.new_log()
        assert bucket.claim(owner, 'kept', 'one') == 'one'
        bucket.store.take_copy()
        assert bucket.claim(owner, 'lost', 'one') == 'one'
        bucket.store.restore()
        assert bucket.claim(owner, 'lost', 'two') == 'one'
        assert owner.commit((), force_read=True).is_ok()
        assert bucket.stored()['lost'].claim_id == 'one'
        assert bucket.claim(bucket.new_log(), 'lost', 'two') == 'one'

    def test_restore_noticed_by_another_task(self) -> None:
        """Guards against a cached bucket of an era that has ended."""
        bucket = _Bucket()
        link = bucket.new_link()
        owner, other = bucket.new_log(link), bucket.new_log()
        bucket.store.take_copy()
        bucket.claim(owner, 'lost', 'one')
        bucket.store.restore()
        assert link.get('any').is_error()
        assert owner.commit(()).is_ok()
        assert bucket.claim(other, 'lost', 'two') == 'one'

    def test_lost_records_are_written_before_new_ones(self) -> None:
        """Guards against new claims in a bucket that lacks the known ones."""
        bucket = _Bucket()
        owner = bucket.new_log()
        bucket.claim(owner, 'answered', 'one')
        bucket.claim(owner, 'released', 'one')
        bucket.store.take_copy()
        owner.commit((bucket.record('answered', 'one', _PHASE.ANSWERED),))
        owner.commit((bucket.record('released', 'one', _PHASE.RELEASED),))
        bucket.claim(owner, 'released', 'two')
        bucket.claim(owner, 'lost', 'one')
        bucket.store.restore()
        assert bucket.claim(owner, 'new', 'one') == 'one'
        records = bucket.stored()
        assert records['answered'].phase is _PHASE.ANSWERED
        assert records['released'].claim_id == 'one'
        assert records['released'].phase is _PHASE.CLAIMED
        assert set(records) == {'answered', 'released', 'lost', 'new'}

    def test_claims_of_a_writer_that_noticed_later(self) -> None:
        """Guards against a write on a version that was given out again."""
        bucket = _Bucket()
        paused, other = bucket.new_log(), bucket.new_log()
        bucket.claim(paused, 'kept', 'one')
        bucket.store.take_copy()
        bucket.claim(paused, 'lost', 'one')
        bucket.store.restore()
        assert bucket.claim(other, 'later', 'other') == 'other'
        assert bucket.claim(paused, 'new', 'one') == 'one'
        assert bucket.claim(other, 'later', 'two') == 'other'
        assert bucket.claim(other, 'lost', 'two') == 'one'
        assert set(bucket.stored()) == {'kept', 'lost', 'later', 'new'}

    def test_two_restores(self) -> None:
        """Guards against records that only the first restore brings back."""
        bucket = _Bucket()
        owner = bucket.new_log()
        bucket.store.take_copy()
        bucket.claim(owner, 'lost', 'one')
        for _ in range(2):
            bucket.store.restore()
            assert bucket.claim(owner, 'lost', 'two') == 'one'

    @pytest.mark.parametrize('is_refused', [False, True])
    def test_lost_records_after_a_failed_write(self, is_refused: bool) -> None:
        """Guards against older records of the copy that pass for known."""
        bucket = _Bucket()
        owner, other = bucket.new_log(), bucket.new_log()
        bucket.claim(owner, 'answered', 'one')
        owner.commit((bucket.record('released', 'zero', _PHASE.RELEASED),))
        bucket.store.take_copy()
        owner.commit((bucket.record('answered', 'one', _PHASE.ANSWERED),))
        bucket.claim(owner, 'released', 'one')
        bucket.store.restore()

        def _interrupt() -> None:
            if is_refused:
                bucket.store.set_faults(fakes.StoreFaults(down=True))
                return
            bucket.claim(other, 'later', 'other')

        bucket.store.before_put['claims/0/head'] = _interrupt
        assert owner.commit((), force_read=True).is_error() is is_refused
        bucket.store.set_faults(fakes.StoreFaults())
        assert owner.commit((), force_read=True).is_ok()
        records = bucket.stored()
        assert records['answered'].phase is _PHASE.ANSWERED
        assert records['released'].claim_id == 'one'
        assert records['released'].phase is _PHASE.CLAIMED

    def test_another_holder_since_the_restore_stays(self) -> None:
        """Guards against a claim that is taken from its holder."""
        bucket = _Bucket()
        owner, other = bucket.new_log(), bucket.new_log()
        bucket.claim(owner, 'kept', 'one')
        bucket.store.take_copy()
        bucket.claim(owner, 'lost', 'one')
        bucket.store.restore()
        bucket.claim(other, 'first', 'other')
        assert bucket.claim(other, 'lost', 'other') == 'other'
        assert owner.commit((), force_read=True).is_ok()
        assert bucket.claim(owner, 'lost', 'two') == 'other'


class TestRestoredSegments:
    """Guards against buckets that no instance can read after a restore."""

    def test_sealed_records_are_written_again(self) -> None:
        """Guards against keys whose segment was sealed after the copy."""
        bucket = _Bucket(head_limit_bytes=600)
        owner = bucket.new_log()
        for index in range(30):
            if index == 15:
                bucket.store.take_copy()
            bucket.claim(owner, f'key-{index}', 'one')
        bucket.store.restore()
        assert owner.commit((), force_read=True).is_ok()
        for index in range(30):
            assert bucket.claim(owner, f'key-{index}', 'two') == 'one'
        assert len(bucket.stored()) == 30

    def test_head_that_lists_a_lost_segment(self) -> None:
        """Guards against a segment that is lost before its head is written."""
        bucket = _Bucket(head_limit_bytes=600)
        owner = bucket.new_log()
        bucket.claim(owner, 'key-0', 'one')
        for index in range(1, 10):
            bucket.store.take_copy()
            bucket.store.before_put['claims/0/head'] = bucket.store.restore
            assert bucket.claim(owner, f'key-{index}', 'one') == 'one'
        assert len(bucket.stored()) == 10

    def test_compaction_across_a_restore(self) -> None:
        """Guards against a segment that is removed although listed again."""
        bucket = _Bucket(
            head_limit_bytes=600, answer_retention_s=10, retention_s=100
        )
        owner = bucket.new_log()
        for index in range(20):
            bucket.claim(owner, f'key-{index}', 'one')
        bucket.clock.advance(20)
        bucket.store.take_copy()
        bucket.store.before_delete = bucket.store.restore
        assert owner.compact().ok
        assert len(bucket.stored()) == 20
        assert bucket.claim(owner, 'key-0', 'two') == 'one'


class TestRestoredTable:
    """Guards against a new owner that runs a key of the former one again."""

    def test_former_owner_writes_its_claims_again(self) -> None:
        """Guards against claims that only an instance without calls knows."""
        simulation = fakes.CallSimulation(
            fakes.CallSimulationShape(
                codec=fakes.PickledSegmentCodec(), instance_count=2
            )
        )
        key = state.ClaimKey(state.OrganisationName('small'), 'key-1')
        claims = simulation.instances[0].claims
        owner = claims.owner(claims.bucket_of(key))
        former, other = sorted(
            simulation.instances, key=lambda item: item.name != owner
        )
        stopping = threading.Event()
        task = threading.Thread(
            target=former.claims.recover_after_restores, args=(stopping,)
        )
        task.start()
        simulation.store.take_copy()
        one = former.book(fakes.plain_call('key-1', 'request-1'))
        # Once its outcome is stored, the former owner has nothing to write.
        for _ in range(500):
            if simulation.store.call_counts['put'] == 2:
                break
            stopping.wait(0.01)
        assert simulation.store.call_counts['put'] == 2
        simulation.hub.cut(former.name, other.name)
        simulation.store.restore()
        # Another task of the former owner notices the restore.
        assert former.claims.unresolved().is_ok()
        for _ in range(500):
            if simulation.store.list('claims/').ok:
                break
            stopping.wait(0.01)
        two = other.book(fakes.plain_call('key-1', 'request-2'))
        stopping.set()
        simulation.stop()
        task.join(10)
        assert not task.is_alive()
        result = fakes.BookingResult('key-1', (one, two))
        assert fakes.booking_fault(result, simulation.services) is None
        assert one.answer is not None
