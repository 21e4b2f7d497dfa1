"""Writer thread of one bucket: collects proposals into one write.

An idle bucket writes at once. While writes follow each other, each waits for
the write interval and takes everything that has arrived (group commit).
"""

from collections.abc import Callable
import dataclasses
import threading

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination.once import _bucket

_LOG = structlog.get_logger(part='claim')

#: Outcomes that wait for the store before the oldest is given up; a claim
#: whose outcome is given up shows as unresolved.
LATER_LIMIT_COUNT = 10_000

#: Answers of a peer or the store for a batch of proposals.
Outcome = Result[_bucket.Records, state.StoreFault]

#: Sends a batch to the bucket's owner; None if it must be written here.
Forward = Callable[[int, tuple[state.ClaimRecord, ...], bool], Outcome | None]


@dataclasses.dataclass
class _Ticket:
    """Proposals of one waiting thread."""

    proposals: tuple[state.ClaimRecord, ...]
    expires_s: float
    fresh: bool
    local_only: bool
    done: threading.Event
    outcome: Outcome | None = None


class BucketWriter:
    """Owner of one bucket's log and of the queue in front of it."""

    def __init__(
        self, bucket: int, parts: _bucket.BucketDependencies, forward: Forward
    ) -> None:
        self._bucket = bucket
        self._parts = parts
        self._clock = parts.clock
        self._forward = forward
        self._log = _bucket.BucketLog(bucket, parts)
        self._changed = threading.Condition()
        self._tickets: list[_Ticket] = []
        self._later: list[state.ClaimRecord] = []
        self._later_due_s = 0.0
        self._written_s = float('-inf')
        self._down_until_s = float('-inf')
        self._busy_since_s = float('inf')
        self._compacted_s = self._clock.monotonic_s()
        self._is_stopping = False
        self._thread: threading.Thread | None = None

    def propose(
        self,
        proposals: tuple[state.ClaimRecord, ...],
        timeout_s: float,
        fresh: bool = False,
        local_only: bool = False,
    ) -> Outcome:
        """Wait until the proposals were weighed.

        After a fault a proposal may still be written; nothing may be
        dispatched under it.
        """
        now_s = self._clock.monotonic_s()
        ticket = _Ticket(
            proposals, now_s + timeout_s, fresh, local_only, threading.Event()
        )
        with self._changed:
            if self._is_refusing(now_s):
                return Error(_unavailable('The store failed just now.'))
            self._tickets.append(ticket)
            self._start()
            self._changed.notify()
        ticket.done.wait(timeout_s)
        return ticket.outcome or Error(_unavailable('The store is slow.'))

    def _is_refusing(self, now_s: float) -> bool:
        """Return whether a claim would only wait in vain."""
        if self._is_stopping or now_s < self._down_until_s:
            return True
        # A store that hangs holds the writer; a thread for each further
        # call must not hang behind it.
        limit_s = self._parts.settings.claim_timeout_ms / 2000
        return now_s - self._busy_since_s > limit_s

    def propose_later(self, proposal: state.ClaimRecord) -> None:
        """Write a record with the next batch, or on its own after a delay.

        It is kept until the store takes it.
        """
        with self._changed:
            if len(self._later) >= LATER_LIMIT_COUNT:
                self._later.pop(0)
                self._parts.metrics.count('claim.outcome_given_up')
            if not self._later:
                self._later_due_s = self._clock.monotonic_s() + (
                    self._parts.settings.record_delay_ms / 1000
                )
                self._start()
                self._changed.notify()
            self._later.append(proposal)

    def stop(self) -> None:
        """Write what is left and end the thread."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(timeout=3)

    def _start(self) -> None:
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._run,
                name=f'claim-bucket-{self._bucket}',
                daemon=True,
            )
            self._thread.start()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._is_due():
                    self._changed.wait(self._pause_s())
                if self._is_stopping and not self._tickets:
                    later, self._later = self._later, []
                    break
                tickets, self._tickets = self._tickets, []
                later, self._later = self._later, []
                self._busy_since_s = self._clock.monotonic_s()
            try:
                self._serve(tickets, later)
                self._compact()
            except Exception:
                # The thread must outlive a fault in one batch; its waiting
                # calls are refused by their own time limits.
                _LOG.exception('claim batch failed', bucket=self._bucket)
            self._busy_since_s = float('inf')
        if later:
            self._log.commit(tuple(later))

    def _is_due(self) -> bool:
        """Return whether the next batch may go; the lock is held."""
        if self._is_stopping:
            return True
        now_s = self._clock.monotonic_s()
        if now_s < self._down_until_s:
            return False
        if now_s < self._written_s + self._interval_s():
            return False
        if self._tickets:
            return True
        return bool(self._later) and now_s >= self._later_due_s

    def _pause_s(self) -> float | None:
        """Return the time to the next batch; the lock is held."""
        if not self._tickets and not self._later:
            return None
        due_s = max(self._down_until_s, self._written_s + self._interval_s())
        if not self._tickets:
            due_s = max(due_s, self._later_due_s)
        return max(0.0, due_s - self._clock.monotonic_s())

    def _interval_s(self) -> float:
        return self._parts.settings.write_interval_ms / 1000

    def _serve(
        self, tickets: list[_Ticket], later: list[state.ClaimRecord]
    ) -> None:
        now_s = self._clock.monotonic_s()
        live: list[_Ticket] = []
        for ticket in tickets:
            # Nobody waits for an expired one, so it must not claim a key.
            if now_s < ticket.expires_s:
                live.append(ticket)
        forwarded = [ticket for ticket in live if not ticket.local_only]
        if forwarded or later:
            proposals = _proposals(forwarded, later)
            fresh = any(ticket.fresh for ticket in forwarded)
            outcome = self._forward(self._bucket, proposals, fresh)
            if outcome is not None:
                self._end_forwarded(forwarded, later, outcome)
                live = [ticket for ticket in live if ticket.local_only]
                later = []
        if live or later:
            self._commit(live, later)

    def _end_forwarded(
        self,
        tickets: list[_Ticket],
        later: list[state.ClaimRecord],
        outcome: Outcome,
    ) -> None:
        if outcome.is_error():
            with self._changed:
                self._back_off()
                self._later[:0] = later
        _finish(tickets, outcome, len(later))

    def _back_off(self) -> None:
        """Refuse claims for a while; the lock is held."""
        self._parts.metrics.count('claim.store_faults')
        self._down_until_s = self._clock.monotonic_s() + (
            self._parts.settings.back_off_ms / 1000
        )

    def _commit(
        self, tickets: list[_Ticket], later: list[state.ClaimRecord]
    ) -> None:
        started_s = self._clock.monotonic_s()
        fresh = any(ticket.fresh for ticket in tickets)
        outcome = self._log.commit(_proposals(tickets, later), fresh)
        ended_s = self._clock.monotonic_s()
        self._parts.metrics.count('claim.commits')
        self._parts.metrics.duration(
            'claim.commit', str(self._bucket), (ended_s - started_s) * 1000
        )
        with self._changed:
            self._written_s = started_s
            if outcome.is_error():
                self._back_off()
                self._later[:0] = later
                # Those that arrived meanwhile would only wait in vain.
                tickets = tickets + self._tickets
                self._tickets = []
        _finish(tickets, outcome, len(later))

    def _compact(self) -> None:
        """Merge old segments now and then, between two batches."""
        now_s = self._clock.monotonic_s()
        period_s = self._parts.settings.answer_retention_s / 4
        if now_s < self._compacted_s + period_s:
            return
        self._compacted_s = now_s
        if self._log.key_count:
            self._log.compact()


def _proposals(
    tickets: list[_Ticket], later: list[state.ClaimRecord]
) -> tuple[state.ClaimRecord, ...]:
    # Outcomes first, so that a duplicate in the same batch sees them.
    found = list(later)
    for ticket in tickets:
        found.extend(ticket.proposals)
    return tuple(found)


def _finish(tickets: list[_Ticket], outcome: Outcome, start: int) -> None:
    for ticket in tickets:
        ticket.outcome = outcome
        if outcome.is_ok():
            end = start + len(ticket.proposals)
            ticket.outcome = Ok(outcome.ok[start:end])
            start = end
        ticket.done.set()


def _unavailable(message: str) -> state.StoreFault:
    return state.StoreFault(state.StoreFaultKind.UNAVAILABLE, message)
