"""Writer thread of one bucket, which batches proposals (group commit).

An idle bucket writes at once. Under load, each write waits for the write
interval and includes everything that has arrived in the meantime.
"""

from collections.abc import Callable
import dataclasses
import threading

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _bucket

_LOG = structlog.get_logger(part='claim')

#: Maximum outcomes queued for the store. Beyond it the oldest is dropped,
#: and its claim is listed as unresolved.
MAX_DEFERRED_RECORDS = 10_000

#: Result of a batch of proposals, from the owner or the store.
BatchResult = Result[_bucket.Records, state.StoreFault]

#: Sends a batch to the bucket's owner; returns None if this instance must
#: write it.
Forward = Callable[
    [int, tuple[state.ClaimRecord, ...], bool], BatchResult | None
]


@dataclasses.dataclass
class _Submission:
    """Proposals of one thread that waits for their result."""

    proposals: tuple[state.ClaimRecord, ...]
    expires_s: float
    force_read: bool
    local_only: bool
    done: threading.Event
    result: BatchResult | None = None


class BucketWriter:
    """Queues the proposals to one bucket and writes them to its log."""

    def __init__(
        self,
        bucket: int,
        dependencies: _bucket.BucketDependencies,
        forward: Forward,
        supervisor: ports.TaskSupervisor,
    ) -> None:
        self._bucket = bucket
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._forward = forward
        self._supervisor = supervisor
        self._log = _bucket.BucketLog(bucket, dependencies)
        self._changed = threading.Condition()
        self._submissions: list[_Submission] = []
        self._deferred: list[state.ClaimRecord] = []
        self._deferred_due_s = 0.0
        self._written_s = float('-inf')
        self._back_off_until_s = float('-inf')
        self._busy_since_s = float('inf')
        self._compacted_s = self._clock.monotonic_s()
        self._must_recover = False
        self._is_stopping = False
        self._thread: threading.Thread | None = None

    def propose(
        self,
        proposals: tuple[state.ClaimRecord, ...],
        timeout_s: float,
        force_read: bool = False,
        local_only: bool = False,
    ) -> BatchResult:
        """Wait until the proposals are applied.

        After a fault a proposal may still be written; nothing may be
        dispatched under it.

        :param local_only: whether to write here without forwarding.
        """
        now_s = self._clock.monotonic_s()
        submission = _Submission(
            proposals,
            now_s + timeout_s,
            force_read,
            local_only,
            threading.Event(),
        )
        with self._changed:
            if self._must_refuse(now_s):
                return Error(
                    _unavailable(
                        'The claim writer is stopping, backing off or blocked.'
                    )
                )
            self._submissions.append(submission)
            self._start_thread()
            self._changed.notify()
        submission.done.wait(timeout_s)
        return submission.result or Error(
            _unavailable('The claim was not written in time.')
        )

    def _must_refuse(self, now_s: float) -> bool:
        """Return whether a proposal could not be written in time."""
        if self._is_stopping or now_s < self._back_off_until_s:
            return True
        # A store that hangs blocks the writer thread; the threads of further
        # calls must not block behind it.
        limit_s = self._dependencies.settings.claim_timeout_ms / 2000
        return now_s - self._busy_since_s > limit_s

    def propose_in_background(self, proposal: state.ClaimRecord) -> None:
        """Write a record with the next batch, or alone after a delay.

        The record stays queued until the store accepts it.
        """
        with self._changed:
            if len(self._deferred) >= MAX_DEFERRED_RECORDS:
                self._deferred.pop(0)
                self._dependencies.metrics.count('claim.outcome_given_up')
            if not self._deferred:
                self._deferred_due_s = self._clock.monotonic_s() + (
                    self._dependencies.settings.record_delay_ms / 1000
                )
                self._start_thread()
                self._changed.notify()
            self._deferred.append(proposal)

    def recover(self) -> None:
        """Write again what a restored store lacks, before the next batch."""
        with self._changed:
            self._must_recover = True
            self._start_thread()
            self._changed.notify()

    def stop(self) -> None:
        """Write the queued records and stop the thread."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(timeout=3)

    def _start_thread(self) -> None:
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._supervisor.run,
                args=('claim writers', self._run),
                name=f'claim-bucket-{self._bucket}',
                daemon=True,
            )
            self._thread.start()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._is_due():
                    self._changed.wait(self._wait_s())
                if self._is_stopping and not self._submissions:
                    break
                submissions, self._submissions = self._submissions, []
                deferred, self._deferred = self._deferred, []
                must_recover, self._must_recover = self._must_recover, False
                self._busy_since_s = self._clock.monotonic_s()
            try:
                if must_recover:
                    self._recover()
                self._process_batch(submissions, deferred)
                self._compact()
            except Exception:
                # The thread must survive an error in one batch; the waiting
                # calls end by their own timeouts.
                _LOG.exception('claim batch failed', bucket=self._bucket)
            self._busy_since_s = float('inf')
        # They stay queued for another try in case that the commit raises.
        with self._changed:
            deferred = list(self._deferred)
        if deferred:
            self._log.commit(tuple(deferred))

    def _is_due(self) -> bool:
        """Return whether a batch is due; the lock must be held."""
        if self._is_stopping:
            return True
        now_s = self._clock.monotonic_s()
        if now_s < self._back_off_until_s:
            return False
        if now_s < self._written_s + self._interval_s():
            return False
        if self._submissions or self._must_recover:
            return True
        return bool(self._deferred) and now_s >= self._deferred_due_s

    def _wait_s(self) -> float | None:
        """Return the time until the next batch; the lock must be held."""
        is_urgent = bool(self._submissions) or self._must_recover
        if not is_urgent and not self._deferred:
            return None
        due_s = max(
            self._back_off_until_s, self._written_s + self._interval_s()
        )
        if not is_urgent:
            due_s = max(due_s, self._deferred_due_s)
        return max(0.0, due_s - self._clock.monotonic_s())

    def _interval_s(self) -> float:
        return self._dependencies.settings.write_interval_ms / 1000

    def _process_batch(
        self, submissions: list[_Submission], deferred: list[state.ClaimRecord]
    ) -> None:
        now_s = self._clock.monotonic_s()
        live: list[_Submission] = []
        for submission in submissions:
            # No thread waits for an expired submission any more, so it must
            # not claim a key.
            if now_s < submission.expires_s:
                live.append(submission)
        forwarded = [
            submission for submission in live if not submission.local_only
        ]
        if forwarded or deferred:
            proposals = _proposals(forwarded, deferred)
            force_read = any(submission.force_read for submission in forwarded)
            result = self._forward(self._bucket, proposals, force_read)
            if result is not None:
                self._complete_forwarded(forwarded, deferred, result)
                live = [
                    submission for submission in live if submission.local_only
                ]
                deferred = []
        if live or deferred:
            self._commit(live, deferred)

    def _complete_forwarded(
        self,
        submissions: list[_Submission],
        deferred: list[state.ClaimRecord],
        result: BatchResult,
    ) -> None:
        if result.is_error():
            with self._changed:
                self._back_off()
                self._deferred[:0] = deferred
        _complete(submissions, result, len(deferred))

    def _recover(self) -> None:
        if self._log.recover().is_ok():
            return
        with self._changed:
            self._must_recover = True
            self._back_off()

    def _back_off(self) -> None:
        """Start the back-off period; the lock must be held."""
        self._dependencies.metrics.count('claim.store_faults')
        self._back_off_until_s = self._clock.monotonic_s() + (
            self._dependencies.settings.back_off_ms / 1000
        )

    def _commit(
        self, submissions: list[_Submission], deferred: list[state.ClaimRecord]
    ) -> None:
        started_s = self._clock.monotonic_s()
        force_read = any(submission.force_read for submission in submissions)
        result = self._log.commit(
            _proposals(submissions, deferred), force_read
        )
        ended_s = self._clock.monotonic_s()
        self._dependencies.metrics.count('claim.commits')
        self._dependencies.metrics.duration(
            'claim.commit', str(self._bucket), (ended_s - started_s) * 1000
        )
        with self._changed:
            self._written_s = started_s
            if result.is_error():
                self._back_off()
                self._deferred[:0] = deferred
                # Submissions that arrived meanwhile would time out as well.
                submissions = submissions + self._submissions
                self._submissions = []
        _complete(submissions, result, len(deferred))

    def _compact(self) -> None:
        """Merge old segments periodically, between two batches."""
        now_s = self._clock.monotonic_s()
        period_s = self._dependencies.settings.answer_retention_s / 4
        if now_s < self._compacted_s + period_s:
            return
        self._compacted_s = now_s
        if self._log.key_count:
            self._log.compact()


def _proposals(
    submissions: list[_Submission], deferred: list[state.ClaimRecord]
) -> tuple[state.ClaimRecord, ...]:
    # Outcomes come first, so that a duplicate in the same batch sees them.
    proposals = list(deferred)
    for submission in submissions:
        proposals.extend(submission.proposals)
    return tuple(proposals)


def _complete(
    submissions: list[_Submission], result: BatchResult, start: int
) -> None:
    for submission in submissions:
        submission.result = result
        if result.is_ok():
            end = start + len(submission.proposals)
            submission.result = Ok(result.ok[start:end])
            start = end
        submission.done.set()


def _unavailable(message: str) -> state.StoreFault:
    return state.StoreFault(state.StoreFaultKind.UNAVAILABLE, message)
