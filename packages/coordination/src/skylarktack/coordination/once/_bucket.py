"""One bucket of claim records, stored in the object API.

The head is the only mutable object of a bucket, and each write of it is
conditional on its version. The head lists all sealed segments, so the
conditional write fences every key of the bucket: a writer that was paused, or
that no longer owns the bucket, fails to write and must read the head again.

A restored store lacks its last writes. A log keeps what it wrote or read, and
writes again what the restored head lacks, together with the first new record.
"""

import dataclasses
import uuid

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _rules

#: Maximum attempts of one commit that conflicts with other writers. Each
#: conflict means that another commit succeeded, so exceeding the limit
#: indicates too many writers.
MAX_COMMIT_ATTEMPTS = 6

#: Maximum age of the records that are written again if a restored store lacks
#: them. A copy is some seconds old; the rest is a margin.
RESTORED_COPY_AGE_S = 600.0

#: Reads of a bucket before they fail because the store was restored meanwhile.
_READ_ATTEMPTS_COUNT = 3

_RETRYABLE_FAULTS = (
    state.StoreFaultKind.CONFLICT,
    state.StoreFaultKind.ANSWER_LOST,
)

_LOG = structlog.get_logger(part='claim')

Records = tuple[state.ClaimRecord | None, ...]


@dataclasses.dataclass(frozen=True)
class BucketDependencies:
    """Dependencies of a bucket log."""

    settings: state.ClaimSettings

    #: Object API that holds the head and the sealed segments.
    store: ports.ObjectStore

    #: Encodes and decodes segments.
    codec: ports.SegmentCodec

    #: Source of wall time for record timestamps and retention.
    clock: ports.Clock

    metrics: ports.Metrics


