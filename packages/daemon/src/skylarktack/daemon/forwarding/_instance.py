"""Composition of a forwarding instance."""

from collections.abc import Callable
from concurrent import futures
import functools
import socket
import time

from skylarktack import platform
from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination import moves
from skylarktack.coordination import ports
from skylarktack.daemon.forwarding import _call_metrics
from skylarktack.daemon.forwarding import _engine_metrics
from skylarktack.daemon.forwarding import _metrics
from skylarktack.daemon.forwarding import _readiness
from skylarktack.daemon.forwarding import _reports
from skylarktack.daemon.forwarding import _request_counts
from skylarktack.daemon.forwarding import _stopping
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: File descriptors reserved for listeners, store connections and files.
RESERVED_DESCRIPTOR_COUNT = 250

#: File descriptors per caller connection: its own, and two connections to
#: targets.
DESCRIPTORS_PER_CALLER = 3

#: Maximum number of caller connections; each has a thread.
CALLER_LIMIT_COUNT = 1200

#: Maximum number of connections to each listener for operators and the load
#: balancer. They have threads of their own, so that callers cannot use up all.
OPERATOR_LIMIT_COUNT = 8

#: Maximum time that one watch request waits for changes.
WATCH_WAIT_S = 3.0

#: Maximum time that one watch request for move orders waits. Orders are
#: rare, and a move takes many seconds.
MOVE_WATCH_WAIT_S = 10.0

#: Pause between watch requests for targets, so that one response carries
#: several changes.
TARGET_BATCH_PAUSE_S = 0.25

#: A configuration that the store has not confirmed for this time counts as
#: stale.
CONFIRMATION_VALIDITY_S = WATCH_WAIT_S + 1.0

#: Time after the start, or after a suspension, within which the peers report
#: their configuration; each sends a full report to a new instance at once, and
#: reports that wait in the socket are read. A store that was restored from a
#: copy may confirm an older configuration.
PEER_REPORT_WAIT_S = 1.0

#: Threads for background tasks and accept loops, connections not included.
BACKGROUND_TASK_COUNT = 16

#: Maximum time to wait for the log to be written on exit.
LOG_CLOSE_S = 0.1


