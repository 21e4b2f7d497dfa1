"""Threads of planned moves on one instance."""

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
from skylarktack.coordination.moves import _evidence
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _loading
from skylarktack.coordination.moves import _session
from skylarktack.coordination.moves import _table

#: Most moves that one instance drives at once.
DRIVEN_COUNT = 16

#: Delay of an instance's attempt on a free lease for each place behind the
#: preferred one, so that a whole fleet does not write at once.
RANK_DELAY_S = 0.2

#: Longest such delay; bounds the time without a driver.
RANK_DELAY_CEILING_S = 1.2

#: Reads of the object API a second that watches and lists of moves may
#: cost in the whole fleet.
FLEET_READS_PER_S = 150.0

#: Time after its end for which the record of a move is kept once the
#: configuration no longer holds the move. All records are read again and
#: again, so they must not pile up.
RECORD_RETENTION_S = 3600.0

#: Time between two removals of old records.
REMOVAL_INTERVAL_S = 60.0

#: Longest wait of one watch.
WATCH_WAIT_S = 10.0

#: Bytes a second of reports that a driver takes in for one move; regular
#: reports are sent less often when there are many instances. Failures of
#: the new version are reported in the next round all the same.
REPORT_BYTES_PER_S = 40_000.0

#: Size of a report on the wire without rows; ``moves.report_size`` of the
#: bench measures a whole one.
REPORT_HEADER_BYTES = 80.0

#: Size of one row of a report.
REPORT_ROW_BYTES = 240.0

_LOG = structlog.get_logger(part='moves')


@dataclasses.dataclass(frozen=True)
class _SentReport:
    """The last report of one move that was sent."""

    #: Monotonic time.
    at_s: float

    #: Stage of the counts.
    stage: int

    #: Failed attempts on the new version in it.
    failed_count: int


@dataclasses.dataclass(frozen=True)
class MoveDependencies:
    """Everything that moves need from other parts."""

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

    #: Names the failure domain of a target.
    selector: ports.TargetSelector

    #: Counters.
    metrics: ports.Metrics