class BucketLog:
    """Reads and writes the records of one bucket; not thread-safe."""

    def __init__(self, bucket: int, dependencies: BucketDependencies) -> None:
        self._prefix = f'claims/{bucket}'
        self._dependencies = dependencies
        self._is_cache_valid = False
        self._head_version: int | None = None
        self._sealed_segments: tuple[state.SealedSegment, ...] = ()
        self._segment_records: dict[str, tuple[state.ClaimRecord, ...]] = {}
        self._head_records: dict[state.ClaimKey, state.ClaimRecord] = {}
        self._index: dict[state.ClaimKey, state.ClaimRecord] = {}
        self._era: int | None = None
        # Records from before a restore until the store is known to have them,
        # and those that the head just read lacks.
        self._known: dict[state.ClaimKey, state.ClaimRecord] = {}
        self._lost: dict[state.ClaimKey, state.ClaimRecord] = {}

    @property
    def key_count(self) -> int:
        """Number of keys in the cached bucket."""
        return len(self._index)

    def commit(
        self,
        proposals: tuple[state.ClaimRecord, ...],
        force_read: bool = False,
    ) -> Result[Records, state.StoreFault]:
        """Apply the proposals and write all accepted ones in one commit.

        Returns the record in effect after the commit for each proposal.

        :param force_read: whether to read the head even if it is cached.
        """
        if force_read:
            self._is_cache_valid = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            loaded = self._load()
            if loaded.is_error():
                return Error(loaded.error)
            changed, results = self._apply_proposals(proposals)
            if not changed:
                return Ok(results)
            written = self._write_changes(changed)
            if written.is_ok():
                self._record_rewritten()
                return Ok(results)
            # If the response to the write was lost, reading the bucket shows
            # the outcome: the write succeeded if its claim id is there.
            self._is_cache_valid = False
            if written.error.kind not in _RETRYABLE_FAULTS:
                return Error(written.error)
            self._dependencies.metrics.count(
                f'claim.{written.error.kind.value}'
            )
        return Error(
            state.StoreFault(
                state.StoreFaultKind.UNAVAILABLE,
                'too many conflicting writes by other writers',
            )
        )

    def recover(self) -> Result[None, state.StoreFault]:
        """Write again what a restored store lacks of this log."""
        if not self._index and not self._known:
            return Ok(None)
        return self.commit(()).map(lambda _: None)

    def records(
        self,
    ) -> Result[tuple[state.ClaimRecord, ...], state.StoreFault]:
        """Read the bucket and return the current record of each key."""
        self._is_cache_valid = False
        return self._load().map(lambda _: tuple(self._index.values()))

    def compact(self) -> Result[bool, state.StoreFault]:
        """Merge old segments and drop expired records.

        Returns whether any segment was compacted.
        """
        loaded = self._load()
        if loaded.is_error():
            return Error(loaded.error)
        if self._lost:
            # Compaction copies the head, so it must be complete.
            recovered = self.commit(())
            if recovered.is_error():
                return Error(recovered.error)
        old_segments = self._segments_to_compact()
        if not old_segments:
            return Ok(False)
        merged: dict[state.ClaimKey, state.ClaimRecord] = {}
        for sealed in old_segments:
            for record in self._segment_records[sealed.name]:
                merged[record.key] = record
        now_s = self._dependencies.clock.wall_s()
        expired_s = now_s - self._dependencies.settings.retention_s
        head = dict(self._head_records)
        retained_records: list[state.ClaimRecord] = []
        for record in merged.values():
            retained = _rules.apply_retention(
                record, self._dependencies.settings, now_s
            )
            # A later segment or the head may hold the current record.
            if retained is None or self._index.get(record.key) is not record:
                continue
            if retained.changed_s <= expired_s:
                # An unresolved claim never expires. It moves to the head so
                # that it does not keep an old segment alive.
                head[retained.key] = retained
                continue
            retained_records.append(retained)
        remaining = self._sealed_segments[len(old_segments) :]
        if retained_records:
            written_segment = self._write_segment(
                tuple(retained_records), stripped=True
            )
            if written_segment.is_error():
                return Error(written_segment.error)
            remaining = (written_segment.ok, *remaining)
        written = self._write_head(remaining, head)
        if written.is_error():
            self._is_cache_valid = False
            return Error(written.error)
        self._rebuild_index()
        for sealed in old_segments:
            self._delete_segment(sealed.name)
        return Ok(True)

    def _segments_to_compact(self) -> tuple[state.SealedSegment, ...]:
        """Return the oldest segments to merge in one compaction."""
        settings = self._dependencies.settings
        now_s = self._dependencies.clock.wall_s()
        expired_s = now_s - settings.retention_s
        selected: list[state.SealedSegment] = []
        size_bytes = 0
        for sealed in self._sealed_segments:
            if sealed.newest_s > now_s - settings.answer_retention_s:
                break
            size_bytes += sealed.size_bytes
            if selected and size_bytes > settings.segment_limit_bytes:
                break
            selected.append(sealed)
        if all(
            item.stripped and item.newest_s > expired_s for item in selected
        ):
            full = settings.segment_limit_bytes / 2
            if len(selected) < 2 or selected[0].size_bytes > full:
                return ()
        return tuple(selected)

    def _apply_proposals(
        self, proposals: tuple[state.ClaimRecord, ...]
    ) -> tuple[dict[state.ClaimKey, state.ClaimRecord], Records]:
        changed = dict(self._lost)
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

    def _write_changes(
        self, changed: dict[state.ClaimKey, state.ClaimRecord]
    ) -> Result[None, state.StoreFault]:
        settings = self._dependencies.settings
        now_s = self._dependencies.clock.wall_s()
        head: dict[state.ClaimKey, state.ClaimRecord] = {}
        for key, record in self._head_records.items():
            if key in changed:
                continue
            retained = _rules.apply_retention(record, settings, now_s)
            # A sealed segment may hold an older record of the key, which
            # would become current again if this one were dropped first.
            # Compaction removes the older record before this one.
            if retained is None and self._sealed_segments:
                retained = record
            if retained is not None:
                head[key] = retained
        head.update(changed)
        sealed = self._sealed_segments
        segment = state.ClaimSegment(sealed, tuple(head.values()))
        value: bytes | None = self._dependencies.codec.encode(segment)
        assert value is not None
        if len(value) > settings.head_limit_bytes:
            added = self._write_segment(tuple(head.values()), stripped=False)
            # An oversized head is still correct, so a failed seal is
            # retried with the next write.
            if added.is_ok():
                sealed = (*sealed, added.ok)
                head = {}
                value = None
        return self._write_head(sealed, head, value)

    def _write_head(
        self,
        sealed: tuple[state.SealedSegment, ...],
        head: dict[state.ClaimKey, state.ClaimRecord],
        value: bytes | None = None,
    ) -> Result[None, state.StoreFault]:
        if value is None:
            value = self._dependencies.codec.encode(
                state.ClaimSegment(sealed, tuple(head.values()))
            )
        written = self._dependencies.store.put(
            f'{self._prefix}/head', value, self._head_version
        )
        if written.is_error():
            return Error(written.error)
        if self._dependencies.store.era != self._era:
            # The condition named a version of an era that has ended.
            return Error(
                state.StoreFault(
                    state.StoreFaultKind.ANSWER_LOST,
                    'The store was restored before the write was answered.',
                )
            )
        for key in self._head_records.keys() - head.keys():
            # Dropped by retention, or moved to the segment just sealed.
            self._index.pop(key, None)
        for older in sealed[len(self._sealed_segments) :]:
            for record in self._segment_records[older.name]:
                self._index[record.key] = record
        self._index.update(head)
        self._head_version = written.ok.version
        self._sealed_segments = sealed
        self._head_records = head
        return Ok(None)

    def _write_segment(
        self, records: tuple[state.ClaimRecord, ...], stripped: bool
    ) -> Result[state.SealedSegment, state.StoreFault]:
        # The name is unique among all writers. A segment that no head
        # lists is not part of the bucket.
        name = uuid.uuid4().hex
        value = self._dependencies.codec.encode(
            state.ClaimSegment((), records)
        )
        written = self._dependencies.store.put(
            f'{self._prefix}/{name}', value, None
        )
        if written.is_error():
            return Error(written.error)
        self._segment_records[name] = records
        newest_s = max(record.changed_s for record in records)
        return Ok(state.SealedSegment(name, newest_s, len(value), stripped))

    def _delete_segment(self, name: str) -> None:
        store = self._dependencies.store
        stored = store.get(f'{self._prefix}/{name}')
        if stored.is_error() or store.era != self._era:
            return
        store.delete(stored.ok.key, stored.ok.version)
        if store.era != self._era:
            # The restored head lists the segment again.
            store.put(stored.ok.key, stored.ok.value, None)
            return
        self._segment_records.pop(name, None)

    def _load(self) -> Result[None, state.StoreFault]:
        store = self._dependencies.store
        if self._is_cache_valid and store.era == self._era:
            return Ok(None)
        for _ in range(_READ_ATTEMPTS_COUNT):
            era = store.era
            loaded = self._read_bucket(era)
            if store.era == era:
                return loaded
            self._is_cache_valid = False
        return Error(
            state.StoreFault(
                state.StoreFaultKind.UNAVAILABLE,
                'The store was restored while the bucket was read.',
            )
        )

    def _read_bucket(self, era: int) -> Result[None, state.StoreFault]:
        is_restored = self._era is not None and era != self._era
        stored = self._dependencies.store.get(f'{self._prefix}/head')
        segment = state.ClaimSegment((), ())
        version: int | None = None
        if stored.is_ok():
            version = stored.ok.version
            decoded = self._dependencies.codec.decode(stored.ok.value)
            if decoded.is_error():
                return Error(decoded.error)
            segment = decoded.ok
        elif stored.error.kind is not state.StoreFaultKind.MISSING:
            return Error(stored.error)
        for sealed in segment.sealed:
            if sealed.name in self._segment_records:
                if is_restored:
                    self._write_segment_again(sealed.name)
                continue
            read = self._load_segment(sealed.name)
            if read.is_error():
                return Error(read.error)
        if self._dependencies.store.era != era:
            return Ok(None)
        if is_restored or era:
            # After era 0, a writer that has not noticed a restore may have
            # overwritten the head as well.
            self._remember_known()
        self._era = era
        self._head_version = version
        self._sealed_segments = segment.sealed
        self._head_records = {record.key: record for record in segment.records}
        self._rebuild_index()
        self._find_lost()
        self._is_cache_valid = True
        return Ok(None)

    def _remember_known(self) -> None:
        """Keep the recent records, which the copy may lack."""
        now_s = self._dependencies.clock.wall_s()
        for key, record in self._index.items():
            if key in self._lost:
                # The copy's record is older; the known one is yet to be
                # written.
                continue
            if now_s - record.changed_s <= RESTORED_COPY_AGE_S:
                self._known[key] = record

    def _find_lost(self) -> None:
        """Find the known records that the bucket just read lacks."""
        self._lost = {}
        for key, known in self._known.items():
            lost = _rules.merge_lost(self._index.get(key), known)
            if lost is not None:
                self._lost[key] = lost
        if not self._lost:
            self._known = {}

    def _record_rewritten(self) -> None:
        """Record that a commit has written the lost records again."""
        if not self._lost:
            return
        self._dependencies.metrics.count('claim.written_again')
        _LOG.warning(
            'a restored store lacked claims; they were written again',
            bucket=self._prefix,
            record_count=len(self._lost),
        )
        self._known = {}
        self._lost = {}

    def _write_segment_again(self, name: str) -> None:
        """Write a segment that a restored store may lack."""
        value = self._dependencies.codec.encode(
            state.ClaimSegment((), self._segment_records[name])
        )
        # A conflict means that the store has it.
        self._dependencies.store.put(f'{self._prefix}/{name}', value, None)

    def _load_segment(self, name: str) -> Result[None, state.StoreFault]:
        stored = self._dependencies.store.get(f'{self._prefix}/{name}')
        if stored.is_error():
            # Another writer's compaction deletes old segments, so the head
            # just read may be outdated; the next load reads the new one.
            return Error(
                state.StoreFault(
                    state.StoreFaultKind.UNAVAILABLE, stored.error.message
                )
            )
        decoded = self._dependencies.codec.decode(stored.ok.value)
        if decoded.is_error():
            return Error(decoded.error)
        self._segment_records[name] = decoded.ok.records
        return Ok(None)

    def _rebuild_index(self) -> None:
        listed_names = {sealed.name for sealed in self._sealed_segments}
        for name in self._segment_records.keys() - listed_names:
            del self._segment_records[name]
        self._index = {}
        for sealed in self._sealed_segments:
            for record in self._segment_records[sealed.name]:
                self._index[record.key] = record
        self._index.update(self._head_records)
