"""Several instances in one process that execute calls at most once."""

from collections.abc import Callable
import contextlib
import dataclasses
import threading
from typing import Any

from expression import Error
from expression import Result

from skylarktack import state
from skylarktack.coordination import limits
from skylarktack.coordination import moves
from skylarktack.coordination import once
from skylarktack.coordination import ports
from skylarktack.coordination.fakes import _metrics
from skylarktack.coordination.fakes import _peers
from skylarktack.coordination.fakes import _selector
from skylarktack.coordination.fakes import _services
from skylarktack.coordination.fakes import _steps
from skylarktack.coordination.fakes import _store
from skylarktack.coordination.fakes import _tasks

_VERSION = state.VersionName('desk-1')
_ORGANISATION = state.OrganisationName('small')


@dataclasses.dataclass(frozen=True)
class CallSimulationShape:
    """Size and settings of a ``CallSimulation``."""

    #: Codec of the claim segments in the store.
    codec: ports.SegmentCodec

    #: Number of entry instances.
    instance_count: int = 3

    #: Number of service replicas.
    target_count: int = 2

    #: Claim settings; short delays and timeouts keep bookings under faults
    #: fast.
    claim: state.ClaimSettings = dataclasses.field(
        default_factory=lambda: state.ClaimSettings(
            bucket_count=2,
            write_interval_ms=2,
            record_delay_ms=5,
            claim_timeout_ms=300,
            forward_timeout_ms=40,
            back_off_ms=30,
            ask_delays_ms=(0, 20),
        )
    )

    #: Whether writes to the store are conditional. Tests switch this off to
    #: show which guarantee breaks without it.
    conditional_writes: bool = True


@dataclasses.dataclass(frozen=True)
class Response:
    """Outcome of one request of a caller."""

    request_id: state.RequestId

    #: None if the request was refused or its connection was lost.
    answer: state.ServiceResponse | None

    #: None if the request was answered or its connection was lost.
    refusal: state.Refusal | None


@dataclasses.dataclass(frozen=True)
class BookingResult:
    """All responses to requests with one idempotency key."""

    key: str

    #: In the order of arrival.
    responses: tuple[Response, ...]


def plain_call(
    key: str, request_id: str, body: bytes = b'{}', organisation: str = 'small'
) -> state.ServiceCall:
    """Return a call that books something and must not be executed twice."""
    return state.ServiceCall(
        request_id=state.RequestId(request_id),
        organisation=state.OrganisationName(organisation),
        route=state.Route(
            name=state.RouteName('shipment'),
            kind=state.RouteKind.SERVICE,
            version=_VERSION,
            repeatable=False,
            call_timeout_ms=50,
        ),
        method='POST',
        path='/book',
        headers=(),
        body=body,
        idempotency_key=key,
    )


def booking_fault(
    result: BookingResult, services: _services.MemoryServices
) -> str | None:
    """Return how a booking violated at-most-once execution, or None."""
    target_key = once.target_idempotency_key(
        state.ClaimKey(_ORGANISATION, result.key)
    )
    execution_count = services.executions[target_key]
    if execution_count > 1:
        return f'{result.key} was executed {execution_count} times'
    bodies: set[bytes] = set()
    for response in result.responses:
        if response.answer is not None:
            bodies.add(response.answer.body)
        if response.refusal is None:
            continue
        if response.refusal.run is not state.RunState.NOT_RUN:
            continue
        if response.request_id in services.executed_requests:
            return (
                f'{response.request_id} was executed although it was refused '
                'as not executed'
            )
    if len(bodies) > 1:
        return f'{result.key} received different responses'
    if bodies and execution_count != 1:
        return f'{result.key} was answered without being executed'
    return None


class CallSimulation:
    """Instances, their peer network, the store and the services."""

    def __init__(
        self,
        shape: CallSimulationShape,
        store: _store.MemoryObjectStore | None = None,
    ) -> None:
        self.shape = shape
        self.hub = _peers.LocalPeerHub()
        self.store = store or _store.MemoryObjectStore()
        self.services = _services.MemoryServices()
        self.instances: list[CallInstance] = []
        for index in range(shape.instance_count):
            self.instances.append(CallInstance(self, f'instance-{index}'))

    def stop(self) -> None:
        """Resume and stop all instances."""
        for instance in self.instances:
            instance.gate.resume()
            instance.claims.stop()

    def targets(self) -> tuple[state.Target, ...]:
        """Return the service replicas."""
        found: list[state.Target] = []
        for index in range(self.shape.target_count):
            found.append(
                state.Target(
                    name=state.TargetName(f'service-{index}'),
                    kind=state.TargetKind.SERVICE,
                    address=state.Address('127.0.0.1', 1),
                    failure_domain=state.FailureDomain('domain-0'),
                    region='region-1',
                    versions=(_VERSION,),
                )
            )
        return tuple(found)


