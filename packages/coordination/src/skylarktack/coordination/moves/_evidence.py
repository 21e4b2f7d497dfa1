"""Evidence on versions: counts of this instance and reports of others."""

import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.moves import _judging
from skylarktack.coordination.moves import _latencies
from skylarktack.coordination.moves import _table

#: Successes on the new version between two evaluations of this instance's own
#: evidence; a failure on it is evaluated immediately.
JUDGE_EVERY_COUNT = 32

_ERROR_KINDS = (
    state.OutcomeKind.ERROR,
    state.OutcomeKind.UNRESPONSIVE,
    state.OutcomeKind.REFUSED,
)

_RowKey = tuple[state.VersionName, state.FailureDomain]


class _StageCounts:
    """Evidence rows of one move in its current stage."""

    def __init__(self, stage: int) -> None:
        self.stage = stage
        self.rows: dict[_RowKey, state.EvidenceRow] = {}
        self.unjudged_count = 0


class EvidenceCollector:
    """Counts outcomes by version, and stops a bad version on this instance.

    Stopping on this instance's own evidence needs no driver or store.
    """

    def __init__(
        self,
        settings: state.MoveSettings,
        configuration: ports.ConfigurationSource,
        selector: ports.TargetSelector,
        table: _table.MoveTable,
        judge: _judging.Judge,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._selector = selector
        self._table = table
        self._judge = judge
        self._lock = threading.Lock()
        self._counts: dict[str, _StageCounts] = {}

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Count the outcome of an attempt for each move of its route."""
        if outcome.kind is state.OutcomeKind.CANCELLED:
            return
        target = self._selector.target(outcome.target)
        domain = state.FailureDomain('')
        if target is not None:
            domain = target.failure_domain
        for move in self._configuration.current().document.moves:
            if move.route != outcome.route:
                continue
            if outcome.version not in (move.from_version, move.to_version):
                continue
            self.add(move.name, _row_of(outcome, domain))

    def add(self, name: str, row: state.EvidenceRow) -> None:
        """Add counts to the current stage of a move, then evaluate them."""
        cached = self._table.cached(name)
        if cached is None or cached.record.ended or cached.record.stage < 0:
            return
        record = cached.record
        with self._lock:
            counts = self._counts.get(name)
            if counts is None or counts.stage != record.stage:
                counts = _StageCounts(record.stage)
                self._counts[name] = counts
            key = (row.version, row.failure_domain)
            previous = counts.rows.get(key)
            counts.rows[key] = (
                _judging.add_rows(previous, row) if previous else row
            )
            if row.version != record.to_version or cached.stopped:
                return
            counts.unjudged_count += row.attempt_count
            succeeded = row.attempt_count and not (
                row.error_count + row.truncated_count + row.lost_count
            )
            if succeeded and counts.unjudged_count < JUDGE_EVERY_COUNT:
                return
            counts.unjudged_count = 0
            rows = tuple(counts.rows.values())
        judged = self._judge.judge(
            rows,
            record.to_version,
            self._settings.own_rejection_probability,
        )
        if judged.bad:
            self._table.stop(name, judged.reason)

    def report(
        self, name: str, instance: state.InstanceName
    ) -> state.EvidenceReport | None:
        """Return the counts of a move's current stage, None if empty."""
        cached = self._table.cached(name)
        if cached is None or cached.record.ended:
            return None
        with self._lock:
            counts = self._counts.get(name)
            if counts is None or counts.stage != cached.record.stage:
                return None
            return state.EvidenceReport(
                name,
                counts.stage,
                instance,
                tuple(counts.rows.values()),
                cached.stopped,
            )

    def forget(self, name: str) -> None:
        """Drop the counts of an ended move."""
        with self._lock:
            self._counts.pop(name, None)


class EvidenceReports:
    """Latest evidence report of each instance, by move."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reports: dict[
            str, dict[state.InstanceName, state.EvidenceReport]
        ] = {}

    def record_report(self, report: state.EvidenceReport) -> None:
        """Replace an instance's report, unless the new one is of an earlier
        stage.
        """
        with self._lock:
            reports = self._reports.setdefault(report.move, {})
            previous = reports.get(report.instance)
            if previous is not None and previous.stage > report.stage:
                return
            reports[report.instance] = report

    def reports(
        self, name: str, stage: int
    ) -> tuple[state.EvidenceReport, ...]:
        """Return the latest reports that are of the given stage."""
        with self._lock:
            found: list[state.EvidenceReport] = []
            for report in self._reports.get(name, {}).values():
                if report.stage == stage:
                    found.append(report)
            return tuple(found)

    def forget(self, name: str) -> None:
        """Drop the reports of an ended move."""
        with self._lock:
            self._reports.pop(name, None)


def _row_of(
    outcome: state.TargetOutcome, domain: state.FailureDomain
) -> state.EvidenceRow:
    row = state.EvidenceRow(
        version=outcome.version,
        failure_domain=domain,
        attempt_count=1,
        first_token=_latencies.latency_sums(outcome.first_token_ms),
        inter_token=_latencies.latency_sums(outcome.inter_token_ms),
    )
    if outcome.kind in _ERROR_KINDS:
        return dataclasses.replace(row, error_count=1)
    if outcome.kind is state.OutcomeKind.TRUNCATED:
        return dataclasses.replace(row, truncated_count=1)
    if outcome.kind is state.OutcomeKind.CONNECTION_LOST:
        return dataclasses.replace(
            row, lost_count=1, lost_targets=(outcome.target,)
        )
    return row
