"""Loads a version onto targets, spread out by the weight store's rate."""

import dataclasses
import math
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports

#: Targets that load first. Two, in different failure domains if possible,
#: so that the loss of one does not look like a bad version.
FIRST_WAVE_COUNT = 2

#: Most load reports that one step reads.
REPORTS_PER_STEP_COUNT = 8

#: Longest wait for a load report, and time after which a step reads no
#: more of them: silent targets must not cost the driver its lease.
REPORT_TIMEOUT_S = 0.4

#: Time without a load, beyond twice the time it takes at the weight
#: store's rate, after which the first wave goes on to another target.
LOAD_PATIENCE_S = 10.0

_LOG = structlog.get_logger(part='moves')


class TargetDirectory:
    """The targets of the platform's list, as last read."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._targets: tuple[state.Target, ...] = ()
        self._found: dict[
            tuple[state.VersionName, ...], tuple[state.Target, ...]
        ] = {}

    def update(self, targets: tuple[state.Target, ...]) -> None:
        """Replace all targets."""
        with self._lock:
            self._targets = targets
            self._found = {}

    def serving(
        self, versions: tuple[state.VersionName, ...]
    ) -> tuple[state.Target, ...]:
        """Return the staying targets of any of the versions, the first of
        each failure domain before the second ones.
        """
        with self._lock:
            found = self._found.get(versions)
            if found is None:
                found = self._sorted(versions)
                self._found[versions] = found
            return found

    def _sorted(
        self, versions: tuple[state.VersionName, ...]
    ) -> tuple[state.Target, ...]:
        places: dict[state.FailureDomain, int] = {}
        ordered: list[tuple[int, str, state.Target]] = []
        for target in sorted(self._targets, key=lambda target: target.name):
            if target.leaving or not set(versions) & set(target.versions):
                continue
            place = places.get(target.failure_domain, 0)
            places[target.failure_domain] = place + 1
            ordered.append((place, target.failure_domain, target))
        ordered.sort(key=lambda entry: entry[:2])
        return tuple(entry[2] for entry in ordered)


@dataclasses.dataclass(frozen=True)
class LoadProgress:
    """How far loading has come."""

    #: Targets that are to serve the new version.
    wanted_count: int

    #: Of these, the targets that serve it.
    loaded_count: int

    #: Targets whose loading must precede the first share.
    first_wave_count: int

    #: Time between two loads at the weight store's rate.
    interval_s: float

    @property
    def remaining_s(self) -> float:
        """Time that the loads still missing take."""
        return (self.wanted_count - self.loaded_count) * self.interval_s


@dataclasses.dataclass(frozen=True)
class OrderRight:
    """Until when and under which lease orders may be sent."""

    #: The lease.
    lease: state.MoveLease

    #: Monotonic time at which the lease ends for its holder.
    until_s: float


class VersionLoader:
    """Loads for one driver of one move; used by its thread alone."""

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
        self._ordered_s: dict[state.TargetName, float] = {}
        self._failed: set[state.TargetName] = set()
        self._next_order_s: float | None = None
        self._next_report = 0

    def progress(
        self, record: state.MoveRecord, document: state.ConfigurationDocument
    ) -> LoadProgress:
        """Return how far loading has come."""
        wanted = self._wanted(record)
        loaded = 0
        for target in wanted:
            if self._serves(target, record.to_version):
                loaded += 1
        size_bytes = 0
        for version in document.versions:
            if version.name == record.to_version:
                size_bytes = version.weights_bytes
        return LoadProgress(
            wanted_count=len(wanted),
            loaded_count=loaded,
            first_wave_count=min(
                len(wanted),
                max(
                    FIRST_WAVE_COUNT,
                    math.ceil(self._settings.unjudged_share * len(wanted)),
                ),
            ),
            interval_s=size_bytes / self._settings.weight_store_bytes_per_s,
        )

    def advance(
        self,
        record: state.MoveRecord,
        right: OrderRight,
        progress: LoadProgress,
    ) -> None:
        """Read load reports and send the next order if it is due.

        The first wave loads before the verdict, the others after it: a bad
        version then occupies few targets, and those carry the normal load
        of a target at a small share.
        """
        wanted = self._wanted(record)
        if record.verdict is not state.MoveVerdict.GOOD:
            wanted = self._first_wave(wanted, progress)
        missing: list[state.Target] = []
        for target in wanted:
            if not self._serves(target, record.to_version):
                missing.append(target)
        self._read_reports(missing, record.to_version)
        now_s = self._clock.monotonic_s()
        if self._next_order_s is None:
            # A former driver may have ordered a load just now.
            first = right.lease.fencing_number == 1
            self._next_order_s = now_s + (0 if first else progress.interval_s)
        # Orders that became due since the step before go out together; the
        # rate is not made up for longer pauses.
        step_s = self._settings.step_ms / 1000
        backlog_s = step_s if progress.interval_s < step_s else 0.0
        self._next_order_s = max(self._next_order_s, now_s - backlog_s)
        for target in missing:
            if now_s < self._next_order_s or target.name in self._loaded:
                continue
            if not self._may_order(target, right, now_s):
                continue
            if not self._is_overdue(target, progress, now_s):
                continue
            self._order(target, record)
            self._ordered_s[target.name] = now_s
            self._next_order_s += progress.interval_s
            now_s = self._clock.monotonic_s()

    def _first_wave(
        self, wanted: tuple[state.Target, ...], progress: LoadProgress
    ) -> tuple[state.Target, ...]:
        """Return the first targets, those that do not load after others."""
        now_s = self._clock.monotonic_s()
        hopeful: list[state.Target] = []
        failed: list[state.Target] = []
        for target in wanted:
            if target.name in self._ordered_s:
                if self._is_overdue(target, progress, now_s):
                    self._failed.add(target.name)
            if target.name in self._failed:
                failed.append(target)
                continue
            hopeful.append(target)
        return (*hopeful, *failed)[: progress.first_wave_count]

    def _is_overdue(
        self, target: state.Target, progress: LoadProgress, now_s: float
    ) -> bool:
        """Whether an order is due: none sent, or the last one failed."""
        patience_s = LOAD_PATIENCE_S + 2 * progress.interval_s
        ordered_s = self._ordered_s.get(target.name, -math.inf)
        return now_s >= ordered_s + patience_s

    def _wanted(self, record: state.MoveRecord) -> tuple[state.Target, ...]:
        return self._directory.serving(
            (record.from_version, record.to_version)
        )

    def _serves(
        self, target: state.Target, version: state.VersionName
    ) -> bool:
        return version in target.versions or target.name in self._loaded

    def _may_order(
        self, target: state.Target, right: OrderRight, now_s: float
    ) -> bool:
        """Whether an order can neither outlive this lease nor meet one of
        the former holder.
        """
        if target.kind is not state.TargetKind.ENGINE:
            return False
        timeout_s = self._settings.order_timeout_ms / 1000
        if now_s + timeout_s > right.until_s:
            return False
        if target.checks_fencing:
            return True
        return self._clock.wall_s() >= right.lease.quiet_until_s

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

    def _order(self, target: state.Target, record: state.MoveRecord) -> None:
        order = ports.TargetCommand(
            # A repetition under the same lease acts once; a later driver's
            # order may have to load a version that was dropped since.
            order_id=(
                f'{record.name}.{record.lease.fencing_number}.{target.name}'
            ),
            kind=ports.TargetCommandKind.LOAD,
            subject=record.to_version,
            fencing_number=record.lease.fencing_number,
        )
        answered = self._engines.send_command(
            target, order, self._settings.order_timeout_ms / 1000
        )
        if answered.is_error():
            self._failed.add(target.name)
            _LOG.warning(
                'load order failed',
                move=record.name,
                target=target.name,
                reason=answered.error.message,
            )
