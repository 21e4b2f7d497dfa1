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
from skylarktack.coordination import moves
from skylarktack.coordination import ports
from skylarktack.daemon import _limits
from skylarktack.daemon import _routing

#: Key of the configuration document in the object API.
CONFIGURATION_KEY = 'configuration/current'

_LOG = structlog.get_logger(part='instance')


class _OutcomeCounter:
    """Counts outcomes by kind."""

    def __init__(
        self, metrics: ports.Metrics, selector: ports.OutcomeObserver
    ) -> None:
        self._metrics = metrics
        self._selector = selector

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Take one outcome in."""
        self._selector.observe(outcome)
        self._metrics.count(f'outcome.{outcome.kind.value}')


class Instance:
    """All parts of one entry instance, wired together."""

    def __init__(self, settings: state.InstanceSettings) -> None:
        self._settings = settings
        self._stopping = threading.Event()
        self._listed = False
        self._clock = ports.SystemClock()
        self._store = transport.HttpObjectStore(settings.store)
        self._metrics = transport.StatsdMetrics(settings.statsd)
        self._holder = configuration.ConfigurationHolder(self._clock)
        engines = transport.HttpEngineClient()
        self._routing = _routing.RoutingPart(
            settings, engines, self._clock, self._metrics
        )
        selector = self._routing.selector
        self._limits = _limits.LimitsPart(
            settings, self._holder, self._clock, self._metrics
        )
        versions = moves.RouteVersionChooser()
        runner = generation.GenerationRunner(
            generation.GenerationParts(
                settings=settings.generation,
                engines=engines,
                selector=selector,
                retry_budget=limits.OrganisationRetryBudget(
                    settings.retry, settings.limit
                ),
                versions=versions,
                outcomes=_OutcomeCounter(self._metrics, selector),
                clock=self._clock,
                metrics=self._metrics,
            )
        )
        application = transport.CallerApplication(
            transport.CallerParts(
                settings=settings,
                configuration=self._holder,
                readiness=self,
                admission=self._limits.admission,
                generations=runner,
                lookups=lookup.LookupRunner(
                    transport.HttpServiceClient(), selector, versions
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

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        if self._stopping.is_set():
            return False
        return self._listed and self._holder.current().revision > 0

    def start(self) -> None:
        """Start all tasks."""
        self._tasks.submit(self._follow_configuration)
        self._tasks.submit(self._follow_platform_list)
        self._routing.watcher.start()
        self._callers.start()
        _LOG.info('callers are served', address=str(self._callers.address))

    def stop(self) -> None:
        """Stop all tasks."""
        self._stopping.set()
        self._routing.watcher.stop()
        self._callers.stop()
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
                self._routing.update(listed.ok)
                self._limits.update(listed.ok)
                self._listed = bool(listed.ok.targets)
            self._clock.wait(
                self._stopping, self._settings.store.list_interval_ms / 1000
            )
