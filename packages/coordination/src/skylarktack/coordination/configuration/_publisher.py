"""Applies configuration changes by conditional writes to the object API."""

import dataclasses
import enum

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.configuration import _codec
from skylarktack.coordination.configuration import _rules
from skylarktack.coordination.configuration import _store_reads

#: Key of the current record.
CURRENT_KEY = 'configuration/current'

#: Key prefix of the records of earlier revisions.
HISTORY_PREFIX = 'configuration/history/'

#: Earlier changes listed in a record, so that a resubmitted change is
#: recognised.
RECENT_CHANGES_COUNT = 32

#: Earlier revisions kept in the history. At 6,700 changes a day they cover
#: most of an hour; without a bound the store would grow indefinitely.
HISTORY_COUNT = 200

#: Maximum size of a value in the object API.
VALUE_LIMIT_BYTES = 1_000_000


class ChangeFaultKind(enum.Enum):
    """Why an operation on the configuration failed."""

    #: The document is invalid or too large.
    INVALID = 'invalid'

    #: Another change was accepted after the base revision.
    CONFLICT = 'conflict'

    #: The object API is unavailable; the change was not accepted.
    UNAVAILABLE = 'unavailable'

    #: The change may have been accepted; resubmit it with the same
    #: identifier to find out.
    UNKNOWN = 'unknown'

    #: The revision does not exist or has left the history.
    MISSING = 'missing'


@dataclasses.dataclass(frozen=True)
class ChangeFault:
    """A failed operation on the configuration."""

    kind: ChangeFaultKind

    #: Human-readable description.
    message: str

    #: Errors in the document, for ``INVALID``.
    findings: tuple[state.Finding, ...] = ()

    #: The current record, for ``CONFLICT``.
    current: state.ConfigurationRecord | None = None


@dataclasses.dataclass(frozen=True)
class _CurrentRecord:
    """The current record as read from the store."""

    #: Era of the read.
    era: int

    #: None if there is none yet.
    record: state.ConfigurationRecord | None

    #: Version of the object; None if there is none yet.
    version: int | None


