"""Driver of one move, under a lease and with conditional writes."""

import dataclasses
import enum

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.moves import _codec
from skylarktack.coordination.moves import _evidence
from skylarktack.coordination.moves import _fencing
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _loading
from skylarktack.coordination.moves import _planning
from skylarktack.coordination.moves import _table

#: Maximum length of a move's history. Beyond it, entries in the middle are
#: dropped, so that the first and the latest remain.
MAX_HISTORY_COUNT = 60

_LOG = structlog.get_logger(part='moves')


class DriverState(enum.Enum):
    """State of a driver after a step."""

    #: Another instance holds the lease.
    WAITING = 'waiting'

    #: This instance holds the lease.
    DRIVING = 'driving'

    #: The step cannot proceed: the store is unavailable or this instance
    #: has an older configuration. The driver stays as it is.
    HOLDING = 'holding'

    #: Another instance has taken over the lease.
    LOST = 'lost'

    #: The move has ended or cannot be driven.
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True)
class DriverDependencies:
    """Dependencies of a driver."""

    settings: state.MoveSettings

    clock: ports.Clock

    #: Store of the move records.
    store: ports.ObjectStore

    codec: _codec.MoveCodec

    peers: ports.PeerNetwork

    #: Sends load commands and reads load reports.
    engines: ports.EngineClient

    configuration: ports.ConfigurationSource

    directory: _loading.TargetDirectory

    #: Records cached on this instance, with the shares that it applies.
    table: _table.MoveTable

    #: Evidence of this instance.
    collector: _evidence.EvidenceCollector

    #: Latest evidence reports of all instances.
    evidence_reports: _evidence.EvidenceReports

    judge: _judging.Judge

    metrics: ports.Metrics


