"""Loading of a version onto targets, limited to the weight store's rate."""

import dataclasses
import math
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports

#: Minimum number of targets in the first wave. Two, in different failure
#: domains if possible, so that the failure of one target does not look like a
#: bad version.
FIRST_WAVE_COUNT = 2

#: Maximum number of load reports read in one step.
REPORTS_PER_STEP_COUNT = 8

#: Timeout of a load report, and time after which a step reads no more of them.
#: Unresponsive targets must not delay the driver until its lease expires.
REPORT_TIMEOUT_S = 0.4

#: Timeout of a load command, in addition to twice the loading time at the
#: weight store's rate. After it, the first wave uses another target instead.
LOAD_TIMEOUT_S = 10.0

_LOG = structlog.get_logger(part='moves')


class TargetDirectory:
    """Latest targets of the platform's list, by version."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._targets: tuple[state.Target, ...] = ()
        self._by_versions: dict[
            tuple[state.VersionName, ...], tuple[state.Target, ...]
        ] = {}

    def update(self, targets: tuple[state.Target, ...]) -> None:
        """Replace all targets with those of a newer list."""
        with self._lock:
            self._targets = targets
            self._by_versions = {}

    def serving(
        self, versions: tuple[state.VersionName, ...]
    ) -> tuple[state.Target, ...]:
        """Return the targets of any of the versions that are not leaving.

        Failure domains alternate: the first target of each domain, then the
        second of each, and so on.
        """
        with self._lock:
            found = self._by_versions.get(versions)
            if found is None:
                found = self._sort_by_domain(versions)
                self._by_versions[versions] = found
            return found

    def _sort_by_domain(
        self, versions: tuple[state.VersionName, ...]
    ) -> tuple[state.Target, ...]:
        positions: dict[state.FailureDomain, int] = {}
        ordered: list[tuple[int, str, state.Target]] = []
        for target in sorted(self._targets, key=lambda target: target.name):
            if target.leaving or not set(versions) & set(target.versions):
                continue
            position = positions.get(target.failure_domain, 0)
            positions[target.failure_domain] = position + 1
            ordered.append((position, target.failure_domain, target))
        ordered.sort(key=lambda entry: entry[:2])
        return tuple(entry[2] for entry in ordered)


@dataclasses.dataclass(frozen=True)
class LoadProgress:
    """Progress of loading the new version."""

    #: Number of targets that are to serve the new version.
    target_count: int

    #: Number of these targets that serve it already.
    loaded_count: int

    #: Number of targets that must serve it before it gets any requests.
    first_wave_count: int

    #: Minimum time between two loads, from the weight store's rate.
    interval_s: float

    @property
    def remaining_s(self) -> float:
        """Minimum time to load the remaining targets."""
        return (self.target_count - self.loaded_count) * self.interval_s


@dataclasses.dataclass(frozen=True)
class CommandPermission:
    """Lease under which load commands may be sent, and its end."""

    lease: state.MoveLease

    #: Monotonic time at which the lease expires for its holder.
    until_s: float


class VersionLoader:
    """Sends the load commands of one driver. Not thread-safe."""

    def __init__(
        self,
        settings: state.MoveSettings,
        clock: ports.Clock,
        engines: ports.EngineClient,
        directory: TargetDirectory,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._engines = engines
        self._directory = directory
        self._loaded: set[state.TargetName] = set()
        self._command_sent_s: dict[state.TargetName, float] = {}
        self._failed: set[state.TargetName] = set()
        self._next_command_s: float | None = None
        self._next_report = 0

    def progress(
        self, record: state.MoveRecord, document: state.ConfigurationDocument
    ) -> LoadProgress:
        """Return the progress of loading the new version."""
        selected = self._select_targets(record)
        loaded = 0
        for target in selected:
            if self._serves(target, record.to_version):
                loaded += 1
        size_bytes = 0
        for version in document.versions:
            if version.name == record.to_version:
                size_bytes = version.weights_bytes
        return LoadProgress(
            target_count=len(selected),
            loaded_count=loaded,
            first_wave_count=min(
                len(selected),
                max(
                    FIRST_WAVE_COUNT,
                    math.ceil(self._settings.unjudged_share * len(selected)),
                ),
            ),
            interval_s=size_bytes / self._settings.weight_store_bytes_per_s,
        )

    def advance(
        self,
        record: state.MoveRecord,
        permission: CommandPermission,
        progress: LoadProgress,
    ) -> None:
        """Read load reports and send the load commands that are due.

        Targets of the first wave load before the verdict, all others after
        it. A bad version thus occupies few targets, and even a small share of
        the requests gives each of them the usual load.
        """
        selected = self._select_targets(record)
        if record.verdict is not state.MoveVerdict.GOOD:
            selected = self._first_wave(selected, progress)
        missing: list[state.Target] = []
        for target in selected:
            if not self._serves(target, record.to_version):
                missing.append(target)
        self._read_reports(missing, record.to_version)
        now_s = self._clock.monotonic_s()
        if self._next_command_s is None:
            # A previous driver may have just sent a load command.
            is_first_lease = permission.lease.fencing_number == 1
            self._next_command_s = now_s + (
                0 if is_first_lease else progress.interval_s
            )
        # Commands due since the previous step are sent together. Longer
        # pauses are not caught up with, since this would exceed the rate.
        step_s = self._settings.step_ms / 1000
        backlog_s = step_s if progress.interval_s < step_s else 0.0
        self._next_command_s = max(self._next_command_s, now_s - backlog_s)
        for target in missing:
            if now_s < self._next_command_s or target.name in self._loaded:
                continue
            if not self._may_send_command(target, permission, now_s):
                continue
            if not self._is_command_due(target, progress, now_s):
                continue
            self._send_load_command(target, record)
            self._command_sent_s[target.name] = now_s
            self._next_command_s += progress.interval_s
            now_s = self._clock.monotonic_s()

    def _first_wave(
        self, selected: tuple[state.Target, ...], progress: LoadProgress
    ) -> tuple[state.Target, ...]:
        """Return the targets of the first wave, failed targets last."""
        now_s = self._clock.monotonic_s()
        not_failed: list[state.Target] = []
        failed: list[state.Target] = []
        for target in selected:
            if target.name in self._command_sent_s:
                if self._is_command_due(target, progress, now_s):
                    self._failed.add(target.name)
            if target.name in self._failed:
                failed.append(target)
                continue
            not_failed.append(target)
        return (*not_failed, *failed)[: progress.first_wave_count]

    def _is_command_due(
        self, target: state.Target, progress: LoadProgress, now_s: float
    ) -> bool:
        """Return whether a command may be sent: none yet, or timed out."""
        load_timeout_s = LOAD_TIMEOUT_S + 2 * progress.interval_s
        command_sent_s = self._command_sent_s.get(target.name, -math.inf)
        return now_s >= command_sent_s + load_timeout_s

    def _select_targets(
        self, record: state.MoveRecord
    ) -> tuple[state.Target, ...]:
        return self._directory.serving(
            (record.from_version, record.to_version)
        )

    def _serves(
        self, target: state.Target, version: state.VersionName
    ) -> bool:
        return version in target.versions or target.name in self._loaded

    def _may_send_command(
        self, target: state.Target, permission: CommandPermission, now_s: float
    ) -> bool:
        """Return whether a command can be sent safely.

        It must time out before this lease expires, and must not overlap with
        a command of the previous holder: the target checks fencing numbers, or
        the quiet period after the takeover is over.
        """
        if target.kind is not state.TargetKind.ENGINE:
            return False
        timeout_s = self._settings.order_timeout_ms / 1000
        if now_s + timeout_s > permission.until_s:
            return False
        if target.checks_fencing:
            return True
        return self._clock.wall_s() >= permission.lease.quiet_until_s

    def _read_reports(
        self, missing: list[state.Target], version: state.VersionName
    ) -> None:
        count = min(len(missing), REPORTS_PER_STEP_COUNT)
        started_s = self._clock.monotonic_s()
        for _ in range(count):
            if self._clock.monotonic_s() >= started_s + REPORT_TIMEOUT_S:
                return
            target = missing[self._next_report % len(missing)]
            self._next_report += 1
            report = self._engines.read_load(target, REPORT_TIMEOUT_S)
            if report.is_ok() and version in report.ok.versions:
                self._loaded.add(target.name)
                self._failed.discard(target.name)

    def _send_load_command(
        self, target: state.Target, record: state.MoveRecord
    ) -> None:
        command = ports.TargetCommand(
            # The id makes retries under the same lease idempotent. It differs
            # for a later driver, which may have to load a version that was
            # unloaded in the meantime.
            order_id=(
                f'{record.name}.{record.lease.fencing_number}.{target.name}'
            ),
            kind=ports.TargetCommandKind.LOAD,
            subject=record.to_version,
            fencing_number=record.lease.fencing_number,
        )
        response = self._engines.send_command(
            target, command, self._settings.order_timeout_ms / 1000
        )
        if response.is_error():
            self._failed.add(target.name)
            _LOG.warning(
                'load command failed',
                move=record.name,
                target=target.name,
                reason=response.error.message,
            )
