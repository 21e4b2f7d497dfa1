"""Access from one instance to the claims of the whole deployment."""

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

#: Owners that one batch is forwarded to before it fails. Two forward
#: timeouts are shorter than the time a call waits for its claim.
_MAX_FORWARD_ATTEMPTS = 2

#: How long the owner of a bucket is cached. Ranking 340 members for each
#: batch would cost more than the batch, and ownership is only a hint.
_OWNER_CACHE_S = 0.1

_LOG = structlog.get_logger(part='claim')


@dataclasses.dataclass(frozen=True)
class ClaimTableDependencies:
    """Dependencies of the claim table."""

    #: Dependencies shared by the logs of all buckets.
    bucket: _bucket.BucketDependencies

    peers: ports.PeerNetwork

    #: Runs the writers of buckets.
    supervisor: ports.TaskSupervisor


@dataclasses.dataclass(frozen=True)
class _CachedOwner:
    """The owner of a bucket by the latest ranking."""

    name: state.InstanceName
    expires_s: float


class ClaimTable:
    """Proposes records to buckets, through their owners if possible."""

    def __init__(self, dependencies: ClaimTableDependencies) -> None:
        self._dependencies = dependencies
        self._settings = dependencies.bucket.settings
        self._clock = dependencies.bucket.clock
        self._lock = threading.Lock()
        self._writers: dict[int, _writer.BucketWriter] = {}
        self._owners: dict[int, _CachedOwner] = {}
        self._restored = threading.Event()
        dependencies.bucket.store.add_era_listener(self._restored)
        self._skipped_until_s: dict[state.InstanceName, float] = {}
        dependencies.peers.register_handler(
            _messages.ClaimForwardRequest, self._on_forward
        )

    def propose(
        self,
        record: state.ClaimRecord,
        timeout_s: float,
        force_read: bool = False,
    ) -> Result[state.ClaimRecord | None, state.StoreFault]:
        """Return the record of the key after the proposal was applied.

        A claim is held if the result carries its claim id. After a fault
        the claim is not held but may be written later; proposing a released
        record revokes it.
        """
        writer = self._writer_of(self.bucket_of(record.key))
        result = writer.propose((record,), timeout_s, force_read)
        return result.map(lambda records: records[0])

    def propose_in_background(self, record: state.ClaimRecord) -> None:
        """Propose a record without waiting for the write."""
        self._writer_of(self.bucket_of(record.key)).propose_in_background(
            record
        )

    def unresolved(
        self,
    ) -> Result[tuple[state.ClaimRecord, ...], state.StoreFault]:
        """Read all buckets and return the claims without an outcome."""
        now_s = self._clock.wall_s()
        found: list[state.ClaimRecord] = []
        for bucket in range(self._settings.bucket_count):
            log = _bucket.BucketLog(bucket, self._dependencies.bucket)
            records = log.records()
            if records.is_error():
                return Error(records.error)
            for record in records.ok:
                if _rules.is_unresolved(record, now_s):
                    found.append(record)
        return Ok(tuple(found))

    def recover(self) -> None:
        """Write again what a restored store lacks of this instance's claims.

        Also for buckets that another instance owns by now, because it may not
        know these claims.
        """
        with self._lock:
            writers = tuple(self._writers.values())
        for writer in writers:
            writer.recover()

    def recover_after_restores(self, stopping: threading.Event) -> None:
        """Call ``recover`` after each restore until the event is set.

        ``stop`` ends the wait.
        """
        while not stopping.is_set():
            self._restored.wait()
            self._restored.clear()
            if not stopping.is_set():
                self.recover()

    def stop(self) -> None:
        """Write the queued outcomes and stop all writers."""
        self._restored.set()
        with self._lock:
            writers = tuple(self._writers.values())
        for writer in writers:
            writer.stop()

    def bucket_of(self, key: state.ClaimKey) -> int:
        """Return the bucket of a key, which is the same on all instances."""
        text = f'{key.organisation}\0{key.key}'
        return _hash(text) % self._settings.bucket_count

    def owner(self, bucket: int) -> state.InstanceName:
        """Return the instance that should write a bucket.

        Instances may see different members. Two owners of one bucket cause
        write conflicts, which cost time but are safe.
        """
        now_s = self._clock.monotonic_s()
        cached = self._owners.get(bucket)
        if cached is not None and now_s < cached.expires_s:
            return cached.name
        chosen = self._highest_ranked_instance(bucket, now_s)
        self._owners[bucket] = _CachedOwner(chosen, now_s + _OWNER_CACHE_S)
        return chosen

    def _highest_ranked_instance(
        self, bucket: int, now_s: float
    ) -> state.InstanceName:
        own_name = self._dependencies.peers.name
        chosen = own_name
        best = _rank(bucket, own_name)
        for member in self._dependencies.peers.members():
            if member.state is not state.MemberState.ALIVE:
                continue
            if now_s < self._skipped_until_s.get(member.name, 0.0):
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
                    bucket,
                    self._dependencies.bucket,
                    self._forward,
                    self._dependencies.supervisor,
                )
                self._writers[bucket] = writer
            return writer

    def _forward(
        self,
        bucket: int,
        records: tuple[state.ClaimRecord, ...],
        force_read: bool,
    ) -> _writer.BatchResult | None:
        """Send a batch to the owner, or to the next instance in rank.

        All instances fail over to the same next instance: if each wrote by
        itself after a slow response, their conditional writes would keep
        conflicting and the bucket would make no progress.
        """
        fault = ''
        attempt_count = 0
        while attempt_count < _MAX_FORWARD_ATTEMPTS:
            owner = self.owner(bucket)
            if owner == self._dependencies.peers.name:
                return None
            response = self._dependencies.peers.request(
                owner,
                _messages.ClaimForwardRequest(
                    bucket,
                    records,
                    self._settings.forward_timeout_ms,
                    force_read,
                ),
                self._settings.forward_timeout_ms / 1000,
            )
            fault = 'unexpected response'
            if response.is_error():
                fault = response.error.kind.value
                # An unreachable owner fails at once and does not count.
                if response.error.kind is not ports.PeerFaultKind.UNREACHABLE:
                    attempt_count += 1
            elif isinstance(response.ok, _messages.ClaimForwardResponse):
                if len(response.ok.records) == len(records):
                    return Ok(response.ok.records)
                fault = response.ok.fault
                attempt_count += 1
            self._skip_owner(owner, bucket, fault)
        return Error(state.StoreFault(state.StoreFaultKind.UNAVAILABLE, fault))

    def _skip_owner(
        self, owner: state.InstanceName, bucket: int, fault: str
    ) -> None:
        # A paused or partitioned owner must not cost every batch the full
        # forward timeout.
        self._skipped_until_s[owner] = self._clock.monotonic_s() + (
            self._settings.back_off_ms / 1000
        )
        self._owners.clear()
        self._dependencies.bucket.metrics.count('claim.owner_passed_over')
        _LOG.warning(
            'forwarding claims to the bucket owner failed; skipping it',
            owner=owner,
            bucket=bucket,
            fault=fault,
        )

    def _on_forward(
        self, peer: state.InstanceName, message: _messages.ClaimForwardRequest
    ) -> _messages.ClaimForwardResponse:
        if not 0 <= message.bucket < self._settings.bucket_count:
            return _messages.ClaimForwardResponse(
                fault='bucket number out of range'
            )
        # The proposals are written here even if another instance seems to
        # be the owner: forwarding them again could loop.
        result = self._writer_of(message.bucket).propose(
            message.records,
            message.timeout_ms / 1000,
            message.fresh,
            local_only=True,
        )
        if result.is_error():
            return _messages.ClaimForwardResponse(fault=result.error.message)
        return _messages.ClaimForwardResponse(result.ok)


@functools.lru_cache(16_384)
def _rank(bucket: int, name: state.InstanceName) -> int:
    return _hash(f'{bucket}\0{name}')


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