class LeasedMoveDriver:
    """Drives one move while it holds the lease. Not thread-safe.

    Every change is a write conditional on the version of the record read
    last. This condition fences off a paused former driver; the lease merely
    keeps two instances from driving the same move at once.
    """

    def __init__(self, dependencies: DriverDependencies, name: str) -> None:
        self._dependencies = dependencies
        self._name = name
        self._key = _codec.record_key(name)
        self._loader = _loading.VersionLoader(
            dependencies.settings,
            dependencies.clock,
            dependencies.engines,
            dependencies.directory,
        )
        self._record: state.MoveRecord | None = None
        self._version: int | None = None
        self._era = 0
        self._fencing_number = 0
        self._is_write_unresolved = False
        self._lease_until_s = 0.0
        self._renew_at_s = 0.0

    @property
    def record(self) -> state.MoveRecord | None:
        """The record as last read or written, None before the first read."""
        return self._record

    def step(self) -> DriverState:
        """Acquire the lease, or make the next step of the move."""
        if self._is_write_unresolved:
            driver_state = self._resolve_write()
            if driver_state is not DriverState.DRIVING:
                return driver_state
        if self._record is None or not self._fencing_number:
            return self._acquire()
        if self._record.ended:
            return DriverState.ENDED
        return self._drive(self._record)

    def _acquire(self) -> DriverState:
        dependencies = self._dependencies
        self._era = dependencies.store.era
        read = dependencies.store.get(self._key)
        if dependencies.store.era != self._era:
            return DriverState.HOLDING
        now_s = dependencies.clock.wall_s()
        active = dependencies.configuration.current()
        if read.is_error():
            if read.error.kind is not state.StoreFaultKind.MISSING:
                return DriverState.HOLDING
            move = self._configured_move()
            if move is None:
                return DriverState.ENDED
            self._version = None
            known = self._newer_known_record(None)
            if known is None:
                record = _first_record(
                    move,
                    dependencies.peers.name,
                    _fencing.next_fencing_number(0, self._era, now_s),
                    _fencing.quiet_until_s(
                        dependencies.settings, None, self._era, now_s
                    ),
                )
            elif known.ended:
                return DriverState.ENDED
            elif not self._is_expired(known.lease, now_s):
                return DriverState.WAITING
            else:
                record = self._take_over_lease(known, now_s)
        else:
            decoded = dependencies.codec.decode(read.ok.value)
            if decoded.is_error():
                _LOG.error('move record cannot be decoded', move=self._name)
                return DriverState.ENDED
            record = decoded.ok
            self._version = read.ok.version
            dependencies.table.apply_record(record, read.ok.version, self._era)
            record = self._newer_known_record(record) or record
            if record.ended:
                return DriverState.ENDED
            if not self._is_expired(record.lease, now_s):
                return DriverState.WAITING
            if active.position < record.configuration_position:
                return DriverState.WAITING
            record = self._take_over_lease(record, now_s)
        self._fencing_number = record.lease.fencing_number
        record = _with_configuration(record, active)
        return self._write(record, 'The lease was taken.')

    def _is_expired(self, lease: state.MoveLease, now_s: float) -> bool:
        allowance_s = self._dependencies.settings.clock_allowance_ms / 1000
        return now_s > lease.expires_s + allowance_s

    def _take_over_lease(
        self, record: state.MoveRecord, now_s: float
    ) -> state.MoveRecord:
        return dataclasses.replace(
            record,
            lease=state.MoveLease(
                holder=self._dependencies.peers.name,
                fencing_number=_fencing.next_fencing_number(
                    record.lease.fencing_number, self._era, now_s
                ),
                expires_s=0.0,
                quiet_until_s=_fencing.quiet_until_s(
                    self._dependencies.settings,
                    record.lease,
                    self._era,
                    now_s,
                ),
            ),
        )

    def _newer_known_record(
        self, stored: state.MoveRecord | None
    ) -> state.MoveRecord | None:
        """Return the cached record if a restored store lacks it."""
        cached = self._dependencies.table.cached(self._name)
        if cached is None or cached.era >= self._era:
            return None
        if stored is None:
            return cached.record
        if _table.write_order(stored) >= _table.write_order(cached.record):
            return None
        return cached.record

    def _drive(self, record: state.MoveRecord) -> DriverState:
        dependencies = self._dependencies
        active = dependencies.configuration.current()
        if active.position < record.configuration_position:
            # The configuration of this instance is outdated. An instance with
            # the newer one takes over once the lease expires.
            return DriverState.HOLDING
        progress = self._loader.progress(record, active.document)
        reports = self._reports(record)
        inputs = _planning.DecisionInputs(
            now_s=dependencies.clock.wall_s(),
            move=self._configured_move(),
            revision=active.revision,
            progress=progress,
            judgement=self._judge(record, reports),
            stopped_count=sum(1 for report in reports if report.stopped),
        )
        next_record = _planning.decide(dependencies.settings, record, inputs)
        if next_record is not None:
            self._announce_stop(record, next_record)
            return self._write(
                _with_configuration(next_record, active),
                next_record.reason,
            )
        if dependencies.clock.monotonic_s() >= self._renew_at_s:
            renewal_state = self._write(record, '')
            if renewal_state is not DriverState.DRIVING:
                return renewal_state
        if record.phase is not state.MovePhase.PLANNED:
            permission = _loading.CommandPermission(
                record.lease, self._lease_until_s
            )
            self._loader.advance(record, permission, progress)
        return DriverState.DRIVING

    def _reports(
        self, record: state.MoveRecord
    ) -> tuple[state.EvidenceReport, ...]:
        dependencies = self._dependencies
        own = dependencies.collector.report(
            record.name, dependencies.peers.name
        )
        if own is not None:
            dependencies.evidence_reports.record_report(own)
        return dependencies.evidence_reports.reports(record.name, record.stage)

    def _judge(
        self,
        record: state.MoveRecord,
        reports: tuple[state.EvidenceReport, ...],
    ) -> _judging.Judgement:
        rows: list[state.EvidenceRow] = []
        for report in reports:
            rows.extend(report.rows)
        return self._dependencies.judge.judge(
            tuple(rows),
            record.to_version,
            self._dependencies.settings.rejection_probability,
        )

    def _announce_stop(
        self, record: state.MoveRecord, next_record: state.MoveRecord
    ) -> None:
        """Stop the version on all instances if the next step is a rollback.

        Done before the write, which may have to wait for the store.
        """
        if next_record.phase is not state.MovePhase.ROLLED_BACK:
            return
        stop = state.MoveStop(
            record.name, record.lease.fencing_number, next_record.reason
        )
        if self._dependencies.table.stop(
            record.name, stop.reason, stop.fencing_number
        ):
            self._dependencies.peers.broadcast(stop)

    def _write(self, record: state.MoveRecord, reason: str) -> DriverState:
        dependencies = self._dependencies
        now_s = dependencies.clock.wall_s()
        sent_s = dependencies.clock.monotonic_s()
        record = dataclasses.replace(
            record,
            updated_s=now_s,
            lease=dataclasses.replace(
                record.lease,
                expires_s=now_s + dependencies.settings.lease_ms / 1000,
            ),
        )
        if reason:
            record = _with_step(record, reason, now_s)
        written = dependencies.store.put(
            self._key, dependencies.codec.encode(record), self._version
        )
        if dependencies.store.era != self._era:
            # The condition named a version of an era that has ended.
            dependencies.metrics.count('moves.write_failed')
            self._is_write_unresolved = True
            return self._resolve_write()
        if written.is_ok():
            self._lease_until_s = (
                sent_s + dependencies.settings.lease_ms / 1000
            )
            self._set_record(record, written.ok.version)
            if record.ended:
                return DriverState.ENDED
            return DriverState.DRIVING
        dependencies.metrics.count('moves.write_failed')
        if written.error.kind in (
            state.StoreFaultKind.CONFLICT,
            state.StoreFaultKind.ANSWER_LOST,
        ):
            self._is_write_unresolved = True
            return self._resolve_write()
        return DriverState.HOLDING

    def _resolve_write(self) -> DriverState:
        """Read the record to resolve a write of unknown outcome."""
        dependencies = self._dependencies
        era = dependencies.store.era
        read = dependencies.store.get(self._key)
        if dependencies.store.era != era:
            return DriverState.HOLDING
        self._era = era
        if read.is_error():
            if read.error.kind is not state.StoreFaultKind.MISSING:
                return DriverState.HOLDING
            self._is_write_unresolved = False
            self._fencing_number = 0
            self._record = None
            return DriverState.DRIVING
        decoded = dependencies.codec.decode(read.ok.value)
        if decoded.is_error():
            return DriverState.LOST
        self._is_write_unresolved = False
        record = decoded.ok
        lease = record.lease
        if not record.ended and _fencing.is_of_earlier_era(
            self._fencing_number, era
        ):
            # Another driver may have taken over and been overwritten.
            return DriverState.LOST
        is_own_lease = (
            lease.holder == dependencies.peers.name
            and lease.fencing_number == self._fencing_number
        )
        if not is_own_lease and not record.ended and self._record is None:
            # The write that was to acquire the lease had no effect.
            self._fencing_number = 0
            return DriverState.WAITING
        if is_own_lease:
            left_s = lease.expires_s - dependencies.clock.wall_s()
            self._lease_until_s = dependencies.clock.monotonic_s() + left_s
        self._set_record(record, read.ok.version)
        if record.ended:
            return DriverState.ENDED
        return DriverState.DRIVING if is_own_lease else DriverState.LOST

    def _set_record(self, record: state.MoveRecord, version: int) -> None:
        dependencies = self._dependencies
        previous = self._record
        self._record = record
        self._version = version
        self._renew_at_s = (
            dependencies.clock.monotonic_s()
            + dependencies.settings.renew_ms / 1000
        )
        dependencies.table.apply_record(record, version, self._era)
        if previous is not None and previous.history == record.history:
            return
        dependencies.peers.broadcast(
            state.MoveNotice(version, record, self._era)
        )
        dependencies.metrics.count(f'moves.phase.{record.phase.value}')
        _LOG.info(
            'move step recorded',
            move=record.name,
            phase=record.phase.value,
            share=record.share,
            fencing_number=record.lease.fencing_number,
            reason=record.history[-1].reason,
        )

    def _configured_move(self) -> state.Move | None:
        for move in self._dependencies.configuration.current().document.moves:
            if move.name == self._name:
                return move
        return None


def _first_record(
    move: state.Move,
    holder: state.InstanceName,
    fencing_number: int,
    quiet_until_s: float,
) -> state.MoveRecord:
    return state.MoveRecord(
        name=move.name,
        route=move.route,
        from_version=move.from_version,
        to_version=move.to_version,
        start_s=move.start_s,
        deadline_s=move.deadline_s,
        configuration_revision=0,
        lease=state.MoveLease(holder, fencing_number, 0.0, quiet_until_s),
    )


def _with_configuration(
    record: state.MoveRecord, active: state.ActiveConfiguration
) -> state.MoveRecord:
    return dataclasses.replace(
        record,
        configuration_revision=active.revision,
        configuration_era=active.era,
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
    if len(history) >= MAX_HISTORY_COUNT:
        half = MAX_HISTORY_COUNT // 2
        history = (*history[:half], *history[half + 1 :])
    return dataclasses.replace(record, history=(*history, step))
