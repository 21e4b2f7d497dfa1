"""Composition of one entry instance."""

import concurrent.futures
import threading

import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import configuration
from skylarktack.coordination import generation
from skylarktack.coordination import limits
from skylarktack.coordination import lookup
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.daemon import _moves
from skylarktack.daemon import _peers

#: Key of the configuration document in the object API.
CONFIGURATION_KEY = 'configuration/current'

_LOG = structlog.get_logger(part='instance')


class _OutcomeCounter:
    """Counts outcomes by kind and passes them on."""

    def __init__(
        self, metrics: ports.Metrics, *observers: ports.OutcomeObserver
    ) -> None:
        self._metrics = metrics
        self._observers = observers

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Take one outcome in."""
        self._metrics.count(f'outcome.{outcome.kind.value}')
        for observer in self._observers:
            observer.observe(outcome)


class Instance:
    """All parts of one entry instance, wired together."""

    def __init__(self, settings: state.InstanceSettings) -> None:
        self._settings = settings
        self._stopping = threading.Event()
        self._listed = False
        self._clock = ports.SystemClock()
        self._store = transport.HttpObjectStore(settings.store)
        self._metrics = transport.StatsdMetrics(settings.statsd)
        self._peers = _peers.Peers(settings, self._clock, self._metrics)
        self._holder = configuration.ConfigurationHolder(self._clock)
        self._selector = routing.TwoChoicesSelector()
        engines = transport.HttpEngineClient()
        self._moves = _moves.build_moves(
            settings,
            self._clock,
            self._store,
            self._peers.network,
            engines,
            self._holder,
            self._selector,
            self._metrics,
        )
        versions = self._moves.versions
        self._generations = generation.GenerationService(
            generation.GenerationParts(
                settings=settings.generation,
                engines=engines,
                selector=self._selector,
                retry_budget=limits.TokenRetryBudget(settings.retry),
                versions=versions,
                outcomes=_OutcomeCounter(self._metrics, self._moves.outcomes),
                clock=self._clock,
                metrics=self._metrics,
            ),
            settings.caller.generation_count,
        )
        application = transport.CallerApplication(
            transport.CallerParts(
                settings=settings,
                configuration=self._holder,
                readiness=self,
                admission=limits.UnlimitedAdmission(),
                generations=self._generations,
                lookups=lookup.LookupRunner(
                    transport.HttpServiceClient(), self._selector, versions
                ),
                signer=protocol.EventIdSigner(settings.secret),
            )
        )
        self._callers = transport.WsgiServer(
            application, settings.listen, settings.caller
        )
        # One task for the configuration watch, one for the platform's list.
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            max_workers=2, thread_name_prefix='instance'
        )

    @property
    def caller_address(self) -> state.Address:
        """Where callers connect."""
        return self._callers.address

    @property
    def peer_address(self) -> state.Address:
        """Where other instances connect."""
        return self._peers.address

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        if self._stopping.is_set() or self._generations.is_stopping:
            return False
        return self._listed and self._holder.current().revision > 0

    def start(self) -> None:
        """Start all tasks."""
        self._peers.start()
        self._tasks.submit(self._follow_configuration)
        self._tasks.submit(self._follow_platform_list)
        self._moves.start()
        self._callers.start()
        _LOG.info('callers are served', address=str(self._callers.address))

    def stop(self) -> None:
        """Let running generations end or move, then stop all tasks."""
        self._generations.drain()
        self._stopping.set()
        self._peers.leave()
        self._callers.stop()
        self._moves.stop()
        self._peers.stop()
        self._tasks.shutdown(wait=False, cancel_futures=True)
        _LOG.info('stopped')

    def _follow_configuration(self) -> None:
        seen = 0
        while not self._stopping.is_set():
            batch = self._store.watch(CONFIGURATION_KEY, seen, 10.0)
            if batch.is_error():
                self._clock.wait(self._stopping, 0.5)
                continue
            seen = batch.ok.version
            for stored in batch.ok.changed:
                self._take(stored)

    def _take(self, stored: state.StoredObject) -> None:
        decoded = protocol.decode_document(stored.value.decode())
        if decoded.is_error():
            _LOG.error('stored configuration is invalid', key=stored.key)
            return
        if self._holder.offer(stored.version, decoded.ok):
            _LOG.info('configuration in effect', revision=stored.version)

    def _follow_platform_list(self) -> None:
        while not self._stopping.is_set():
            listed = self._store.platform_list()
            if listed.is_ok():
                self._selector.update(listed.ok.targets)
                self._moves.directory.update(listed.ok.targets)
                self._peers.membership.take_list(listed.ok.instances)
                self._listed = bool(listed.ok.targets)
            self._clock.wait(
                self._stopping, self._settings.store.list_interval_ms / 1000
            )
