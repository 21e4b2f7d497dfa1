"""Background tasks of planned moves on one instance."""

import concurrent.futures
import dataclasses
import hashlib
import math
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.moves import _chooser
from skylarktack.coordination.moves import _codec
from skylarktack.coordination.moves import _driver
from skylarktack.coordination.moves import _evidence
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _loading
from skylarktack.coordination.moves import _table

#: Maximum number of moves that one instance drives at once.
MAX_DRIVEN_COUNT = 16

#: Delay before an instance tries to take an expired lease, times its rank for
#: the move, so that not all instances write at once.
TAKEOVER_RANK_DELAY_S = 0.2

#: Maximum of this delay; bounds the time without a driver.
MAX_TAKEOVER_RANK_DELAY_S = 1.2

#: Maximum rate of object API reads for move records, over all instances.
FLEET_READS_PER_S = 150.0

#: Time for which the record of an ended move is kept once the move is no
#: longer configured. Old records must be removed because all records are read
#: periodically.
RECORD_RETENTION_S = 3600.0

#: Interval at which old records are removed.
REMOVAL_INTERVAL_S = 60.0

#: Maximum wait of one watch call.
WATCH_WAIT_S = 10.0

#: Maximum rate of evidence reports to the driver of one move, over all
#: instances: with many instances each sends reports less often. New failures
#: of the new version are still reported in the next round.
REPORT_BYTES_PER_S = 40_000.0

#: Encoded size of a report without rows; the benchmark measures a complete one
#: as ``moves.report_size``.
REPORT_HEADER_BYTES = 80.0

#: Encoded size of one row of a report.
REPORT_ROW_BYTES = 240.0

_LOG = structlog.get_logger(part='moves')


@dataclasses.dataclass(frozen=True)
class _SentReport:
    """Latest report sent for one move."""

    #: Monotonic time of sending.
    sent_s: float

    #: Stage that the report is about.
    stage: int

    #: Failed attempts on the new version in the report.
    failed_count: int


@dataclasses.dataclass(frozen=True)
class MoveDependencies:
    """Dependencies of the move coordinator."""

    settings: state.MoveSettings

    clock: ports.Clock

    #: Store of the move records.
    store: ports.ObjectStore

    codec: _codec.MoveCodec

    peers: ports.PeerNetwork

    #: Sends load commands and reads load reports.
    engines: ports.EngineClient

    configuration: ports.ConfigurationSource

    #: Used to find the failure domain of a target.
    selector: ports.TargetSelector

    metrics: ports.Metrics

    #: Runs the background tasks.
    supervisor: ports.TaskSupervisor