class MoveCoordinator:
    """Planned moves of one instance: split, evidence and driving."""

    def __init__(
        self, outside: MoveDependencies, judge: _judging.Judge | None = None
    ) -> None:
        settings = outside.settings
        self._outside = outside
        judge = judge or _judging.SequentialJudge(settings)
        self.table = _table.MoveTable(settings, outside.clock)
        self.directory = _loading.TargetDirectory()
        self.version_selector = _chooser.MoveVersionChooser(
            outside.configuration, self.table, self.directory
        )
        self.collector = _evidence.EvidenceCollector(
            settings,
            outside.configuration,
            outside.selector,
            self.table,
            judge,
        )
        self.book = _evidence.EvidenceBook()
        self._parts = _session.DriverParts(
            settings=settings,
            clock=outside.clock,
            store=outside.store,
            codec=outside.codec,
            peers=outside.peers,
            engines=outside.engines,
            configuration=outside.configuration,
            directory=self.directory,
            table=self.table,
            collector=self.collector,
            book=self.book,
            judge=judge,
            metrics=outside.metrics,
        )
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._driven: set[str] = set()
        self._sent: dict[str, _SentReport] = {}
        # One task for the records, one for reports and free leases, and one
        # for each move that this instance drives.
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            max_workers=2 + DRIVEN_COUNT, thread_name_prefix='moves'
        )
        outside.peers.register_handler(state.EvidenceReport, self._on_report)
        outside.peers.register_handler(state.MoveNotice, self._on_notice)
        outside.peers.register_handler(state.MoveStop, self._on_stop)

    def start(self) -> None:
        """Start all tasks."""
        self._tasks.submit(self._follow_records)
        self._tasks.submit(self._supervise)

    def stop(self) -> None:
        """Stop all tasks; another instance takes the leases over."""
        self._stopping.set()
        self._tasks.shutdown(wait=False, cancel_futures=True)

    def new_driver(self, name: str) -> _session.LeasedMoveDriver:
        """Return a new attempt to drive a move."""
        return _session.LeasedMoveDriver(self._parts, name)

    def read_records(self) -> bool:
        """Read all records; return whether the store answered."""
        listed = self._outside.store.list(_codec.KEY_PREFIX)
        if listed.is_error():
            return False
        for stored in listed.ok:
            self._take(stored)
        return True

    def send_reports(self) -> None:
        """Send this instance's evidence to the drivers, if it is due."""
        outside = self._outside
        now_s = outside.clock.monotonic_s()
        for known in self.table.all_known():
            name = known.record.name
            holder = known.record.lease.holder
            if known.record.ended or holder == outside.peers.name:
                continue
            report = self.collector.report(name, outside.peers.name)
            if report is None:
                continue
            failed = _failed_count(report, known.record.to_version)
            sent = self._sent.get(name, _SentReport(-math.inf, -1, 0))
            urgent = sent.stage != report.stage or failed > sent.failed_count
            if not urgent and not report.stopped:
                if now_s < sent.at_s + self._report_interval_s(report):
                    continue
            self._sent[name] = _SentReport(now_s, report.stage, failed)
            outside.peers.send(holder, report)

    def _report_interval_s(self, report: state.EvidenceReport) -> float:
        size = REPORT_HEADER_BYTES + REPORT_ROW_BYTES * len(report.rows)
        return len(self._outside.peers.members()) * size / REPORT_BYTES_PER_S

    def unleased_moves(self) -> tuple[str, ...]:
        """Return the started moves that seem to have no driver."""
        now_s = self._outside.clock.wall_s()
        found: list[str] = []
        for move in self._outside.configuration.current().document.moves:
            if move.start_s > now_s:
                continue
            known = self.table.known(move.name)
            if known is None:
                found.append(move.name)
        for known in self.table.all_known():
            if known.record.ended:
                continue
            overdue_s = now_s - known.record.lease.expires_s
            if overdue_s > 0 and overdue_s > self._delay_s(known.record.name):
                found.append(known.record.name)
        return tuple(found)

    def remove_old_records(self) -> None:
        """Remove records of moves that ended and left the configuration."""
        outside = self._outside
        active = outside.configuration.current()
        configured = {move.name for move in active.document.moves}
        oldest_s = outside.clock.wall_s() - RECORD_RETENTION_S
        for known in self.table.all_known():
            record = known.record
            if not record.ended or record.name in configured:
                continue
            if record.updated_s > oldest_s:
                continue
            if active.revision < record.configuration_revision:
                continue
            # One instance removes it; the others drop their copy.
            if self._delay_s(record.name) == 0.0:
                outside.store.delete(
                    _codec.record_key(record.name), known.version
                )
            self.table.forget(record.name)

    def _take(self, stored: state.StoredObject) -> None:
        decoded = self._outside.codec.decode(stored.value)
        if decoded.is_error():
            _LOG.error('record is invalid', key=stored.key)
            return
        self.table.offer(decoded.ok, stored.version)
        if decoded.ok.ended:
            self.collector.forget(decoded.ok.name)
            self.book.forget(decoded.ok.name)

    def _follow_records(self) -> None:
        outside = self._outside
        seen = 0
        read_s = -math.inf
        while not self._stopping.is_set():
            interval_s = outside.settings.read_interval_ms / 1000
            # A watch may go silent; a read of all records finds it out.
            if outside.clock.monotonic_s() - read_s >= interval_s:
                if self.read_records():
                    read_s = outside.clock.monotonic_s()
            batch = outside.store.watch(
                _codec.KEY_PREFIX, seen, min(WATCH_WAIT_S, interval_s)
            )
            pause_s = 0.5
            if batch.is_ok():
                seen = batch.ok.version
                for stored in batch.ok.changed:
                    self._take(stored)
                # Renewals wake each watch; the pause bounds what the whole
                # fleet costs. Steps also arrive by notices of peers.
                pause_s = len(outside.peers.members()) / FLEET_READS_PER_S
            outside.clock.wait(self._stopping, pause_s)

    def _supervise(self) -> None:
        step_s = self._outside.settings.step_ms / 1000
        removal_s = self._outside.clock.monotonic_s()
        while not self._outside.clock.wait(self._stopping, step_s):
            try:
                now_s = self._outside.clock.monotonic_s()
                if now_s >= removal_s + REMOVAL_INTERVAL_S:
                    removal_s = now_s
                    self.remove_old_records()
                self.send_reports()
                for name in self.unleased_moves():
                    self._drive_soon(name)
            except Exception:
                _LOG.exception('a round failed')

    def _drive_soon(self, name: str) -> None:
        with self._lock:
            if name in self._driven or len(self._driven) >= DRIVEN_COUNT:
                return
            self._driven.add(name)
        self._tasks.submit(self._drive, name)

    def _drive(self, name: str) -> None:
        clock = self._outside.clock
        step_s = self._outside.settings.step_ms / 1000
        session = self.new_driver(name)
        try:
            if self.table.known(name) is None:
                clock.wait(self._stopping, self._delay_s(name))
            while not self._stopping.is_set():
                started_s = clock.monotonic_s()
                reached = session.step()
                if reached in (
                    _session.DriverState.WAITING,
                    _session.DriverState.LOST,
                    _session.DriverState.ENDED,
                ):
                    return
                # A step that waited for targets must not delay the renewal.
                spent_s = clock.monotonic_s() - started_s
                clock.wait(self._stopping, max(0.05, step_s - spent_s))
        except Exception:
            _LOG.exception('driving failed', move=name)
        finally:
            with self._lock:
                self._driven.discard(name)

    def _delay_s(self, name: str) -> float:
        """Return how long this instance leaves a free lease to others."""
        own = _weight(name, self._outside.peers.name)
        rank = 0
        for member in self._outside.peers.members():
            if _weight(name, member.name) > own:
                rank += 1
        return min(rank * RANK_DELAY_S, RANK_DELAY_CEILING_S)

    def _on_report(
        self, peer: state.InstanceName, report: state.EvidenceReport
    ) -> None:
        self.book.take(report)

    def _on_notice(
        self, peer: state.InstanceName, notice: state.MoveNotice
    ) -> None:
        # Passed on once by each instance; peers know only some others.
        if self.table.offer(notice.record, notice.version):
            self._outside.peers.broadcast(notice)

    def _on_stop(self, peer: state.InstanceName, stop: state.MoveStop) -> None:
        if self.table.stop(stop.move, stop.reason, stop.fencing_number):
            self._outside.peers.broadcast(stop)


def _failed_count(
    report: state.EvidenceReport, to_version: state.VersionName
) -> int:
    failed = 0
    for row in report.rows:
        if row.version == to_version:
            failed += row.error_count + row.truncated_count + row.lost_count
    return failed


def _weight(name: str, instance: state.InstanceName) -> bytes:
    return hashlib.blake2b(
        f'{name}/{instance}'.encode(), digest_size=8
    ).digest()
