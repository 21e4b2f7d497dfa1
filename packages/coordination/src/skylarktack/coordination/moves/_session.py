"""Drives one move under a lease, by conditional writes."""

import dataclasses
import enum

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.moves import _codec
from skylarktack.coordination.moves import _evidence
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _loading
from skylarktack.coordination.moves import _planning
from skylarktack.coordination.moves import _table

#: Entries of a move's history; later ones replace the middle.
HISTORY_COUNT = 60

_LOG = structlog.get_logger(part='moves')


class DriverState(enum.Enum):
    """Whether this instance drives a move."""

    #: Another instance holds the lease.
    WAITING = 'waiting'

    #: This instance drives.
    DRIVING = 'driving'

    #: The store gave no answer; nothing changes until it does.
    HOLDING = 'holding'

    #: Another instance has taken the lease.
    LOST = 'lost'

    #: The move has ended.
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True)
class DriverParts:
    """Everything that driving a move needs."""

    #: How moves are driven.
    settings: state.MoveSettings

    #: Time.
    clock: ports.Clock

    #: Holder of the records.
    store: ports.ObjectStore

    #: Encoding of the records.
    codec: _codec.MoveCodec

    #: Other instances.
    peers: ports.PeerNetwork

    #: Receivers of orders.
    engines: ports.EngineClient

    #: The configuration in effect.
    configuration: ports.ConfigurationSource

    #: Targets.
    directory: _loading.TargetDirectory

    #: Records as this instance applies them.
    table: _table.MoveTable

    #: Evidence of this instance.
    collector: _evidence.EvidenceCollector

    #: Evidence of all instances.
    book: _evidence.EvidenceBook

    #: Verdicts.
    judge: _judging.Judge

    #: Counters.
    metrics: ports.Metrics