class CallInstance:
    """One instance; its gate can kill, pause or disconnect it at any step."""

    def __init__(self, simulation: CallSimulation, name: str) -> None:
        self._simulation = simulation
        self.name = state.InstanceName(name)
        self.gate = _steps.StepGate()
        self.metrics = _metrics.MemoryMetrics()
        peers = simulation.hub.join(name)
        store = _GatedStore(simulation, self.gate)
        clock = ports.SystemClock()
        selector = _selector.PlainSelector(seed=1)
        selector.update(simulation.targets())
        self.claims = once.ClaimTable(
            once.ClaimTableDependencies(
                once.BucketDependencies(
                    settings=simulation.shape.claim,
                    store=store,
                    codec=simulation.shape.codec,
                    clock=clock,
                    metrics=self.metrics,
                ),
                peers,
                _tasks.DirectTaskRunner(),
            )
        )
        self.unknown_calls = once.UnknownCalls(self.claims, clock)
        self.runner = once.AtMostOnceRunner(
            once.AtMostOnceDependencies(
                instance=self.name,
                settings=simulation.shape.claim,
                claims=self.claims,
                services=_GatedServices(simulation.services, self.gate),
                selector=selector,
                versions=moves.RouteVersionChooser(),
                retry_budget=limits.OrganisationRetryBudget(
                    state.RetrySettings()
                ),
                outcomes=_NullOutcomeObserver(),
                clock=clock,
                metrics=self.metrics,
            )
        )

    def book(self, call: state.ServiceCall) -> Response:
        """Execute one request.

        A killed or disconnected instance returns neither an answer nor a
        refusal.
        """
        lost = Response(call.request_id, None, None)
        try:
            self.gate.reach(_steps.CallStep.BEFORE_CLAIM)
            outcome = self.runner.run(call)
            if outcome.is_ok():
                self.gate.reach(_steps.CallStep.RECORDED)
        except _steps.InstanceDied:
            self._simulation.hub.leave(self.name)
            return lost
        if self.gate.is_dead or self.gate.is_cut:
            return lost
        if outcome.is_ok():
            return Response(call.request_id, outcome.ok, None)
        return Response(call.request_id, None, outcome.error)


class _NullOutcomeObserver:
    def observe(self, outcome: state.TargetOutcome) -> None:
        """Discard the outcome."""


class _GatedStore:
    """One instance's access to the object API, controlled by its gate."""

    def __init__(
        self, simulation: CallSimulation, gate: _steps.StepGate
    ) -> None:
        self._store = simulation.store
        self._is_conditional = simulation.shape.conditional_writes
        self._gate = gate
        self._era = _store.SeenEra(simulation.store)

    @property
    def era(self) -> int:
        return self._era.current

    def add_era_listener(self, event: threading.Event) -> None:
        self._era.add_listener(event)

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        return self._call_if_connected(lambda: self._store.get(key))

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        with contextlib.suppress(_steps.InstanceDied):
            self._gate.reach(_steps.CallStep.CLAIM_SENT)
        if self._is_disconnected():
            return Error(_response_lost())
        if not self._is_conditional:
            found = self._store.get(key)
            expected_version = found.ok.version if found.is_ok() else None
        written = self._store.put(key, value, expected_version)
        self._era.update()
        with contextlib.suppress(_steps.InstanceDied):
            self._gate.reach(_steps.CallStep.CLAIM_WRITTEN)
        return Error(_response_lost()) if self._is_disconnected() else written

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        return self._call_if_connected(
            lambda: self._store.delete(key, expected_version)
        )

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        return self._call_if_connected(lambda: self._store.list(prefix))

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        return self._store.watch(prefix, after_version, wait_s)

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        return self._store.platform_list()

    def _call_if_connected(
        self, operation: Callable[[], Result[Any, state.StoreFault]]
    ) -> Result[Any, state.StoreFault]:
        with contextlib.suppress(_steps.InstanceDied):
            self._gate.reach(None)
        if self._is_disconnected():
            return Error(_response_lost())
        result = operation()
        self._era.update()
        return result

    def _is_disconnected(self) -> bool:
        return self._gate.is_dead or self._gate.is_cut


class _GatedServices:
    """One instance's access to the services, controlled by its gate."""

    def __init__(
        self, services: _services.MemoryServices, gate: _steps.StepGate
    ) -> None:
        self._services = services
        self._gate = gate

    def call(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        self._gate.reach(_steps.CallStep.CLAIMED)
        if self._gate.is_cut:
            return Error(
                state.DispatchFault(state.RunState.NOT_RUN, 'disconnected')
            )
        response = self._services.call(target, call, timeout_s)
        # A fault from here on does not stop the call: the target has already
        # executed it.
        self._gate.reach(_steps.CallStep.DISPATCHED)
        if self._gate.is_cut:
            return Error(
                state.DispatchFault(state.RunState.UNKNOWN, 'disconnected')
            )
        self._gate.reach(_steps.CallStep.ANSWERED)
        return response

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceResponse | None, state.DispatchFault]:
        self._gate.reach(None)
        if self._gate.is_cut:
            return Error(
                state.DispatchFault(state.RunState.UNKNOWN, 'disconnected')
            )
        return self._services.outcome(target, idempotency_key, timeout_s)


def _response_lost() -> state.StoreFault:
    return state.StoreFault(state.StoreFaultKind.ANSWER_LOST, 'disconnected')
