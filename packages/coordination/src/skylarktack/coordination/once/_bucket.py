"""One bucket of claims in the object API.

The head is the only object of a bucket that changes, and each change is
conditional on its version. The head names all sealed segments, so that this
condition covers every key of the bucket: a writer that was paused, or that no
longer owns the bucket, fails to write and reads again.
"""

import dataclasses
import uuid

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _rules

#: Writes of one commit that may meet another writer. Each conflict means
#: that another commit succeeded, so more are a sign of too many writers.
COMMIT_ATTEMPT_COUNT = 6

_RETRIED = (state.StoreFaultKind.CONFLICT, state.StoreFaultKind.ANSWER_LOST)

Records = tuple[state.ClaimRecord | None, ...]


@dataclasses.dataclass(frozen=True)
class BucketDependencies:
    """What a bucket needs."""

    #: Settings of claims.
    settings: state.ClaimSettings

    #: The object API.
    store: ports.ObjectStore

    #: Encoding of segments.
    codec: ports.SegmentCodec

    #: Wall time of records and retention.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics


class BucketLog:
    """Reads and writes one bucket; used by one thread at a time."""

    def __init__(self, bucket: int, parts: BucketDependencies) -> None:
        self._prefix = f'claims/{bucket}'
        self._parts = parts
        self._is_fresh = False
        self._version: int | None = None
        self._sealed: tuple[state.SealedSegment, ...] = ()
        self._contents: dict[str, tuple[state.ClaimRecord, ...]] = {}
        self._head: dict[state.ClaimKey, state.ClaimRecord] = {}
        self._index: dict[state.ClaimKey, state.ClaimRecord] = {}

    @property
    def key_count(self) -> int:
        """Known keys."""
        return len(self._index)

    def commit(
        self, proposals: tuple[state.ClaimRecord, ...], fresh: bool = False
    ) -> Result[Records, state.StoreFault]:
        """Weigh the proposals and write all accepted ones at once.

        Returns for each proposal the record then in effect.
        """
        if fresh:
            self._is_fresh = False
        for _ in range(COMMIT_ATTEMPT_COUNT):
            loaded = self._load()
            if loaded.is_error():
                return Error(loaded.error)
            changed, results = self._weigh(proposals)
            if not changed:
                return Ok(results)
            written = self._write(changed)
            if written.is_ok():
                return Ok(results)
            # A lost answer is settled by reading the bucket: an own claim
            # id found there was written.
            self._is_fresh = False
            if written.error.kind not in _RETRIED:
                return Error(written.error)
            self._parts.metrics.count(f'claim.{written.error.kind.value}')
        return Error(
            state.StoreFault(
                state.StoreFaultKind.UNAVAILABLE, 'too many other writers'
            )
        )

    def records(
        self,
    ) -> Result[tuple[state.ClaimRecord, ...], state.StoreFault]:
        """Read the bucket and return the present record of each key."""
        self._is_fresh = False
        return self._load().map(lambda _: tuple(self._index.values()))

    def compact(self) -> Result[bool, state.StoreFault]:
        """Merge or remove old sealed segments; return whether any were."""
        loaded = self._load()
        if loaded.is_error():
            return Error(loaded.error)
        old = self._old_segments()
        if not old:
            return Ok(False)
        merged: dict[state.ClaimKey, state.ClaimRecord] = {}
        for sealed in old:
            for record in self._contents[sealed.name]:
                merged[record.key] = record
        now_s = self._parts.clock.wall_s()
        expired_s = now_s - self._parts.settings.retention_s
        head = dict(self._head)
        kept: list[state.ClaimRecord] = []
        for record in merged.values():
            left = _rules.keep(record, self._parts.settings, now_s)
            # A later segment holds the present record of some keys.
            if left is None or self._index.get(record.key) is not record:
                continue
            if left.changed_s <= expired_s:
                # An open claim; in the head it keeps no old segment.
                head[left.key] = left
                continue
            kept.append(left)
        rest = self._sealed[len(old) :]
        if kept:
            sealed_result = self._put_sealed(tuple(kept), stripped=True)
            if sealed_result.is_error():
                return Error(sealed_result.error)
            rest = (sealed_result.ok, *rest)
        written = self._put_head(rest, head)
        if written.is_error():
            self._is_fresh = False
            return Error(written.error)
        self._rebuild_index()
        for sealed in old:
            self._delete(sealed.name)
        return Ok(True)

    def _old_segments(self) -> tuple[state.SealedSegment, ...]:
        """Return the oldest segments that one compaction takes."""
        settings = self._parts.settings
        now_s = self._parts.clock.wall_s()
        expired = now_s - settings.retention_s
        taken: list[state.SealedSegment] = []
        size_bytes = 0
        for sealed in self._sealed:
            if sealed.newest_s > now_s - settings.answer_retention_s:
                break
            size_bytes += sealed.size_bytes
            if taken and size_bytes > settings.segment_limit_bytes:
                break
            taken.append(sealed)
        if all(item.stripped and item.newest_s > expired for item in taken):
            full = settings.segment_limit_bytes / 2
            if len(taken) < 2 or taken[0].size_bytes > full:
                return ()
        return tuple(taken)

    def _weigh(
        self, proposals: tuple[state.ClaimRecord, ...]
    ) -> tuple[dict[state.ClaimKey, state.ClaimRecord], Records]:
        changed: dict[state.ClaimKey, state.ClaimRecord] = {}
        results: list[state.ClaimRecord | None] = []
        for proposed in proposals:
            current = changed.get(proposed.key) or self._index.get(
                proposed.key
            )
            accepted = _rules.merge(current, proposed)
            if accepted is not None:
                changed[proposed.key] = accepted
            results.append(accepted or current)
        return changed, tuple(results)

    def _write(
        self, changed: dict[state.ClaimKey, state.ClaimRecord]
    ) -> Result[None, state.StoreFault]:
        settings = self._parts.settings
        now_s = self._parts.clock.wall_s()
        head: dict[state.ClaimKey, state.ClaimRecord] = {}
        for key, record in self._head.items():
            if key in changed:
                continue
            left = _rules.keep(record, settings, now_s)
            # A sealed segment may hold an older record of the key, which
            # would come back; compaction removes that one first.
            if left is None and self._sealed:
                left = record
            if left is not None:
                head[key] = left
        head.update(changed)
        sealed = self._sealed
        segment = state.ClaimSegment(sealed, tuple(head.values()))
        value: bytes | None = self._parts.codec.encode(segment)
        assert value is not None
        if len(value) > settings.head_limit_bytes:
            added = self._put_sealed(tuple(head.values()), stripped=False)
            # An oversized head is still correct, so a failed seal waits
            # for the next write.
            if added.is_ok():
                sealed = (*sealed, added.ok)
                head = {}
                value = None
        return self._put_head(sealed, head, value)

    def _put_head(
        self,
        sealed: tuple[state.SealedSegment, ...],
        head: dict[state.ClaimKey, state.ClaimRecord],
        value: bytes | None = None,
    ) -> Result[None, state.StoreFault]:
        if value is None:
            value = self._parts.codec.encode(
                state.ClaimSegment(sealed, tuple(head.values()))
            )
        written = self._parts.store.put(
            f'{self._prefix}/head', value, self._version
        )
        if written.is_error():
            return Error(written.error)
        for key in self._head.keys() - head.keys():
            # Forgotten by retention, or sealed just now.
            self._index.pop(key, None)
        for older in sealed[len(self._sealed) :]:
            for record in self._contents[older.name]:
                self._index[record.key] = record
        self._index.update(head)
        self._version = written.ok.version
        self._sealed = sealed
        self._head = head
        return Ok(None)

    def _put_sealed(
        self, records: tuple[state.ClaimRecord, ...], stripped: bool
    ) -> Result[state.SealedSegment, state.StoreFault]:
        # A name that no other writer uses; a segment that no head names
        # in the end is not part of the bucket.
        name = uuid.uuid4().hex
        value = self._parts.codec.encode(state.ClaimSegment((), records))
        written = self._parts.store.put(f'{self._prefix}/{name}', value, None)
        if written.is_error():
            return Error(written.error)
        self._contents[name] = records
        newest_s = max(record.changed_s for record in records)
        return Ok(state.SealedSegment(name, newest_s, len(value), stripped))

    def _delete(self, name: str) -> None:
        self._contents.pop(name, None)
        found = self._parts.store.get(f'{self._prefix}/{name}')
        if found.is_ok():
            self._parts.store.delete(found.ok.key, found.ok.version)

    def _load(self) -> Result[None, state.StoreFault]:
        if self._is_fresh:
            return Ok(None)
        found = self._parts.store.get(f'{self._prefix}/head')
        segment = state.ClaimSegment((), ())
        version: int | None = None
        if found.is_ok():
            version = found.ok.version
            decoded = self._parts.codec.decode(found.ok.value)
            if decoded.is_error():
                return Error(decoded.error)
            segment = decoded.ok
        elif found.error.kind is not state.StoreFaultKind.MISSING:
            return Error(found.error)
        for sealed in segment.sealed:
            if sealed.name in self._contents:
                continue
            read = self._load_sealed(sealed.name)
            if read.is_error():
                return Error(read.error)
        self._version = version
        self._sealed = segment.sealed
        self._head = {record.key: record for record in segment.records}
        self._rebuild_index()
        self._is_fresh = True
        return Ok(None)

    def _load_sealed(self, name: str) -> Result[None, state.StoreFault]:
        found = self._parts.store.get(f'{self._prefix}/{name}')
        if found.is_error():
            # Missing after another writer's compaction: the head that was
            # read is old, and the next load reads the new one.
            return Error(
                state.StoreFault(
                    state.StoreFaultKind.UNAVAILABLE, found.error.message
                )
            )
        decoded = self._parts.codec.decode(found.ok.value)
        if decoded.is_error():
            return Error(decoded.error)
        self._contents[name] = decoded.ok.records
        return Ok(None)

    def _rebuild_index(self) -> None:
        named = {sealed.name for sealed in self._sealed}
        for name in self._contents.keys() - named:
            del self._contents[name]
        self._index = {}
        for sealed in self._sealed:
            for record in self._contents[sealed.name]:
                self._index[record.key] = record
        self._index.update(self._head)
