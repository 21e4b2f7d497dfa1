"""Test harness: requests, targets and forwarders over scripted targets."""

import dataclasses
import math
import random

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import moves
from skylarktack.coordination.forwarding import _placement
from skylarktack.state import forwarding as data

PAUSE_MS = 700.0
OBJECTIVE_MS = 4500.0


class _Splitter:
    """Splits a stream into events, which end with an empty line."""

    def __init__(self) -> None:
        self._partial = b''

    def split(self, received: bytes) -> forwarding.SplitEvents:
        """Return the events that are complete with these bytes."""
        *complete, self._partial = (self._partial + received).split(b'\n\n')
        events = []
        for text in complete:
            event_id = None
            for line in text.split(b'\n'):
                if line.startswith(b'id: '):
                    event_id = int(line[4:])
            events.append(forwarding.StreamEvent(text + b'\n\n', event_id))
        return forwarding.SplitEvents(tuple(events))

    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)


def target(
    name: str,
    domain: str = 'domain-a',
    service: str = 'pool',
    is_leaving: bool = False,
) -> data.ListedTarget:
    """Return a target whose port is derived from its name."""
    port = 1000 + sum(name.encode())
    return data.ListedTarget(
        name=name,
        service=service,
        endpoint=data.Address('10.0.0.1', port),
        failure_domain=domain,
        version='v1',
        slot_count=12,
        is_leaving=is_leaving,
    )


def route(
    kind: data.RequestKind = data.RequestKind.IDEMPOTENT,
    max_attempts: int = 2,
    is_resumable: bool = True,
    timeout_ms: float = 25000,
) -> data.ForwardingRoute:
    """Return a route to the service ``pool``.

    :param max_attempts: limit of attempts of one request.
    """
    is_stream = kind is data.RequestKind.STREAM
    return data.ForwardingRoute(
        name='route',
        host='host.example',
        path_prefix='/a/',
        kind=kind,
        services=(data.WeightedService('pool', 1.0),),
        timeout_ms=timeout_ms,
        latency_objective_ms=OBJECTIVE_MS if is_stream else 100.0,
        max_attempts=max_attempts,
        priority=1,
        is_anonymous=False,
        is_resumable=is_stream and is_resumable,
        longest_pause_ms=PAUSE_MS if is_stream else None,
    )


def request(
    path: bytes = b'/a/x',
    key: str | None = 'key',
    last_event_id: int | None = None,
    time_limit_ms: float | None = 1500.0,
) -> data.FrontRequest:
    """Return a request of a caller."""
    return data.FrontRequest(
        attempt_id='attempt',
        method=b'POST',
        path=path,
        host='host.example',
        headers=(),
        body=b'body',
        has_body=True,
        time_limit_ms=time_limit_ms,
        key=key,
        last_event_id=last_event_id,
        model=None,
        prompt_parts=(
            data.PromptPart('shared', 200),
            data.PromptPart('own', 8000),
        ),
        prompt_tokens=8200,
        output_tokens=900,
    )


def head(
    status: int = 200,
    is_signed: bool = True,
    is_not_executed: bool = False,
    is_leaving: bool = False,
    retry_after_s: float | None = None,
) -> data.ResponseHead:
    """Return the head of a response."""
    return data.ResponseHead(
        status=status,
        headers=((b'X', b'1'),),
        attempt_id='attempt',
        is_signed=is_signed,
        is_not_executed=is_not_executed,
        is_encoded=False,
        load=None,
        is_leaving=is_leaving,
        retry_after_s=retry_after_s,
    )


def answer_script(
    status: int = 200,
    after_s: float = 0.02,
    is_signed: bool = True,
    is_not_executed: bool = False,
) -> tuple[fakes.ScriptedEvent, ...]:
    """Return the script of a complete response."""
    return (
        fakes.ScriptedEvent(after_s, head(status, is_signed, is_not_executed)),
        fakes.ScriptedEvent(after_s, forwarding.BodyChunk(b'answer')),
        fakes.ScriptedEvent(after_s, forwarding.ResponseEnd()),
    )