class MoveCoordinator:
    """Runs the moves of one instance: splits, evidence and drivers."""

    def __init__(
        self,
        dependencies: MoveDependencies,
        judge: _judging.Judge | None = None,
    ) -> None:
        settings = dependencies.settings
        self._dependencies = dependencies
        judge = judge or _judging.SequentialJudge(settings)
        self.table = _table.MoveTable(settings, dependencies.clock)
        self.directory = _loading.TargetDirectory()
        self.version_selector = _chooser.MoveVersionChooser(
            dependencies.configuration, self.table, self.directory
        )
        self.collector = _evidence.EvidenceCollector(
            settings,
            dependencies.configuration,
            dependencies.selector,
            self.table,
            judge,
        )
        self.evidence_reports = _evidence.EvidenceReports()
        self._driver_dependencies = _driver.DriverDependencies(
            settings=settings,
            clock=dependencies.clock,
            store=dependencies.store,
            codec=dependencies.codec,
            peers=dependencies.peers,
            engines=dependencies.engines,
            configuration=dependencies.configuration,
            directory=self.directory,
            table=self.table,
            collector=self.collector,
            evidence_reports=self.evidence_reports,
            judge=judge,
            metrics=dependencies.metrics,
        )
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._driven: set[str] = set()
        self._sent_reports: dict[str, _SentReport] = {}
        # One task watches the records, one sends reports and looks for
        # expired leases, and there is one for each move that this instance
        # drives.
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=2 + MAX_DRIVEN_COUNT, thread_name_prefix='moves'
        )
        dependencies.peers.register_handler(
            state.EvidenceReport, self._on_report
        )
        dependencies.peers.register_handler(state.MoveNotice, self._on_notice)
        dependencies.peers.register_handler(state.MoveStop, self._on_stop)

    def start(self) -> None:
        """Start the background tasks."""
        run = self._dependencies.supervisor.run
        self._executor.submit(run, 'move records', self._watch_records)
        self._executor.submit(run, 'move supervision', self._supervise)

    def stop(self) -> None:
        """Stop all tasks; other instances take over once leases expire."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def new_driver(self, name: str) -> _driver.LeasedMoveDriver:
        """Return a driver of a move, which does not hold the lease yet."""
        return _driver.LeasedMoveDriver(self._driver_dependencies, name)

    def read_records(self) -> bool:
        """Read all records; return whether the store responded."""
        store = self._dependencies.store
        era = store.era
        listed = store.list(_codec.KEY_PREFIX)
        if listed.is_error() or store.era != era:
            return False
        for stored in listed.ok:
            self._store_record(stored, era)
        self._write_ended_again(listed.ok, era)
        return True

    def send_reports(self) -> None:
        """Send this instance's evidence to the drivers of moves, if due."""
        dependencies = self._dependencies
        now_s = dependencies.clock.monotonic_s()
        for cached in self.table.all_cached():
            name = cached.record.name
            holder = cached.record.lease.holder
            if cached.record.ended or holder == dependencies.peers.name:
                continue
            report = self.collector.report(name, dependencies.peers.name)
            if report is None:
                continue
            failed = _failed_count(report, cached.record.to_version)
            sent = self._sent_reports.get(name, _SentReport(-math.inf, -1, 0))
            urgent = sent.stage != report.stage or failed > sent.failed_count
            if not urgent and not report.stopped:
                if now_s < sent.sent_s + self._report_interval_s(report):
                    continue
            self._sent_reports[name] = _SentReport(now_s, report.stage, failed)
            dependencies.peers.send(holder, report)

    def _report_interval_s(self, report: state.EvidenceReport) -> float:
        size = REPORT_HEADER_BYTES + REPORT_ROW_BYTES * len(report.rows)
        return (
            len(self._dependencies.peers.members()) * size / REPORT_BYTES_PER_S
        )

    def unleased_moves(self) -> tuple[str, ...]:
        """Return the started moves that this instance should try to drive.

        These have no record, or their lease has been expired for longer than
        the takeover delay of this instance.
        """
        now_s = self._dependencies.clock.wall_s()
        found: list[str] = []
        for move in self._dependencies.configuration.current().document.moves:
            if move.start_s > now_s:
                continue
            cached = self.table.cached(move.name)
            if cached is None:
                found.append(move.name)
        for cached in self.table.all_cached():
            if cached.record.ended:
                continue
            overdue_s = now_s - cached.record.lease.expires_s
            if overdue_s > 0 and overdue_s > self._takeover_delay_s(
                cached.record.name
            ):
                found.append(cached.record.name)
        return tuple(found)

    def remove_old_records(self) -> None:
        """Delete the records of ended moves that are no longer configured."""
        dependencies = self._dependencies
        active = dependencies.configuration.current()
        configured = {move.name for move in active.document.moves}
        oldest_s = dependencies.clock.wall_s() - RECORD_RETENTION_S
        for cached in self.table.all_cached():
            record = cached.record
            if not record.ended or record.name in configured:
                continue
            if record.updated_s > oldest_s:
                continue
            if active.position < record.configuration_position:
                continue
            # The instance of rank 0 deletes it; all drop their copy.
            if cached.era != dependencies.store.era:
                continue
            if self._takeover_delay_s(record.name) == 0.0:
                dependencies.store.delete(
                    _codec.record_key(record.name), cached.version
                )
            self.table.forget(record.name)

    def _write_ended_again(
        self, listed: tuple[state.StoredObject, ...], era: int
    ) -> None:
        """Write the ends of moves again that a restored store lacks.

        Otherwise a version that was rolled back would be tried again.
        """
        dependencies = self._dependencies
        versions = {stored.key: stored.version for stored in listed}
        for cached in self.table.all_cached():
            if cached.era >= era or not cached.record.ended:
                continue
            key = _codec.record_key(cached.record.name)
            written = dependencies.store.put(
                key,
                dependencies.codec.encode(cached.record),
                versions.get(key),
            )
            if written.is_error() or dependencies.store.era != era:
                # Another instance may have written it; the next read shows it.
                continue
            self.table.confirm(cached.record.name, written.ok.version, era)
            _LOG.warning(
                'a restored store lacked the end of a move; it was written '
                'again',
                move=cached.record.name,
            )

    def _store_record(self, stored: state.StoredObject, era: int) -> None:
        decoded = self._dependencies.codec.decode(stored.value)
        if decoded.is_error():
            _LOG.error('move record cannot be decoded', key=stored.key)
            return
        self.table.apply_record(decoded.ok, stored.version, era)
        if decoded.ok.ended:
            self.table.confirm(decoded.ok.name, stored.version, era)
        if decoded.ok.ended:
            self.collector.forget(decoded.ok.name)
            self.evidence_reports.forget(decoded.ok.name)

    def _watch_records(self) -> None:
        dependencies = self._dependencies
        seen_version = 0
        seen_era = 0
        last_read_s = -math.inf
        while not self._stopping.is_set():
            interval_s = dependencies.settings.read_interval_ms / 1000
            # A watch may stop reporting changes, so all records are also
            # read periodically.
            if dependencies.clock.monotonic_s() - last_read_s >= interval_s:
                if self.read_records():
                    last_read_s = dependencies.clock.monotonic_s()
            if dependencies.store.era != seen_era:
                seen_era = dependencies.store.era
                seen_version = 0
                last_read_s = -math.inf
            batch = dependencies.store.watch(
                _codec.KEY_PREFIX, seen_version, min(WATCH_WAIT_S, interval_s)
            )
            pause_s = 0.5
            if batch.is_ok() and dependencies.store.era == seen_era:
                seen_version = batch.ok.version
                for stored in batch.ok.changed:
                    self._store_record(stored, seen_era)
                # Lease renewals wake every watch; the pause bounds the read
                # rate over all instances. Steps also arrive earlier, as
                # notices from peers.
                pause_s = len(dependencies.peers.members()) / FLEET_READS_PER_S
            dependencies.clock.wait(self._stopping, pause_s)

    def _supervise(self) -> None:
        step_s = self._dependencies.settings.step_ms / 1000
        last_removal_s = self._dependencies.clock.monotonic_s()
        while not self._dependencies.clock.wait(self._stopping, step_s):
            try:
                now_s = self._dependencies.clock.monotonic_s()
                if now_s >= last_removal_s + REMOVAL_INTERVAL_S:
                    last_removal_s = now_s
                    self.remove_old_records()
                self.send_reports()
                for name in self.unleased_moves():
                    self._start_driver(name)
            except Exception:
                _LOG.exception('supervision round failed')

    def _start_driver(self, name: str) -> None:
        with self._lock:
            if name in self._driven or len(self._driven) >= MAX_DRIVEN_COUNT:
                return
            self._driven.add(name)
        self._executor.submit(self._drive, name)

    def _drive(self, name: str) -> None:
        clock = self._dependencies.clock
        step_s = self._dependencies.settings.step_ms / 1000
        driver = self.new_driver(name)
        try:
            if self.table.cached(name) is None:
                clock.wait(self._stopping, self._takeover_delay_s(name))
            while not self._stopping.is_set():
                started_s = clock.monotonic_s()
                driver_state = driver.step()
                if driver_state in (
                    _driver.DriverState.WAITING,
                    _driver.DriverState.LOST,
                    _driver.DriverState.ENDED,
                ):
                    return
                # The pause is shortened by the time that the step waited for
                # targets, so that the lease renewal is not delayed.
                spent_s = clock.monotonic_s() - started_s
                clock.wait(self._stopping, max(0.05, step_s - spent_s))
        except Exception:
            _LOG.exception('move driver failed', move=name)
        finally:
            with self._lock:
                self._driven.discard(name)

    def _takeover_delay_s(self, name: str) -> float:
        """Return the delay before this instance takes an expired lease.

        It grows with the rank of the instance by rendezvous hashing.
        """
        own_hash = _rank_hash(name, self._dependencies.peers.name)
        rank = 0
        for member in self._dependencies.peers.members():
            if _rank_hash(name, member.name) > own_hash:
                rank += 1
        return min(rank * TAKEOVER_RANK_DELAY_S, MAX_TAKEOVER_RANK_DELAY_S)

    def _on_report(
        self, peer: state.InstanceName, report: state.EvidenceReport
    ) -> None:
        self.evidence_reports.record_report(report)

    def _on_notice(
        self, peer: state.InstanceName, notice: state.MoveNotice
    ) -> None:
        # Each instance forwards a notice once, since the sender may be
        # connected to only some of the instances.
        if self.table.apply_record(notice.record, notice.version, notice.era):
            self._dependencies.peers.broadcast(notice)

    def _on_stop(self, peer: state.InstanceName, stop: state.MoveStop) -> None:
        if self.table.stop(stop.move, stop.reason, stop.fencing_number):
            self._dependencies.peers.broadcast(stop)


def _failed_count(
    report: state.EvidenceReport, to_version: state.VersionName
) -> int:
    failed = 0
    for row in report.rows:
        if row.version == to_version:
            failed += row.error_count + row.truncated_count + row.lost_count
    return failed


def _rank_hash(name: str, instance: state.InstanceName) -> bytes:
    return hashlib.blake2b(
        f'{name}/{instance}'.encode(), digest_size=8
    ).digest()