class LeasedMoveDriver:
    """One attempt to drive one move; used by its thread alone.

    Every change is a conditional write on the version of the record read
    last, which is what fences a paused former driver. The lease only keeps
    two instances from working on the same move.
    """

    def __init__(self, parts: DriverParts, name: str) -> None:
        self._parts = parts
        self._name = name
        self._key = _codec.record_key(name)
        self._loader = _loading.VersionLoader(
            parts.settings, parts.clock, parts.engines, parts.directory
        )
        self._record: state.MoveRecord | None = None
        self._version: int | None = None
        self._fencing_number = 0
        self._unsettled = False
        self._lease_until_s = 0.0
        self._renew_at_s = 0.0

    @property
    def record(self) -> state.MoveRecord | None:
        """The record as this driver last read or wrote it."""
        return self._record

    def step(self) -> DriverState:
        """Take the lease, or make the next step under it."""
        if self._unsettled:
            settled = self._settle()
            if settled is not DriverState.DRIVING:
                return settled
        if self._record is None or not self._fencing_number:
            return self._acquire()
        if self._record.ended:
            return DriverState.ENDED
        return self._drive(self._record)

    def _acquire(self) -> DriverState:
        parts = self._parts
        read = parts.store.get(self._key)
        now_s = parts.clock.wall_s()
        revision = parts.configuration.current().revision
        if read.is_error():
            if read.error.kind is not state.StoreFaultKind.MISSING:
                return DriverState.HOLDING
            move = self._move()
            if move is None:
                return DriverState.ENDED
            self._version = None
            record = _first_record(move, parts.peers.name)
        else:
            decoded = parts.codec.decode(read.ok.value)
            if decoded.is_error():
                _LOG.error('record is invalid', move=self._name)
                return DriverState.ENDED
            record = decoded.ok
            self._version = read.ok.version
            parts.table.offer(record, read.ok.version)
            if record.ended:
                return DriverState.ENDED
            if not self._is_expired(record.lease, now_s):
                return DriverState.WAITING
            if revision < record.configuration_revision:
                return DriverState.WAITING
            record = self._taken_over(record)
        self._fencing_number = record.lease.fencing_number
        record = dataclasses.replace(record, configuration_revision=revision)
        return self._write(record, 'The lease was taken.')

    def _is_expired(self, lease: state.MoveLease, now_s: float) -> bool:
        allowance_s = self._parts.settings.clock_allowance_ms / 1000
        return now_s > lease.expires_s + allowance_s

    def _taken_over(self, record: state.MoveRecord) -> state.MoveRecord:
        settings = self._parts.settings
        # The former holder sends no order that could last beyond its lease;
        # the timeout and the allowance cover a request already under way
        # and the difference of the clocks.
        quiet_s = (
            settings.order_timeout_ms + settings.clock_allowance_ms
        ) / 1000
        return dataclasses.replace(
            record,
            lease=state.MoveLease(
                holder=self._parts.peers.name,
                fencing_number=record.lease.fencing_number + 1,
                expires_s=0.0,
                quiet_until_s=record.lease.expires_s + quiet_s,
            ),
        )

    def _drive(self, record: state.MoveRecord) -> DriverState:
        parts = self._parts
        active = parts.configuration.current()
        if active.revision < record.configuration_revision:
            # This instance lags; an instance that knows the newer
            # configuration takes the lease once it runs out.
            return DriverState.HOLDING
        progress = self._loader.progress(record, active.document)
        reports = self._reports(record)
        situation = _planning.Situation(
            now_s=parts.clock.wall_s(),
            move=self._move(),
            revision=active.revision,
            progress=progress,
            judgement=self._judge(record, reports),
            stopped_count=sum(1 for report in reports if report.stopped),
        )
        following = _planning.decide(parts.settings, record, situation)
        if following is not None:
            self._announce_stop(record, following)
            return self._write(
                dataclasses.replace(
                    following, configuration_revision=active.revision
                ),
                following.reason,
            )
        if parts.clock.monotonic_s() >= self._renew_at_s:
            renewed = self._write(record, '')
            if renewed is not DriverState.DRIVING:
                return renewed
        if record.phase is not state.MovePhase.PLANNED:
            right = _loading.OrderRight(record.lease, self._lease_until_s)
            self._loader.advance(record, right, progress)
        return DriverState.DRIVING

    def _reports(
        self, record: state.MoveRecord
    ) -> tuple[state.EvidenceReport, ...]:
        parts = self._parts
        own = parts.collector.report(record.name, parts.peers.name)
        if own is not None:
            parts.book.take(own)
        return parts.book.reports(record.name, record.stage)

    def _judge(
        self,
        record: state.MoveRecord,
        reports: tuple[state.EvidenceReport, ...],
    ) -> _judging.Judgement:
        rows: list[state.EvidenceRow] = []
        for report in reports:
            rows.extend(report.rows)
        return self._parts.judge.judge(
            tuple(rows),
            record.to_version,
            self._parts.settings.rejection_probability,
        )

    def _announce_stop(
        self, record: state.MoveRecord, following: state.MoveRecord
    ) -> None:
        """Stop the version everywhere before the write, which may have to
        wait for the store.
        """
        if following.phase is not state.MovePhase.ROLLED_BACK:
            return
        stop = state.MoveStop(
            record.name, record.lease.fencing_number, following.reason
        )
        if self._parts.table.stop(
            record.name, stop.reason, stop.fencing_number
        ):
            self._parts.peers.broadcast(stop)

    def _write(self, record: state.MoveRecord, reason: str) -> DriverState:
        parts = self._parts
        now_s = parts.clock.wall_s()
        sent_s = parts.clock.monotonic_s()
        record = dataclasses.replace(
            record,
            updated_s=now_s,
            lease=dataclasses.replace(
                record.lease,
                expires_s=now_s + parts.settings.lease_ms / 1000,
            ),
        )
        if reason:
            record = _with_step(record, reason, now_s)
        written = parts.store.put(
            self._key, parts.codec.encode(record), self._version
        )
        if written.is_ok():
            self._lease_until_s = sent_s + parts.settings.lease_ms / 1000
            self._adopt(record, written.ok.version)
            if record.ended:
                return DriverState.ENDED
            return DriverState.DRIVING
        parts.metrics.count('moves.write_failed')
        if written.error.kind in (
            state.StoreFaultKind.CONFLICT,
            state.StoreFaultKind.ANSWER_LOST,
        ):
            self._unsettled = True
            return self._settle()
        return DriverState.HOLDING

    def _settle(self) -> DriverState:
        """Find out by reading what became of a write."""
        parts = self._parts
        read = parts.store.get(self._key)
        if read.is_error():
            if read.error.kind is not state.StoreFaultKind.MISSING:
                return DriverState.HOLDING
            self._unsettled = False
            self._fencing_number = 0
            self._record = None
            return DriverState.DRIVING
        decoded = parts.codec.decode(read.ok.value)
        if decoded.is_error():
            return DriverState.LOST
        self._unsettled = False
        record = decoded.ok
        lease = record.lease
        ours = (
            lease.holder == parts.peers.name
            and lease.fencing_number == self._fencing_number
        )
        if not ours and not record.ended and self._record is None:
            # The write that should have taken the lease had no effect.
            self._fencing_number = 0
            return DriverState.WAITING
        if ours:
            left_s = lease.expires_s - parts.clock.wall_s()
            self._lease_until_s = parts.clock.monotonic_s() + left_s
        self._adopt(record, read.ok.version)
        if record.ended:
            return DriverState.ENDED
        return DriverState.DRIVING if ours else DriverState.LOST

    def _adopt(self, record: state.MoveRecord, version: int) -> None:
        parts = self._parts
        before = self._record
        self._record = record
        self._version = version
        self._renew_at_s = (
            parts.clock.monotonic_s() + parts.settings.renew_ms / 1000
        )
        parts.table.offer(record, version)
        if before is not None and before.history == record.history:
            return
        parts.peers.broadcast(state.MoveNotice(version, record))
        parts.metrics.count(f'moves.phase.{record.phase.value}')
        _LOG.info(
            'step written',
            move=record.name,
            phase=record.phase.value,
            share=record.share,
            fencing_number=record.lease.fencing_number,
            reason=record.history[-1].reason,
        )

    def _move(self) -> state.Move | None:
        for move in self._parts.configuration.current().document.moves:
            if move.name == self._name:
                return move
        return None


def _first_record(
    move: state.Move, holder: state.InstanceName
) -> state.MoveRecord:
    return state.MoveRecord(
        name=move.name,
        route=move.route,
        from_version=move.from_version,
        to_version=move.to_version,
        start_s=move.start_s,
        deadline_s=move.deadline_s,
        configuration_revision=0,
        lease=state.MoveLease(holder, 1, 0.0),
    )


def _with_step(
    record: state.MoveRecord, reason: str, now_s: float
) -> state.MoveRecord:
    step = state.MoveStep(
        at_s=now_s,
        holder=record.lease.holder,
        phase=record.phase,
        share=record.share,
        reason=reason,
    )
    history = record.history
    if len(history) >= HISTORY_COUNT:
        half = HISTORY_COUNT // 2
        history = (*history[:half], *history[half + 1 :])
    return dataclasses.replace(record, history=(*history, step))