def paused_script(pause_s: float) -> tuple[fakes.ScriptedEvent, ...]:
    """Return the script of a refusal that asks for a pause."""
    refusal = head(503, is_not_executed=True, retry_after_s=pause_s)
    return (
        fakes.ScriptedEvent(0.01, refusal),
        fakes.ScriptedEvent(0.01, forwarding.ResponseEnd()),
    )


def leaving_script() -> tuple[fakes.ScriptedEvent, ...]:
    """Return the script of a complete response of a leaving target."""
    return (
        fakes.ScriptedEvent(0.01, head(is_leaving=True)),
        fakes.ScriptedEvent(0.01, forwarding.BodyChunk(b'answer')),
        fakes.ScriptedEvent(0.01, forwarding.ResponseEnd()),
    )


def connection_lost_script(
    after_s: float = 0.02,
) -> tuple[fakes.ScriptedEvent, ...]:
    """Return the script of a connection that is lost."""
    fault = forwarding.ExchangeFault(forwarding.FaultKind.LOST, 'reset')
    return (fakes.ScriptedEvent(after_s, fault),)


REFUSED = forwarding.ExchangeFault(
    forwarding.FaultKind.NOT_CONNECTED, 'no connection'
)


def event_bytes(event_id: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {event_id}\ndata: t{event_id}\n\n'.encode()


def stream_script(
    first: int,
    last: int,
    start_s: float = 1.0,
    pace_s: float = 0.04,
    ending: str = 'end',
) -> tuple[fakes.ScriptedEvent, ...]:
    """Return the script of a stream.

    :param ending: ``end`` for a complete response, ``lost`` for a lost
        connection, ``unresponsive`` for a target that stops responding.
    """
    script = [fakes.ScriptedEvent(start_s, head())]
    at_s = start_s
    for event_id in range(first, last + 1):
        chunk = forwarding.BodyChunk(event_bytes(event_id))
        script.append(fakes.ScriptedEvent(at_s, chunk))
        at_s += pace_s
    if ending == 'end':
        script.append(fakes.ScriptedEvent(at_s, forwarding.ResponseEnd()))
    if ending == 'lost':
        script.append(
            fakes.ScriptedEvent(at_s, connection_lost_script()[0].event)
        )
    return tuple(script)


def event_range_bytes(first: int, last: int) -> bytes:
    """Return the bytes of the events from first to last."""
    return b''.join(event_bytes(number) for number in range(first, last + 1))


@dataclasses.dataclass
class Harness:
    """Forwarders over scripted targets."""

    clock: fakes.SteppingClock
    log: fakes.RecordingLog
    client: fakes.ScriptedTargetClient
    caller: fakes.ScriptedCaller
    fleet: forwarding.FleetView
    moves: forwarding.MoveTable
    targets: forwarding.TargetTable
    suspensions: fakes.ScriptedSuspensions
    budget: forwarding.RetryBudget
    calls: forwarding.CallForwarder
    streams: forwarding.StreamForwarder
    quarantine: forwarding.PromptQuarantine

    def work(
        self, of_route: data.ForwardingRoute, of_request: data.FrontRequest
    ) -> forwarding.AdmittedRequest:
        """Return an admitted request."""
        now_s = self.clock.monotonic_s()
        limit_ms = min(
            of_route.timeout_ms, of_request.time_limit_ms or math.inf
        )
        return forwarding.AdmittedRequest(
            request=of_request,
            route=of_route,
            service='pool',
            version_rule=self.moves.choose_versions('pool'),
            engine=data.EngineCapacity(55_000, has_standby_copies=True),
            organisation='organisation',
            caller=self.caller,
            started_at_s=now_s,
            deadline_s=now_s + limit_ms / 1000,
            trace=forwarding.RequestTrace(now_s),
        )

    def call(
        self,
        of_route: data.ForwardingRoute | None = None,
        of_request: data.FrontRequest | None = None,
    ) -> forwarding.CallOutcome:
        """Forward a call."""
        return self.calls.run(
            self.work(of_route or route(), of_request or request())
        )

    def stream(
        self,
        of_route: data.ForwardingRoute | None = None,
        of_request: data.FrontRequest | None = None,
    ) -> forwarding.StreamOutcome:
        """Forward a stream."""
        kind = data.RequestKind.STREAM
        return self.streams.run(
            self.work(
                of_route or route(kind, max_attempts=5),
                of_request or request(time_limit_ms=25000.0),
            )
        )


def demand(
    affinity_key: str = 'own', known_engine: str | None = None
) -> _placement.RunDemand:
    """Return the demand of a run of ordinary size."""
    return _placement.RunDemand(affinity_key, 9100, 55_000, known_engine)


def make_harness(
    *listed: data.ListedTarget,
    allowance: float = 100.0,
    is_warmed_up: bool = True,
    instance: str = 'instance-0',
    shared_clock: fakes.SteppingClock | None = None,
) -> Harness:
    """Return a harness with the listed targets.

    :param shared_clock: clock of several instances, or None for a new one.
    :param is_warmed_up: whether the instance started a while ago.
    :param allowance: retries that the budget allows in addition to the
        ratio.
    """
    clock = shared_clock or fakes.SteppingClock()
    log = fakes.RecordingLog()
    client = fakes.ScriptedTargetClient(clock)
    fleet = forwarding.FleetView(
        clock, log, instance, data.Address('10.1.0.1', 7200)
    )
    if is_warmed_up:
        clock.advance(60.0)
    move_table = forwarding.MoveTable(
        clock,
        log,
        forwarding.ExposureLimits(0.1, 50.0),
        moves.SequentialJudge(state.MoveSettings()),
        draw=random.Random(1).random,
    )
    move_table.is_synced.set()
    move_table.trials.restore(())
    errors = forwarding.ErrorRecorder(clock, log)
    suspensions = fakes.ScriptedSuspensions()
    targets = forwarding.TargetTable(
        clock, log, 'domain-a', fleet, move_table, errors, suspensions
    )
    targets.replace(listed, after_outage=False)
    budget = forwarding.RetryBudget(
        clock,
        forwarding.RetryLimits(0.8, allowance, 10.0),
        fleet,
    )
    quarantine = forwarding.PromptQuarantine(clock, log, fleet)
    streams = forwarding.StreamForwarder(
        forwarding.StreamDependencies(
            clock=clock,
            targets=targets,
            client=client,
            fleet=fleet,
            budget=budget,
            quarantine=quarantine,
            new_splitter=_Splitter,
            errors=errors,
        )
    )
    return Harness(
        clock=clock,
        log=log,
        client=client,
        caller=fakes.ScriptedCaller(clock),
        fleet=fleet,
        moves=move_table,
        targets=targets,
        suspensions=suspensions,
        budget=budget,
        calls=forwarding.CallForwarder(clock, targets, client, budget),
        streams=streams,
        quarantine=quarantine,
    )


def configuration(
    version: int = 1, *routes: data.ForwardingRoute
) -> data.ForwardingConfiguration:
    """Return a configuration with one organisation."""
    return data.ForwardingConfiguration(
        version=version,
        routes=routes or (route(),),
        services=(data.ServiceDescription('pool', 100, None),),
        limits=data.FrontLimits(),
        organisations=(data.OrganisationKeys('organisation', ('key',), None),),
    )


class RecordingLink:
    """Records the messages to other instances."""

    def __init__(self) -> None:
        self.sent: list[data.FleetMessage] = []
        self.receiver_counts: list[int] = []

    def send(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Record a message that is sent to each peer."""
        self.sent.append(message)
        self.receiver_counts.append(len(peers))
        return 100 * len(peers)

    def broadcast(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Record a message that is broadcast to the peers."""
        return self.send(message, peers)


def listed_peers(count: int) -> tuple[data.ListedPeer, ...]:
    """Return peers as the store lists them; none has sent a report."""
    peers = []
    for number in range(count):
        endpoint = data.Address('10.1.0.2', 7200 + number)
        peers.append(data.ListedPeer(f'peer-{number}', endpoint))
    return tuple(peers)


def peer_report(name: str, number: int) -> data.InstanceReport:
    """Return a full report that keeps its peer live for 2,500 s."""
    return data.InstanceReport(
        instance=name,
        endpoint=data.Address('10.1.0.2', 7200 + number),
        started_at_ms=1,
        sequence=1,
        is_full=True,
        runs=(),
        lost_targets=(),
        next_report_ms=1_000_000,
    )