class ForwardingInstance:
    """A forwarding instance with all its components and tasks."""

    def __init__(
        self,
        settings: data.ForwardingSettings,
        log: transport.LineLog,
        front: socket.socket | None = None,
    ) -> None:
        """Create all components.

        :param front: socket that listens for callers already, or None.
        """
        self._settings = settings
        self._log = log
        clock = ports.SystemClock()
        codec = platform.PlatformMessageCodec()
        self._era = forwarding.StoreEra(log)
        errors = forwarding.ErrorRecorder(clock, log)
        self._errors = errors
        self._supervisor = forwarding.Supervisor(clock, errors)
        self._suspensions = forwarding.SuspensionMonitor(clock, log)
        memory = transport.MemoryBudget(
            data.body_limit_bytes(settings.memory_limit_bytes)
        )
        self._configuration = forwarding.ConfigurationHolder(
            clock,
            log,
            self._suspensions,
            max(settings.configuration_lag_ms / 1000, CONFIRMATION_VALIDITY_S),
            0.0 if settings.peer is None else PEER_REPORT_WAIT_S,
            memory.request_limit_bytes,
        )
        self._link: transport.DatagramLink | None = None
        if settings.peer is not None:
            self._link = transport.DatagramLink(settings.peer, log)
        self._fleet = forwarding.FleetView(
            clock,
            log,
            settings.instance,
            None if self._link is None else self._link.endpoint,
        )
        self._fleet.set_configurations(self._configuration)
        self._moves = forwarding.MoveTable(
            clock,
            log,
            forwarding.ExposureLimits(
                settings.exposure_fraction, settings.exposure_allowance_count
            ),
            moves.SequentialJudge(state.MoveSettings()),
        )
        if not settings.has_moves:
            self._moves.is_synced.set()
            self._moves.trials.is_read.set()
        self._targets = forwarding.TargetTable(
            clock,
            log,
            settings.failure_domain,
            self._fleet,
            self._moves,
            errors,
            self._suspensions,
            settings.target_ramp,
        )
        bounds = forwarding.BoundRecorder(clock, log)
        client = transport.HttpTargetClient(codec, memory, bounds)
        quarantine = forwarding.PromptQuarantine(clock, log, self._fleet)
        self._quarantine_keeper = forwarding.QuarantineKeeper(
            clock,
            quarantine,
            platform.StoreQuarantines(self._store_calls()),
            self._fleet,
            self._era,
        )
        self._trial_keeper = forwarding.TrialKeeper(
            clock,
            self._moves,
            platform.StoreVersionTrials(self._store_calls()),
            self._fleet,
            self._era,
            self._targets.is_synced,
        )
        metrics = _metrics.RequestMetrics(errors, quarantine)
        accounts = forwarding.RequestAccounts()
        budget = forwarding.RetryBudget(
            clock,
            forwarding.RetryLimits(
                settings.retry_ratio,
                settings.retry_allowance_count,
                settings.retry_window_ms / 1000,
            ),
            self._fleet,
        )
        admission = forwarding.ServiceAdmission(
            clock, log, self._targets, self._fleet, errors
        )
        self._gateway = forwarding.Gateway(
            forwarding.GatewayDependencies(
                clock=clock,
                configuration=self._configuration,
                moves=self._moves,
                targets=self._targets,
                admission=admission,
                calls=forwarding.CallForwarder(
                    clock, self._targets, client, budget
                ),
                streams=forwarding.StreamForwarder(
                    forwarding.StreamDependencies(
                        clock=clock,
                        targets=self._targets,
                        client=client,
                        fleet=self._fleet,
                        budget=budget,
                        quarantine=quarantine,
                        new_splitter=messages.EventStreamSplitter,
                        errors=errors,
                    )
                ),
                observer=_reports.CompositeObserver(
                    errors, _reports.RequestLog(clock, log), metrics, accounts
                ),
                errors=errors,
            )
        )
        self._request_counts = _request_counts.RequestCountLog(
            clock, log, accounts, self._gateway, settings.failure_domain
        )
        spare_count = settings.descriptor_limit - RESERVED_DESCRIPTOR_COUNT
        caller_limit_count = max(
            8, min(CALLER_LIMIT_COUNT, spare_count // DESCRIPTORS_PER_CALLER)
        )
        self._front = transport.Listener(
            settings.front,
            self._gateway,
            codec,
            futures.ThreadPoolExecutor(caller_limit_count),
            errors,
            transport.ListenerLimits(caller_limit_count, memory, bounds),
            front,
        )
        self._listeners = [self._front]
        operator_limits = transport.ListenerLimits(
            OPERATOR_LIMIT_COUNT, memory, bounds
        )
        self._readiness_listener: transport.Listener | None = None
        if settings.readiness is not None:
            readiness = _readiness.ReadinessHandler(
                self._gateway, self._configuration, self._targets, log
            )
            self._readiness_listener = transport.Listener(
                settings.readiness,
                readiness,
                codec,
                futures.ThreadPoolExecutor(OPERATOR_LIMIT_COUNT),
                errors,
                operator_limits,
            )
            self._listeners.append(self._readiness_listener)
        if settings.metrics is not None:
            self._listeners.append(
                transport.Listener(
                    settings.metrics,
                    _metrics.MetricsHandler(
                        metrics,
                        _metrics.ConnectionMetrics(self._front),
                        _metrics.BoundMetrics(bounds, log),
                        _metrics.AdmissionMetrics(admission),
                        _call_metrics.CallMetrics(self._targets.calls),
                        _metrics.StoreMetrics(self._era, self._configuration),
                        _engine_metrics.EngineMetrics(self._targets),
                        _metrics.RampMetrics(self._targets.ramps),
                    ),
                    codec,
                    futures.ThreadPoolExecutor(OPERATOR_LIMIT_COUNT),
                    errors,
                    operator_limits,
                )
            )
        self._shared_watch: forwarding.SharedWatch | None = None
        if self._link is not None:
            self._shared_watch = forwarding.SharedWatch(
                clock, self._fleet, self._link, self._era
            )
        health = forwarding.StoreHealth(clock)
        self._configuration_watcher = forwarding.StoreWatcher(
            clock,
            platform.ConfigurationReader(self._store_calls(), log),
            forwarding.ConfigurationWatchHandler(
                self._configuration, CONFIRMATION_VALIDITY_S
            ),
            log,
            forwarding.WatchSettings(
                'configuration', WATCH_WAIT_S, 0.0, is_list_shorter=True
            ),
            health,
            self._era,
            self._shared_watch,
        )
        self._target_watcher = forwarding.StoreWatcher(
            clock,
            platform.TargetReader(self._store_calls(), log),
            forwarding.TargetWatchHandler(self._targets),
            log,
            forwarding.WatchSettings(
                'targets', WATCH_WAIT_S, TARGET_BATCH_PAUSE_S
            ),
            health,
            self._era,
            self._shared_watch,
        )
        self._move_watcher = forwarding.StoreWatcher(
            clock,
            platform.MoveReader(self._store_calls(), log),
            forwarding.MoveWatchHandler(self._moves),
            log,
            forwarding.WatchSettings('moves', MOVE_WATCH_WAIT_S, 0.0),
            health,
            self._era,
            self._shared_watch,
        )
        self._background_tasks = futures.ThreadPoolExecutor(
            BACKGROUND_TASK_COUNT
        )

    @property
    def errors(self) -> forwarding.ErrorRecorder:
        """Return the recorder of unexpected errors."""
        return self._errors

    def start(self) -> None:
        """Start all background tasks and listeners; return at once."""
        self._start_task('log', self._log.run)
        self._start_task('suspension monitor', self._suspensions.run)
        self._start_task('quarantine keeper', self._quarantine_keeper.run)
        self._start_task('request counts', self._request_counts.run)
        if self._settings.has_moves:
            self._start_task('move watcher', self._move_watcher.run)
            self._start_task('trial keeper', self._trial_keeper.run)
        self._start_task(
            'configuration watcher', self._configuration_watcher.run
        )
        self._start_task('target watcher', self._target_watcher.run)
        for listener in self._listeners:
            self._start_task('listener', listener.run)
        if self._link is not None and self._shared_watch is not None:
            self._start_fleet(self._link, self._shared_watch)

    def record_start(self) -> None:
        """Log the addresses in use."""
        self._log.record(
            forwarding.InstanceStarted(
                front=str(self._front.endpoint),
                ready=str(self._readiness_listener.endpoint)
                if self._readiness_listener
                else None,
                peer=str(self._link.endpoint) if self._link else None,
            )
        )

    def _store_calls(self) -> platform.TrackedStoreCalls:
        """Return a client of the store; each task needs its own."""
        return platform.TrackedStoreCalls(
            transport.HttpStoreCalls(self._settings.store), self._era
        )

    def _start_fleet(
        self,
        link: transport.DatagramLink,
        shared_watch: forwarding.SharedWatch,
    ) -> None:
        clock = ports.SystemClock()
        registry = platform.StorePeerRegistry(self._store_calls(), self._log)
        peer = data.ListedPeer(self._settings.instance, link.endpoint)
        discovery = forwarding.PeerDiscovery(
            clock, self._fleet, registry, peer, self._era
        )
        reporter = forwarding.FleetReporter(clock, self._fleet, link)
        driver = forwarding.MoveDriver(
            clock,
            self._log,
            self._moves,
            self._fleet,
            link,
            platform.StoreMoveWriter(
                self._store_calls(), self._log, self._era
            ),
            self._suspensions,
        )
        self._start_task(
            'datagram link',
            functools.partial(
                link.run, self._fleet, shared_watch, self._moves
            ),
        )
        self._start_task('move driver', driver.run)
        self._start_task('heartbeats', shared_watch.run_heartbeats)
        self._start_task('fleet reporter', reporter.run)
        self._start_task('peer discovery', discovery.run)

    def _start_task(self, name: str, task: Callable[[], None]) -> None:
        self._background_tasks.submit(self._supervisor.run, name, task)

    def stop(self, requested_at_s: float) -> None:
        """Shut down gracefully within the grace period, then close the log.

        :param requested_at_s: monotonic time of the signal, from which the
            platform counts the grace period.
        """
        kill_at_s = requested_at_s + self._settings.grace_ms / 1000
        with self._errors.contain('stop report'):
            self._log.record(
                forwarding.InstanceStopping(self._gateway.active_count())
            )
        with self._errors.contain('stop'):
            _stopping.finish_requests(
                ports.SystemClock(),
                self._front,
                self._gateway,
                self._errors,
                kill_at_s,
            )
        with self._errors.contain('cut requests'):
            self._gateway.report_cut_requests()
        with self._errors.contain('request counts'):
            self._request_counts.flush()
        with self._errors.contain('stop report'):
            self._log.record(
                forwarding.InstanceStopped(
                    after_ms=round((time.monotonic() - requested_at_s) * 1000),
                    open_connections=self._front.open_count(),
                )
            )
        self._log.close(LOG_CLOSE_S)
