"""Writers of claim buckets whose steps fail."""

import threading

from expression import Result

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import once
from skylarktack.coordination import ports

PATIENCE_S = 20.0

RECORD = state.ClaimRecord(
    key=state.ClaimKey(state.OrganisationName('small'), 'key'),
    claim_id='id',
    fingerprint=b'f',
    instance=state.InstanceName('instance-0'),
    phase=state.ClaimPhase.CLAIMED,
    claimed_s=1.0,
    changed_s=1.0,
)


class _FailsOnce:
    """Raises once, in another thread than that of the test."""

    def __init__(self) -> None:
        self._test = threading.get_ident()
        self._has_failed = False

    def __call__(self) -> None:
        if threading.get_ident() == self._test or self._has_failed:
            return
        self._has_failed = True
        raise ValueError('odd step')


class _OddClock(ports.SystemClock):
    """A clock that raises once in the writer's thread."""

    def __init__(self) -> None:
        self._fail = _FailsOnce()

    def monotonic_s(self) -> float:
        """Return the time, or raise."""
        self._fail()
        return super().monotonic_s()


class _OddStore(fakes.MemoryObjectStore):
    """A store whose first read in the writer's thread raises."""

    def __init__(self) -> None:
        super().__init__()
        self._fail = _FailsOnce()

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object, or raise."""
        self._fail()
        return super().get(key)


class TestBucketWriter:
    """Errors outside the batches of a writer."""

    def _make_writer(
        self, clock: ports.Clock, store: fakes.MemoryObjectStore
    ) -> tuple[once.BucketWriter, once.BucketLog, forwarding.ErrorRecorder]:
        dependencies = once.BucketDependencies(
            settings=state.ClaimSettings(record_delay_ms=3_600_000),
            store=store,
            codec=fakes.PickledSegmentCodec(),
            clock=clock,
            metrics=fakes.MemoryMetrics(),
        )
        errors = forwarding.ErrorRecorder(
            ports.SystemClock(), fakes.RecordingLog()
        )
        writer = once.BucketWriter(
            0,
            dependencies,
            lambda bucket, records, force_read: None,
            forwarding.Supervisor(ports.SystemClock(), errors),
        )
        return writer, once.BucketLog(0, dependencies), errors

    def test_claims_are_written_after_an_error(self) -> None:
        """Guards against a bucket that refuses all calls from then on."""
        writer, _, errors = self._make_writer(
            _OddClock(), fakes.MemoryObjectStore()
        )
        try:
            written = writer.propose((RECORD,), PATIENCE_S)
        finally:
            writer.stop()
        assert written.ok == (RECORD,)
        assert errors.counts() == {'claim writers': 1}

    def test_outcomes_are_written_at_the_stop(self) -> None:
        """Guards against a stop that loses outcomes by one error."""
        writer, log, errors = self._make_writer(
            ports.SystemClock(), _OddStore()
        )
        writer.propose_in_background(RECORD)
        writer.stop()
        waiting = threading.Event()
        for _ in range(1000):
            if log.records().ok:
                break
            waiting.wait(0.01)
        assert log.records().ok == (RECORD,)
        assert errors.counts() == {'claim writers': 1}
