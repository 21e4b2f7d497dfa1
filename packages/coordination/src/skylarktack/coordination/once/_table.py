"""Claims of the whole deployment, as one instance reaches them."""

import dataclasses
import functools
import hashlib
import threading

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _bucket
from skylarktack.coordination.once import _messages
from skylarktack.coordination.once import _rules
from skylarktack.coordination.once import _writer

#: Instances that one batch is sent to; two time limits of a forward are
#: shorter than a call's wait for its claim.
_OWNER_COUNT = 2

#: How long a chosen owner is kept: ranking 340 members for each batch would
#: cost more than the batch, and ownership is only a hint.
_OWNER_AGE_S = 0.1

_LOG = structlog.get_logger(part='claim')


@dataclasses.dataclass(frozen=True)
class ClaimTableDependencies:
    """What the table of claims needs."""

    #: Settings, store, encoding and clock of the buckets.
    bucket: _bucket.BucketDependencies

    #: Other instances.
    peers: ports.PeerNetwork


@dataclasses.dataclass(frozen=True)
class _KnownOwner:
    """The owner of a bucket as last ranked."""

    name: state.InstanceName
    until_s: float


class ClaimTable:
    """Proposes records to the buckets, through their owners if possible."""

    def __init__(self, parts: ClaimTableDependencies) -> None:
        self._parts = parts
        self._settings = parts.bucket.settings
        self._clock = parts.bucket.clock
        self._lock = threading.Lock()
        self._writers: dict[int, _writer.BucketWriter] = {}
        self._owners: dict[int, _KnownOwner] = {}
        self._passed_over_until_s: dict[state.InstanceName, float] = {}
        parts.peers.register_handler(
            _messages.ClaimForwardRequest, self._on_forward
        )

    def propose(
        self,
        record: state.ClaimRecord,
        timeout_s: float,
        fresh: bool = False,
    ) -> Result[state.ClaimRecord | None, state.StoreFault]:
        """Return the record of the key after the proposal was weighed.

        A claim is held if the result carries its claim id. After a fault
        the claim is not held, but may be written later; ``propose_later``
        with a released record revokes it.
        """
        writer = self._writer_of(self.bucket_of(record.key))
        outcome = writer.propose((record,), timeout_s, fresh)
        return outcome.map(lambda records: records[0])

    def propose_later(self, record: state.ClaimRecord) -> None:
        """Write a record in the background."""
        self._writer_of(self.bucket_of(record.key)).propose_later(record)

    def unresolved(
        self,
    ) -> Result[tuple[state.ClaimRecord, ...], state.StoreFault]:
        """Read all buckets and return the claims without an outcome."""
        now_s = self._clock.wall_s()
        found: list[state.ClaimRecord] = []
        for bucket in range(self._settings.bucket_count):
            log = _bucket.BucketLog(bucket, self._parts.bucket)
            records = log.records()
            if records.is_error():
                return Error(records.error)
            for record in records.ok:
                if _rules.is_unresolved(record, now_s):
                    found.append(record)
        return Ok(tuple(found))

    def stop(self) -> None:
        """Write recorded outcomes that wait, and end all writers."""
        with self._lock:
            writers = tuple(self._writers.values())
        for writer in writers:
            writer.stop()

    def bucket_of(self, key: state.ClaimKey) -> int:
        """Return the bucket of a key; the same on all instances."""
        text = f'{key.organisation}\0{key.key}'
        return _hash(text) % self._settings.bucket_count

    def owner(self, bucket: int) -> state.InstanceName:
        """Return the instance that should write a bucket.

        The membership may differ between instances; two owners slow each
        other down by conflicts and do no harm.
        """
        now_s = self._clock.monotonic_s()
        known = self._owners.get(bucket)
        if known is not None and now_s < known.until_s:
            return known.name
        chosen = self._first_in_rank(bucket, now_s)
        self._owners[bucket] = _KnownOwner(chosen, now_s + _OWNER_AGE_S)
        return chosen

    def _first_in_rank(self, bucket: int, now_s: float) -> state.InstanceName:
        own_name = self._parts.peers.name
        chosen = own_name
        best = _rank(bucket, own_name)
        for member in self._parts.peers.members():
            if member.state is not state.MemberState.ALIVE:
                continue
            if now_s < self._passed_over_until_s.get(member.name, 0.0):
                continue
            rank = _rank(bucket, member.name)
            if rank > best:
                chosen, best = member.name, rank
        return chosen

    def _writer_of(self, bucket: int) -> _writer.BucketWriter:
        with self._lock:
            writer = self._writers.get(bucket)
            if writer is None:
                writer = _writer.BucketWriter(
                    bucket, self._parts.bucket, self._forward
                )
                self._writers[bucket] = writer
            return writer

    def _forward(
        self,
        bucket: int,
        records: tuple[state.ClaimRecord, ...],
        fresh: bool,
    ) -> _writer.Outcome | None:
        """Send a batch to the owner, or to the next one in rank.

        All instances pass on to the same next one: if each wrote by itself
        after a slow answer, their conditional writes would defeat each
        other and the bucket would come to a halt.
        """
        fault = ''
        asked_count = 0
        while asked_count < _OWNER_COUNT:
            owner = self.owner(bucket)
            if owner == self._parts.peers.name:
                return None
            answered = self._parts.peers.request(
                owner,
                _messages.ClaimForwardRequest(
                    bucket, records, self._settings.forward_timeout_ms, fresh
                ),
                self._settings.forward_timeout_ms / 1000,
            )
            fault = 'no answer'
            if answered.is_error():
                fault = answered.error.kind.value
                # An unreachable owner took no time.
                if answered.error.kind is not ports.PeerFaultKind.UNREACHABLE:
                    asked_count += 1
            elif isinstance(answered.ok, _messages.ClaimForwardResponse):
                if len(answered.ok.records) == len(records):
                    return Ok(answered.ok.records)
                fault = answered.ok.fault
                asked_count += 1
            self._pass_over(owner, bucket, fault)
        return Error(state.StoreFault(state.StoreFaultKind.UNAVAILABLE, fault))

    def _pass_over(
        self, owner: state.InstanceName, bucket: int, fault: str
    ) -> None:
        # An owner that is paused or cut off must not cost each batch the
        # whole time limit.
        self._passed_over_until_s[owner] = self._clock.monotonic_s() + (
            self._settings.back_off_ms / 1000
        )
        self._owners.clear()
        self._parts.bucket.metrics.count('claim.owner_passed_over')
        _LOG.warning(
            'bucket owner did not take claims; passing it over',
            owner=owner,
            bucket=bucket,
            fault=fault,
        )

    def _on_forward(
        self, peer: state.InstanceName, message: _messages.ClaimForwardRequest
    ) -> _messages.ClaimForwardResponse:
        if not 0 <= message.bucket < self._settings.bucket_count:
            return _messages.ClaimForwardResponse(fault='no such bucket')
        # The sender's choice of owner is not questioned here: passing the
        # proposals on again could go round in circles.
        outcome = self._writer_of(message.bucket).propose(
            message.records,
            message.timeout_ms / 1000,
            message.fresh,
            local_only=True,
        )
        if outcome.is_error():
            return _messages.ClaimForwardResponse(fault=outcome.error.message)
        return _messages.ClaimForwardResponse(outcome.ok)


@functools.lru_cache(16_384)
def _rank(bucket: int, name: state.InstanceName) -> int:
    return _hash(f'{bucket}\0{name}')


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