class ConfigurationPublisher:
    """Applies configuration changes; any instance can do so.

    Concurrent changes are serialised by the conditional write of the current
    record. The replaced record is copied to the history before that write,
    so that no accepted revision can be missing from the history.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        codec: _codec.ConfigurationCodec,
        clock: ports.Clock,
        active: ports.ConfigurationSource | None = None,
    ) -> None:
        """Create a publisher.

        :param active: the configuration of this instance. While a restored
            store lacks it, no change is accepted.
        """
        self._store = store
        self._codec = codec
        self._clock = clock
        self._active = active

    def apply(
        self, change: state.ConfigurationChange
    ) -> Result[state.ConfigurationRecord, ChangeFault]:
        """Validate a change and make it the current revision.

        A change that was already accepted under the same identifier returns
        the current record and writes nothing.
        """
        findings = _rules.check_document(change.document)
        if findings:
            return Error(
                ChangeFault(
                    ChangeFaultKind.INVALID,
                    'The document is invalid.',
                    findings,
                )
            )
        found = self._read_current()
        if found.is_error():
            return Error(found.error)
        current, version, era = (
            found.ok.record,
            found.ok.version,
            found.ok.era,
        )
        if current is not None and _was_applied(current, change.change_id):
            return Ok(current)
        if self._is_restored_without_active(current, era):
            return Error(
                ChangeFault(
                    ChangeFaultKind.UNAVAILABLE,
                    'The object API was restored from a copy; the revision '
                    'in effect is being written again.',
                )
            )
        revision = 0 if current is None else current.revision
        if change.base_revision != revision:
            return Error(
                ChangeFault(
                    ChangeFaultKind.CONFLICT,
                    f'Revision {revision} is in effect; the change started '
                    f'from revision {change.base_revision}.',
                    current=current,
                )
            )
        record = self._next_record(change, current, era)
        value = self._codec.encode(record)
        if len(value) > VALUE_LIMIT_BYTES:
            return Error(
                ChangeFault(
                    ChangeFaultKind.INVALID,
                    'The document is too large for one object.',
                    (
                        state.Finding(
                            '$', f'Must not exceed {VALUE_LIMIT_BYTES} bytes.'
                        ),
                    ),
                )
            )
        if current is not None:
            archive_fault = self._archive(current)
            if archive_fault is not None:
                return Error(archive_fault)
        return self._write(record, value, version)

    def roll_back(
        self, revision: int, author: str, change_id: str
    ) -> Result[state.ConfigurationRecord, ChangeFault]:
        """Apply the document of an earlier revision as a new revision."""
        old = self.revision(revision)
        if old.is_error():
            return Error(old.error)
        found = self._read_current()
        if found.is_error():
            return Error(found.error)
        current = found.ok.record
        return self.apply(
            state.ConfigurationChange(
                document=old.ok.document,
                base_revision=0 if current is None else current.revision,
                author=author,
                change_id=change_id,
                comment=f'Roll back to revision {revision}.',
            )
        )

    def revision(
        self, revision: int
    ) -> Result[state.ConfigurationRecord, ChangeFault]:
        """Read the current revision or one of the history."""
        found = self._read_current()
        if found.is_error():
            return Error(found.error)
        current = found.ok.record
        if current is not None and current.revision == revision:
            return Ok(current)
        stored = self._store.get(history_key(revision))
        if stored.is_error():
            return Error(_store_fault(stored.error, may_have_written=False))
        return self._decode(stored.ok.value)

    def current(
        self,
    ) -> Result[state.ConfigurationRecord | None, ChangeFault]:
        """Read the current record; None if there is none yet."""
        return self._read_current().map(lambda found: found.record)

    def history(
        self, count: int
    ) -> Result[tuple[state.ConfigurationRecord, ...], ChangeFault]:
        """Read the last ``count`` revisions, newest first."""
        found = self._read_current()
        if found.is_error():
            return Error(found.error)
        current = found.ok.record
        if current is None:
            return Ok(())
        records = [current]
        oldest_excluded = max(0, current.revision - count)
        for revision in range(current.revision - 1, oldest_excluded, -1):
            stored = self._store.get(history_key(revision))
            if stored.is_error():
                if stored.error.kind is state.StoreFaultKind.MISSING:
                    # A restore of the store may have left a gap.
                    continue
                break
            decoded = self._decode(stored.ok.value)
            if decoded.is_error():
                return Error(decoded.error)
            records.append(decoded.ok)
        return Ok(tuple(records))

    def _next_record(
        self,
        change: state.ConfigurationChange,
        current: state.ConfigurationRecord | None,
        era: int,
    ) -> state.ConfigurationRecord:
        recent: tuple[state.AppliedChange, ...] = ()
        revision = 1
        if current is not None:
            revision = current.revision + 1
            recent = (
                state.AppliedChange(current.change_id, current.revision),
                *current.recent_changes,
            )[:RECENT_CHANGES_COUNT]
        return state.ConfigurationRecord(
            revision=revision,
            document=change.document,
            author=change.author,
            accepted_s=self._clock.wall_s(),
            change_id=change.change_id,
            comment=change.comment,
            recent_changes=recent,
            era=era,
        )

    def _is_restored_without_active(
        self, current: state.ConfigurationRecord | None, era: int
    ) -> bool:
        """Return whether the store lost the revision of this instance."""
        if self._active is None:
            return False
        active = self._active.current()
        if not active.revision or active.era >= era:
            return False
        return current is None or current.position < active.position

    def _archive(
        self, current: state.ConfigurationRecord
    ) -> ChangeFault | None:
        written = self._store.put(
            history_key(current.revision),
            self._codec.encode(current),
            None,
        )
        if written.is_ok():
            self._remove_expired(current.revision - HISTORY_COUNT)
            return None
        if written.error.kind is state.StoreFaultKind.CONFLICT:
            # An earlier attempt to replace this revision archived it.
            return None
        # The current record is unchanged: the change was not accepted.
        return ChangeFault(
            ChangeFaultKind.UNAVAILABLE, 'The object API did not respond.'
        )

    def _remove_expired(self, revision: int) -> None:
        # A failed removal leaves only one extra object.
        if revision <= 0:
            return
        stored = self._store.get(history_key(revision))
        if stored.is_ok():
            self._store.delete(stored.ok.key, stored.ok.version)

    def _write(
        self,
        record: state.ConfigurationRecord,
        value: bytes,
        version: int | None,
    ) -> Result[state.ConfigurationRecord, ChangeFault]:
        written = self._store.put(CURRENT_KEY, value, version)
        if self._store.era != record.era:
            # The version of the condition may have been given out again.
            return Error(
                ChangeFault(
                    ChangeFaultKind.UNKNOWN,
                    'The object API was restored from a copy; submit the '
                    'change again with the same identifier.',
                )
            )
        if written.is_ok():
            return Ok(record)
        if written.error.kind is state.StoreFaultKind.UNAVAILABLE:
            return Error(_store_fault(written.error, may_have_written=False))
        # After a conflict or a lost response, the current record shows
        # whether the write happened.
        found = self._read_current()
        if found.is_error():
            return Error(_store_fault(written.error, may_have_written=True))
        current = found.ok.record
        if current is not None and _was_applied(current, record.change_id):
            return Ok(record)
        if written.error.kind is state.StoreFaultKind.ANSWER_LOST:
            # The write may still take effect; resubmitting the change with
            # the same identifier resolves it.
            return Error(_store_fault(written.error, may_have_written=True))
        return Error(
            ChangeFault(
                ChangeFaultKind.CONFLICT,
                'Another change was accepted before this one.',
                current=current,
            )
        )

    def _read_current(
        self,
    ) -> Result[_CurrentRecord, ChangeFault]:
        read = _store_reads.read_in_one_era(self._store, CURRENT_KEY)
        stored = read.found
        if stored.is_error():
            if stored.error.kind is state.StoreFaultKind.MISSING:
                return Ok(_CurrentRecord(read.era, None, None))
            return Error(_store_fault(stored.error, may_have_written=False))
        decoded = self._decode(stored.ok.value)
        if decoded.is_error():
            return Error(decoded.error)
        return Ok(_CurrentRecord(read.era, decoded.ok, stored.ok.version))

    def _decode(
        self, value: bytes
    ) -> Result[state.ConfigurationRecord, ChangeFault]:
        decoded = self._codec.decode(value)
        if decoded.is_error():
            return Error(
                ChangeFault(
                    ChangeFaultKind.INVALID,
                    'The stored record is invalid.',
                    decoded.error,
                )
            )
        return Ok(decoded.ok)


def _was_applied(record: state.ConfigurationRecord, change_id: str) -> bool:
    if record.change_id == change_id:
        return True
    for change in record.recent_changes:
        if change.change_id == change_id:
            return True
    return False


def history_key(revision: int) -> str:
    """Return the key of a revision in the history."""
    return f'{HISTORY_PREFIX}{revision:010d}'


def _store_fault(
    fault: state.StoreFault, may_have_written: bool
) -> ChangeFault:
    if may_have_written:
        return ChangeFault(
            ChangeFaultKind.UNKNOWN,
            'The response of the object API was lost; submit the change again '
            'with the same identifier.',
        )
    if fault.kind is state.StoreFaultKind.MISSING:
        return ChangeFault(
            ChangeFaultKind.MISSING, 'The revision does not exist.'
        )
    return ChangeFault(
        ChangeFaultKind.UNAVAILABLE, 'The object API cannot be reached.'
    )
