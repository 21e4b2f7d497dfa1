"""Composition of one entry instance."""

from collections.abc import Callable
import concurrent.futures
import random
import threading

import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import forwarding
from skylarktack.coordination import generation
from skylarktack.coordination import limits
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.daemon import _calls
from skylarktack.daemon import _configuration
from skylarktack.daemon import _errors
from skylarktack.daemon import _limits
from skylarktack.daemon import _moves
from skylarktack.daemon import _operators
from skylarktack.daemon import _outcomes
from skylarktack.daemon import _peers
from skylarktack.daemon import _routing
from skylarktack.daemon import _status
from skylarktack.daemon import _stopping

#: Up to this number of instances, each reads the platform's list once per
#: interval; larger fleets read proportionally less often.
LIST_READER_COUNT = 16

#: Threads that serve operator connections.
OPERATOR_THREAD_COUNT = 8

_LOG = structlog.get_logger(part='instance')


class Instance:
    """An entry instance with all its components and tasks."""

    def __init__(self, settings: state.InstanceSettings) -> None:
        self._settings = settings
        self._stopping = threading.Event()
        self._has_targets = False
        self._target_count = 0
        #: Set when an operator or a signal has requested the planned stop.
        self.stop_ordered = threading.Event()
        self._clock = ports.SystemClock()
        self._store = transport.HttpObjectStore(settings.store)
        self._metrics = transport.StatsdMetrics(settings.statsd)
        #: Unexpected errors of this instance.
        self.errors = _errors.CountingErrorRecorder(self._clock, self._metrics)
        self._supervisor = forwarding.Supervisor(self._clock, self.errors)
        self._peers = _peers.Peers(
            settings, self._clock, self._metrics, self._supervisor
        )
        network = self._peers.network
        self._configuration = _configuration.ConfigurationComponents(
            self._store, network, self._clock, self._metrics
        )
        engines = transport.HttpEngineClient()
        self._routing = _routing.RoutingComponents(
            settings,
            engines,
            self._clock,
            self._metrics,
            self._supervisor,
            network,
        )
        self._limits = _limits.LimitsComponents(
            settings, self._configuration.holder, self._clock, self._metrics
        )
        self._moves = _moves.build_moves(
            settings,
            self._clock,
            self._store,
            network,
            engines,
            self._configuration.holder,
            self._routing.selector,
            self._metrics,
            self._supervisor,
        )
        outcomes = _outcomes.OutcomeBroadcaster(
            self._metrics, self._routing.selector, self._moves.collector
        )
        retry_budget = limits.OrganisationRetryBudget(
            settings.retry, settings.limit
        )
        self._calls = _calls.CallComponents(
            _calls.CallDependencies(
                settings=settings,
                store=self._store,
                peers=network,
                selector=self._routing.selector,
                versions=self._moves.version_selector,
                retry_budget=retry_budget,
                outcomes=outcomes,
                clock=self._clock,
                metrics=self._metrics,
                supervisor=self._supervisor,
            )
        )
        self._generations = generation.GenerationService(
            generation.GenerationDependencies(
                settings=settings.generation,
                engines=engines,
                selector=self._routing.selector,
                retry_budget=retry_budget,
                versions=self._moves.version_selector,
                outcomes=outcomes,
                clock=self._clock,
                metrics=self._metrics,
                supervisor=self._supervisor,
            ),
            settings.caller.generation_count,
            network,
        )
        self._status = _status.FleetStatus(network, self.status)
        self._balancer_readiness = _stopping.BalancerReadiness(
            self, self.stop_ordered, settings.stop.unready_check_count
        )
        self._caller_server = self._build_caller_server()
        self._operator_server = self._build_operator_server()
        # One thread watches the configuration, one polls the platform's list,
        # one writes claims again after a restore of the store.
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            max_workers=3, thread_name_prefix='instance'
        )
        self._add_topics()

    @property
    def caller_address(self) -> state.Address:
        """Address that accepts callers, with the port in use."""
        return self._caller_server.address

    @property
    def operator_address(self) -> state.Address:
        """Address that accepts operators, with the port in use."""
        return self._operator_server.address

    @property
    def peer_address(self) -> state.Address:
        """Address that accepts peers, with the port in use."""
        return self._peers.address

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests here."""
        if self.stop_ordered.is_set() or self._generations.is_stopping:
            return False
        return self._has_targets and self._revision() > 0

    def order_stop(self) -> None:
        """Request the planned stop and return at once."""
        self.stop_ordered.set()

    def status(self) -> state.InstanceStatus:
        """Return the current status of this instance."""
        active = self._configuration.holder.current()
        return state.InstanceStatus(
            name=self._settings.name,
            failure_domain=self._settings.failure_domain,
            ready=self.is_ready(),
            stopping=self.stop_ordered.is_set(),
            revision=active.revision,
            revision_since_s=active.since_s,
            store_reachable=self._configuration.follower.store_reachable,
            member_count=len(self._peers.network.members()),
            target_count=self._target_count,
            generation_count=self._generations.running_count,
            metrics=self._metrics.snapshot(),
        )

    def start(self) -> None:
        """Start all tasks and accept callers."""
        self._peers.start()
        for name, task in (
            ('configuration follower', self._configuration.follower.follow),
            ('platform list', self._poll_platform_list),
            ('claims after a restore', self._recover_claims),
        ):
            self._tasks.submit(self._supervisor.run, name, task)
        self._routing.watcher.start()
        self._moves.start()
        self._operator_server.start()
        self._caller_server.start()
        _LOG.info(
            'accepting callers', address=str(self._caller_server.address)
        )

    def stop(self, began_at_s: float | None = None) -> None:
        """Drain the generations, answer other requests, stop all tasks.

        Running generations finish within the drain time or are handed over.
        Callers are accepted until the load balancer has noticed the stop.
        A step that fails is recorded; the others are done all the same.

        :param began_at_s: monotonic time from which the grace period counts;
            None for now.
        """
        if began_at_s is None:
            began_at_s = self._clock.monotonic_s()
        times = _stopping.StopTimes(self._settings, self._clock, began_at_s)
        self.stop_ordered.set()
        with self.errors.contain('drain of generations'):
            self._generations.drain()
        with self.errors.contain('wait for the load balancer'):
            self._balancer_readiness.wait_noticed(
                self._clock, times.accept_s()
            )
        # Requests in progress need the tasks that are stopped below.
        with self.errors.contain('stop of the caller server'):
            self._caller_server.stop(times.caller_answer_s())
        with self.errors.contain('stop of the operator server'):
            self._operator_server.stop(times.operator_answer_s())
        self._stopping.set()
        steps: tuple[tuple[str, Callable[[], None]], ...] = (
            ('stop of moves', self._moves.stop),
            ('stop of the target watcher', self._routing.watcher.stop),
            ('stop of calls', self._calls.stop),
            ('stop of the follower', self._configuration.follower.stop),
            ('announcement to peers', self._peers.leave),
            ('close of the store', self._store.close),
            ('stop of peers', self._peers.stop),
        )
        for place, step in steps:
            with self.errors.contain(place):
                step()
        self._tasks.shutdown(wait=False, cancel_futures=True)
        _LOG.info('stopped')

    def _build_caller_server(self) -> transport.WsgiServer:
        settings = self._settings
        application = transport.CallerApplication(
            transport.CallerParts(
                settings=settings,
                configuration=self._configuration.holder,
                readiness=self._balancer_readiness,
                admission=self._limits.admission,
                generations=self._generations,
                lookups=self._calls.lookups,
                once=self._calls.once,
                signer=protocol.EventIdSigner(settings.secret),
            )
        )
        return transport.WsgiServer(
            application, settings.listen, settings.caller
        )

    def _build_operator_server(self) -> transport.WsgiServer:
        application = transport.OperatorApplication(
            transport.OperatorParts(
                settings=self._settings,
                publisher=self._configuration.publisher,
                holder=self._configuration.holder,
                status=self._status,
                planned_stop=self,
                extensions=(
                    _operators.UnknownCallsExtension(
                        self._calls.unknown_calls
                    ),
                    _operators.RouteExplainExtension(
                        routing.RouteExplainer(
                            self._settings.routing,
                            self._configuration.holder,
                            self._moves.version_selector,
                            self._routing.table,
                            self._routing.selector,
                        )
                    ),
                ),
            )
        )
        return transport.WsgiServer(
            application,
            self._settings.operator_listen,
            state.CallerSettings(
                thread_count=OPERATOR_THREAD_COUNT,
                body_limit_bytes=transport.OPERATOR_BODY_LIMIT_BYTES,
            ),
        )

    def _add_topics(self) -> None:
        members = self._peers.membership
        self._configuration.add_topics(members)
        members.add_topic(self._routing.topic)
        members.add_topic(self._limits.topic)

    def _revision(self) -> int:
        return self._configuration.holder.current().revision

    def _poll_platform_list(self) -> None:
        while not self._stopping.is_set():
            listed = self._store.platform_list()
            if listed.is_ok():
                self._apply_platform_list(listed.ok)
            self._clock.wait(self._stopping, self._list_interval_s())

    def _recover_claims(self) -> None:
        self._calls.claims.recover_after_restores(self._stopping)

    def _list_interval_s(self) -> float:
        # Limits the reads of the fleet to LIST_READER_COUNT per interval.
        # What one instance reads reaches the others as notices.
        member_count = len(self._peers.network.members())
        factor = max(1.0, member_count / LIST_READER_COUNT)
        jitter = random.uniform(0.8, 1.2)
        return self._settings.store.list_interval_ms / 1000 * factor * jitter

    def _apply_platform_list(self, listed: state.PlatformList) -> None:
        self._routing.update(listed)
        self._limits.update(listed)
        self._moves.directory.update(listed.targets)
        self._peers.membership.apply_platform_list(listed.instances)
        self._target_count = len(listed.targets)
        self._has_targets = bool(listed.targets)
