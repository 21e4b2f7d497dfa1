"""Wires the forwarding front end of one instance."""

from concurrent import futures
import time

from skylarktack import platform
from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.coordination import moves
from skylarktack.coordination import ports
from skylarktack.daemon.forwarding import _metrics
from skylarktack.daemon.forwarding import _readiness
from skylarktack.daemon.forwarding import _reports
from skylarktack.daemon.forwarding import _stopping
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: Descriptors that are kept for listeners, the store and files.
RESERVED_DESCRIPTOR_COUNT = 250

#: Descriptors that one connection of a caller needs: its own, and two to
#: targets.
DESCRIPTORS_PER_CALLER = 3

#: Most connections of callers at once; each has a thread.
CALLER_LIMIT_COUNT = 600

#: Longest time that one watch waits.
WATCH_WAIT_S = 3.0

#: Longest time that one watch of the orders of moves waits. They are rare,
#: and a move has many seconds.
MOVE_WATCH_WAIT_S = 10.0

#: Pause between two watches of targets, which gathers many changes at once.
TARGET_GATHER_S = 0.25

#: A configuration that was not confirmed for this time may be outdated.
CONFIRMATION_VALIDITY_S = WATCH_WAIT_S + 1.0

#: Tasks besides those for connections.
OWN_TASK_COUNT = 14

#: Longest wait for the log at the end.
LOG_CLOSE_S = 0.1


class ForwardingInstance:
    """All tasks of the forwarding front end of one instance."""

    def __init__(
        self, settings: data.ForwardingSettings, log: transport.LineLog
    ) -> None:
        self._settings = settings
        self._log = log
        clock = ports.SystemClock()
        codec = platform.PlatformMessageCodec()
        self._configuration = forwarding.ConfigurationHolder(clock, log)
        self._link: transport.DatagramLink | None = None
        if settings.peer is not None:
            self._link = transport.DatagramLink(settings.peer, log)
        self._fleet = forwarding.FleetView(
            clock,
            log,
            settings.instance,
            None if self._link is None else self._link.endpoint,
        )
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
        self._targets = forwarding.TargetTable(
            clock, log, settings.failure_domain, self._fleet, self._moves
        )
        client = transport.HttpTargetClient(codec)
        metrics = _metrics.RequestMetrics()
        budget = forwarding.RetryBudget(
            clock,
            forwarding.RetryLimits(
                settings.retry_ratio,
                settings.retry_allowance_count,
                settings.retry_window_ms / 1000,
            ),
            self._fleet,
        )
        self._gateway = forwarding.Gateway(
            forwarding.GatewayDependencies(
                clock=clock,
                configuration=self._configuration,
                moves=self._moves,
                targets=self._targets,
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
                        new_splitter=messages.EventStreamSplitter,
                    )
                ),
                observer=_reports.Observers(
                    _reports.RequestLog(clock, log), metrics
                ),
            )
        )
        spare_count = settings.descriptor_limit - RESERVED_DESCRIPTOR_COUNT
        self._tasks = futures.ThreadPoolExecutor(
            max(
                8,
                min(CALLER_LIMIT_COUNT, spare_count // DESCRIPTORS_PER_CALLER),
            )
        )
        self._front = transport.Listener(
            settings.front, self._gateway, codec, self._tasks
        )
        self._listeners = [self._front]
        self._ready: transport.Listener | None = None
        if settings.readiness is not None:
            readiness = _readiness.ReadinessHandler(
                self._gateway, self._configuration, self._targets, log
            )
            self._ready = transport.Listener(
                settings.readiness, readiness, codec, self._tasks
            )
            self._listeners.append(self._ready)
        if settings.metrics is not None:
            self._listeners.append(
                transport.Listener(
                    settings.metrics,
                    _metrics.MetricsHandler(metrics),
                    codec,
                    self._tasks,
                )
            )
        self._sharing: forwarding.SharedWatch | None = None
        if self._link is not None:
            self._sharing = forwarding.SharedWatch(
                clock, self._fleet, self._link
            )
        health = forwarding.StoreHealth(clock)
        self._configuration_follower = forwarding.StoreWatcher(
            clock,
            platform.ConfigurationReader(
                transport.HttpStoreCalls(settings.store), log
            ),
            forwarding.ConfigurationWatchHandler(
                self._configuration, CONFIRMATION_VALIDITY_S
            ),
            log,
            forwarding.WatchSettings('configuration', WATCH_WAIT_S, 0.0),
            health,
            self._sharing,
        )
        self._target_follower = forwarding.StoreWatcher(
            clock,
            platform.TargetReader(
                transport.HttpStoreCalls(settings.store), log
            ),
            forwarding.TargetWatchHandler(self._targets),
            log,
            forwarding.WatchSettings('targets', WATCH_WAIT_S, TARGET_GATHER_S),
            health,
            self._sharing,
        )
        self._move_follower = forwarding.StoreWatcher(
            clock,
            platform.MoveReader(transport.HttpStoreCalls(settings.store), log),
            forwarding.MoveWatchHandler(self._moves),
            log,
            forwarding.WatchSettings('moves', MOVE_WATCH_WAIT_S, 0.0),
            health,
            self._sharing,
        )
        self._own_tasks = futures.ThreadPoolExecutor(OWN_TASK_COUNT)

    def start(self) -> None:
        """Start all tasks."""
        self._own_tasks.submit(self._log.run)
        if self._settings.has_moves:
            self._own_tasks.submit(self._move_follower.run)
        self._own_tasks.submit(self._configuration_follower.run)
        self._own_tasks.submit(self._target_follower.run)
        for listener in self._listeners:
            self._own_tasks.submit(listener.run)
        if self._link is not None and self._sharing is not None:
            self._start_fleet(self._link, self._sharing)

    def record_start(self) -> None:
        """Write the addresses in use to the log."""
        self._log.record(
            forwarding.InstanceStarted(
                front=str(self._front.endpoint),
                ready=str(self._ready.endpoint) if self._ready else None,
                peer=str(self._link.endpoint) if self._link else None,
            )
        )

    def _start_fleet(
        self,
        link: transport.DatagramLink,
        sharing: forwarding.SharedWatch,
    ) -> None:
        clock = ports.SystemClock()
        registry = platform.StorePeerRegistry(
            transport.HttpStoreCalls(self._settings.store), self._log
        )
        peer = data.ListedPeer(self._settings.instance, link.endpoint)
        member = forwarding.PeerDiscovery(clock, self._fleet, registry, peer)
        reporter = forwarding.FleetReporter(clock, self._fleet, link)
        driver = forwarding.MoveDriver(
            clock,
            self._log,
            self._moves,
            self._fleet,
            link,
            platform.StoreMoveWriter(
                transport.HttpStoreCalls(self._settings.store), self._log
            ),
        )
        self._own_tasks.submit(link.run, self._fleet, sharing, self._moves)
        self._own_tasks.submit(driver.run)
        self._own_tasks.submit(sharing.run_heartbeats)
        self._own_tasks.submit(reporter.run)
        self._own_tasks.submit(member.run)

    def stop(self) -> None:
        """Finish the requests in progress, at most for the grace period."""
        ordered_at_s = time.monotonic()
        self._log.record(
            forwarding.InstanceStopping(self._gateway.active_count())
        )
        _stopping.finish_requests(
            ports.SystemClock(),
            self._front,
            self._gateway,
            self._settings.grace_ms / 1000,
        )
        self._log.record(
            forwarding.InstanceStopped(
                after_ms=round((time.monotonic() - ordered_at_s) * 1000),
                open_connections=self._front.open_count(),
            )
        )
        self._log.close(LOG_CLOSE_S)
